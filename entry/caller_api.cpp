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

/// Of the first, second and later tries of a change. The first ones are short,
/// since the same change may be sent again at any time.
constexpr kernel::Milliseconds COMMIT_TIMEOUTS[] = {
  kernel::Milliseconds(500),
  kernel::Milliseconds(800),
  kernel::Milliseconds(1'200),
};
constexpr kernel::Milliseconds READ_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds RETRY_PAUSE{ 60 };
/// A request that nobody could store is tried again for so long before it is
/// refused. Longer than this, callers leave before they are told.
constexpr std::int64_t STORE_RETRY_LIMIT_MS = 200;
constexpr kernel::Milliseconds STORE_RETRY_PAUSE{ 100 };
/// Kept of a caller's deadline for the answer to arrive: this part of it, and
/// at most so long.
constexpr std::int64_t ANSWER_MARGIN_PART = 6;
constexpr std::int64_t ANSWER_MARGIN_MS = 300;
/// With less time left, a change is not sent for the first time.
constexpr std::int64_t LEAST_TRY_MS = 50;

bool
same_submission(const core::Workflow& left, const core::Workflow& right)
{
  core::Workflow other = right;
  // These are not the caller's, and may differ between two tries.
  other.accepted_ms = left.accepted_ms;
  other.service = left.service;
  other.priority = left.priority;
  other.max_failures = left.max_failures;
  return encode_workflow(left) == encode_workflow(other);
}

} // namespace

struct CallerApi::Call
{
  platform::CallerRequest request;
  platform::CallerRespond respond;
  std::string id;    ///< Of the workflow, empty for the queue itself.
  std::string queue; ///< core::Queue::id
  std::string organisation;
  core::Workflow workflow; ///< To submit.
  platform::RowChange change;
  bool uncertain = false; ///< A call to the store got no answer.
  std::size_t tries = 0;  ///< Of the change.
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
  // For the log, also of requests that are refused before they are looked at.
  const std::string& path = call->request.path;
  call->id = path.substr(path.rfind('/') + 1);
  this->begin(call);
}

void
CallerApi::begin(const CallPointer& call)
{
  if (this->hooks.data_is_current())
    this->dispatch(call);
  else
    this->forward(call, CallerResult::NotApplied);
}

void
CallerApi::after(kernel::Milliseconds delay, std::function<void()> action)
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
    this->answer(call, CallerResult::NoSuchQueue);
    return;
  }
  const core::OrganisationConfig* organisation =
    core::find_organisation_by_token(operator_config, request.token);
  if (!organisation && !queue->allows_anonymous) {
    this->answer(call, CallerResult::Unauthorised);
    return;
  }
  call->organisation = organisation ? organisation->name : std::string();
  call->queue = queue->id();
  call->id = request.path.substr(queue->path_prefix.size());
  bool get = request.operation == CallerOperation::GetState;
  if (call->id.empty() && get) {
    this->answer(
      call,
      platform::CallerResponse{
        CallerResult::Waiting, {}, count_waiting(this->view, call->queue) });
    return;
  }
  if (!platform::valid_workflow_id(call->id)) {
    this->answer(call,
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
      this->show(call);
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
    this->answer(call, CallerResult::TooLarge);
    return;
  }
  std::optional<core::Workflow> workflow =
    platform::decode_workflow(call->request.body);
  if (!workflow) {
    this->answer(call, CallerResult::Malformed);
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
  call->workflow = std::move(*workflow);
  const WorkItem* known = this->view.find(call->id);
  if (known) {
    bool same = same_submission(*known->workflow, call->workflow);
    this->answer(call, same ? CallerResult::Accepted : CallerResult::Malformed);
    return;
  }
  platform::RowName row = work_row(WorkRowKind::Workflow, call->id);
  call->change = {};
  call->change.conditions.push_back({ row, 0 });
  call->change.writes.push_back({ row, encode_workflow(call->workflow) });
  this->try_submit(call);
}

/// Time that is left until the answer must be on its way.
std::int64_t
CallerApi::remaining_ms(const CallPointer& call)
{
  std::int64_t deadline = call->request.deadline.count();
  std::int64_t margin =
    std::min(ANSWER_MARGIN_MS, deadline / ANSWER_MARGIN_PART);
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
  // Sent now, it could be carried out after the caller was refused.
  bool hopeless =
    this->store.unresponsive() || remaining_ms(call) < LEAST_TRY_MS;
  if (hopeless && !call->uncertain) {
    this->forward(call, CallerResult::NotApplied);
    return;
  }
  this->store.commit(
    call->change,
    next_timeout(call),
    this->guarded([this, call](const platform::Store::CommitResult& result) {
      this->submitted(call, result);
    }));
}

void
CallerApi::submitted(const CallPointer& call,
                     const platform::Store::CommitResult& result)
{
  if (result) {
    const platform::RowValue& write = call->change.writes.front();
    this->view.apply(
      platform::StoredRow{ write.name, write.value, *result, false });
    this->hooks.workflow_accepted();
    this->answer(call, CallerResult::Accepted);
    return;
  }
  switch (result.error().kind) {
    case platform::StoreErrorKind::Conflict: {
      // Submitted before, by this call or another.
      std::optional<core::Workflow> stored;
      if (!result.error().current.empty())
        stored = decode_workflow(result.error().current.front().value);
      bool other = stored && !same_submission(*stored, call->workflow);
      this->answer(call,
                   other ? CallerResult::Malformed : CallerResult::Accepted);
      return;
    }
    case platform::StoreErrorKind::Refused:
      if (!call->uncertain) {
        this->forward(call, CallerResult::NotApplied);
        return;
      }
      break;
    default:
      this->unanswered(call, [this, call] { this->try_submit(call); });
      return;
  }
  this->retry(call, [this, call] { this->try_submit(call); });
}

/// A change got no answer. The same change by another entry settles it: only
/// one of them is applied.
void
CallerApi::unanswered(const CallPointer& call, std::function<void()> again)
{
  call->uncertain = true;
  if (call->request.relayed)
    this->retry(call, std::move(again));
  else
    this->forward(call, CallerResult::Ambiguous);
}

void
CallerApi::retry(const CallPointer& call, std::function<void()> again)
{
  if (remaining_ms(call) < RETRY_PAUSE.count()) {
    this->answer(call, CallerResult::Ambiguous);
    return;
  }
  this->after(RETRY_PAUSE, std::move(again));
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
    this->answer(call, CallerResult::Accepted);
    return;
  }
  if (known) {
    this->try_cancel(call, known->workflow_version);
    return;
  }
  this->find_workflow(call,
                      [this, call](const platform::Store::ReadResult& page) {
                        if (!page)
                          this->forward(call, CallerResult::NotApplied);
                        else if (page->rows.empty())
                          this->answer(call, CallerResult::NoSuchJob);
                        else
                          this->try_cancel(call, page->rows.front().version);
                      });
}

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
        this->answer(call, CallerResult::Accepted);
        return;
      }
      switch (result.error().kind) {
        case platform::StoreErrorKind::Conflict:
          this->answer(call, CallerResult::NoSuchJob);
          return;
        case platform::StoreErrorKind::Refused:
          if (!call->uncertain) {
            this->forward(call, CallerResult::NotApplied);
            return;
          }
          break;
        default:
          this->unanswered(call, [this, call, workflow_version] {
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
CallerApi::show(const CallPointer& call)
{
  const WorkItem* known = this->view.find(call->id);
  if (known) {
    this->answer(call,
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
        this->answer(call, CallerResult::NoSuchJob);
        return;
      }
      this->view.apply(*page);
      const WorkItem* item = this->view.find(call->id);
      this->answer(call,
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
CallerApi::forward(const CallPointer& call, CallerResult otherwise)
{
  // Another entry could do it, and its answer would come too late.
  bool too_late = remaining_ms(call) < LEAST_TRY_MS && !call->uncertain;
  if (call->request.relayed || too_late) {
    this->answer(call, otherwise);
    return;
  }
  this->metrics.counter("entry_relayed_total").add();
  platform::CallerRequest passed = call->request;
  passed.deadline =
    kernel::Milliseconds(std::max<std::int64_t>(remaining_ms(call), 1));
  this->relay.forward(passed,
                      this->guarded([this, call, otherwise](
                                      const platform::CallerResponse& answer) {
                        this->forwarded(call, otherwise, answer);
                      }));
}

void
CallerApi::forwarded(const CallPointer& call,
                     CallerResult otherwise,
                     const platform::CallerResponse& answer)
{
  bool get = call->request.operation == CallerOperation::GetState;
  if (answer.result == CallerResult::Ambiguous && !get) {
    // The row will tell, once the store can be asked.
    call->uncertain = true;
    this->retry(call, [this, call] { this->begin(call); });
    return;
  }
  if (answer.result != CallerResult::NotApplied) {
    this->answer(call, answer);
    return;
  }
  if (call->uncertain) {
    this->retry(call, [this, call] { this->begin(call); });
    return;
  }
  std::int64_t waited = kernel::boot_ms() - call->received_ms;
  if (!get && waited < STORE_RETRY_LIMIT_MS) {
    this->after(STORE_RETRY_PAUSE, [this, call] { this->begin(call); });
    return;
  }
  const WorkItem* known = this->view.find(call->id);
  if (get && known)
    this->answer(call,
                 platform::CallerResponse{
                   CallerResult::State, this->state_of(*known), 0 });
  else
    this->answer(call, otherwise);
}

void
CallerApi::answer(const CallPointer& call, CallerResult result)
{
  this->answer(call, platform::CallerResponse{ result, {}, 0 });
}

void
CallerApi::answer(const CallPointer& call,
                  const platform::CallerResponse& answer)
{
  const platform::CallerRequest& request = call->request;
  std::string_view result =
    name_of(platform::CALLER_RESULT_NAMES, answer.result);
  std::string_view operation =
    name_of(platform::CALLER_OPERATION_NAMES, request.operation);
  std::int64_t took = kernel::boot_ms() - call->received_ms;
  this->metrics
    .counter(fmt::format(
      "entry_calls_total{{operation=\"{}\",result=\"{}\"}}", operation, result))
    .add();
  this->metrics
    .histogram(fmt::format("entry_call_ms{{operation=\"{}\"}}", operation))
    .observe(static_cast<double>(took));
  // Shown states are too many for the log; the counter has them.
  bool shown = answer.result == CallerResult::State ||
               answer.result == CallerResult::Waiting;
  if (!shown)
    this->log.write(CALL_ANSWERED,
                    { { "job", call->id },
                      { "operation", operation },
                      { "result", result },
                      { "path", request.path },
                      { "organisation", call->organisation },
                      { "config", this->hooks.operator_config().version },
                      { "relayed", request.relayed },
                      { "took_ms", took } });
  call->respond(answer);
}

} // namespace geraniumhinge::entry
