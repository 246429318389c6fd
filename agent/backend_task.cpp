#include "agent/backend_task.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

using platform::BackendError;
using platform::TaskReport;
using platform::TaskState;

// The backend server checks leases every few milliseconds; after this margin a
// lease that it enforces has certainly ended.
constexpr std::int64_t LEASE_MARGIN_MS = 200;

bool
had_no_effect(BackendError error)
{
  return error == BackendError::Unreachable || error == BackendError::Refused ||
         error == BackendError::NoSlot;
}

} // namespace

BackendTask::BackendTask(kernel::Loop& loop,
                         kernel::TimerService& timers,
                         platform::Backend& backend,
                         const BackendSettings& settings,
                         platform::TaskStart start,
                         std::function<void(TaskEnd)> ended)
  : Task(loop, "backend_task")
  , timers(timers)
  , backend(backend)
  , settings(settings)
  , start(std::move(start))
  , ended(std::move(ended))
  , lease_until(this->start.lease_until_ms)
{
}

void
BackendTask::begin()
{
  this->begun_ms = kernel::boot_ms();
  this->watch_lease();
  this->call_start();
}

void
BackendTask::retry(std::function<void()> call)
{
  this->retry_timer = this->timers.after(this->settings.retry, std::move(call));
}

void
BackendTask::call_start()
{
  if (kernel::boot_ms() >= this->lease_until)
    return this->handle_lease_end();
  this->start.lease_until_ms = this->lease_until;
  this->start_pending = true;
  this->backend.start(
    this->start,
    this->guarded([this](const tl::expected<void, BackendError>& result) {
      this->start_pending = false;
      this->handle_start(result);
    }));
}

void
BackendTask::handle_start(const tl::expected<void, BackendError>& result)
{
  if (this->finished)
    return;
  if (result && !std::exchange(this->started, true))
    this->accepted_until = this->start.lease_until_ms;
  bool no_answer = !result && result.error() == BackendError::NoAnswer;
  this->ambiguous = this->ambiguous || no_answer;
  if (this->stopping)
    return this->handle_start_while_stopping();
  if (result) {
    if (this->lease_until > this->start.lease_until_ms)
      this->call_renew();
    return this->call_wait();
  }
  bool refused = !had_no_effect(result.error()) && !no_answer;
  bool too_late =
    kernel::boot_ms() - this->begun_ms >= this->settings.start_limit.count();
  if (refused || too_late)
    return this->stop(false, kernel::Milliseconds(0));
  this->retry([this] { this->call_start(); });
}

void
BackendTask::handle_start_while_stopping()
{
  if (!std::exchange(this->unknown_on_server, false))
    return;
  // The stop overtook the start; with its effect known, the stop can end.
  if (this->started)
    return this->call_stop();
  this->finish(this->ambiguous ? TaskEndKind::Lost : TaskEndKind::NeverStarted);
}

void
BackendTask::call_wait()
{
  this->backend.wait(
    this->start.key,
    this->guarded([this](const tl::expected<TaskReport, BackendError>& result) {
      this->handle_report(result);
    }));
}

void
BackendTask::handle_report(const tl::expected<TaskReport, BackendError>& result)
{
  if (this->finished)
    return;
  if (result && result->state != TaskState::Running)
    return this->finish_with(*result);
  if (!result && result.error() == BackendError::NoSuchTask)
    return this->finish(TaskEndKind::Lost);
  if (this->stopping)
    return;
  if (result)
    return this->call_wait();
  this->retry([this] { this->call_wait(); });
}

void
BackendTask::extend(std::int64_t lease_until_ms)
{
  if (this->finished || this->stopping || lease_until_ms <= this->lease_until)
    return;
  if (kernel::boot_ms() >= this->lease_until_ms())
    return this->handle_lease_end();
  this->lease_until = lease_until_ms;
  this->watch_lease();
  if (this->started)
    this->call_renew();
}

void
BackendTask::confirm_running(std::function<void()> confirmed)
{
  // Before the start is accepted its own lease bounds the task.
  if (!this->started)
    return confirmed();
  this->backend.renew(
    this->start.key,
    this->lease_until_ms(),
    this->guarded([confirmed = std::move(confirmed)](
                    const tl::expected<TaskReport, BackendError>& result) {
      if (result && result->state == TaskState::Running)
        confirmed();
    }));
}

void
BackendTask::call_renew()
{
  this->backend.renew(
    this->start.key,
    this->lease_until,
    this->guarded([this, lease_until_ms = this->lease_until](
                    const tl::expected<TaskReport, BackendError>& result) {
      bool ended = result && result->state != TaskState::Running;
      // Without this answer the lease ends: a backend server that is gone must
      // not keep its gang running.
      if (result && !ended)
        this->accepted_until = std::max(this->accepted_until, lease_until_ms);
      if (ended && !this->finished)
        this->finish_with(*result);
    }));
}

void
BackendTask::watch_lease()
{
  std::int64_t left =
    std::max<std::int64_t>(this->lease_until_ms() - kernel::boot_ms(), 0);
  this->lease_timer = this->timers.after(kernel::Milliseconds(left + 1),
                                         [this] { this->handle_lease_end(); });
}

void
BackendTask::handle_lease_end()
{
  if (this->finished || this->stopping)
    return;
  if (kernel::boot_ms() < this->lease_until_ms())
    return this->watch_lease();
  // The backend server knows whether the task ended before its lease did.
  this->stop(false, kernel::Milliseconds(0));
}

void
BackendTask::checkpoint(platform::Backend::Done<std::string> done)
{
  this->backend.checkpoint(this->start.key, std::move(done));
}

void
BackendTask::stop(bool checkpoint, kernel::Milliseconds grace)
{
  if (this->finished || std::exchange(this->stopping, true))
    return;
  this->retry_timer.reset();
  if (!this->start_pending && !this->ambiguous && !this->started)
    return this->finish(TaskEndKind::NeverStarted);
  if (!checkpoint || !this->started)
    return this->call_stop();
  this->grace_timer = this->timers.after(grace, [this] { this->call_stop(); });
  this->checkpoint(
    this->guarded([this](tl::expected<std::string, BackendError> result) {
      if (result && !this->stop_called)
        this->checkpoint_key = *result;
      this->call_stop();
    }));
}

void
BackendTask::call_stop()
{
  if (this->finished || std::exchange(this->stop_called, true))
    return;
  this->grace_timer.reset();
  this->backend.stop(
    this->start.key,
    this->guarded([this](const tl::expected<TaskReport, BackendError>& result) {
      this->stop_called = false;
      this->handle_stop(result);
    }));
}

void
BackendTask::handle_stop(const tl::expected<TaskReport, BackendError>& result)
{
  if (this->finished)
    return;
  if (result && result->state != TaskState::Running)
    return this->finish_with(*result);
  if (!result && result.error() == BackendError::NoSuchTask) {
    this->unknown_on_server = true;
    // A backend server that restarted has forgotten a task that ran, so only
    // the answer to the start tells whether it had its effect.
    if (this->started || this->ambiguous)
      return this->finish(TaskEndKind::Lost);
    if (!this->start_pending)
      return this->finish(TaskEndKind::NeverStarted);
    return;
  }
  if (kernel::boot_ms() >= this->lease_until + LEASE_MARGIN_MS)
    return this->finish(TaskEndKind::LeaseExpired);
  this->retry([this] { this->call_stop(); });
}

void
BackendTask::finish_with(const TaskReport& report)
{
  switch (report.state) {
    case TaskState::Succeeded:
      return this->finish(TaskEndKind::Succeeded, report.output);
    case TaskState::Failed:
      return this->finish(TaskEndKind::Failed, report.output);
    case TaskState::Stopped:
      return this->finish(TaskEndKind::Stopped);
    case TaskState::LeaseExpired:
      return this->finish(TaskEndKind::LeaseExpired);
    case TaskState::Running:
      return;
  }
}

void
BackendTask::finish(TaskEndKind kind, std::string output)
{
  this->finished = true;
  this->lease_timer.reset();
  this->retry_timer.reset();
  this->grace_timer.reset();
  TaskEnd end{ kind, std::move(output), this->checkpoint_key };
  // Posted: the owner destroys this task in its callback.
  this->post(
    [this, end = std::move(end)]() mutable { this->ended(std::move(end)); });
}

} // namespace geraniumhinge::agent
