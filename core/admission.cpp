#include "core/admission.h"

#include "core/assign.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// A running task has done half of its work on average.
constexpr std::int64_t RUNNING_DIVISOR = 2;
constexpr std::int64_t MIN_RETRY_MS = 1'000;

/// Expected work of the unfinished tasks of a step.
Resources
unfinished_work(const Step& step, const StepState& tasks)
{
  std::int64_t ms = 0;
  for (const TaskState& task : tasks) {
    if (task.done)
      continue;
    ms += task.run ? step.estimate_ms / RUNNING_DIVISOR : step.estimate_ms;
  }
  return resources_of_run(step).times(ms);
}

/// Whether the result of a workflow is still of value to its caller, if all its
/// steps ran now.
bool
is_of_value(const RoundWorkflow& round_workflow, std::int64_t unix_now_ms)
{
  if (round_workflow.objective.factor <= 0)
    return true;
  const Workflow& workflow = *round_workflow.definition;
  return unix_now_ms - workflow.accepted_ms <=
         LATE_FACTOR * allowed_ms(workflow, round_workflow.objective);
}

/// Time for which the work occupies the whole capacity.
std::int64_t
drain_ms(const Resources& work, const Resources& capacity)
{
  std::int64_t longest = 0;
  if (capacity.millicores > 0)
    longest = std::max(longest, work.millicores / capacity.millicores);
  if (capacity.memory_mb > 0)
    longest = std::max(longest, work.memory_mb / capacity.memory_mb);
  if (capacity.accelerators > 0)
    longest = std::max(longest, work.accelerators / capacity.accelerators);
  return longest;
}

/// Whether some server has room for a task of a step that may start at once.
bool
has_free_server(const ServiceLoad& load, const Workflow& workflow)
{
  return std::any_of(
    workflow.steps.begin(), workflow.steps.end(), [&load](const Step& step) {
      Resources demand = resources_of_run(step);
      return step.dependencies.empty() &&
             std::any_of(load.free.begin(),
                         load.free.end(),
                         [&demand](const Resources& free) {
                           return free.covers(demand);
                         });
    });
}

} // namespace

FleetLoad
measure_load(const std::vector<RoundWorkflow>& workflows,
             const Pool& pool,
             std::int64_t unix_now_ms)
{
  FleetLoad fleet;
  for (const std::pair<const std::string, PoolServer>& item : pool.servers) {
    if (!item.second.accepts_work)
      continue;
    ServiceLoad& load = fleet.services[item.second.service];
    load.capacity.add(item.second.capacity);
    load.free.push_back(pool.free.at(item.first));
  }
  for (const RoundWorkflow& round_workflow : workflows) {
    if (round_workflow.guaranteed)
      fleet.guaranteed_use[round_workflow.definition->organisation] +=
        round_workflow.peak_accelerators;
    if (round_workflow.progress.outcome != Outcome::Open ||
        !is_of_value(round_workflow, unix_now_ms))
      continue;
    Resources& work =
      fleet.services[round_workflow.service].work[round_workflow.priority];
    const std::vector<Step>& steps = round_workflow.definition->steps;
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         round_workflow.progress.open_occurrences) {
      for (std::size_t index = 0; index < steps.size(); ++index) {
        if (!steps[index].runs_until_cancelled)
          work.add(unfinished_work(steps[index], item.second[index]));
      }
    }
  }
  return fleet;
}

bool
fits_guarantee(const FleetLoad& load,
               const RoundWorkflow& job,
               std::int64_t guaranteed_accelerators)
{
  std::map<std::string, std::int64_t>::const_iterator used =
    load.guaranteed_use.find(job.definition->organisation);
  std::int64_t others = used == load.guaranteed_use.end() ? 0 : used->second;
  return job.priority == 0 &&
         others + job.peak_accelerators <= guaranteed_accelerators;
}

std::optional<std::int64_t>
refusal_ms(const FleetLoad& load, const RoundWorkflow& job, bool guaranteed)
{
  const Workflow& workflow = *job.definition;
  std::map<std::string, ServiceLoad>::const_iterator service =
    load.services.find(job.service);
  if (guaranteed || job.objective.factor <= 0 || workflow.occurrences > 0 ||
      service == load.services.end() ||
      has_free_server(service->second, workflow))
    return std::nullopt;
  Resources ahead;
  for (const std::pair<const std::uint32_t, Resources>& item :
       service->second.work) {
    if (item.first <= job.priority)
      ahead.add(item.second);
  }
  std::int64_t allowed = allowed_ms(workflow, job.objective);
  std::int64_t longest_chain = 0;
  for (std::uint32_t step = 0; step < workflow.steps.size(); ++step)
    longest_chain = std::max(longest_chain, chain_ms(workflow, step));
  std::int64_t usable_ms = LATE_FACTOR * allowed - longest_chain;
  std::int64_t excess_ms =
    drain_ms(ahead, service->second.capacity) - usable_ms;
  if (excess_ms <= 0)
    return std::nullopt;
  return std::max(excess_ms, MIN_RETRY_MS);
}

} // namespace geraniumhinge::core
