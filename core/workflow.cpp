#include "core/workflow.h"

#include <algorithm>
#include <charconv>

namespace geraniumhinge::core {

namespace {

/// Task names have four parts separated by dots.
constexpr std::size_t TASK_NAME_PARTS = 4;

OccurrenceState
new_occurrence(const Workflow& workflow)
{
  OccurrenceState occurrence;
  for (const Step& step : workflow.steps)
    occurrence.emplace_back(step.tasks);
  return occurrence;
}

bool
step_done(const StepState& step)
{
  return std::all_of(
    step.begin(), step.end(), [](const TaskState& task) { return task.done; });
}

bool
occurrence_done(const OccurrenceState& occurrence)
{
  return std::all_of(occurrence.begin(), occurrence.end(), step_done);
}

bool
dependencies_done(const Step& step, const OccurrenceState& occurrence)
{
  return std::all_of(step.dependencies.begin(),
                     step.dependencies.end(),
                     [&occurrence](std::uint32_t earlier) {
                       return earlier < occurrence.size() &&
                              step_done(occurrence[earlier]);
                     });
}

bool
needs_servers(const Step& step, const StepState& state)
{
  if (step.gang)
    return std::all_of(state.begin(), state.end(), [](const TaskState& task) {
      return !task.done && !task.run;
    });
  return std::any_of(state.begin(), state.end(), [](const TaskState& task) {
    return !task.done && !task.run;
  });
}

bool
mark_stopping(StepState& step)
{
  bool changed = false;
  for (TaskState& task : step) {
    if (!task.run || task.run->stopping)
      continue;
    task.run->stopping = true;
    changed = true;
  }
  return changed;
}

bool
all_done(const Workflow& workflow, const Progress& progress)
{
  if (progress.next_occurrence < std::max(workflow.occurrences, 1U))
    return false;
  return std::all_of(
    progress.open_occurrences.begin(),
    progress.open_occurrences.end(),
    [](const std::pair<const std::uint32_t, OccurrenceState>& item) {
      return occurrence_done(item.second);
    });
}

/// Removes occurrences that are done and have no run any more.
void
remove_finished(Progress& progress)
{
  std::erase_if(
    progress.open_occurrences,
    [](const std::pair<const std::uint32_t, OccurrenceState>& item) {
      for (const StepState& step : item.second) {
        for (const TaskState& task : step) {
          if (!task.done || task.run)
            return false;
        }
      }
      return true;
    });
}

/// Records that a task is done, drops its checkpoint and stops its runs. A gang
/// is done when one of its members is done.
void
mark_done(const Step& step, StepState& members, TaskState& task)
{
  for (TaskState& member : members)
    member.done = member.done || step.gang;
  task.done = true;
  TaskState& primary = step.gang ? members.front() : task;
  primary.checkpoint.clear();
  if (step.gang)
    mark_stopping(members);
  else if (task.run)
    task.run->stopping = true;
}

/// Counts the failure of an attempt once.
void
count_failure(TaskState& task, std::uint32_t attempt)
{
  std::erase(task.lost_attempts, attempt);
  if (attempt <= task.failed_attempt)
    return;
  task.failed_attempt = attempt;
  ++task.failures;
}

/// Keeps an attempt that counts as lost. Other members of a gang may have lost
/// the same one, or it may have failed already.
void
add_lost_attempt(TaskState& task, std::uint32_t attempt)
{
  std::vector<std::uint32_t>& lost = task.lost_attempts;
  if (task.done || attempt == task.failed_attempt ||
      std::find(lost.begin(), lost.end(), attempt) != lost.end())
    return;
  if (lost.size() == MAX_LOST_ATTEMPTS)
    lost.erase(lost.begin());
  lost.push_back(attempt);
}

bool
has_failed(const Step& step,
           const TaskState& primary,
           std::uint32_t max_failures)
{
  return !step.runs_until_cancelled && primary.failures >= max_failures &&
         !primary.done;
}

void
fail(Progress& progress)
{
  progress.outcome = Outcome::Failed;
  stop_all_runs(progress);
}

std::optional<std::uint32_t>
parse_number(std::string_view text)
{
  std::uint32_t value = 0;
  std::from_chars_result result =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size())
    return std::nullopt;
  return value;
}

} // namespace

bool
is_consistent(const Workflow& workflow, const Progress& progress)
{
  for (std::size_t index = 0; index < workflow.steps.size(); ++index) {
    for (std::uint32_t dependency : workflow.steps[index].dependencies) {
      if (dependency >= index)
        return false;
    }
  }
  for (const std::pair<const std::uint32_t, OccurrenceState>& item :
       progress.open_occurrences) {
    bool same_tasks =
      std::equal(item.second.begin(),
                 item.second.end(),
                 workflow.steps.begin(),
                 workflow.steps.end(),
                 [](const StepState& state, const Step& step) {
                   return !state.empty() && state.size() == step.tasks;
                 });
    if (!same_tasks)
      return false;
  }
  return true;
}

bool
open_due_occurrences(const Workflow& workflow,
                     Progress& progress,
                     std::int64_t unix_now_ms,
                     std::int64_t early_ms,
                     std::size_t max_open)
{
  bool changed = false;
  while (progress.outcome == Outcome::Open &&
         progress.open_occurrences.size() < max_open) {
    std::optional<std::int64_t> due = next_due_ms(workflow, progress);
    if (!due || *due - early_ms > unix_now_ms)
      break;
    progress.open_occurrences[progress.next_occurrence] =
      new_occurrence(workflow);
    ++progress.next_occurrence;
    changed = true;
  }
  return changed;
}

std::optional<std::int64_t>
next_due_ms(const Workflow& workflow, const Progress& progress)
{
  if (progress.next_occurrence >= std::max(workflow.occurrences, 1U))
    return std::nullopt;
  return workflow.first_due_ms + progress.next_occurrence * workflow.period_ms;
}

TaskState*
find_task(Progress& progress, const TaskRef& task)
{
  std::map<std::uint32_t, OccurrenceState>::iterator found =
    progress.open_occurrences.find(task.occurrence);
  if (found == progress.open_occurrences.end() ||
      task.step >= found->second.size())
    return nullptr;
  StepState& step = found->second[task.step];
  return task.index < step.size() ? &step[task.index] : nullptr;
}

TaskState&
primary_task(const Workflow& workflow, Progress& progress, const TaskRef& task)
{
  StepState& members = progress.open_occurrences[task.occurrence][task.step];
  return workflow.steps[task.step].gang ? members.front() : members[task.index];
}

std::vector<ReadyStep>
ready_steps(const Workflow& workflow, const Progress& progress)
{
  std::vector<ReadyStep> ready;
  if (progress.outcome != Outcome::Open)
    return ready;
  for (const std::pair<const std::uint32_t, OccurrenceState>& item :
       progress.open_occurrences) {
    for (std::uint32_t index = 0; index < item.second.size(); ++index) {
      const Step& step = workflow.steps[index];
      if (dependencies_done(step, item.second) &&
          needs_servers(step, item.second[index]))
        ready.push_back({ item.first, index });
    }
  }
  return ready;
}

bool
apply_run_end(const Workflow& workflow,
              Progress& progress,
              const TaskRef& task,
              std::uint32_t attempt,
              RunEndKind kind,
              const std::string& checkpoint,
              std::uint32_t max_failures)
{
  TaskState* state = find_task(progress, task);
  if (!state || !state->run || state->run->attempt != attempt)
    return false;
  const Step& step = workflow.steps[task.step];
  StepState& members = progress.open_occurrences[task.occurrence][task.step];
  TaskState& primary = primary_task(workflow, progress, task);
  state->run.reset();
  if (!checkpoint.empty() && !primary.done)
    primary.checkpoint = checkpoint;
  if (kind == RunEndKind::Done && !step.runs_until_cancelled)
    mark_done(step, members, *state);
  if (kind == RunEndKind::Failed)
    count_failure(primary, attempt);
  if (kind == RunEndKind::Lost && !step.runs_until_cancelled)
    add_lost_attempt(primary, attempt);
  if (step.gang)
    mark_stopping(members);
  if (progress.outcome == Outcome::Open) {
    if (has_failed(step, primary, max_failures))
      fail(progress);
    else if (all_done(workflow, progress))
      progress.outcome = Outcome::Completed;
  }
  remove_finished(progress);
  return true;
}

bool
apply_late_failure(const Workflow& workflow,
                   Progress& progress,
                   const TaskRef& task,
                   std::uint32_t attempt,
                   std::uint32_t max_failures)
{
  if (!find_task(progress, task) || progress.outcome != Outcome::Open)
    return false;
  const Step& step = workflow.steps[task.step];
  TaskState& primary = primary_task(workflow, progress, task);
  if (primary.done || std::erase(primary.lost_attempts, attempt) == 0)
    return false;
  ++primary.failures;
  if (has_failed(step, primary, max_failures))
    fail(progress);
  return true;
}

bool
apply_late_success(const Workflow& workflow,
                   Progress& progress,
                   const TaskRef& task,
                   std::uint32_t attempt)
{
  TaskState* state = find_task(progress, task);
  if (!state || state->done || attempt > state->last_attempt ||
      progress.outcome != Outcome::Open)
    return false;
  const Step& step = workflow.steps[task.step];
  if (step.runs_until_cancelled)
    return false;
  mark_done(
    step, progress.open_occurrences[task.occurrence][task.step], *state);
  if (all_done(workflow, progress))
    progress.outcome = Outcome::Completed;
  remove_finished(progress);
  return true;
}

bool
stop_all_runs(Progress& progress)
{
  bool changed = false;
  for (std::pair<const std::uint32_t, OccurrenceState>& item :
       progress.open_occurrences) {
    for (StepState& step : item.second)
      changed = mark_stopping(step) || changed;
  }
  return changed;
}

bool
has_runs(const Progress& progress)
{
  bool found = false;
  for_each_run(progress,
               [&found](const TaskRef&, const TaskState&) { found = true; });
  return found;
}

void
for_each_run(const Progress& progress,
             const std::function<void(const TaskRef&, const TaskState&)>& visit)
{
  for (const std::pair<const std::uint32_t, OccurrenceState>& item :
       progress.open_occurrences) {
    for (std::uint32_t step = 0; step < item.second.size(); ++step) {
      for (std::uint32_t index = 0; index < item.second[step].size(); ++index) {
        const TaskState& task = item.second[step][index];
        if (task.run)
          visit({ item.first, step, index }, task);
      }
    }
  }
}

std::string
task_name(const std::string& id, const TaskRef& task)
{
  return id + '.' + std::to_string(task.occurrence) + '.' +
         std::to_string(task.step) + '.' + std::to_string(task.index);
}

std::optional<std::pair<std::string, TaskRef>>
parse_task_name(const std::string& name)
{
  std::vector<std::string_view> parts;
  std::string_view rest = name;
  while (parts.size() < TASK_NAME_PARTS - 1) {
    std::size_t dot = rest.find('.');
    if (dot == std::string_view::npos)
      return std::nullopt;
    parts.push_back(rest.substr(0, dot));
    rest.remove_prefix(dot + 1);
  }
  std::optional<std::uint32_t> occurrence = parse_number(parts[1]);
  std::optional<std::uint32_t> step = parse_number(parts[2]);
  std::optional<std::uint32_t> index = parse_number(rest);
  if (parts[0].empty() || !occurrence || !step || !index)
    return std::nullopt;
  return std::make_pair(std::string(parts[0]),
                        TaskRef{ *occurrence, *step, *index });
}

} // namespace geraniumhinge::core
