#include "entry/explain.h"

#include <algorithm>
#include <fmt/format.h>
#include <regex>

namespace geraniumhinge::entry {

namespace {

/// `<time> <severity> <number> <name> node=<node> <fields>`
const std::regex&
line_pattern()
{
  static const std::regex pattern(
    R"((\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z) (\w+) \d+ (\w+) node=(\S+)(.*))");
  return pattern;
}

std::string
field_value(const LogLine& line, const std::string& name)
{
  std::size_t at = line.fields.find(' ' + name + '=');
  if (at == std::string::npos)
    return {};
  at += name.size() + 2;
  return line.fields.substr(at, line.fields.find(' ', at) - at);
}

std::string
make_summary(const std::string& job, const std::vector<LogLine>& lines)
{
  std::string submitted = "no submission found";
  std::string outcome = "no outcome found";
  std::size_t starts = 0;
  std::size_t lost = 0;
  std::size_t stopped = 0;
  std::string held_by;
  for (const LogLine& line : lines) {
    if (line.event == "call_answered" &&
        field_value(line, "operation") == "submit")
      submitted = fmt::format(
        "submission {} at {}", field_value(line, "result"), line.time);
    else if (line.event == "workflow_ended")
      outcome =
        fmt::format("{} at {}", field_value(line, "outcome"), line.time);
    else if (line.event == "step_held")
      held_by = field_value(line, "zone");
    else if (line.event == "run_lost")
      ++lost;
    else if (line.event == "step_preempted" &&
             field_value(line, "victim") == job)
      ++stopped;
    if (line.event == "step_placed")
      ++starts;
    if (line.event == "step_placed" || line.event == "workflow_ended")
      held_by.clear();
  }
  std::string waits =
    held_by.empty()
      ? std::string()
      : fmt::format("; waits, fits in the evacuated zone {}", held_by);
  return fmt::format("{}: {}; {}; placed {} times, {} runs lost, preempted {} "
                     "times{}\n",
                     job,
                     submitted,
                     outcome,
                     starts,
                     lost,
                     stopped,
                     waits);
}

} // namespace

std::optional<LogLine>
parse_log_line(std::string_view text)
{
  std::match_results<std::string_view::const_iterator> match;
  if (!std::regex_search(text.begin(), text.end(), match, line_pattern()))
    return std::nullopt;
  return LogLine{ match[1].str(),
                  match[2].str(),
                  match[3].str(),
                  match[4].str(),
                  match[5].str() };
}

bool
names_job(const LogLine& line, const std::string& job)
{
  std::string task = field_value(line, "task");
  return field_value(line, "job") == job ||
         field_value(line, "victim") == job || task.starts_with(job + '.');
}

std::string
explain(const std::string& job, std::vector<LogLine> lines)
{
  std::erase_if(lines,
                [&job](const LogLine& line) { return !names_job(line, job); });
  std::stable_sort(
    lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) {
      return left.time < right.time;
    });
  std::string text;
  for (const LogLine& line : lines)
    text += fmt::format(
      "{} {} {}{}\n", line.time, line.node, line.event, line.fields);
  return text + make_summary(job, lines);
}

} // namespace geraniumhinge::entry
