#include "review/stage/failing_front.h"

#include <stdexcept>
#include <utility>

namespace geraniumhinge::review {

namespace {

constexpr int MAX_CONNECTIONS = 16;
constexpr std::size_t MAX_BODY_BYTES = 1UL * 1'024 * 1'024;
constexpr kernel::Milliseconds TIMEOUT{ 3'000 };
constexpr int HTTP_UNAVAILABLE = 503;
constexpr char START_PATH[] = "/geraniumhinge/run-start";

} // namespace

FailingFront::FailingFront(kernel::Loop& loop,
                           kernel::TimerService& timers,
                           std::string target)
  : target(std::move(target))
  , client(loop, timers, MAX_CONNECTIONS)
  , server(loop,
           timers,
           "127.0.0.1:0",
           MAX_BODY_BYTES,
           [this](const gateway::HttpRequest& request,
                  gateway::HttpServer::ResponseCallback respond) {
             this->handle(request, std::move(respond));
           })
{
  if (!this->server.listen())
    throw std::runtime_error("no port for the front");
}

std::string
FailingFront::address() const
{
  return "127.0.0.1:" + std::to_string(this->server.port());
}

void
FailingFront::handle(const gateway::HttpRequest& request,
                     gateway::HttpServer::ResponseCallback respond)
{
  if (this->is_failing && request.path == START_PATH) {
    ++this->refused_starts;
    respond({ HTTP_UNAVAILABLE, "application/json", "{}", {} });
    return;
  }
  gateway::HttpClientRequest call;
  call.method = request.method;
  call.url = "http://" + this->target + request.path;
  call.body = request.body;
  call.timeout = TIMEOUT;
  this->client.call(
    std::move(call),
    [respond = std::move(respond)](const gateway::HttpClient::Result& result) {
      if (result)
        respond({ result->status, "application/json", result->body, {} });
      else
        respond({ gateway::CLOSE_CONNECTION, "", "", {} });
    });
}

} // namespace geraniumhinge::review
