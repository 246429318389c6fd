#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumhinge::kernel {

/// W3C trace context: identifies a trace and the span that is the parent of new
/// spans.
struct TraceContext
{
  std::string trace_id; ///< 32 lower-case hex digits; empty without a trace.
  std::string span_id;  ///< 16 lower-case hex digits.

  bool valid() const { return !this->trace_id.empty(); }
};

/// Parses the value of a `traceparent` header. The result is not valid() if the
/// value is malformed.
TraceContext
parse_traceparent(std::string_view header);

/// Formats the value of a `traceparent` header; empty if `context` is not
/// valid().
std::string
format_traceparent(const TraceContext& context);

/// One operation of a trace. A span ends when `end` is called or the span is
/// destroyed, and is then passed to `sink` as one JSON line.
class Span
{
public:
  using Sink = std::function<void(const std::string& line)>;

  Span() = default;
  Span(std::string node,
       std::string_view name,
       const TraceContext& parent,
       Sink sink);
  Span(Span&& other) noexcept;
  Span& operator=(Span&& other) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  ~Span();

  void set_attribute(std::string_view key, std::string value);
  void end();
  const TraceContext& context() const { return this->span_context; }
  /// The `traceparent` header for requests made within this span.
  std::string traceparent() const
  {
    return format_traceparent(this->span_context);
  }

private:
  std::string node;
  std::string name;
  std::string parent_id;
  TraceContext span_context;
  Sink sink;
  std::vector<std::pair<std::string, std::string>> attributes;
  std::int64_t start_unix_ms = 0;
  std::int64_t start_us = 0;
};

/// Creates spans. Spans are appended to the file `path`, or dropped if `path`
/// is empty or can't be opened.
class Tracer
{
public:
  Tracer(std::string node, const std::string& path);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Starts a span. A new trace is started if `parent` is not valid().
  Span start(std::string_view name, const TraceContext& parent = {});

private:
  std::string node;
  int fd = -1;
};

} // namespace geraniumhinge::kernel
