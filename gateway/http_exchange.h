#pragma once

#include "gateway/http_server.h"

#include <functional>
#include <memory>
#include <microhttpd.h>
#include <optional>

namespace geraniumhinge::gateway {

/// One request and its answer, from its head to the last byte written.
struct Exchange
{
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  std::size_t discarded = 0;
  bool oversized = false;
  bool dispatched = false;
  bool suspended = false;
  std::optional<HttpResponse> response;
  std::function<void()> wake; ///< Schedules a run of the library.

  void answer(HttpResponse value)
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
    this->wake();
  }
};

/// Shared by the copies of one `Respond`.
struct Responder
{
  std::weak_ptr<Exchange> exchange;

  explicit Responder(const std::shared_ptr<Exchange>& exchange)
    : exchange(exchange)
  {
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void answer(HttpResponse response);

  /// Answers with 500 if nothing was answered.
  ~Responder();
};

/// Headers, with lower-case names, or query arguments of a request.
std::map<std::string, std::string>
connection_values(MHD_Connection* connection, MHD_ValueKind kind);

/// The declared body size, or 0 if there is none.
std::size_t
content_length(MHD_Connection* connection);

/// Starts an answer. The response must outlive it.
MHD_Result
queue_response(MHD_Connection* connection,
               const HttpResponse& response,
               bool close);

} // namespace geraniumhinge::gateway
