#include "entry/advice_requester.h"

#include "entry/events.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds RETRY_PAUSE{ 250 };
/// The timeout is doubled up to this often while requests time out.
constexpr std::size_t MAX_DOUBLINGS = 4;

} // namespace

AdviceRequester::AdviceRequester(kernel::Loop& loop,
                                 kernel::TimerService& timers,
                                 const kernel::Log& log,
                                 kernel::Metrics& metrics,
                                 platform::AdviceClient& client,
                                 ResponseHook on_response)
  : Task(loop, "adviser")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , client(client)
  , on_response(std::move(on_response))
{
}

void
AdviceRequester::set_requests(
  const std::vector<core::AdviceRequest>& advice_requests)
{
  this->waiting = advice_requests;
  this->send_next();
}

void
AdviceRequester::send_next()
{
  if (this->request_in_flight || this->waiting.empty() ||
      !this->client.available())
    return;
  core::AdviceRequest advice_request = this->waiting.front();
  // The service may still process a request that has timed out, and begins the
  // next one only then.
  advice_request.timeout_ms <<= std::min(this->timeouts, MAX_DOUBLINGS);
  // The scheduling round after the response sets new requests.
  this->waiting.clear();
  this->request_in_flight = true;
  std::int64_t now_ms = kernel::boot_ms();
  this->client.request(
    advice_request,
    this->guarded([this, advice_request, now_ms](
                    const platform::AdviceClient::Result& result) {
      this->handle_result(advice_request, now_ms, result);
    }));
}

void
AdviceRequester::handle_result(const core::AdviceRequest& advice_request,
                               std::int64_t requested_ms,
                               const platform::AdviceClient::Result& result)
{
  std::int64_t elapsed_ms = kernel::boot_ms() - requested_ms;
  this->metrics.histogram("entry_advice_ms")
    .observe(static_cast<double>(elapsed_ms));
  if (!result) {
    this->metrics.counter("entry_advice_failed_total").add();
    this->log.write(
      ADVICE_FAILED,
      { { "job", advice_request.step.workflow },
        { "step", advice_request.step.step },
        { "error", name_of(platform::ADVICE_ERROR_NAMES, result.error()) },
        { "took_ms", elapsed_ms } });
    if (result.error() == platform::AdviceError::NoAnswer)
      ++this->timeouts;
    this->retry_timer = this->timers.after(RETRY_PAUSE, [this] {
      this->request_in_flight = false;
      this->send_next();
    });
    return;
  }
  this->request_in_flight = false;
  this->timeouts = 0;
  this->log.write(ADVICE_GIVEN,
                  { { "job", advice_request.step.workflow },
                    { "step", advice_request.step.step },
                    { "asked", advice_request.servers.size() },
                    { "good", result->size() },
                    { "took_ms", elapsed_ms } });
  this->on_response(advice_request, *result, requested_ms);
}

} // namespace geraniumhinge::entry
