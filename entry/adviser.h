#pragma once

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/advice.h"

#include <functional>
#include <vector>

namespace geraniumhinge::entry {

/// Asks the advice service the most urgent question of the owner, one at a
/// time, since the service takes the calls of a VM in turn.
class Adviser : public kernel::Task
{
public:
  /// A question, the tickets and the boot time at which it was asked.
  using AnswerHook = std::function<void(const core::AdviceQuestion&,
                                        const std::vector<core::AdviceTicket>&,
                                        std::int64_t asked_ms)>;

  Adviser(kernel::Loop& loop,
          kernel::TimerService& timers,
          const kernel::Log& log,
          kernel::Metrics& metrics,
          platform::AdviceClient& client,
          AnswerHook on_answer);

  /// Replaces the questions that wait.
  void ask(const std::vector<core::AdviceQuestion>& questions);

private:
  void next();
  void answered(const core::AdviceQuestion& question,
                std::int64_t asked_ms,
                const platform::AdviceClient::Result& result);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::AdviceClient& client;
  AnswerHook on_answer;
  std::vector<core::AdviceQuestion> waiting;
  bool asking = false;
  kernel::Subscription retry;
};

} // namespace geraniumhinge::entry
