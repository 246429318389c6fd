#include "entry/cli_remote.h"

#include "gateway/http_client.h"
#include "gateway/unary_error.h"
#include "kernel/loop.h"
#include "kernel/timer.h"

#include <fmt/format.h>
#include <unistd.h>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds CONNECT_TIMEOUT{ 3'000 };
constexpr kernel::Milliseconds PROGRESS_PERIOD{ 500 };
constexpr std::int64_t MS_PER_S = 1'000;
constexpr int STATUS_OK = 200;
// Moves the cursor to the start of the line and clears the line.
constexpr char CLEAR_LINE[] = "\r\033[K";

/// Shows on a terminal how long a call has waited.
class WaitDisplay
{
public:
  WaitDisplay(kernel::TimerService& timers,
              const RemoteCall& call,
              std::FILE* terminal)
    : terminal(terminal)
  {
    if (!isatty(fileno(terminal)))
      return;
    this->timer =
      timers.every(PROGRESS_PERIOD, [this, &call, start = kernel::boot_ms()] {
        this->shown = true;
        fmt::print(this->terminal,
                   "{}waiting for {} from {}, {} s of at most {} s",
                   CLEAR_LINE,
                   call.method,
                   call.address,
                   (kernel::boot_ms() - start) / MS_PER_S,
                   call.timeout.count() / MS_PER_S);
        std::fflush(this->terminal);
      });
  }
  WaitDisplay(const WaitDisplay&) = delete;
  WaitDisplay& operator=(const WaitDisplay&) = delete;
  ~WaitDisplay()
  {
    if (this->shown)
      fmt::print(this->terminal, "{}", CLEAR_LINE);
  }

private:
  std::FILE* terminal;
  kernel::Subscription timer;
  bool shown = false;
};

gateway::HttpClientRequest
http_call(const RemoteCall& call)
{
  gateway::HttpClientRequest http;
  http.url = fmt::format(
    "http://{}/geraniumhinge.v1.Scheduler/{}", call.address, call.method);
  http.headers["Content-Type"] = "application/json";
  if (!call.token.empty())
    http.headers["Authorization"] = "Bearer " + call.token;
  http.body = call.body;
  http.connect_timeout = CONNECT_TIMEOUT;
  http.timeout = call.timeout;
  return http;
}

RemoteFailure
transport_failure(const RemoteCall& call, gateway::HttpClientError error)
{
  if (gateway::not_applied(error))
    return { fmt::format("no connection to {}: the request was not sent",
                         call.address),
             std::nullopt };
  return { fmt::format("no response from {}: it is not known whether the "
                       "request took effect",
                       call.address),
           std::nullopt };
}

} // namespace

tl::expected<std::string, RemoteFailure>
call_remote(const RemoteCall& call, std::FILE* err)
{
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  gateway::HttpClient client(loop, timers, 1);
  std::optional<gateway::HttpClient::Result> result;
  {
    WaitDisplay progress(timers, call, err);
    client.call(http_call(call), [&](gateway::HttpClient::Result response) {
      result = std::move(response);
      loop.stop();
    });
    loop.run();
  }
  if (!*result)
    return tl::unexpected(transport_failure(call, result->error()));
  gateway::HttpClientResponse& response = **result;
  if (response.status == STATUS_OK)
    return std::move(response.body);
  gateway::CallError error = gateway::parse_error(response);
  return tl::unexpected(RemoteFailure{ error.message, error.detail });
}

void
print_failure(const RemoteFailure& failure, std::FILE* err)
{
  fmt::print(err, "error: {}\n", failure.message);
  if (!failure.detail)
    return;
  const v1::ErrorDetail& detail = *failure.detail;
  fmt::print(err, "kind: {}\n", v1::ErrorKind_Name(detail.kind()));
  if (!detail.field().empty())
    fmt::print(err, "field: {}\n", detail.field());
  if (!detail.accepted().empty())
    fmt::print(err, "accepted: {}\n", detail.accepted());
  if (detail.kind() == v1::ERROR_KIND_STALE_VERSION)
    fmt::print(err, "current version: {}\n", detail.current_version());
  if (detail.outcome() != v1::OUTCOME_UNSPECIFIED)
    fmt::print(err, "outcome: {}\n", v1::Outcome_Name(detail.outcome()));
  if (detail.retry_after_ms() > 0)
    fmt::print(err, "retry after: {} ms\n", detail.retry_after_ms());
}

} // namespace geraniumhinge::entry
