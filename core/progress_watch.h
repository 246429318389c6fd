#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace geraniumhinge::core {

/// Detects runs whose reported progress has stopped. Only time covered by
/// regular reports counts, so that a silent agent or a paused owner does not
/// make runs look stalled.
class ProgressWatch
{
public:
  void record_progress(const std::string& task,
                       std::uint32_t attempt,
                       std::uint32_t percent,
                       std::int64_t now_ms);

  /// Last reported progress in percent, 0 if unknown.
  std::uint32_t percent(const std::string& task, std::uint32_t attempt) const;

  /// Whether the run made progress before but has made none lately.
  bool lacks_recent_progress(const std::string& task,
                             std::uint32_t attempt) const;

  /// Whether the run has made no progress for long enough to be restarted on
  /// another server.
  bool stalled(const std::string& task,
               std::uint32_t attempt,
               std::int64_t estimate_ms) const;

  /// Records that a task was stopped because it stalled. After a few restarts
  /// the task no longer counts as stalled, since it stalls on every server.
  void record_restart(const std::string& task);

  void forget(const std::string& task);
  void forget_workflow(const std::string& id);

private:
  struct TaskProgress
  {
    std::uint32_t attempt = 0;
    std::uint32_t percent = 0;
    std::int64_t last_seen_ms = 0;
    std::int64_t unchanged_ms = 0; ///< Reported time since the last change.
    std::int64_t longest_ms = 0;   ///< Longest time between two changes.
    std::uint32_t changes = 0;     ///< Number of changes of `percent`.
    std::uint32_t restarts = 0;    ///< Kept over all attempts.
  };

  const TaskProgress* find(const std::string& task,
                           std::uint32_t attempt) const;

  std::map<std::string, TaskProgress> tasks; ///< By task name.
};

} // namespace geraniumhinge::core
