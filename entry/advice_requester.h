#pragma once

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/advice.h"

#include <functional>
#include <vector>

namespace geraniumhinge::entry {

/// Sends the most urgent requests of the owner to the advice service, one at a
/// time, since the service takes the calls of a VM in turn.
class AdviceRequester : public kernel::Task
{
public:
  /// A request, the tickets and the boot time at which it was sent.
  using AnswerHook = std::function<void(const core::AdviceRequest&,
                                        const std::vector<core::AdviceTicket>&,
                                        std::int64_t requested_ms)>;

  AdviceRequester(kernel::Loop& loop,
                  kernel::TimerService& timers,
                  const kernel::Log& log,
                  kernel::Metrics& metrics,
                  platform::AdviceClient& client,
                  AnswerHook on_answer);

  /// Replaces the requests that wait.
  void set_requests(const std::vector<core::AdviceRequest>& advice_requests);

private:
  void next();
  void answered(const core::AdviceRequest& advice_request,
                std::int64_t requested_ms,
                const platform::AdviceClient::Result& result);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::AdviceClient& client;
  AnswerHook on_answer;
  std::vector<core::AdviceRequest> waiting;
  bool asking = false;
  kernel::Subscription retry;
};

} // namespace geraniumhinge::entry
