#include "kernel/log.h"

#include "kernel/clock.h"
#include "kernel/events.h"

#include <algorithm>
#include <climits>
#include <ctime>
#include <map>
#include <poll.h>

namespace geraniumhinge::kernel {

namespace {

constexpr std::int64_t MS_PER_S = 1'000;
/// Of one event: lines at once, and lines a second in the long run.
constexpr double BURST_LINES = 400;
constexpr double LINES_PER_SECOND = 100;
/// Between two lines that count what was left out.
constexpr std::int64_t REPORT_PERIOD_MS = 1'000;
constexpr unsigned char FIRST_PRINTABLE = 0x20;

std::string
utc_time(std::int64_t now_ms)
{
  std::time_t seconds = now_ms / MS_PER_S;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[sizeof "2000-01-01T00:00:00"];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  return fmt::format("{}.{:03}Z", text, now_ms % MS_PER_S);
}

bool
needs_quotes(std::string_view value)
{
  if (value.empty())
    return true;
  for (char c : value) {
    unsigned char byte = static_cast<unsigned char>(c);
    if (byte <= FIRST_PRINTABLE || c == '"' || c == '=' || c == '\\')
      return true;
  }
  return false;
}

void
append_quoted(std::string& line, std::string_view value)
{
  line += '"';
  for (char c : value) {
    unsigned char byte = static_cast<unsigned char>(c);
    if (byte < FIRST_PRINTABLE) {
      line += fmt::format("\\x{:02x}", byte);
      continue;
    }
    if (c == '"' || c == '\\')
      line += '\\';
    line += c;
  }
  line += '"';
}

} // namespace

std::string
format_event(const EventInfo& event,
             std::string_view node,
             std::string_view time,
             std::initializer_list<Field> fields)
{
  std::string line = fmt::format("{} {} {} {} node={}",
                                 time,
                                 name_of(SEVERITY_NAMES, event.severity),
                                 event.number,
                                 event.name,
                                 node);
  for (const Field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (needs_quotes(field.value))
      append_quoted(line, field.value);
    else
      line += field.value;
  }
  return line;
}

/// The budget of each event, and what was left out.
struct Log::Limits
{
  struct Budget
  {
    const EventInfo* event = nullptr;
    double lines = BURST_LINES;
    std::int64_t refilled_ms = 0;
    std::uint64_t left_out = 0;
  };

  std::map<int, Budget> budgets; ///< By the event's number.
  std::int64_t reported_ms = 0;
  bool any_left_out = false;
};

Log::Log(std::string node, Severity threshold, int descriptor)
  : node(std::move(node))
  , threshold(threshold)
  , descriptor(descriptor)
  , limits(std::make_unique<Limits>())
{
}

Log::~Log() = default;

void
Log::write(const EventInfo& event, std::initializer_list<Field> fields) const
{
  if (event.severity < this->threshold)
    return;
  std::int64_t now_ms = boot_ms();
  this->report_dropped(now_ms);
  Limits::Budget& budget = this->limits->budgets[event.number];
  if (budget.event == nullptr) {
    budget.event = &event;
    budget.refilled_ms = now_ms;
  }
  double passed_s = static_cast<double>(now_ms - budget.refilled_ms) / MS_PER_S;
  budget.lines =
    std::min(BURST_LINES, budget.lines + passed_s * LINES_PER_SECOND);
  budget.refilled_ms = now_ms;
  if (budget.lines >= 1 && this->put(event, fields)) {
    budget.lines -= 1;
    return;
  }
  ++budget.left_out;
  this->limits->any_left_out = true;
}

void
Log::report_dropped(std::int64_t now_ms) const
{
  Limits& limits = *this->limits;
  if (!limits.any_left_out || now_ms - limits.reported_ms < REPORT_PERIOD_MS)
    return;
  limits.reported_ms = now_ms;
  limits.any_left_out = false;
  for (std::pair<const int, Limits::Budget>& item : limits.budgets) {
    Limits::Budget& budget = item.second;
    if (budget.left_out == 0)
      continue;
    bool told = this->put(
      LOG_LINES_DROPPED,
      { { "event", budget.event->name }, { "lines", budget.left_out } });
    if (told)
      budget.left_out = 0;
    else
      limits.any_left_out = true;
  }
}

/// Writes a line if the reader keeps up.
bool
Log::put(const EventInfo& event, std::initializer_list<Field> fields) const
{
  pollfd ready{ this->descriptor, POLLOUT, 0 };
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    return false;
  std::string line =
    format_event(event, this->node, utc_time(unix_ms()), fields);
  // A pipe that is ready takes this much without blocking.
  if (line.size() >= PIPE_BUF)
    line.resize(PIPE_BUF - 1);
  line += '\n';
  // One call for a line, so that lines of several processes do not mix.
  return ::write(this->descriptor, line.data(), line.size()) > 0;
}

} // namespace geraniumhinge::kernel
