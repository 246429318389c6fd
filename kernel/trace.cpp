#include "kernel/trace.h"

#include "kernel/clock.h"

#include <algorithm>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace geraniumhinge::kernel {

namespace {

constexpr std::size_t TRACE_ID_LENGTH = 32;
constexpr std::size_t SPAN_ID_LENGTH = 16;
constexpr std::size_t TRACE_ID_START = 3; // After "00-".
constexpr std::size_t SPAN_ID_START = TRACE_ID_START + TRACE_ID_LENGTH + 1;
constexpr std::size_t HEADER_LENGTH = SPAN_ID_START + SPAN_ID_LENGTH + 3;
constexpr int TRACE_FILE_MODE = 0644;

bool
is_valid_id(std::string_view text)
{
  bool hex = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  bool zero =
    std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
  return hex && !zero;
}

} // namespace

TraceContext
parse_traceparent(std::string_view header)
{
  if (header.size() != HEADER_LENGTH || header.substr(0, 3) != "00-" ||
      header[SPAN_ID_START - 1] != '-' ||
      header[SPAN_ID_START + SPAN_ID_LENGTH] != '-')
    return {};
  std::string_view trace_id = header.substr(TRACE_ID_START, TRACE_ID_LENGTH);
  std::string_view span_id = header.substr(SPAN_ID_START, SPAN_ID_LENGTH);
  if (!is_valid_id(trace_id) || !is_valid_id(span_id))
    return {};
  return { std::string(trace_id), std::string(span_id) };
}

std::string
format_traceparent(const TraceContext& context)
{
  if (!context.valid())
    return {};
  return fmt::format("00-{}-{}-01", context.trace_id, context.span_id);
}

Span::Span(std::string node,
           std::string_view name,
           const TraceContext& parent,
           Sink sink)
  : node(std::move(node))
  , name(name)
  , parent_id(parent.span_id)
  , sink(std::move(sink))
  , start_unix_ms(unix_ms())
  , start_us(boot_us())
{
  this->span_context.trace_id =
    parent.valid() ? parent.trace_id
                   : fmt::format("{:016x}{:016x}", random_id(), random_id());
  this->span_context.span_id = fmt::format("{:016x}", random_id());
}

Span::Span(Span&& other) noexcept
{
  *this = std::move(other);
}

Span&
Span::operator=(Span&& other) noexcept
{
  if (this == &other)
    return *this;
  this->end();
  this->node = std::move(other.node);
  this->name = std::move(other.name);
  this->parent_id = std::move(other.parent_id);
  this->span_context = std::move(other.span_context);
  this->sink = std::exchange(other.sink, nullptr);
  this->attributes = std::move(other.attributes);
  this->start_unix_ms = other.start_unix_ms;
  this->start_us = other.start_us;
  return *this;
}

Span::~Span()
{
  this->end();
}

void
Span::set_attribute(std::string_view key, std::string value)
{
  if (this->sink)
    this->attributes.emplace_back(key, std::move(value));
}

void
Span::end()
{
  Sink write = std::exchange(this->sink, nullptr);
  if (!write)
    return;
  nlohmann::json line = {
    { "trace_id", this->span_context.trace_id },
    { "span_id", this->span_context.span_id },
    { "parent_id", this->parent_id },
    { "name", this->name },
    { "node", this->node },
    { "start_unix_ms", this->start_unix_ms },
    { "duration_us", boot_us() - this->start_us },
  };
  for (const std::pair<std::string, std::string>& item : this->attributes)
    line["attributes"][item.first] = item.second;
  write(line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) +
        "\n");
}

Tracer::Tracer(std::string node, const std::string& path)
  : node(std::move(node))
{
  if (!path.empty())
    this->fd = open(
      path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, TRACE_FILE_MODE);
}

Tracer::~Tracer()
{
  if (this->fd >= 0)
    close(this->fd);
}

Span
Tracer::start(std::string_view name, const TraceContext& parent)
{
  Span::Sink sink;
  if (this->fd >= 0) {
    sink = [fd = this->fd](const std::string& line) {
      // A failed write must not fail the traced request.
      [[maybe_unused]] ssize_t written = write(fd, line.data(), line.size());
    };
  }
  return Span(this->node, name, parent, std::move(sink));
}

} // namespace geraniumhinge::kernel
