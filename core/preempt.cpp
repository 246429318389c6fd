#include "core/preempt.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

bool
may_stop(const RunGroup& victim, const PreemptRequest& request)
{
  if (victim.stopping)
    return true;
  if (victim.guaranteed || victim.disruptions_allowed == 0)
    return false;
  return victim.priority > request.priority ||
         (request.guaranteed && victim.priority == request.priority);
}

double
cost(const RunGroup& victim)
{
  return victim.stopping ? 0 : victim.loss_core_s;
}

void
release(Pool& pool, const RunGroup& victim)
{
  for (const std::pair<const std::string, std::uint32_t>& item :
       victim.servers) {
    for (std::uint32_t task = 0; task < item.second; ++task)
      pool.release(item.first, victim.demand);
  }
}

void
allocate(Pool& pool, const RunGroup& victim)
{
  for (const std::pair<const std::string, std::uint32_t>& item :
       victim.servers) {
    for (std::uint32_t task = 0; task < item.second; ++task)
      pool.allocate(item.first, victim.demand);
  }
}

/// The victims without which the request does not fit. Victims that are not
/// needed are removed, most expensive first.
std::vector<RunGroup*>
needed_victims(Pool pool,
               std::vector<RunGroup*> victims,
               const AssignRequest& assign_request)
{
  std::vector<RunGroup*> needed;
  while (!victims.empty()) {
    RunGroup* victim = victims.back();
    victims.pop_back();
    allocate(pool, *victim);
    if (assign(pool, assign_request).size() < assign_request.tasks) {
      release(pool, *victim);
      needed.push_back(victim);
    }
  }
  return needed;
}

bool
uses_rack(const RunGroup& victim, const Pool& pool, const std::string& rack)
{
  return std::any_of(
    victim.servers.begin(),
    victim.servers.end(),
    [&pool, &rack](const std::pair<const std::string, std::uint32_t>& item) {
      std::map<std::string, PoolServer>::const_iterator server =
        pool.servers.find(item.first);
      return server != pool.servers.end() && server->second.rack == rack;
    });
}

struct VictimChoice
{
  std::vector<RunGroup*> victims;
  double cost = 0;
};

/// Chooses the cheapest victims, in one rack or in any (`rack` empty), until
/// the request fits. Nothing if the request does not fit.
std::optional<VictimChoice>
choose_victims(const Pool& pool,
               const std::vector<RunGroup*>& cheapest_first,
               const AssignRequest& assign_request,
               const std::string& rack)
{
  Pool trial = pool;
  std::vector<RunGroup*> victims;
  std::map<StepKey, std::size_t> chosen_tasks; // By long-running step.
  bool found = false;
  for (RunGroup* victim : cheapest_first) {
    if (!rack.empty() && !uses_rack(*victim, pool, rack))
      continue;
    if (victim->runs_until_cancelled && !victim->stopping &&
        (chosen_tasks[victim->step] += victim->tasks.size()) >
          victim->disruptions_allowed)
      continue;
    release(trial, *victim);
    victims.push_back(victim);
    found = assign(trial, assign_request).size() >= assign_request.tasks;
    if (found)
      break;
  }
  if (!found)
    return std::nullopt;
  VictimChoice choice;
  choice.victims = needed_victims(trial, std::move(victims), assign_request);
  for (RunGroup* victim : choice.victims)
    choice.cost += cost(*victim);
  return choice;
}

} // namespace

std::optional<PreemptPlan>
plan_preemption(const Pool& pool,
                std::vector<RunGroup>& running,
                const PreemptRequest& request)
{
  std::vector<RunGroup*> candidates;
  for (RunGroup& victim : running) {
    if (may_stop(victim, request))
      candidates.push_back(&victim);
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const RunGroup* left, const RunGroup* right) {
                     return cost(*left) < cost(*right);
                   });
  std::set<std::string> racks{ "" };
  for (const std::pair<const std::string, PoolServer>& item : pool.servers)
    racks.insert(item.second.rack);
  std::optional<VictimChoice> best;
  for (const std::string& rack : racks) {
    std::optional<VictimChoice> choice =
      choose_victims(pool, candidates, request.assign_request, rack);
    if (choice && (!best || choice->cost < best->cost))
      best = std::move(choice);
  }
  if (!best)
    return std::nullopt;
  Pool after = pool;
  PreemptPlan plan;
  for (RunGroup* victim : best->victims) {
    release(after, *victim);
    if (!victim->stopping)
      plan.victims.push_back(victim);
  }
  plan.servers = assign(after, request.assign_request);
  plan.loss_core_s = best->cost;
  return plan;
}

} // namespace geraniumhinge::core
