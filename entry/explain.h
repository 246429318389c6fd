#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumhinge::entry {

/// A line of a process's log.
struct LogLine
{
  std::string time; ///< UTC, in a format whose text order is the time order.
  std::string severity;
  std::string event;
  std::string node;
  std::string fields; ///< The text after the node, unchanged.
};

/// Parses a log line, skipping any text that a collector has put before the
/// time. Empty if the line is not one of this system's.
std::optional<LogLine>
parse_log_line(std::string_view text);

/// Whether the line names the job or one of its tasks. A preemption names its
/// cause and its victim.
bool
names_job(const LogLine& line, const std::string& job);

/// Returns the lines that name a job in order of time, and a summary of the
/// submission and the outcome.
std::string
explain(const std::string& job, std::vector<LogLine> lines);

} // namespace geraniumhinge::entry
