#pragma once

#include "agent/settings.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/backend.h"

#include <functional>
#include <string>

namespace geraniumhinge::agent {

enum class TaskEndKind
{
  Succeeded,
  Failed,
  Stopped,      ///< Confirmed stopped on request.
  LeaseExpired, ///< The lease has expired; the task may have ended before.
  NeverStarted, ///< The task certainly never ran and never will.
  Lost,         ///< The backend server does not know the task any more.
};

struct TaskEnd
{
  TaskEndKind kind = TaskEndKind::Lost;
  std::string output;
  std::string checkpoint_key;
};

/// One task on the backend server, from its start to its confirmed end. Calls
/// without a response are repeated. The lease bounds these repetitions; its end
/// is an absolute time in milliseconds on CLOCK_BOOTTIME.
class BackendTask : public kernel::Task
{
public:
  BackendTask(kernel::Loop& loop,
              kernel::TimerService& timers,
              platform::Backend& backend,
              const BackendSettings& settings,
              platform::TaskStart start_request,
              std::function<void(TaskEnd)> on_end);

  /// Starts the task under its first lease.
  void begin();

  /// Extends the lease. A lease that has expired is not extended: the task is
  /// stopped.
  void extend(std::int64_t lease_until_ms);

  /// Stops the task. With `checkpoint`, a checkpoint is taken first, which may
  /// take up to `grace`.
  void stop(bool checkpoint, kernel::Milliseconds grace);

  /// Calls back if the backend server confirms that the task runs.
  void confirm_running(std::function<void()> confirmed);

  void checkpoint(platform::Backend::Done<std::string> done);

  /// End of the lease that the backend server has confirmed; of the granted one
  /// until the start is confirmed.
  std::int64_t lease_until_ms() const
  {
    return this->started ? this->accepted_until_ms : this->granted_until_ms;
  }

private:
  void call_start();
  void handle_start(const tl::expected<void, platform::BackendError>& result);
  void handle_start_while_stopping();
  void call_renew();
  void call_wait();
  void handle_report(
    const tl::expected<platform::TaskReport, platform::BackendError>& result);
  void call_stop();
  void handle_stop(
    const tl::expected<platform::TaskReport, platform::BackendError>& result);
  void watch_lease();
  void handle_lease_end();
  void finish_with(const platform::TaskReport& report);
  void finish(TaskEndKind kind, std::string output = {});
  void retry_later(std::function<void()> call);

  kernel::TimerService& timers;
  platform::Backend& backend;
  const BackendSettings& settings;
  platform::TaskStart start_request;
  std::function<void(TaskEnd)> on_end;
  std::int64_t granted_until_ms; ///< End of the lease granted by the agent.
  /// End of the lease confirmed by the backend server.
  std::int64_t accepted_until_ms = 0;
  std::int64_t begin_ms = 0;
  bool start_pending = false; ///< A start request is in flight.
  bool ambiguous = false;     ///< A start request got no response.
  bool started = false;
  bool unknown_on_server = false; ///< A stop was answered with NoSuchTask.
  bool stopping = false;
  bool stop_called = false;
  bool finished = false;
  std::string checkpoint_key;
  kernel::Subscription lease_timer;
  kernel::Subscription retry_timer;
  kernel::Subscription grace_timer;
};

} // namespace geraniumhinge::agent
