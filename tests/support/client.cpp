#include "tests/support/client.h"

#include <utility>

namespace geraniumhinge::tests {

namespace {

constexpr int STATUS_OK = 200;

Failure
failure_of(const HttpReply& reply)
{
  gateway::CallError error =
    gateway::parse_error({ reply.status, {}, reply.body });
  return { true, error.detail, error.message };
}

} // namespace

Client::Client(std::vector<std::string> addresses, std::string token)
  : addresses(std::move(addresses))
  , token(std::move(token))
{
}

tl::expected<std::string, Failure>
Client::post(const std::string& method,
             const std::string& body,
             kernel::Milliseconds timeout) const
{
  HttpCall call;
  call.body = body;
  call.timeout = timeout;
  call.headers["Content-Type"] = "application/proto";
  call.headers["Authorization"] = "Bearer " + this->token;
  for (const std::string& address : this->addresses) {
    call.url = "http://" + address;
    call.url += "/geraniumhinge.v1.Scheduler/" + method;
    std::optional<HttpReply> reply = call_http(call);
    if (!reply)
      continue;
    if (reply->status == STATUS_OK)
      return reply->body;
    return tl::unexpected(failure_of(*reply));
  }
  return tl::unexpected(Failure{ false, {}, "no response" });
}

} // namespace geraniumhinge::tests
