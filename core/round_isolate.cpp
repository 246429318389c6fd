// Places tasks that may crash their servers alone, one at a time, so that the
// next crash shows the cause and ends no other work.

#include "core/crash.h"
#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// After this time, a crash of the server is no longer blamed on the start of
/// the run: the run's age is known only up to the delay of a report.
constexpr std::int64_t PROBATION_MS = EARLY_CRASH_MS + 500;
/// Longest time that a suspect waits for a server without other runs.
constexpr std::int64_t MAX_ISOLATION_WAIT_MS = 2'000;

/// Whether a crash soon after a start counts against the task.
bool
is_suspect(const TaskState& task)
{
  return task.early_crashes > 0 && !task.done;
}

} // namespace

/// Whether the run of a suspect began so lately that it may still crash its
/// server.
bool
SchedulingRound::on_probation(const StepKey& key,
                              const Step& step,
                              const StepState& tasks,
                              std::uint32_t index) const
{
  const TaskState& primary = step.gang ? tasks.front() : tasks[index];
  return tasks[index].run && is_suspect(primary) &&
         this->elapsed_ms({ key, index }) < PROBATION_MS;
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
          if (this->on_probation(
                key, round_workflow.definition->steps[step], tasks, index))
            this->probation_servers.insert(tasks[index].run->server.id);
        }
      }
    }
  }
}

/// Limits a step with suspects to one suspect at a time. Its other tasks wait
/// until one suspect has outlived its probation. Returns false if no task may
/// be placed now.
bool
SchedulingRound::limit_suspects(WaitingStep& waiting)
{
  const Step& step = this->step_of(waiting);
  const StepState& tasks = waiting.round_workflow.progress.open_occurrences.at(
    waiting.key.occurrence)[waiting.key.step];
  if (step.gang) {
    waiting.isolated = is_suspect(tasks.front());
    return true;
  }
  bool probation = false;
  bool outlived = false;
  std::uint32_t unblamed = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const TaskState& task = tasks[index];
    bool waits = !task.run && !task.done;
    unblamed += waits && !is_suspect(task) ? 1 : 0;
    if (this->on_probation(waiting.key, step, tasks, index))
      probation = true;
    else if (task.early_crashes > 0 && (task.run || task.done))
      outlived = true;
    else if (waits && is_suspect(task) &&
             (!waiting.only_task ||
              task.early_crashes > tasks[*waiting.only_task].early_crashes))
      waiting.only_task = index;
  }
  if (waiting.only_task && !probation) {
    waiting.isolated = true;
    waiting.request.tasks = 1;
    return true;
  }
  bool has_suspects = waiting.only_task || probation;
  waiting.only_task.reset();
  waiting.skip_suspects = true;
  waiting.request.tasks = unblamed;
  return unblamed > 0 && (!has_suspects || outlived);
}

/// Keeps other work off the servers of suspects, and a suspect off servers with
/// other work. After a while a suspect shares a server with other runs, but
/// never with another suspect.
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
