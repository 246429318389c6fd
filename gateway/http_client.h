#pragma once

#include "kernel/clock.h"
#include "kernel/loop.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace geraniumhinge::gateway {

/// What is known of a call that has no whole answer.
enum class HttpClientError
{
  Refused,  ///< Nobody listens at the address: the request had no effect.
  NotSent,  ///< No connection was made: the request certainly had no effect.
  NoAnswer, ///< Sent, but the answer is missing or cut short: effect unknown.
};

/// Whether the request certainly had no effect.
inline bool
had_no_effect(HttpClientError error)
{
  return error != HttpClientError::NoAnswer;
}

struct HttpCall
{
  std::string method = "POST";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  kernel::Milliseconds connect_timeout{ 500 };
  kernel::Milliseconds timeout{ 2'000 };
};

struct HttpClientResponse
{
  int status = 0;
  std::map<std::string, std::string> headers; ///< Lower-case names.
  std::string body;
};

/// HTTP calls on libcurl's multi interface, driven by the loop. Connections
/// are kept and reused, at most `max_connections_per_host` to each host.
class HttpClient : public kernel::Task
{
public:
  using Result = tl::expected<HttpClientResponse, HttpClientError>;
  using Callback = std::function<void(Result)>;

  HttpClient(kernel::Loop& loop,
             kernel::TimerService& timers,
             int max_connections_per_host);
  ~HttpClient() override;

  /// Calls back exactly once, on the loop's thread.
  void call(HttpCall call, Callback callback);

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::gateway
