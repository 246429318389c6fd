#include "core/crash.h"

#include <algorithm>

namespace geraniumhinge::core {

std::vector<BlamedRun>
blamed_runs(const ServerCrash& crash)
{
  std::vector<BlamedRun> blamed;
  for (const CrashedRun& run : crash.runs) {
    if (run.ran_ms <= EARLY_CRASH_MS)
      blamed.push_back({ run, true });
  }
  if (!blamed.empty())
    return blamed;
  for (const CrashedRun& run : crash.runs)
    blamed.push_back({ run, false });
  return blamed;
}

bool
apply_crash(const Workflow& workflow,
            Progress& progress,
            const TaskRef& task,
            const BlamedRun& blamed)
{
  TaskState* state = find_task(progress, task);
  if (!state || state->done || progress.outcome != Outcome::Open ||
      blamed.run.attempt > state->last_attempt)
    return false;
  const Step& step = workflow.steps[task.step];
  if (step.runs_until_cancelled && !blamed.early)
    return false;
  TaskState& primary = primary_task(workflow, progress, task);
  if (blamed.run.attempt <= primary.crashed_attempt)
    return false;
  primary.crashed_attempt = blamed.run.attempt;
  ++primary.crashes;
  if (blamed.early)
    ++primary.early_crashes;
  if (primary.early_crashes >= MAX_EARLY_CRASHES ||
      primary.crashes >= MAX_CRASHES) {
    progress.outcome = Outcome::Failed;
    stop_all_runs(progress);
  }
  return true;
}

bool
withdraw_crash(const Workflow& workflow,
               Progress& progress,
               const TaskRef& task)
{
  if (!find_task(progress, task) || progress.outcome != Outcome::Open)
    return false;
  TaskState& primary = primary_task(workflow, progress, task);
  if (primary.crashes <= primary.early_crashes)
    return false;
  --primary.crashes;
  return true;
}

} // namespace geraniumhinge::core
