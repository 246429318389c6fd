#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumhinge::entry {

/// A line of a process's log.
struct LogLine
{
  std::string time; ///< UTC, sorts as text.
  std::string severity;
  std::string event;
  std::string node;
  std::string fields; ///< As written, without the node.
};

/// Reads a log line, whatever a collector has put before its time. Nothing if
/// it is not one of ours.
std::optional<LogLine>
parse_log_line(std::string_view text);

/// Whether the line names the job: by itself, by one of its tasks, or as the
/// victim or the cause of a preemption.
bool
concerns(const LogLine& line, const std::string& job);

/// The lines that concern a job in order of time, and a summary of its
/// submission and outcome.
std::string
explain(const std::string& job, std::vector<LogLine> lines);

} // namespace geraniumhinge::entry
