#include "review/probe/store_front.h"

#include <fmt/format.h>
#include <utility>

namespace geraniumhinge::review {

namespace {

constexpr int CONNECTIONS = 256;
constexpr std::size_t MAX_BODY_BYTES = 4UL * 1'024 * 1'024;
/// Longer than the longest wait for changes.
constexpr kernel::Milliseconds CALL_LIMIT{ 35'000 };
constexpr char WRITE_PATH[] = "/geraniumhinge/rows-tx";

} // namespace

StoreFront::StoreFront(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       std::string store_address)
  : timers(timers)
  , store_address(std::move(store_address))
  , client(loop, timers, CONNECTIONS)
  , server(loop,
           timers,
           "127.0.0.1:0",
           MAX_BODY_BYTES,
           [this](const gateway::HttpRequest& request,
                  gateway::HttpServer::ResponseCallback respond) {
             this->handle(request, std::move(respond));
           })
{
  (void)this->server.listen();
}

std::string
StoreFront::address() const
{
  return fmt::format("127.0.0.1:{}", this->server.port());
}

void
StoreFront::lose_writes(std::string key, kernel::Milliseconds delay)
{
  if (!key.empty()) {
    this->writes = 0;
    this->lost_writes = 0;
  }
  this->lost_key = std::move(key);
  this->delay = delay;
}

void
StoreFront::handle(const gateway::HttpRequest& request,
                   gateway::HttpServer::ResponseCallback respond)
{
  bool is_write = request.path == WRITE_PATH;
  this->writes += is_write ? 1 : 0;
  bool is_lost =
    is_write && !this->lost_key.empty() &&
    request.body.find('"' + this->lost_key + '"') != std::string::npos;
  if (!is_lost) {
    this->pass_on(request, std::move(respond));
    return;
  }
  ++this->lost_writes;
  this->unanswered.push_back(std::move(respond));
  this->late_writes.push_back(this->timers.after(this->delay, [this, request] {
    this->pass_on(request, [](const gateway::HttpResponse&) {});
  }));
}

void
StoreFront::pass_on(const gateway::HttpRequest& request,
                    gateway::HttpServer::ResponseCallback respond)
{
  gateway::HttpClientRequest call;
  call.method = request.method;
  call.url = "http://" + this->store_address + request.path;
  char separator = '?';
  for (const std::pair<const std::string, std::string>& argument :
       request.query) {
    call.url += fmt::format("{}{}=", separator, argument.first);
    for (unsigned char c : argument.second)
      call.url += fmt::format("%{:02X}", c);
    separator = '&';
  }
  call.headers["Content-Type"] = "application/json";
  call.body = request.body;
  call.timeout = CALL_LIMIT;
  this->client.call(
    std::move(call),
    [respond = std::move(respond)](gateway::HttpClient::Result result) {
      if (result)
        respond(
          { result->status, "application/json", std::move(result->body), {} });
      else
        respond({ gateway::CLOSE_CONNECTION, "", "", {} });
    });
}

} // namespace geraniumhinge::review
