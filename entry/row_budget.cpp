#include "entry/row_budget.h"

#include "entry/work_rows.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

/// A task without a run: its counters and a checkpoint.
constexpr std::size_t TASK_BYTES = 60;
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
  return task_bytes < max_row_bytes ? (max_row_bytes - task_bytes) / RUN_BYTES
                                    : 0;
}

} // namespace geraniumhinge::entry
