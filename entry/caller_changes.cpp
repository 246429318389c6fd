// The part of CallerApi that submits and cancels workflows.

#include "entry/caller_call.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

using platform::CallerResult;

/// Limits of the first, second and later tries of a change. The first tries can
/// be short because the same change may safely be sent again.
constexpr kernel::Milliseconds COMMIT_TIMEOUTS[] = {
  kernel::Milliseconds(500),
  kernel::Milliseconds(800),
  kernel::Milliseconds(1'200),
};

bool
same_submission(const core::Workflow& left, const core::Workflow& right)
{
  core::Workflow other = right;
  // The caller does not set these fields; they may differ between two tries.
  other.accepted_ms = left.accepted_ms;
  other.service = left.service;
  other.priority = left.priority;
  other.max_failures = left.max_failures;
  other.advice = left.advice;
  return encode_workflow(left) == encode_workflow(other);
}

/// The result of a submission whose identifier has a stored workflow, which is
/// empty if its row can't be read.
CallerResult
repeated_submission_result(const std::optional<core::Workflow>& stored,
                           const core::Workflow& submitted)
{
  bool other = stored && !same_submission(*stored, submitted);
  return other ? CallerResult::Malformed : CallerResult::Accepted;
}

} // namespace

void
CallerApi::submit(const CallPointer& call)
{
  if (call->request.body.size() >
      this->hooks.operator_config().max_body_bytes) {
    this->respond(call, CallerResult::TooLarge);
    return;
  }
  std::optional<core::Workflow> workflow =
    platform::decode_workflow(call->request.body);
  if (!workflow) {
    this->respond(call, CallerResult::Malformed);
    return;
  }
  workflow->id = call->id;
  workflow->queue = call->queue;
  workflow->organisation = call->organisation;
  workflow->accepted_ms = kernel::unix_ms();
  const core::Queue* queue =
    core::find_queue(this->hooks.operator_config(), call->queue);
  workflow->service = queue->service;
  workflow->priority = queue->priority;
  workflow->max_failures = std::max(queue->max_failures, 1U);
  workflow->advice = queue->advice;
  call->workflow = std::move(*workflow);
  if (!this->hooks.can_be_stored(call->workflow)) {
    this->respond(call, CallerResult::TooLarge);
    return;
  }
  const WorkItem* known = this->view.find(call->id);
  if (known) {
    this->respond(call,
                  repeated_submission_result(known->workflow, call->workflow));
    return;
  }
  set_submission(call, 0);
  this->try_submit(call);
}

/// Sets the change that stores the workflow. It depends on the version of the
/// cancel row, so that a cancelling prevents a submission that the store
/// performs later. `cancel_version` is 0 if there is no such row.
void
CallerApi::set_submission(const CallPointer& call, std::uint64_t cancel_version)
{
  platform::RowName row = work_row(WorkRowKind::Workflow, call->id);
  call->change = {};
  call->change.conditions.push_back({ row, 0 });
  call->change.conditions.push_back(
    { work_row(WorkRowKind::Cancel, call->id), cancel_version });
  call->change.writes.push_back({ row, encode_workflow(call->workflow) });
}

/// Sets the change that stores a workflow which was cancelled before. The
/// cancel row is written again, since one that is older than its workflow does
/// not count.
void
CallerApi::set_cancelled_submission(const CallPointer& call,
                                    const platform::StoredRow& cancel)
{
  set_submission(call, cancel.version);
  call->change.writes.push_back({ cancel.name, cancel.value });
}

kernel::Milliseconds
CallerApi::next_timeout(const CallPointer& call)
{
  std::size_t last = std::size(COMMIT_TIMEOUTS) - 1;
  kernel::Milliseconds timeout = COMMIT_TIMEOUTS[std::min(call->tries, last)];
  ++call->tries;
  std::int64_t left = std::max<std::int64_t>(remaining_ms(call), 1);
  return std::min(timeout, kernel::Milliseconds(left));
}

void
CallerApi::try_submit(const CallPointer& call)
{
  // The process may have been paused since the try before.
  bool expired = is_expired(call);
  if (expired && call->ambiguous) {
    this->respond(call, CallerResult::Ambiguous);
    return;
  }
  // A change sent now could be applied after the caller got a refusal.
  if (expired || (this->store.unresponsive() && !call->ambiguous)) {
    this->forward(call, CallerResult::NotApplied);
    return;
  }
  this->store.commit(
    call->change,
    next_timeout(call),
    this->guarded([this, call](const platform::Store::CommitResult& result) {
      this->handle_submit_result(call, result);
    }));
}

void
CallerApi::handle_submit_result(const CallPointer& call,
                                const platform::Store::CommitResult& result)
{
  if (result) {
    for (const platform::RowValue& write : call->change.writes)
      this->view.apply(
        platform::StoredRow{ write.name, write.value, *result, false });
    this->hooks.workflow_accepted();
    this->respond(call, CallerResult::Accepted);
    return;
  }
  switch (result.error().kind) {
    case platform::StoreErrorKind::Conflict:
      this->handle_submit_conflict(call, result.error());
      return;
    case platform::StoreErrorKind::Refused:
      if (!call->ambiguous) {
        this->forward(call, CallerResult::NotApplied);
        return;
      }
      break;
    default:
      this->handle_ambiguous_commit(call,
                                    [this, call] { this->try_submit(call); });
      return;
  }
  this->retry(call, [this, call] { this->try_submit(call); });
}

/// A row on whose absence the submission depends exists.
void
CallerApi::handle_submit_conflict(const CallPointer& call,
                                  const platform::StoreError& conflict)
{
  platform::RowName workflow_row = work_row(WorkRowKind::Workflow, call->id);
  platform::RowName cancel_row = work_row(WorkRowKind::Cancel, call->id);
  if (platform::version_of(conflict, workflow_row) != 0) {
    // An earlier try or another call has submitted the workflow.
    const platform::StoredRow* row =
      platform::find_row(conflict.current, workflow_row);
    std::optional<core::Workflow> stored =
      row ? decode_workflow(row->value) : std::nullopt;
    this->respond(call, repeated_submission_result(stored, call->workflow));
    return;
  }
  // A cancel row that can't be read was left by another writer.
  const platform::StoredRow* cancel =
    platform::find_row(conflict.current, cancel_row);
  std::uint64_t cancel_version = platform::version_of(conflict, cancel_row);
  if (cancel)
    set_cancelled_submission(call, *cancel);
  else
    set_submission(call, cancel_version);
  if (cancel_version != 0)
    this->try_submit(call);
  else
    this->retry(call, [this, call] { this->try_submit(call); });
}

/// Handles a commit that got no response. Another entry can safely commit the
/// same change, since the store applies only one of the two.
void
CallerApi::handle_ambiguous_commit(const CallPointer& call,
                                   std::function<void()> try_again)
{
  call->ambiguous = true;
  if (call->request.forwarded)
    this->retry(call, std::move(try_again));
  else
    this->forward(call, CallerResult::Ambiguous);
}

void
CallerApi::cancel(const CallPointer& call)
{
  const WorkItem* known = this->view.find(call->id);
  if (known && known->progress.outcome == core::Outcome::Cancelled) {
    this->respond(call, CallerResult::Accepted);
    return;
  }
  this->try_cancel(call, known ? known->workflow_version : 0);
}

/// Stores the cancel row of the workflow whose row has `workflow_version`. At 0
/// there is no such row, but a submission may still be on its way to the store;
/// it then finds the cancel row.
void
CallerApi::try_cancel(const CallPointer& call, std::uint64_t workflow_version)
{
  platform::RowChange change;
  change.conditions.push_back(
    { work_row(WorkRowKind::Workflow, call->id), workflow_version });
  platform::RowName row = work_row(WorkRowKind::Cancel, call->id);
  change.writes.push_back({ row, call->organisation });
  this->store.commit(
    change,
    next_timeout(call),
    this->guarded([this, call, row, workflow_version](
                    const platform::Store::CommitResult& result) {
      if (result) {
        this->view.apply(platform::StoredRow{ row, "", *result, false });
        this->hooks.workflow_accepted();
        this->respond(call,
                      workflow_version == 0 ? CallerResult::NoSuchJob
                                            : CallerResult::Accepted);
        return;
      }
      switch (result.error().kind) {
        case platform::StoreErrorKind::Conflict: {
          std::uint64_t present = platform::version_of(
            result.error(), work_row(WorkRowKind::Workflow, call->id));
          if (present != workflow_version) {
            this->try_cancel(call, present);
            return;
          }
          break;
        }
        case platform::StoreErrorKind::Refused:
          if (!call->ambiguous) {
            this->forward(call, CallerResult::NotApplied);
            return;
          }
          break;
        default:
          this->handle_ambiguous_commit(call, [this, call, workflow_version] {
            this->try_cancel(call, workflow_version);
          });
          return;
      }
      this->retry(call, [this, call, workflow_version] {
        this->try_cancel(call, workflow_version);
      });
    }));
}

} // namespace geraniumhinge::entry
