#pragma once

#include "gateway/http_server.h"

#include <functional>
#include <memory>
#include <microhttpd.h>
#include <optional>

namespace geraniumhinge::gateway {

struct TrackedConnection;

/// State of a request and its response, from the request's headers until the
/// response is written.
struct Exchange
{
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  std::size_t declared_bytes = 0; ///< Content-Length, 0 if there is none.
  std::size_t pieces = 0;         ///< In which the body has arrived so far.
  std::size_t discarded_bytes = 0;
  bool oversized = false;
  bool dispatched = false;
  bool suspended = false;
  std::optional<HttpResponse> response;
  TrackedConnection* tracked = nullptr; ///< Null without a budget.
  std::function<void()> schedule_run;   ///< Schedules a call of MHD_run.

  void respond(HttpResponse value)
  {
    if (this->response)
      return;
    this->response = std::move(value);
    this->resume();
  }

  void resume()
  {
    if (!std::exchange(this->suspended, false))
      return;
    MHD_resume_connection(this->connection);
    this->schedule_run();
  }
};

/// State shared by the copies of an HttpServer::ResponseCallback.
struct Responder
{
  std::weak_ptr<Exchange> exchange;

  explicit Responder(const std::shared_ptr<Exchange>& exchange)
    : exchange(exchange)
  {
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void respond(HttpResponse response);

  /// Responds with status 500 if there was no response.
  ~Responder();
};

/// Returns the headers, with lower-case names, or the query arguments of a
/// request.
std::map<std::string, std::string>
connection_values(MHD_Connection* connection, MHD_ValueKind kind);

/// Returns the value of Content-Length, or 0 if the header is missing.
std::size_t
content_length(MHD_Connection* connection);

/// Starts to send `response`, which must exist until the response is written.
MHD_Result
queue_response(MHD_Connection* connection,
               const HttpResponse& response,
               bool close);

} // namespace geraniumhinge::gateway
