#include "core/preempt.h"

#include <algorithm>
#include <functional>
#include <span>

namespace geraniumhinge::core {

namespace {

/// Whether the resources of the runs become free without a stop.
bool
frees_resources(const RunGroup& group, const PreemptRequest& request)
{
  return group.stopping || (!group.runs_until_cancelled && !group.overdue &&
                            group.remaining_ms <= request.await_ms);
}

bool
may_stop(const RunGroup& victim, const PreemptRequest& request)
{
  if (frees_resources(victim, request))
    return true;
  if (!request.may_stop || victim.guaranteed || victim.disruptions_allowed == 0)
    return false;
  if (request.placed_before_ms > 0 &&
      victim.placed_ms > request.placed_before_ms)
    return false;
  return victim.priority > request.priority ||
         (request.guaranteed && victim.priority == request.priority);
}

using Victims = std::vector<RunGroup*>;

/// Cost of all victims together. What several stops of one step cause only once
/// counts once.
double
total_cost(const Victims& victims, const PreemptRequest& request)
{
  double sum = 0;
  std::set<StepKey> steps;
  for (const RunGroup* victim : victims) {
    if (frees_resources(*victim, request))
      continue;
    sum += victim->loss_core_s;
    if (victim->step_loss_core_s > 0 && steps.insert(victim->step).second)
      sum += victim->step_loss_core_s;
  }
  return sum;
}

/// Sorts the cheapest first. Further runs of a step that a stop makes late
/// follow its cheapest one: they cost no more than their own loss.
void
sort_by_cost(Victims& candidates, const PreemptRequest& request)
{
  std::map<StepKey, double> cheapest;
  for (const RunGroup* victim : candidates) {
    if (victim->step_loss_core_s <= 0 || frees_resources(*victim, request))
      continue;
    double cost = victim->step_loss_core_s + victim->loss_core_s;
    double& least = cheapest.try_emplace(victim->step, cost).first->second;
    least = std::min(least, cost);
  }
  std::function<std::pair<double, double>(const RunGroup&)> rank =
    [&cheapest, &request](const RunGroup& victim) {
      if (victim.stopping)
        return std::pair(-1.0, 0.0);
      if (frees_resources(victim, request))
        return std::pair(-1.0, static_cast<double>(victim.remaining_ms));
      if (victim.step_loss_core_s <= 0)
        return std::pair(victim.loss_core_s, 0.0);
      return std::pair(cheapest.at(victim.step), victim.loss_core_s);
    };
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&rank](const RunGroup* left, const RunGroup* right) {
                     return rank(*left) < rank(*right);
                   });
}

/// Tries out which of the runs have to be stopped. Stopping more runs never
/// takes away a fit, so the searches below may halve their range.
class StopTrial
{
public:
  StopTrial(const Pool& pool, const AssignRequest& request)
    : pool(pool)
    , request(request)
  {
  }

  bool fits() const { return this->servers().size() >= this->request.tasks; }
  std::vector<std::string> servers() const
  {
    return assign(this->pool, this->request);
  }

  void stop(std::span<RunGroup* const> victims)
  {
    for (const RunGroup* victim : victims)
      release_runs(this->pool, *victim);
  }
  void resume(std::span<RunGroup* const> victims)
  {
    for (const RunGroup* victim : victims)
      allocate_runs(this->pool, *victim);
  }

  /// Stops as few of the victims as suffice, from the front, and returns their
  /// number. Nothing, with all of them resumed, if the request does not fit.
  std::optional<std::size_t> stop_until_fit(const Victims& victims)
  {
    std::span<RunGroup* const> all(victims);
    this->stop(all);
    if (!this->fits()) {
      this->resume(all);
      return std::nullopt;
    }
    std::size_t too_few = 0; // Not known to fit with this many.
    std::size_t enough = all.size();
    std::size_t stopped = all.size();
    while (too_few < enough) {
      std::size_t middle = (too_few + enough) / 2;
      if (middle < stopped)
        this->resume(all.subspan(middle, stopped - middle));
      else
        this->stop(all.subspan(stopped, middle - stopped));
      stopped = middle;
      if (this->fits())
        enough = middle;
      else
        too_few = middle + 1;
    }
    this->stop(all.subspan(stopped, enough - stopped));
    return enough;
  }

  /// Resumes the stopped victims that are not needed, most expensive (last)
  /// first, and adds the others to `needed`.
  void resume_unneeded(std::span<RunGroup* const> victims, Victims& needed)
  {
    if (victims.empty())
      return;
    this->resume(victims);
    if (this->fits())
      return;
    this->stop(victims);
    if (victims.size() == 1) {
      needed.push_back(victims.front());
      return;
    }
    std::size_t half = victims.size() / 2;
    this->resume_unneeded(victims.subspan(half), needed);
    this->resume_unneeded(victims.first(half), needed);
  }

private:
  Pool pool;
  const AssignRequest& request;
};

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

/// The candidates in the rack, or all if `rack` is empty, without those whose
/// stop would make too many tasks of a long-running step unavailable.
Victims
candidates_in(const Victims& candidates,
              const Pool& pool,
              const std::string& rack)
{
  Victims chosen;
  std::map<StepKey, std::size_t> chosen_tasks; // By long-running step.
  for (RunGroup* victim : candidates) {
    if (!rack.empty() && !uses_rack(*victim, pool, rack))
      continue;
    if (victim->runs_until_cancelled && !victim->stopping &&
        (chosen_tasks[victim->step] += victim->tasks.size()) >
          victim->disruptions_allowed)
      continue;
    chosen.push_back(victim);
  }
  return chosen;
}

struct VictimChoice
{
  Victims victims;
  double cost = 0;
};

/// Chooses the cheapest victims until the request fits, without those that are
/// not needed. Nothing if the request does not fit. Leaves the trial as it was.
std::optional<VictimChoice>
choose_victims(StopTrial& trial,
               Victims cheapest_first,
               const PreemptRequest& request)
{
  std::optional<std::size_t> count = trial.stop_until_fit(cheapest_first);
  if (!count)
    return std::nullopt;
  cheapest_first.resize(*count);
  VictimChoice choice;
  trial.resume_unneeded(cheapest_first, choice.victims);
  trial.resume(choice.victims);
  choice.cost = total_cost(choice.victims, request);
  return choice;
}

} // namespace

std::optional<PreemptPlan>
plan_preemption(const Pool& pool,
                std::vector<RunGroup>& running,
                const PreemptRequest& request)
{
  Victims candidates;
  for (RunGroup& victim : running) {
    if (may_stop(victim, request))
      candidates.push_back(&victim);
  }
  if (candidates.empty() && !request.may_stop)
    return std::nullopt;
  sort_by_cost(candidates, request);
  StopTrial trial(pool, request.assign_request);
  std::optional<VictimChoice> best =
    choose_victims(trial, candidates_in(candidates, pool, ""), request);
  if (!best)
    return std::nullopt;
  std::set<std::string> racks;
  // Without a cost, no rack is cheaper.
  if (best->cost > 0) {
    for (const std::pair<const std::string, PoolServer>& item : pool.servers)
      racks.insert(item.second.rack);
  }
  racks.erase("");
  for (const std::string& rack : racks) {
    std::optional<VictimChoice> choice =
      choose_victims(trial, candidates_in(candidates, pool, rack), request);
    if (choice && choice->cost < best->cost)
      best = std::move(choice);
  }
  trial.stop(best->victims);
  PreemptPlan plan;
  plan.servers = trial.servers();
  plan.loss_core_s = best->cost;
  for (RunGroup* victim : best->victims) {
    if (!frees_resources(*victim, request))
      plan.victims.push_back(victim);
  }
  return plan;
}

} // namespace geraniumhinge::core
