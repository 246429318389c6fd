#include "entry/caller_api.h"

#include "entry/events.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

using platform::CallerOperation;
using platform::CallerResult;
using platform::CallerState;

/// Limits of the first, second and later tries of a change. The first tries can
/// be short because the same change may safely be sent again.
constexpr kernel::Milliseconds COMMIT_TIMEOUTS[] = {
  kernel::Milliseconds(500),
  kernel::Milliseconds(800),
  kernel::Milliseconds(1'200),
};
constexpr kernel::Milliseconds READ_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds RETRY_PAUSE{ 60 };
/// How long a request that no entry could store is tried again before it is
/// refused. With a longer limit, callers leave before they get the refusal.
constexpr std::int64_t STORE_RETRY_LIMIT_MS = 200;
constexpr kernel::Milliseconds STORE_RETRY_PAUSE{ 100 };
/// The part of a caller's deadline that is reserved for the response to arrive
/// is the deadline divided by this, up to a maximum.
constexpr std::int64_t RESPONSE_MARGIN_DIVISOR = 6;
constexpr std::int64_t MAX_RESPONSE_MARGIN_MS = 300;
/// With less remaining time, a change is not sent.
constexpr std::int64_t MIN_TRY_MS = 50;
/// Longest time for which a call is tried. A submission must not be on its way
/// for as long as the row of its cancelling is kept.
constexpr std::int64_t MAX_CALL_MS = 30'000;

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

/// The row among those of a conflict; null if the store does not have it.
const platform::StoredRow*
find_row(const std::vector<platform::StoredRow>& rows,
         const platform::RowName& name)
{
  std::vector<platform::StoredRow>::const_iterator found = std::find_if(
    rows.begin(), rows.end(), [&name](const platform::StoredRow& row) {
      return row.name == name;
    });
  return found == rows.end() ? nullptr : &*found;
}

/// The present version of a row of a failed condition, also if its value can't
/// be read; 0 if the store does not have the row.
std::uint64_t
version_of(const platform::StoreError& conflict, const platform::RowName& name)
{
  for (const std::vector<platform::StoredRow>* rows :
       { &conflict.current, &conflict.unreadable }) {
    const platform::StoredRow* row = find_row(*rows, name);
    if (row)
      return row->version;
  }
  return 0;
}

/// Whether the result tells the caller that its change was not applied and will
/// not be. `Malformed` is left out: it follows from the request or from a
/// stored row, so no change is on its way.
bool
says_not_applied(CallerResult result)
{
  return result == CallerResult::NoSuchQueue ||
         result == CallerResult::Unauthorised ||
         result == CallerResult::TooLarge || result == CallerResult::NotApplied;
}

} // namespace

struct CallerApi::Call
{
  platform::CallerRequest request;
  platform::CallerRespond respond;
  std::string id;    ///< The workflow's, empty for the queue itself.
  std::string queue; ///< core::Queue::id
  std::string organisation;
  core::Workflow workflow; ///< The workflow to submit.
  platform::RowChange change;
  bool ambiguous = false; ///< The change was sent, with an unknown effect.
  std::size_t tries = 0;  ///< How often the change was sent.
  std::int64_t received_ms = 0;
};

CallerApi::CallerApi(kernel::Loop& loop,
                     kernel::TimerService& timers,
                     const kernel::Log& log,
                     kernel::Metrics& metrics,
                     platform::Store& store,
                     WorkView& view,
                     Relay& relay,
                     CallerApiHooks hooks)
  : Task(loop, "caller_api")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , store(store)
  , view(view)
  , relay(relay)
  , hooks(std::move(hooks))
{
}

void
CallerApi::handle(platform::CallerRequest request,
                  platform::CallerRespond respond)
{
  CallPointer call = std::make_shared<Call>();
  call->request = std::move(request);
  call->respond = std::move(respond);
  call->received_ms = kernel::boot_ms();
  // Set early, for the log lines of calls that are refused before dispatch.
  const std::string& path = call->request.path;
  call->id = path.substr(path.rfind('/') + 1);
  this->start(call);
}

void
CallerApi::start(const CallPointer& call)
{
  if (this->hooks.data_is_current())
    this->dispatch(call);
  else
    this->forward(call, CallerResult::NotApplied);
}

void
CallerApi::run_after(kernel::Milliseconds delay, std::function<void()> action)
{
  std::shared_ptr<kernel::Subscription> timer =
    std::make_shared<kernel::Subscription>();
  *timer = this->timers.after(
    delay, this->guarded([timer, action = std::move(action)] {
      action();
      timer->reset();
    }));
}

void
CallerApi::dispatch(const CallPointer& call)
{
  const core::OperatorConfig& operator_config = this->hooks.operator_config();
  const platform::CallerRequest& request = call->request;
  const core::Queue* queue =
    core::find_queue(operator_config, request.host, request.path);
  if (!queue) {
    this->respond(call, CallerResult::NoSuchQueue);
    return;
  }
  const core::OrganisationConfig* organisation =
    core::find_organisation_by_token(operator_config, request.token);
  if (!organisation && !queue->allows_anonymous) {
    this->respond(call, CallerResult::Unauthorised);
    return;
  }
  call->organisation = organisation ? organisation->name : std::string();
  call->queue = queue->id();
  call->id = request.path.substr(queue->path_prefix.size());
  bool get = request.operation == CallerOperation::GetState;
  if (call->id.empty() && get) {
    this->respond(call,
                  platform::CallerResponse{
                    CallerResult::Waiting,
                    {},
                    count_waiting_workflows(this->view, call->queue) });
    return;
  }
  if (!platform::valid_workflow_id(call->id)) {
    this->respond(call,
                  request.operation == CallerOperation::Submit
                    ? CallerResult::Malformed
                    : CallerResult::NoSuchJob);
    return;
  }
  switch (request.operation) {
    case CallerOperation::Submit:
      this->submit(call);
      return;
    case CallerOperation::GetState:
      this->get_state(call);
      return;
    case CallerOperation::Cancel:
      this->cancel(call);
      return;
  }
}

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
    bool same = same_submission(*known->workflow, call->workflow);
    this->respond(call,
                  same ? CallerResult::Accepted : CallerResult::Malformed);
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

/// Time until the response must be sent.
std::int64_t
CallerApi::remaining_ms(const CallPointer& call)
{
  std::int64_t deadline =
    std::min<std::int64_t>(call->request.deadline.count(), MAX_CALL_MS);
  std::int64_t margin =
    std::min(MAX_RESPONSE_MARGIN_MS, deadline / RESPONSE_MARGIN_DIVISOR);
  return call->received_ms + deadline - margin - kernel::boot_ms();
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
  bool expired = remaining_ms(call) < MIN_TRY_MS;
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

void
CallerApi::handle_submit_conflict(const CallPointer& call,
                                  const platform::StoreError& conflict)
{
  platform::RowName workflow_row = work_row(WorkRowKind::Workflow, call->id);
  platform::RowName cancel_row = work_row(WorkRowKind::Cancel, call->id);
  if (version_of(conflict, workflow_row) != 0) {
    // This call or another one has submitted the workflow before.
    const platform::StoredRow* row = find_row(conflict.current, workflow_row);
    std::optional<core::Workflow> stored =
      row ? decode_workflow(row->value) : std::nullopt;
    bool other = stored && !same_submission(*stored, call->workflow);
    this->respond(call,
                  other ? CallerResult::Malformed : CallerResult::Accepted);
    return;
  }
  const platform::StoredRow* cancel = find_row(conflict.current, cancel_row);
  std::uint64_t cancel_version = version_of(conflict, cancel_row);
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
CallerApi::retry(const CallPointer& call, std::function<void()> try_again)
{
  if (remaining_ms(call) < RETRY_PAUSE.count()) {
    this->respond(call, CallerResult::Ambiguous);
    return;
  }
  this->run_after(RETRY_PAUSE, std::move(try_again));
}

void
CallerApi::find_workflow(const CallPointer& call,
                         std::function<void(platform::Store::ReadResult)> found)
{
  platform::RowName row = work_row(WorkRowKind::Workflow, call->id);
  platform::RowRange range{ row.table, row.part, row.key, 1 };
  this->store.read(
    range,
    READ_TIMEOUT,
    this->guarded(
      [row, found = std::move(found)](platform::Store::ReadResult page) {
        if (page && !page->rows.empty() && page->rows.front().name != row)
          page->rows.clear();
        found(std::move(page));
      }));
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
          std::uint64_t present = version_of(
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

void
CallerApi::get_state(const CallPointer& call)
{
  const WorkItem* known = this->view.find(call->id);
  if (known) {
    this->respond(call,
                  platform::CallerResponse{
                    CallerResult::State, this->state_of(*known), 0 });
    return;
  }
  this->find_workflow(
    call, [this, call](const platform::Store::ReadResult& page) {
      if (!page) {
        this->forward(call, CallerResult::NotApplied);
        return;
      }
      if (page->rows.empty()) {
        this->respond(call, CallerResult::NoSuchJob);
        return;
      }
      this->view.apply(*page);
      const WorkItem* item = this->view.find(call->id);
      this->respond(call,
                    platform::CallerResponse{ CallerResult::State,
                                              item ? this->state_of(*item)
                                                   : CallerState::Pending,
                                              0 });
    });
}

CallerState
CallerApi::state_of(const WorkItem& item) const
{
  switch (item.progress.outcome) {
    case core::Outcome::Completed:
      return CallerState::Completed;
    case core::Outcome::Failed:
      return CallerState::Failed;
    case core::Outcome::Cancelled:
      return CallerState::Cancelled;
    case core::Outcome::Open:
      break;
  }
  return item.progress.started ? CallerState::Running : CallerState::Pending;
}

void
CallerApi::forward(const CallPointer& call, CallerResult fallback)
{
  // Another entry could apply the change, but its response would be too late.
  bool too_late = remaining_ms(call) < MIN_TRY_MS && !call->ambiguous;
  if (call->request.forwarded || too_late) {
    this->respond(call, fallback);
    return;
  }
  this->metrics.counter("entry_relayed_total").add();
  platform::CallerRequest forwarded = call->request;
  forwarded.deadline =
    kernel::Milliseconds(std::max<std::int64_t>(remaining_ms(call), 1));
  this->relay.forward(
    forwarded,
    this->guarded(
      [this, call, fallback](const platform::CallerResponse& response) {
        this->handle_forward_response(call, fallback, response);
      }));
}

void
CallerApi::handle_forward_response(const CallPointer& call,
                                   CallerResult fallback,
                                   const platform::CallerResponse& response)
{
  bool get = call->request.operation == CallerOperation::GetState;
  if (response.result == CallerResult::Ambiguous && !get) {
    // The row shows whether the change was applied, once the store responds.
    call->ambiguous = true;
    this->retry(call, [this, call] { this->start(call); });
    return;
  }
  if (response.result != CallerResult::NotApplied) {
    this->respond(call, response);
    return;
  }
  if (call->ambiguous) {
    this->retry(call, [this, call] { this->start(call); });
    return;
  }
  std::int64_t waited_ms = kernel::boot_ms() - call->received_ms;
  if (!get && waited_ms < STORE_RETRY_LIMIT_MS) {
    this->run_after(STORE_RETRY_PAUSE, [this, call] { this->start(call); });
    return;
  }
  const WorkItem* known = this->view.find(call->id);
  if (get && known)
    this->respond(call,
                  platform::CallerResponse{
                    CallerResult::State, this->state_of(*known), 0 });
  else
    this->respond(call, fallback);
}

void
CallerApi::respond(const CallPointer& call, CallerResult result)
{
  this->respond(call, platform::CallerResponse{ result, {}, 0 });
}

void
CallerApi::respond(const CallPointer& call,
                   const platform::CallerResponse& decided)
{
  const platform::CallerRequest& request = call->request;
  platform::CallerResponse response = decided;
  // A change without a response may still be applied, whatever another entry,
  // or a newer configuration, says of the request.
  if (call->ambiguous && says_not_applied(response.result))
    response = { CallerResult::Ambiguous, {}, 0 };
  std::string_view result =
    name_of(platform::CALLER_RESULT_NAMES, response.result);
  std::string_view operation =
    name_of(platform::CALLER_OPERATION_NAMES, request.operation);
  std::int64_t elapsed_ms = kernel::boot_ms() - call->received_ms;
  this->metrics
    .counter(fmt::format(
      "entry_calls_total{{operation=\"{}\",result=\"{}\"}}", operation, result))
    .add();
  this->metrics
    .histogram(fmt::format("entry_call_ms{{operation=\"{}\"}}", operation))
    .observe(static_cast<double>(elapsed_ms));
  // Reads of states are too frequent for the log; the counter includes them.
  bool is_read = response.result == CallerResult::State ||
                 response.result == CallerResult::Waiting;
  if (!is_read)
    this->log.write(CALL_ANSWERED,
                    { { "job", call->id },
                      { "operation", operation },
                      { "result", result },
                      { "path", request.path },
                      { "organisation", call->organisation },
                      { "config", this->hooks.operator_config().version },
                      { "relayed", request.forwarded },
                      { "took_ms", elapsed_ms } });
  call->respond(response);
}

} // namespace geraniumhinge::entry
