#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumhinge::kernel {

/// W3C trace context: identifies a trace and the parent span.
struct TraceContext
{
  std::string trace_id; ///< 32 lower-case hex digits, empty for none.
  std::string span_id;  ///< 16 lower-case hex digits.

  bool valid() const { return !this->trace_id.empty(); }
};

/// Reads a `traceparent` header value; the result is not valid for bad input.
TraceContext
parse_traceparent(std::string_view header);

std::string
format_traceparent(const TraceContext& context);

/// One hop of a request. Ends when it is destroyed or `end` is called, and is
/// then written by its tracer as one JSON line.
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

  void set(std::string_view key, std::string value);
  void end();
  const TraceContext& context() const { return this->own; }
  /// The value to pass on to the next hop.
  std::string traceparent() const { return format_traceparent(this->own); }

private:
  std::string node;
  std::string name;
  std::string parent_id;
  TraceContext own;
  Sink sink;
  std::vector<std::pair<std::string, std::string>> attributes;
  std::int64_t start_unix_ms = 0;
  std::int64_t start_us = 0;
};

/// Makes spans. Lines are appended to `path`, or dropped if it is empty.
class Tracer
{
public:
  Tracer(std::string node, const std::string& path);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// Starts a span, in a new trace if `parent` is not valid.
  Span start(std::string_view name, const TraceContext& parent = {});

private:
  std::string node;
  int fd = -1;
};

} // namespace geraniumhinge::kernel
