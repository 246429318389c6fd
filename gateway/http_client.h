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

/// Why a call has no complete response, and whether its request may have had an
/// effect.
enum class HttpClientError
{
  Refused,   ///< The peer refused the connection: not applied.
  NotSent,   ///< No connection was established: not applied.
  Ambiguous, ///< Sent, response missing or incomplete: ambiguous.
};

/// Whether the request was certainly not applied.
inline bool
not_applied(HttpClientError error)
{
  return error != HttpClientError::Ambiguous;
}

struct HttpClientRequest
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

/// HTTP client on libcurl's multi interface, driven by the loop. Connections
/// are kept open and reused, at most `max_connections_per_host` to each host.
class HttpClient : public kernel::Task
{
public:
  using Result = tl::expected<HttpClientResponse, HttpClientError>;
  using Callback = std::function<void(Result)>;

  HttpClient(kernel::Loop& loop,
             kernel::TimerService& timers,
             int max_connections_per_host);
  ~HttpClient() override;

  /// Calls back exactly once, on the loop's thread. Calls that have not ended
  /// when the client is destroyed get no callback.
  void call(HttpClientRequest call, Callback callback);

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::gateway
