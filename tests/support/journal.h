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
  std::string event; ///< start, end, stop, lapse, checkpoint, run, run_end.
  std::string job;
  std::uint32_t generation = 0;
  std::uint32_t member = 0;
  std::string attempt;
  std::int64_t boot_ms = 0;
};

/// The time in which one task ran; `end_ms` is the last possible value while it
/// runs.
struct TaskSpan
{
  std::string server;
  std::string job;
  std::uint32_t generation = 0;
  std::uint32_t member = 0;
  std::int64_t start_ms = 0;
  std::int64_t end_ms = INT64_MAX;
  std::string end; ///< Empty while it runs.
};

/// Reads the journal of the stand-in at `address`; empty if it is unreachable.
std::vector<JournalEvent>
read_journal(const std::string& server, const std::string& address);

std::vector<TaskSpan>
task_spans(const std::vector<JournalEvent>& events);

/// How often each attempt of a short request was run; "0" is left out.
std::map<std::string, int>
run_counts(const std::vector<JournalEvent>& events);

/// Pairs of spans of one job that ran at the same time in two generations.
int
overlapping_generations(const std::vector<TaskSpan>& spans);

/// The longest time, over all generations of all jobs, in which a part of a
/// gang ran without the rest. `ended_at` ends the spans that still run.
std::int64_t
longest_partial_ms(const std::vector<TaskSpan>& spans,
                   std::size_t members,
                   std::int64_t ended_at);

} // namespace geraniumhinge::tests
