#pragma once

#include "kernel/loop.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace geraniumhinge::gateway {

struct HttpRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers; ///< Lower-case names.
  std::map<std::string, std::string> query;
  std::string body;
};

/// A response status that closes the connection without an answer.
inline constexpr int CLOSE_CONNECTION = 0;

struct HttpResponse
{
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;
};

enum class HttpServerError
{
  ListenFailed,
};

/// An HTTP/1.1 server on libmicrohttpd, driven by the loop without threads of
/// its own. Requests over the size limit are answered with 413, truncated ones
/// are dropped; neither reaches the handler. A request whose `Respond` is
/// dropped without a call is answered with 500.
class HttpServer : public kernel::Task
{
public:
  /// Called once for each answer, at once or later, on the loop's thread.
  using Respond = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Respond)>;

  HttpServer(kernel::Loop& loop,
             kernel::TimerService& timers,
             std::string address,
             std::size_t max_body_bytes,
             Handler handler);
  ~HttpServer() override;

  tl::expected<void, HttpServerError> listen();

  /// The bound port once listening, which an address with port 0 leaves to the
  /// system; 0 before.
  int port() const;

  /// Closes the listening socket and calls back once every request in flight
  /// has its whole answer written. A request whose body is still on its way is
  /// waited for at most 10 s.
  void drain(std::function<void()> done);

  std::size_t in_flight() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::gateway
