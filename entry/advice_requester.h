#pragma once

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/advice.h"

#include <functional>
#include <vector>

namespace geraniumhinge::entry {

/// Sends the owner's most urgent request to the advice service, one at a time:
/// the service processes the calls of a VM one after the other.
class AdviceRequester : public kernel::Task
{
public:
  /// Called with a request, its tickets and the boot time at which the request
  /// was sent.
  using ResponseHook =
    std::function<void(const core::AdviceRequest&,
                       const std::vector<core::AdviceTicket>&,
                       std::int64_t requested_ms)>;

  AdviceRequester(kernel::Loop& loop,
                  kernel::TimerService& timers,
                  const kernel::Log& log,
                  kernel::Metrics& metrics,
                  platform::AdviceClient& client,
                  ResponseHook on_response);

  /// Replaces the waiting requests, the most urgent first.
  void set_requests(const std::vector<core::AdviceRequest>& advice_requests);

private:
  void send_next();
  void handle_result(const core::AdviceRequest& advice_request,
                     std::int64_t requested_ms,
                     const platform::AdviceClient::Result& result);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::AdviceClient& client;
  ResponseHook on_response;
  std::vector<core::AdviceRequest> waiting;
  bool request_in_flight = false;
  std::size_t timeouts = 0; ///< Requests in a row without a response.
  kernel::Subscription retry_timer;
};

} // namespace geraniumhinge::entry
