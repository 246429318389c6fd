// Places tasks that may crash their servers alone, one at a time, so that the
// next crash shows the cause and ends no other work.

#include "core/crash.h"
#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// From the placement of a suspect until it has certainly run for longer than
/// `EARLY_CRASH_MS`, and a crash would have been reported.
constexpr std::int64_t PROBATION_MS = EARLY_CRASH_MS + 700;
/// Longest time that a suspect waits for a server without other runs.
constexpr std::int64_t MAX_ISOLATION_WAIT_MS = 2'000;

/// Whether an attempt of the task directly follows one that crashed its server
/// soon after its start.
bool
is_suspect(const TaskState& primary, std::uint32_t attempt)
{
  return primary.early_crashes > 0 && attempt == primary.crashed_attempt + 1;
}

} // namespace

SchedulingRound::Suspicion
SchedulingRound::suspicion(const StepKey& key,
                           const Step& step,
                           const StepState& tasks,
                           std::uint32_t index) const
{
  const TaskState& task = tasks[index];
  const TaskState& primary = step.gang ? tasks.front() : task;
  if (primary.early_crashes == 0)
    return Suspicion::None;
  if (task.done)
    return Suspicion::Outlived;
  if (!task.run)
    return is_suspect(primary, task.last_attempt + 1) ? Suspicion::Waiting
                                                      : Suspicion::Outlived;
  bool young = this->elapsed_ms({ key, index }) < PROBATION_MS;
  return young && is_suspect(primary, task.run->attempt)
           ? Suspicion::OnProbation
           : Suspicion::Outlived;
}

/// Finds the servers of suspects on probation, which get no other work.
void
SchedulingRound::find_probation_servers()
{
  for (const RoundWorkflow& round_workflow : this->workflows) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         round_workflow.progress.open_occurrences) {
      for (std::uint32_t step = 0; step < item.second.size(); ++step) {
        const StepState& tasks = item.second[step];
        StepKey key{ round_workflow.definition->id, item.first, step };
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
          if (this->suspicion(
                key, round_workflow.definition->steps[step], tasks, index) ==
              Suspicion::OnProbation)
            this->probation_servers.insert(tasks[index].run->server.id);
        }
      }
    }
  }
}

/// Limits a step with suspects to one of them, the one with the most crashes.
/// Its other tasks wait until a suspect has outlived its probation, which
/// suggests that the step's tasks don't all crash their servers. Returns false
/// if no task may be placed now.
bool
SchedulingRound::limit_suspects(WaitingStep& waiting)
{
  const Step& step = this->step_of(waiting);
  const StepState& tasks = waiting.round_workflow.progress.open_occurrences.at(
    waiting.key.occurrence)[waiting.key.step];
  std::optional<std::uint32_t> worst;
  bool on_probation = false;
  bool outlived = false;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    Suspicion suspicion = this->suspicion(waiting.key, step, tasks, index);
    on_probation = on_probation || suspicion == Suspicion::OnProbation;
    outlived = outlived || suspicion == Suspicion::Outlived;
    if (suspicion == Suspicion::Waiting &&
        (!worst || tasks[index].early_crashes > tasks[*worst].early_crashes))
      worst = index;
  }
  waiting.isolated = worst.has_value();
  if (step.gang || outlived)
    return true;
  if (worst && !on_probation) {
    waiting.only_task = worst;
    waiting.request.tasks = 1;
  }
  return !on_probation;
}

/// Keeps other work off the servers of suspects on probation, and suspects off
/// servers with other work. After a while suspects share servers with other
/// runs.
void
SchedulingRound::reserve_for_suspects(WaitingStep& waiting) const
{
  AssignRequest& request = waiting.request;
  request.reserved.insert(this->probation_servers.begin(),
                          this->probation_servers.end());
  if (!this->must_isolate(waiting))
    return;
  for (const std::pair<const std::string, Resources>& item : this->pool.free) {
    if (item.second != this->pool.servers.at(item.first).capacity)
      request.reserved.insert(item.first);
  }
}

bool
SchedulingRound::must_isolate(const WaitingStep& waiting) const
{
  return waiting.isolated && waiting.waited_ms < MAX_ISOLATION_WAIT_MS;
}

} // namespace geraniumhinge::core
