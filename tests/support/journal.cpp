#include "tests/support/journal.h"

#include "tests/support/http.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

namespace geraniumhinge::tests {

namespace {

using TaskId =
  std::tuple<std::string, std::string, std::uint32_t, std::uint32_t>;

JournalEvent
parse_event(const std::string& server, const nlohmann::json& line)
{
  JournalEvent event;
  event.server = server;
  event.event = line.at("event");
  event.job = line.at("job");
  event.generation = line.at("generation");
  event.member = line.at("member");
  event.attempt = line.at("attempt");
  event.boot_ms = line.at("boot_ms");
  return event;
}

bool
is_end(const std::string& event)
{
  return event == "end" || event == "stop" || event == "lapse";
}

/// Time during which some but not all members of the gang ran. A member that
/// ended by itself counts as running: members of a gang may finish at different
/// times.
std::int64_t
partial_ms(const std::vector<TaskSpan>& gang,
           std::size_t members,
           std::int64_t ended_at)
{
  std::int64_t first_start = INT64_MAX;
  std::int64_t last_start = 0;
  std::int64_t first_loss = ended_at;
  std::int64_t last_end = 0;
  for (const TaskSpan& span : gang) {
    first_start = std::min(first_start, span.start_ms);
    last_start = std::max(last_start, span.start_ms);
    if (!span.end.empty() && span.end != "end")
      first_loss = std::min(first_loss, span.end_ms);
    last_end = std::max(last_end, std::min(span.end_ms, ended_at));
  }
  if (gang.size() < members)
    return last_end - first_start;
  std::int64_t after_loss_ms = std::max<std::int64_t>(last_end - first_loss, 0);
  return std::max(last_start - first_start, after_loss_ms);
}

} // namespace

std::vector<JournalEvent>
read_journal(const std::string& server, const std::string& address)
{
  HttpCall call;
  call.url = "http://" + address + "/journal";
  std::optional<HttpReply> reply = call_http(call);
  std::vector<JournalEvent> events;
  if (!reply)
    return events;
  for (const nlohmann::json& line : nlohmann::json::parse(reply->body))
    events.push_back(parse_event(server, line));
  return events;
}

std::vector<TaskSpan>
task_spans(const std::vector<JournalEvent>& events)
{
  std::vector<TaskSpan> spans;
  std::map<TaskId, std::size_t> open_spans;
  for (const JournalEvent& event : events) {
    TaskId id{ event.server, event.job, event.generation, event.member };
    if (event.event == "start") {
      open_spans[id] = spans.size();
      TaskSpan span;
      span.server = event.server;
      span.job = event.job;
      span.generation = event.generation;
      span.member = event.member;
      span.start_ms = event.boot_ms;
      spans.push_back(span);
    }
    if (is_end(event.event) && open_spans.count(id) != 0) {
      spans[open_spans[id]].end_ms = event.boot_ms;
      spans[open_spans[id]].end = event.event;
    }
  }
  return spans;
}

std::map<std::string, int>
run_counts(const std::vector<JournalEvent>& events)
{
  std::map<std::string, int> counts;
  for (const JournalEvent& event : events) {
    if (event.event == "run" && event.attempt != "0")
      counts[event.attempt]++;
  }
  return counts;
}

int
overlapping_generations(const std::vector<TaskSpan>& spans)
{
  int overlaps = 0;
  for (std::size_t i = 0; i < spans.size(); i++) {
    for (std::size_t j = i + 1; j < spans.size(); j++) {
      bool other_generation = spans[i].job == spans[j].job &&
                              spans[i].generation != spans[j].generation;
      bool overlaps_in_time = spans[i].start_ms < spans[j].end_ms &&
                              spans[j].start_ms < spans[i].end_ms;
      overlaps += other_generation && overlaps_in_time ? 1 : 0;
    }
  }
  return overlaps;
}

std::int64_t
longest_partial_ms(const std::vector<TaskSpan>& spans,
                   std::size_t members,
                   std::int64_t ended_at)
{
  std::map<std::pair<std::string, std::uint32_t>, std::vector<TaskSpan>> gangs;
  for (const TaskSpan& span : spans)
    gangs[{ span.job, span.generation }].push_back(span);
  std::int64_t longest = 0;
  for (const auto& item : gangs)
    longest = std::max(longest, partial_ms(item.second, members, ended_at));
  return longest;
}

} // namespace geraniumhinge::tests
