#include "core/preempt.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

bool
preemptible(const RunGroup& victim, const PreemptRequest& request)
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
retake(Pool& pool, const RunGroup& victim)
{
  for (const std::pair<const std::string, std::uint32_t>& item :
       victim.servers) {
    for (std::uint32_t task = 0; task < item.second; ++task)
      pool.allocate(item.first, victim.demand);
  }
}

/// Drops victims, the dearest first, without which the request still fits.
std::vector<RunGroup*>
needed(Pool pool, std::vector<RunGroup*> victims, const AssignRequest& place)
{
  std::vector<RunGroup*> kept;
  while (!victims.empty()) {
    RunGroup* victim = victims.back();
    victims.pop_back();
    retake(pool, *victim);
    if (assign(pool, place).size() < place.tasks) {
      release(pool, *victim);
      kept.push_back(victim);
    }
  }
  return kept;
}

bool
touches_rack(const RunGroup& victim, const Pool& pool, const std::string& rack)
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

struct Choice
{
  std::vector<RunGroup*> victims;
  double cost = 0;
};

/// Stops the cheapest victims, in one rack or anywhere, until it fits.
std::optional<Choice>
choose(const Pool& pool,
       const std::vector<RunGroup*>& cheapest_first,
       const AssignRequest& place,
       const std::string& rack)
{
  Pool trial = pool;
  std::vector<RunGroup*> victims;
  std::map<StepKey, std::size_t> chosen; // Tasks of long-running steps.
  bool found = false;
  for (RunGroup* victim : cheapest_first) {
    if (!rack.empty() && !touches_rack(*victim, pool, rack))
      continue;
    if (victim->runs_until_cancelled && !victim->stopping &&
        (chosen[victim->step] += victim->tasks.size()) >
          victim->disruptions_allowed)
      continue;
    release(trial, *victim);
    victims.push_back(victim);
    found = assign(trial, place).size() >= place.tasks;
    if (found)
      break;
  }
  if (!found)
    return std::nullopt;
  Choice choice;
  choice.victims = needed(trial, std::move(victims), place);
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
    if (preemptible(victim, request))
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
  std::optional<Choice> best;
  for (const std::string& rack : racks) {
    std::optional<Choice> choice =
      choose(pool, candidates, request.place, rack);
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
  plan.servers = assign(after, request.place);
  plan.loss_core_s = best->cost;
  return plan;
}

} // namespace geraniumhinge::core
