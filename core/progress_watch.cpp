#include "core/progress_watch.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Longest time between two reports that is counted in full.
constexpr std::int64_t MAX_REPORT_GAP_MS = 1'500;
/// Time without a change after which a run lacks recent progress.
constexpr std::int64_t MAX_UNCHANGED_MS = 1'500;
/// Time without a change after which a run is stalled.
constexpr std::int64_t STALLED_MS = 3'000;
/// Time without a first change after which a run is stalled. Longer, because a
/// run may need time to begin.
constexpr std::int64_t FIRST_CHANGE_LIMIT_MS = 6'000;
/// A run whose progress changes rarely may stay unchanged for this many times
/// its longest time between two changes.
constexpr std::int64_t MAX_MISSED_CHANGES = 4;
/// Restarts of a task after which stalls are ignored.
constexpr std::uint32_t MAX_RESTARTS = 2;
constexpr std::uint32_t COMPLETE_PERCENT = 100;

} // namespace

void
ProgressWatch::record_progress(const std::string& task,
                               std::uint32_t attempt,
                               std::uint32_t percent,
                               std::int64_t now_ms)
{
  TaskProgress& progress = this->tasks[task];
  if (progress.attempt != attempt) {
    std::uint32_t restarts = progress.restarts;
    progress = {};
    progress.attempt = attempt;
    progress.percent = percent;
    progress.last_seen_ms = now_ms;
    progress.restarts = restarts;
    return;
  }
  progress.unchanged_ms +=
    std::min(now_ms - progress.last_seen_ms, MAX_REPORT_GAP_MS);
  progress.last_seen_ms = now_ms;
  if (percent == progress.percent)
    return;
  progress.longest_ms = std::max(progress.longest_ms, progress.unchanged_ms);
  progress.unchanged_ms = 0;
  progress.percent = percent;
  ++progress.changes;
}

const ProgressWatch::TaskProgress*
ProgressWatch::find(const std::string& task, std::uint32_t attempt) const
{
  std::map<std::string, TaskProgress>::const_iterator found =
    this->tasks.find(task);
  bool current = found != this->tasks.end() &&
                 found->second.attempt == attempt &&
                 found->second.percent < COMPLETE_PERCENT;
  return current ? &found->second : nullptr;
}

std::uint32_t
ProgressWatch::percent(const std::string& task, std::uint32_t attempt) const
{
  std::map<std::string, TaskProgress>::const_iterator found =
    this->tasks.find(task);
  bool current = found != this->tasks.end() && found->second.attempt == attempt;
  return current ? found->second.percent : 0;
}

bool
ProgressWatch::lacks_recent_progress(const std::string& task,
                                     std::uint32_t attempt) const
{
  const TaskProgress* progress = this->find(task, attempt);
  return progress && progress->changes > 0 &&
         progress->unchanged_ms >
           std::max(MAX_UNCHANGED_MS,
                    MAX_MISSED_CHANGES * progress->longest_ms);
}

bool
ProgressWatch::stalled(const std::string& task,
                       std::uint32_t attempt,
                       std::int64_t estimate_ms) const
{
  const TaskProgress* progress = this->find(task, attempt);
  if (!progress || progress->restarts >= MAX_RESTARTS)
    return false;
  std::int64_t limit =
    progress->changes > 0
      ? std::max(STALLED_MS, MAX_MISSED_CHANGES * progress->longest_ms)
      : std::max(FIRST_CHANGE_LIMIT_MS, estimate_ms);
  return progress->unchanged_ms > limit;
}

void
ProgressWatch::record_restart(const std::string& task)
{
  ++this->tasks[task].restarts;
}

void
ProgressWatch::forget(const std::string& task)
{
  this->tasks.erase(task);
}

void
ProgressWatch::forget_workflow(const std::string& id)
{
  std::string prefix = id + '.';
  std::map<std::string, TaskProgress>::iterator progress =
    this->tasks.lower_bound(prefix);
  while (progress != this->tasks.end() && progress->first.starts_with(prefix))
    progress = this->tasks.erase(progress);
}

} // namespace geraniumhinge::core
