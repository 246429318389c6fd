#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace geraniumhinge::core {

/// Watches the reported progress of runs, and tells those that stand still.
/// Only time between reports counts, so that a silent agent or a paused owner
/// makes no run look stalled.
class ProgressWatch
{
public:
  void record_progress(const std::string& task,
                       std::uint32_t attempt,
                       std::uint32_t percent,
                       std::int64_t now_ms);

  /// The last reported percentage of the work, 0 if unknown.
  std::uint32_t percent(const std::string& task, std::uint32_t attempt) const;

  /// Whether the run moved before and has now stood still for a while.
  bool lacks_recent_progress(const std::string& task,
                             std::uint32_t attempt) const;

  /// Whether it has stood still for so long that it should start elsewhere.
  bool stalled(const std::string& task,
               std::uint32_t attempt,
               std::int64_t estimate_ms) const;

  /// Records that a task was stopped because it stalled. A task that stalls
  /// wherever it runs is left alone after some of these.
  void record_restart(const std::string& task);

  void forget(const std::string& task);
  void forget_workflow(const std::string& id);

private:
  struct Track
  {
    std::uint32_t attempt = 0;
    std::uint32_t percent = 0;
    std::int64_t last_seen_ms = 0;
    std::int64_t unchanged_ms = 0; ///< Reported time since the last change.
    std::int64_t longest_ms = 0;   ///< Longest time between two changes.
    std::uint32_t changes = 0;
    std::uint32_t restarts = 0;
  };

  const Track* find(const std::string& task, std::uint32_t attempt) const;

  std::map<std::string, Track> tracks;
};

} // namespace geraniumhinge::core
