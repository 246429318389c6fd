#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumhinge::tests {

/// One line of the journal of a backend server's stand-in.
struct JournalEvent
{
  std::string server;
  /// start, end, stop, lapse (the lease expired), checkpoint, run or run_end.
  std::string event;
  std::string job;
  std::uint32_t generation = 0;
  std::uint32_t member = 0;
  std::string attempt;
  std::int64_t boot_ms = 0;
};

/// Time during which one task ran, in boot time. `end_ms` is INT64_MAX while
/// the task runs.
struct TaskSpan
{
  std::string server;
  std::string job;
  std::uint32_t generation = 0;
  std::uint32_t member = 0;
  std::int64_t start_ms = 0;
  std::int64_t end_ms = INT64_MAX;
  std::string end; ///< Event that ended the task; empty while it runs.
};

/// Reads the journal of the stand-in at `address`; empty if the stand-in does
/// not respond.
std::vector<JournalEvent>
read_journal(const std::string& server, const std::string& address);

/// Matches the start and end events of each task.
std::vector<TaskSpan>
task_spans(const std::vector<JournalEvent>& events);

/// Number of runs by attempt of a short request. Attempt "0" is not counted.
std::map<std::string, int>
run_counts(const std::vector<JournalEvent>& events);

/// Number of pairs of spans of one job that overlap in time but belong to
/// different generations.
int
overlapping_generations(const std::vector<TaskSpan>& spans);

/// Longest time, over all generations of all jobs, during which some but not
/// all members of a gang ran. Spans that still run end at `ended_at`.
std::int64_t
longest_partial_ms(const std::vector<TaskSpan>& spans,
                   std::size_t members,
                   std::int64_t ended_at);

} // namespace geraniumhinge::tests
