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
  LeaseExpired, ///< Its lease has expired; it may have ended before.
  NeverStarted, ///< Certainly never ran and never will.
  Lost,         ///< The backend server no longer knows it.
};

struct TaskEnd
{
  TaskEndKind kind = TaskEndKind::Lost;
  std::string output;
  std::string checkpoint_key;
};

/// One task on the backend server, from its start to its confirmed end. Calls
/// without an answer are repeated; the lease, an absolute time on
/// CLOCK_BOOTTIME, bounds all of them.
class BackendTask : public kernel::Task
{
public:
  BackendTask(kernel::Loop& loop,
              kernel::TimerService& timers,
              platform::Backend& backend,
              const BackendSettings& settings,
              platform::TaskStart start,
              std::function<void(TaskEnd)> ended);

  /// Starts the task under its first lease.
  void begin();

  /// Extends the lease. After the lease has passed it does nothing.
  void extend(std::int64_t lease_until_ms);

  /// Stops the task, after a checkpoint that takes at most `grace` if asked.
  void stop(bool checkpoint, kernel::Milliseconds grace);

  /// Calls back if the backend server answers that the task runs.
  void confirm_running(std::function<void()> confirmed);

  void checkpoint(platform::Backend::Done<std::string> done);

  /// End of the lease that the backend server is known to have accepted.
  std::int64_t lease_until_ms() const
  {
    return this->started ? this->accepted_until : this->lease_until;
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
  void retry(std::function<void()> call);

  kernel::TimerService& timers;
  platform::Backend& backend;
  const BackendSettings& settings;
  platform::TaskStart start;
  std::function<void(TaskEnd)> ended;
  std::int64_t lease_until;        ///< As the rounds allow it.
  std::int64_t accepted_until = 0; ///< As the backend server accepted it.
  std::int64_t begun_ms = 0;
  bool start_pending = false; ///< A start call waits for its answer.
  bool ambiguous = false;     ///< A start call got no answer.
  bool started = false;
  bool unknown_on_server = false; ///< A stop found no such task.
  bool stopping = false;
  bool stop_called = false;
  bool finished = false;
  std::string checkpoint_key;
  kernel::Subscription lease_timer;
  kernel::Subscription retry_timer;
  kernel::Subscription grace_timer;
};

} // namespace geraniumhinge::agent
