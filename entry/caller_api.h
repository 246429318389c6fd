#pragma once

#include "core/operator_config.h"
#include "entry/relay.h"
#include "entry/work_view.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/caller.h"
#include "platform/store.h"

#include <functional>
#include <memory>
#include <string>

namespace geraniumhinge::entry {

struct CallerApiHooks
{
  /// The configuration in force; version 0 before the first.
  std::function<const core::OperatorConfig&()> operator_config;
  /// Whether the configuration and the work are as new as promised.
  std::function<bool()> data_is_current;
  std::function<void()> workflow_accepted;
};

/// Serves callers of queues: submits, cancels and shows workflows. What is
/// acknowledged is stored; what is refused as not done never will be.
class CallerApi : public kernel::Task
{
public:
  CallerApi(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            kernel::Metrics& metrics,
            platform::Store& store,
            WorkView& view,
            Relay& relay,
            CallerApiHooks hooks);

  void handle(platform::CallerRequest request, platform::CallerRespond respond);

private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  void begin(const CallPointer& call);
  void dispatch(const CallPointer& call);
  void submit(const CallPointer& call);
  void try_submit(const CallPointer& call);
  void submitted(const CallPointer& call,
                 const platform::Store::CommitResult& result);
  void cancel(const CallPointer& call);
  void try_cancel(const CallPointer& call, std::uint64_t workflow_version);
  void show(const CallPointer& call);
  void find_workflow(const CallPointer& call,
                     std::function<void(platform::Store::ReadResult)> found);
  void unanswered(const CallPointer& call, std::function<void()> again);
  void forwarded(const CallPointer& call,
                 platform::CallerResult otherwise,
                 const platform::CallerResponse& answer);
  void forward(const CallPointer& call, platform::CallerResult otherwise);
  static std::int64_t remaining_ms(const CallPointer& call);
  static kernel::Milliseconds next_timeout(const CallPointer& call);
  void retry(const CallPointer& call, std::function<void()> again);
  void after(kernel::Milliseconds delay, std::function<void()> action);
  void answer(const CallPointer& call, platform::CallerResult result);
  void answer(const CallPointer& call, const platform::CallerResponse& answer);
  platform::CallerState state_of(const WorkItem& item) const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Store& store;
  WorkView& view;
  Relay& relay;
  CallerApiHooks hooks;
};

} // namespace geraniumhinge::entry
