#include "agent/backend_task.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

using platform::BackendError;
using platform::TaskReport;
using platform::TaskState;

// The backend server checks leases every few milliseconds. A task whose lease
// ended longer ago than this margin has certainly ended.
constexpr std::int64_t LEASE_END_MARGIN_MS = 200;

bool
certainly_not_applied(BackendError error)
{
  return error == BackendError::Unreachable || error == BackendError::Refused ||
         error == BackendError::NoSlot;
}

} // namespace

BackendTask::BackendTask(kernel::Loop& loop,
                         kernel::TimerService& timers,
                         platform::Backend& backend,
                         const BackendSettings& settings,
                         platform::TaskStart start_request,
                         std::function<void(TaskEnd)> on_end)
  : Task(loop, "backend_task")
  , timers(timers)
  , backend(backend)
  , settings(settings)
  , start_request(std::move(start_request))
  , on_end(std::move(on_end))
  , granted_until_ms(this->start_request.lease_until_ms)
{
}

void
BackendTask::begin()
{
  this->begin_ms = kernel::boot_ms();
  this->watch_lease();
  this->call_start();
}

void
BackendTask::retry_later(std::function<void()> call)
{
  this->retry_timer =
    this->timers.after(this->settings.retry_delay, std::move(call));
}

void
BackendTask::call_start()
{
  if (kernel::boot_ms() >= this->granted_until_ms)
    return this->handle_lease_end();
  this->start_request.lease_until_ms = this->granted_until_ms;
  this->start_pending = true;
  this->backend.start(
    this->start_request,
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
    this->accepted_until_ms = this->start_request.lease_until_ms;
  bool no_response = !result && result.error() == BackendError::NoAnswer;
  this->ambiguous = this->ambiguous || no_response;
  if (this->stopping)
    return this->handle_start_while_stopping();
  if (result) {
    if (this->granted_until_ms > this->start_request.lease_until_ms)
      this->call_renew();
    return this->call_wait();
  }
  bool refused = !certainly_not_applied(result.error()) && !no_response;
  bool too_late =
    kernel::boot_ms() - this->begin_ms >= this->settings.start_limit.count();
  if (refused || too_late)
    return this->stop(false, kernel::Milliseconds(0));
  this->retry_later([this] { this->call_start(); });
}

void
BackendTask::handle_start_while_stopping()
{
  if (!std::exchange(this->unknown_on_server, false))
    return;
  // The stop overtook the start. The effect of the start is known now, so the
  // stop can be completed.
  if (this->started)
    return this->call_stop();
  this->finish(this->ambiguous ? TaskEndKind::Lost : TaskEndKind::NeverStarted);
}

void
BackendTask::call_wait()
{
  this->backend.wait(
    this->start_request.key,
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
  this->retry_later([this] { this->call_wait(); });
}

void
BackendTask::extend(std::int64_t lease_until_ms)
{
  if (this->finished || this->stopping ||
      lease_until_ms <= this->granted_until_ms)
    return;
  if (kernel::boot_ms() >= this->lease_until_ms())
    return this->handle_lease_end();
  this->granted_until_ms = lease_until_ms;
  this->watch_lease();
  if (this->started)
    this->call_renew();
}

void
BackendTask::confirm_running(std::function<void()> confirmed)
{
  // Until the start is accepted, the lease in the start request limits the
  // task.
  if (!this->started)
    return confirmed();
  this->backend.renew(
    this->start_request.key,
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
    this->start_request.key,
    this->granted_until_ms,
    this->guarded([this, lease_until_ms = this->granted_until_ms](
                    const tl::expected<TaskReport, BackendError>& result) {
      bool ended = result && result->state != TaskState::Running;
      // Only an answered renewal extends the lease, so that a backend server
      // that has ended does not keep its gang running.
      if (result && !ended)
        this->accepted_until_ms =
          std::max(this->accepted_until_ms, lease_until_ms);
      if (ended && !this->finished)
        this->finish_with(*result);
    }));
}

void
BackendTask::watch_lease()
{
  std::int64_t remaining_ms =
    std::max<std::int64_t>(this->lease_until_ms() - kernel::boot_ms(), 0);
  this->lease_timer = this->timers.after(kernel::Milliseconds(remaining_ms + 1),
                                         [this] { this->handle_lease_end(); });
}

void
BackendTask::handle_lease_end()
{
  if (this->finished || this->stopping)
    return;
  if (kernel::boot_ms() < this->lease_until_ms())
    return this->watch_lease();
  // The response to the stop says whether the task ended before its lease.
  this->stop(false, kernel::Milliseconds(0));
}

void
BackendTask::checkpoint(platform::Backend::Done<std::string> done)
{
  this->backend.checkpoint(this->start_request.key, std::move(done));
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
    this->start_request.key,
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
    // A restarted backend server does not know a task that ran before. Only the
    // response to the start request shows whether the task was started.
    if (this->started || this->ambiguous)
      return this->finish(TaskEndKind::Lost);
    if (!this->start_pending)
      return this->finish(TaskEndKind::NeverStarted);
    return;
  }
  if (kernel::boot_ms() >= this->granted_until_ms + LEASE_END_MARGIN_MS)
    return this->finish(TaskEndKind::LeaseExpired);
  this->retry_later([this] { this->call_stop(); });
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
  // Posted, because the callback destroys this object.
  this->post(
    [this, end = std::move(end)]() mutable { this->on_end(std::move(end)); });
}

} // namespace geraniumhinge::agent
