#pragma once

#include "kernel/event.h"

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace geraniumhinge::kernel {

/// A key and its value in a log line.
struct Field
{
  std::string_view key;
  std::string value;

  Field(std::string_view key, std::string value)
    : key(key)
    , value(std::move(value))
  {
  }
  template<typename Value>
  Field(std::string_view key, const Value& value)
    : key(key)
    , value(fmt::format("{}", value))
  {
  }
};

/// Writes each event as one line to a file descriptor:
/// `<time> <severity> <number> <name> node=<node> key=value ...`.
/// Values with spaces, quotes, equal signs or control characters are quoted.
/// Lines are dropped if the event exceeds its rate limit or the reader of the
/// descriptor does not keep up; a later line reports how many. Writing never
/// blocks.
class Log
{
public:
  Log(std::string node, Severity threshold, int descriptor = STDOUT_FILENO);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void write(const EventInfo& event,
             std::initializer_list<Field> fields = {}) const;

private:
  struct RateLimits;

  void report_dropped(std::int64_t now_ms) const;
  bool write_line(const EventInfo& event,
                  std::initializer_list<Field> fields) const;

  std::string node;
  Severity threshold;
  int descriptor;
  std::unique_ptr<RateLimits> rate_limits;
};

/// Formats one log line, without a newline at the end.
std::string
format_event(const EventInfo& event,
             std::string_view node,
             std::string_view time,
             std::initializer_list<Field> fields);

} // namespace geraniumhinge::kernel
