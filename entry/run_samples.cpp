#include "entry/run_samples.h"

#include "entry/workflow_index.h"

#include <optional>
#include <utility>

namespace geraniumhinge::entry {

namespace {

/// Below this progress, a projection is too inexact.
constexpr std::uint32_t MIN_PERCENT = 30;
constexpr std::uint32_t COMPLETE_PERCENT = 100;
/// Progress is reported with a delay of up to 0.7 s. Before the end of a run,
/// it is projected only after a time in which this matters little.
constexpr std::int64_t MIN_ELAPSED_MS = 1'500;
/// Shorter runs are not compared, because their starts take as long.
constexpr std::int64_t MIN_RUN_MS = 300;

/// The state of a task; null if its occurrence is not open.
const core::TaskState*
find_task(const core::RoundWorkflow& round_workflow, const core::TaskRef& task)
{
  const std::map<std::uint32_t, core::OccurrenceState>& open =
    round_workflow.progress.open_occurrences;
  std::map<std::uint32_t, core::OccurrenceState>::const_iterator found =
    open.find(task.occurrence);
  bool exists = found != open.end() && task.step < found->second.size() &&
                task.index < found->second[task.step].size();
  return exists ? &found->second[task.step][task.index] : nullptr;
}

struct LocatedTask
{
  const core::RoundWorkflow& round_workflow;
  core::TaskRef ref;
};

/// The task of this name; nothing if its workflow is not known.
std::optional<LocatedTask>
locate(const WorkflowIndex& by_id, const std::string& name)
{
  std::optional<std::pair<std::string, core::TaskRef>> task =
    core::parse_task_name(name);
  WorkflowIndex::const_iterator found =
    task ? by_id.find(task->first) : by_id.end();
  if (found == by_id.end())
    return std::nullopt;
  return LocatedTask{ *found->second, task->second };
}

} // namespace

std::string
kind_of(const core::Workflow& workflow, std::uint32_t step)
{
  return workflow.queue + '/' + workflow.steps[step].image + '/' +
         std::to_string(step);
}

core::ExpectedTimes
expected_times(const core::RunTimes& run_times, const core::Workflow& workflow)
{
  core::ExpectedTimes expected;
  if (!run_times.corrects_times())
    return expected;
  expected.reserve(workflow.steps.size());
  for (std::uint32_t step = 0; step < workflow.steps.size(); ++step)
    expected.push_back(run_times.expected_ms(kind_of(workflow, step),
                                             workflow.steps[step].estimate_ms));
  return expected;
}

RunSamples::RunSamples(core::RunTimes& run_times,
                       const core::StepHistory& history,
                       const ServerTable& servers)
  : run_times(run_times)
  , history(history)
  , servers(servers)
{
}

void
RunSamples::reset()
{
  this->points.clear();
  this->changed.clear();
  this->ends.clear();
}

void
RunSamples::record_report(const AgentView& agent, std::int64_t now_ms)
{
  if (agent.report.answering())
    this->record_progress(agent, now_ms);
  this->record_ends(agent, now_ms);
}

void
RunSamples::record_progress(const AgentView& agent, std::int64_t now_ms)
{
  for (const v1::RunReport& run : agent.report.running()) {
    if (run.percent() < MIN_PERCENT || run.percent() >= COMPLETE_PERCENT)
      continue;
    Point& point = this->points[run.task()];
    // A repeated percentage may be an old one.
    if (point.attempt == run.attempt() &&
        (point.used || point.percent == run.percent()))
      continue;
    point = { run.attempt(), run.percent(), now_ms, agent.node, false };
    this->changed.insert(run.task());
  }
}

/// Ends are repeated until they are stored, which may take long: the first
/// report of an end shows its time.
void
RunSamples::record_ends(const AgentView& agent, std::int64_t now_ms)
{
  for (const v1::EndReport& end : agent.report.ended()) {
    if (end.kind() == static_cast<std::uint32_t>(core::RunEndKind::Done))
      this->ends.try_emplace(end.task(),
                             DoneRun{ end.attempt(), agent.node, now_ms });
  }
}

void
RunSamples::record_run_times(std::vector<core::RoundWorkflow>& workflows,
                             std::int64_t now_ms)
{
  WorkflowIndex by_id = index_by_id(workflows);
  for (const std::string& name : std::exchange(this->changed, {})) {
    std::optional<LocatedTask> task = locate(by_id, name);
    // Reports may name any task; points are kept for known workflows only.
    if (!task)
      this->points.erase(name);
    else
      this->record_step(task->round_workflow, task->ref, nullptr, now_ms);
  }
  for (const std::pair<const std::string, DoneRun>& end :
       std::exchange(this->ends, {})) {
    std::optional<LocatedTask> task = locate(by_id, end.first);
    if (task)
      this->record_step(task->round_workflow, task->ref, &end.second, now_ms);
  }
}

/// Records the run times of a single task, or of all members of a gang, at the
/// progress of a task or its end (`done`).
void
RunSamples::record_step(const core::RoundWorkflow& round_workflow,
                        const core::TaskRef& task,
                        const DoneRun* done,
                        std::int64_t now_ms)
{
  const core::TaskState* state = find_task(round_workflow, task);
  if (!state || !state->run)
    return;
  const core::Run& run = *state->run;
  if ((done && (run.attempt != done->attempt || run.node != done->node)) ||
      this->is_used(round_workflow, task, run.attempt) ||
      !this->may_compare(round_workflow, task))
    return;
  if (round_workflow.definition->steps[task.step].gang)
    this->record_gang(round_workflow, task, done, now_ms);
  else
    this->record_task(round_workflow, task, done, now_ms);
}

/// Members of a gang end together, so that only their progress shows how fast
/// each of them was.
void
RunSamples::record_gang(const core::RoundWorkflow& round_workflow,
                        const core::TaskRef& task,
                        const DoneRun* done,
                        std::int64_t now_ms)
{
  const core::StepState& members =
    round_workflow.progress.open_occurrences.at(task.occurrence)[task.step];
  std::vector<core::RunSample> run_samples;
  for (std::uint32_t index = 0; index < members.size(); ++index) {
    core::TaskRef member{ task.occurrence, task.step, index };
    std::int64_t run_ms =
      this->projected_ms(round_workflow, member, done != nullptr);
    if (run_ms > 0)
      run_samples.push_back({ members[index].run->node, run_ms });
    else if (!done)
      return;
  }
  std::uint32_t attempt = members[task.index].run->attempt;
  for (std::uint32_t index = 0; index < members.size(); ++index)
    this->mark_used(
      round_workflow, { task.occurrence, task.step, index }, attempt);
  this->record(round_workflow, task, run_samples, now_ms);
}

void
RunSamples::record_task(const core::RoundWorkflow& round_workflow,
                        const core::TaskRef& task,
                        const DoneRun* done,
                        std::int64_t now_ms)
{
  std::int64_t run_ms =
    done ? done->seen_ms - this->history.placed_ms.at(
                             { step_key(round_workflow, task), task.index })
         : this->projected_ms(round_workflow, task, false);
  if (run_ms < MIN_RUN_MS)
    return;
  const core::Run& run = *find_task(round_workflow, task)->run;
  this->mark_used(round_workflow, task, run.attempt);
  this->record(round_workflow, task, { { run.node, run_ms } }, now_ms);
}

void
RunSamples::record(const core::RoundWorkflow& round_workflow,
                   const core::TaskRef& task,
                   const std::vector<core::RunSample>& run_samples,
                   std::int64_t now_ms)
{
  const core::Workflow& workflow = *round_workflow.definition;
  this->run_times.record(step_key(round_workflow, task),
                         { kind_of(workflow, task.step),
                           workflow.steps[task.step].estimate_ms,
                           workflow.steps[task.step].tasks },
                         run_samples,
                         now_ms);
}

/// Whether the run time of this attempt shows the speed of its server. It does
/// not if it was paced down, began from a checkpoint, ran outside the rack of
/// its data, or was placed by another owner at an unknown time.
bool
RunSamples::may_compare(const core::RoundWorkflow& round_workflow,
                        const core::TaskRef& task) const
{
  const core::Step& step = round_workflow.definition->steps[task.step];
  const core::StepState& tasks =
    round_workflow.progress.open_occurrences.at(task.occurrence)[task.step];
  const core::TaskState& primary =
    step.gang ? tasks.front() : tasks[task.index];
  return !step.best_effort && !step.runs_until_cancelled &&
         primary.checkpoint.empty() && !tasks[task.index].run->stopping &&
         this->history.placed_ms.contains(
           { step_key(round_workflow, task), task.index }) &&
         this->runs_in_data_rack(step, tasks);
}

bool
RunSamples::runs_in_data_rack(const core::Step& step,
                              const core::StepState& tasks) const
{
  if (!step.same_rack && step.rack.empty())
    return true;
  std::string rack = step.rack;
  for (const core::TaskState& task : tasks) {
    if (!task.run)
      continue;
    std::map<std::string, AgentView>::const_iterator agent =
      this->servers.all().find(task.run->node);
    if (agent == this->servers.all().end())
      continue;
    if (rack.empty())
      rack = agent->second.report.rack();
    if (agent->second.report.rack() != rack)
      return false;
  }
  return true;
}

std::int64_t
RunSamples::projected_ms(const core::RoundWorkflow& round_workflow,
                         const core::TaskRef& task,
                         bool at_end) const
{
  std::map<std::string, Point>::const_iterator point =
    this->points.find(core::task_name(round_workflow.definition->id, task));
  std::map<core::TaskKey, std::int64_t>::const_iterator placed =
    this->history.placed_ms.find(
      { step_key(round_workflow, task), task.index });
  const core::TaskState* state = find_task(round_workflow, task);
  if (point == this->points.end() || point->second.used ||
      placed == this->history.placed_ms.end() || !state || !state->run ||
      state->run->attempt != point->second.attempt ||
      state->run->node != point->second.node)
    return 0;
  std::int64_t elapsed_ms = point->second.seen_ms - placed->second;
  if (elapsed_ms < (at_end ? MIN_RUN_MS : MIN_ELAPSED_MS))
    return 0;
  return elapsed_ms * COMPLETE_PERCENT / point->second.percent;
}

void
RunSamples::mark_used(const core::RoundWorkflow& round_workflow,
                      const core::TaskRef& task,
                      std::uint32_t attempt)
{
  Point& point =
    this->points[core::task_name(round_workflow.definition->id, task)];
  point.attempt = attempt;
  point.used = true;
}

bool
RunSamples::is_used(const core::RoundWorkflow& round_workflow,
                    const core::TaskRef& task,
                    std::uint32_t attempt) const
{
  std::map<std::string, Point>::const_iterator point =
    this->points.find(core::task_name(round_workflow.definition->id, task));
  return point != this->points.end() && point->second.used &&
         point->second.attempt == attempt;
}

void
RunSamples::forget(const std::string& workflow)
{
  // Task names begin with the workflow's identifier and a dot.
  std::string prefix = workflow + '.';
  std::map<std::string, Point>::iterator point =
    this->points.lower_bound(prefix);
  while (point != this->points.end() && point->first.starts_with(prefix))
    point = this->points.erase(point);
  this->run_times.forget(workflow);
}

} // namespace geraniumhinge::entry
