#pragma once

#include "kernel/event.h"

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>
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

/// Writes events to standard output, one line each:
/// `<time> <severity> <number> <name> node=<node> key=value ...`.
/// Values with spaces, quotes, equal signs or control characters are quoted.
class Log
{
public:
  Log(std::string node, Severity threshold);

  void write(const EventInfo& event,
             std::initializer_list<Field> fields = {}) const;

private:
  std::string node;
  Severity threshold;
};

/// Formats one log line without its line end.
std::string
format_event(const EventInfo& event,
             std::string_view node,
             std::string_view time,
             std::initializer_list<Field> fields);

} // namespace geraniumhinge::kernel
