#include "entry/row_budget.h"

#include "entry/work_rows.h"

#include <algorithm>
#include <vector>

namespace geraniumhinge::entry {

namespace {

/// A task without a run: its counters and a checkpoint of the usual length.
constexpr std::size_t TASK_BYTES = 60;
constexpr std::size_t USUAL_CHECKPOINT_BYTES = 16;
/// Added by a run: the names of its server and node, and a ticket.
constexpr std::size_t RUN_BYTES = 128;
/// Open occurrences may use this part of a row, so that most of it stays free
/// for runs.
constexpr std::size_t OCCURRENCES_DIVISOR = 4;

std::size_t
count_tasks(const core::Workflow& workflow)
{
  std::size_t tasks = 0;
  for (const core::Step& step : workflow.steps)
    tasks += step.tasks;
  return tasks;
}

/// Length of a checkpoint beyond what TASK_BYTES covers.
std::size_t
excess_bytes(const core::TaskState& task)
{
  return task.checkpoint.size() -
         std::min(task.checkpoint.size(), USUAL_CHECKPOINT_BYTES);
}

/// Drops the longest checkpoints until `bytes` are saved. Returns their number.
std::size_t
drop_checkpoints(core::Progress& progress, std::size_t bytes)
{
  std::vector<core::TaskState*> tasks;
  for (std::pair<const std::uint32_t, core::OccurrenceState>& occurrence :
       progress.open_occurrences) {
    for (core::StepState& step : occurrence.second) {
      for (core::TaskState& task : step) {
        if (!task.checkpoint.empty())
          tasks.push_back(&task);
      }
    }
  }
  std::stable_sort(
    tasks.begin(),
    tasks.end(),
    [](const core::TaskState* left, const core::TaskState* right) {
      return left->checkpoint.size() > right->checkpoint.size();
    });
  std::size_t saved = 0;
  std::size_t dropped = 0;
  for (core::TaskState* task : tasks) {
    if (saved >= bytes)
      break;
    saved += task->checkpoint.size();
    task->checkpoint.clear();
    ++dropped;
  }
  return dropped;
}

/// Lower bound of the length of a run in its row.
std::size_t
run_bytes(const core::Run& run)
{
  return run.server.id.size() + run.node.size() + run.ticket.size();
}

bool
is_stored(const core::TaskRef& ref,
          const core::Run& run,
          core::Progress& stored)
{
  const core::TaskState* task = core::find_task(stored, ref);
  return task && task->run && task->run->attempt == run.attempt;
}

/// Takes the last new placements back until `bytes` are saved. Returns the
/// number of runs.
std::size_t
drop_placements(const core::Workflow& workflow,
                core::Progress& progress,
                core::Progress stored,
                std::size_t bytes)
{
  std::vector<core::TaskRef> placed;
  core::for_each_run(
    progress, [&](const core::TaskRef& ref, const core::TaskState& task) {
      if (!is_stored(ref, *task.run, stored))
        placed.push_back(ref);
    });
  std::size_t saved = 0;
  std::size_t dropped = 0;
  auto drop = [&](core::TaskState& task) {
    if (!task.run)
      return;
    saved += run_bytes(*task.run);
    task.run.reset();
    ++dropped;
  };
  for (; !placed.empty() && saved < bytes; placed.pop_back()) {
    const core::TaskRef& last = placed.back();
    core::StepState& members =
      progress.open_occurrences.at(last.occurrence)[last.step];
    if (workflow.steps[last.step].gang)
      std::for_each(members.begin(), members.end(), drop);
    else
      drop(members[last.index]);
  }
  return dropped;
}

/// Tasks of the largest gang, 1 if there is none.
std::size_t
largest_gang(const core::Workflow& workflow)
{
  std::size_t largest = 1;
  for (const core::Step& step : workflow.steps) {
    if (step.gang)
      largest = std::max<std::size_t>(largest, step.tasks);
  }
  return largest;
}

} // namespace

bool
fits_rows(const core::Workflow& workflow, std::size_t max_row_bytes)
{
  std::size_t state_bytes =
    count_tasks(workflow) * TASK_BYTES + largest_gang(workflow) * RUN_BYTES;
  return state_bytes <= max_row_bytes &&
         encode_workflow(workflow).size() <= max_row_bytes;
}

std::size_t
max_open_occurrences(const core::Workflow& workflow, std::size_t max_row_bytes)
{
  std::size_t occurrence_bytes =
    std::max<std::size_t>(count_tasks(workflow), 1) * TASK_BYTES;
  return std::max<std::size_t>(
    max_row_bytes / OCCURRENCES_DIVISOR / occurrence_bytes, 1);
}

std::size_t
max_runs(const core::Workflow& workflow,
         const core::Progress& progress,
         std::size_t max_row_bytes)
{
  std::size_t task_bytes =
    progress.open_occurrences.size() * count_tasks(workflow) * TASK_BYTES;
  std::size_t longest = 0;
  for (const std::pair<const std::uint32_t, core::OccurrenceState>& occurrence :
       progress.open_occurrences) {
    for (const core::StepState& step : occurrence.second) {
      for (const core::TaskState& task : step) {
        task_bytes += excess_bytes(task);
        longest = std::max(longest, excess_bytes(task));
      }
    }
  }
  // Each run may leave such a checkpoint. Longer ones are dropped if the row
  // gets too long, rather than that hardly anything runs.
  std::size_t run_and_checkpoint = RUN_BYTES + std::min(longest, RUN_BYTES);
  std::size_t runs = task_bytes < max_row_bytes
                       ? (max_row_bytes - task_bytes) / run_and_checkpoint
                       : 0;
  return std::max(runs, largest_gang(workflow));
}

RowReduction
reduce_to_row(const core::Workflow& workflow,
              core::Progress& progress,
              const core::Progress& stored,
              std::size_t max_row_bytes)
{
  RowReduction reduction;
  std::size_t bytes = encode_progress(progress).size();
  if (bytes <= max_row_bytes)
    return reduction;
  reduction.checkpoints = drop_checkpoints(progress, bytes - max_row_bytes);
  bytes = encode_progress(progress).size();
  if (bytes > max_row_bytes)
    reduction.placements =
      drop_placements(workflow, progress, stored, bytes - max_row_bytes);
  return reduction;
}

} // namespace geraniumhinge::entry
