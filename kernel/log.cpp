#include "kernel/log.h"

#include "kernel/clock.h"

#include <cstdio>
#include <ctime>
#include <iterator>

namespace geraniumhinge::kernel {

namespace {

constexpr std::int64_t MS_PER_S = 1'000;
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

Log::Log(std::string node, Severity threshold)
  : node(std::move(node))
  , threshold(threshold)
{
}

void
Log::write(const EventInfo& event, std::initializer_list<Field> fields) const
{
  if (event.severity < this->threshold)
    return;
  std::string line =
    format_event(event, this->node, utc_time(unix_ms()), fields);
  line += '\n';
  // One call for a line, so that lines of several processes do not mix.
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

} // namespace geraniumhinge::kernel
