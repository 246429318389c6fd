#pragma once

#include "gateway/request_budget.h"
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

/// A response with this status closes the connection and sends nothing.
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

/// HTTP/1.1 server on libmicrohttpd, driven by the loop without threads of its
/// own. A request over the size limit gets status 413 and a truncated request
/// is dropped; neither reaches the handler. A request gets status 500 if all
/// copies of its `ResponseCallback` are destroyed without a call. With a
/// budget, a connection may be closed, and a request refused with status 503
/// before it reaches the handler.
class HttpServer : public kernel::Task
{
public:
  /// Sends the response of a request. To be called once, from the handler or
  /// later, on the loop's thread.
  using ResponseCallback = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, ResponseCallback)>;

  HttpServer(kernel::Loop& loop,
             kernel::TimerService& timers,
             std::string address,
             std::size_t max_body_bytes,
             Handler handler,
             RequestBudget* budget = nullptr);
  ~HttpServer() override;

  tl::expected<void, HttpServerError> listen();

  /// The bound port, which the system chooses if the address has port 0; 0 if
  /// the server does not listen.
  int port() const;

  /// Closes the listening socket and calls back when the responses of all
  /// requests in flight are written. After 10 s, requests whose body has not
  /// arrived are no longer waited for.
  void drain(std::function<void()> done);

  std::size_t in_flight() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::gateway
