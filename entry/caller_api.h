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
  /// The configuration in force; version 0 until one was read.
  std::function<const core::OperatorConfig&()> operator_config;
  /// Whether the copies of the configuration and the work are recent enough to
  /// serve callers.
  std::function<bool()> data_is_current;
  /// Whether the state of the workflow will always fit into its row.
  std::function<bool(const core::Workflow&)> can_be_stored;
  /// Called when a submission or a cancellation was stored.
  std::function<void()> workflow_accepted;
};

/// Serves callers of queues: submits and cancels workflows and returns their
/// state. An acknowledged change is stored; a change whose response says that
/// it was not applied is never applied later.
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

  void start(const CallPointer& call);
  void dispatch(const CallPointer& call);
  void submit(const CallPointer& call);
  static void set_submission(const CallPointer& call,
                             std::uint64_t cancel_version);
  static void set_cancelled_submission(const CallPointer& call,
                                       const platform::StoredRow& cancel);
  void try_submit(const CallPointer& call);
  void handle_submit_result(const CallPointer& call,
                            const platform::Store::CommitResult& result);
  void handle_submit_conflict(const CallPointer& call,
                              const platform::StoreError& conflict);
  void cancel(const CallPointer& call);
  void try_cancel(const CallPointer& call, std::uint64_t workflow_version);
  void get_state(const CallPointer& call);
  void find_workflow(const CallPointer& call,
                     std::function<void(platform::Store::ReadResult)> found);
  void handle_ambiguous_commit(const CallPointer& call,
                               std::function<void()> try_again);
  void handle_forward_response(const CallPointer& call,
                               platform::CallerResult fallback,
                               const platform::CallerResponse& response);
  /// Forwards the call to other entries. The caller gets `fallback` if none of
  /// them can serve the call.
  void forward(const CallPointer& call, platform::CallerResult fallback);
  static std::int64_t remaining_ms(const CallPointer& call);
  /// Whether too little time is left for another try.
  static bool is_expired(const CallPointer& call);
  static kernel::Milliseconds next_timeout(const CallPointer& call);
  void retry(const CallPointer& call, std::function<void()> try_again);
  void run_after(kernel::Milliseconds delay, std::function<void()> action);
  void respond(const CallPointer& call, platform::CallerResult result);
  void respond(const CallPointer& call,
               const platform::CallerResponse& response);
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
