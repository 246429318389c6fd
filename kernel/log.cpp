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
/// Rate limit of each event: size and refill rate of its token bucket.
constexpr double BURST_LINES = 400;
constexpr double LINES_PER_SECOND = 100;
/// Least time between two reports of dropped lines.
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

/// The token bucket and the dropped lines of each event.
struct Log::RateLimits
{
  struct TokenBucket
  {
    const EventInfo* event = nullptr;
    double tokens = BURST_LINES;
    std::int64_t refilled_ms = 0;
    std::uint64_t dropped = 0;
  };

  std::map<int, TokenBucket> buckets; ///< Keyed by event number.
  std::int64_t reported_ms = 0;
  bool any_dropped = false;
};

Log::Log(std::string node, Severity threshold, int descriptor)
  : node(std::move(node))
  , threshold(threshold)
  , descriptor(descriptor)
  , rate_limits(std::make_unique<RateLimits>())
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
  RateLimits::TokenBucket& bucket = this->rate_limits->buckets[event.number];
  if (bucket.event == nullptr) {
    bucket.event = &event;
    bucket.refilled_ms = now_ms;
  }
  double elapsed_s =
    static_cast<double>(now_ms - bucket.refilled_ms) / MS_PER_S;
  bucket.tokens =
    std::min(BURST_LINES, bucket.tokens + elapsed_s * LINES_PER_SECOND);
  bucket.refilled_ms = now_ms;
  if (bucket.tokens >= 1 && this->write_line(event, fields)) {
    bucket.tokens -= 1;
    return;
  }
  ++bucket.dropped;
  this->rate_limits->any_dropped = true;
}

void
Log::report_dropped(std::int64_t now_ms) const
{
  RateLimits& rate_limits = *this->rate_limits;
  if (!rate_limits.any_dropped ||
      now_ms - rate_limits.reported_ms < REPORT_PERIOD_MS)
    return;
  rate_limits.reported_ms = now_ms;
  rate_limits.any_dropped = false;
  for (std::pair<const int, RateLimits::TokenBucket>& item :
       rate_limits.buckets) {
    RateLimits::TokenBucket& bucket = item.second;
    if (bucket.dropped == 0)
      continue;
    bool reported = this->write_line(
      LOG_LINES_DROPPED,
      { { "event", bucket.event->name }, { "lines", bucket.dropped } });
    if (reported)
      bucket.dropped = 0;
    else
      rate_limits.any_dropped = true;
  }
}

/// Writes a line. Returns false if the descriptor is not writable at once, so
/// that a slow reader never blocks the process.
bool
Log::write_line(const EventInfo& event,
                std::initializer_list<Field> fields) const
{
  pollfd ready{ this->descriptor, POLLOUT, 0 };
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    return false;
  std::string line =
    format_event(event, this->node, utc_time(unix_ms()), fields);
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  if (line.size() >= PIPE_BUF)
    line.resize(PIPE_BUF - 1);
  line += '\n';
  // A single call per line keeps lines of several processes apart.
  return ::write(this->descriptor, line.data(), line.size()) > 0;
}

} // namespace geraniumhinge::kernel
