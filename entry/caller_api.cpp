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

constexpr kernel::Milliseconds COMMIT_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds READ_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds RETRY_PAUSE{ 60 };
/// A request that nobody could store is tried again for so long before it is
/// refused. Longer than this, callers leave before they are told.
constexpr std::int64_t STORE_RETRY_LIMIT_MS = 200;
constexpr kernel::Milliseconds STORE_RETRY_PAUSE{ 100 };
/// Kept of a caller's deadline for the answer to arrive.
constexpr std::int64_t ANSWER_MARGIN_MS = 300;

bool
same_submission(const core::Workflow& left, const core::Workflow& right)
{
  core::Workflow other = right;
  // These are not the caller's, and may differ between two tries.
  other.accepted_ms = left.accepted_ms;
  other.service = left.service;
  other.priority = left.priority;
  other.attempts = left.attempts;
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
  this->begin(call);
}

void
CallerApi::begin(const CallPointer& call)
{
  if (this->hooks.fresh())
    this->dispatch(call);
  else
    this->pass_on(call, CallerResult::NotDone);
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
  const core::Directory& directory = this->hooks.directory();
  const platform::CallerRequest& request = call->request;
  const core::Queue* queue =
    core::find_queue(directory, request.host, request.path);
  if (!queue) {
    this->answer(call, CallerResult::NoSuchQueue);
    return;
  }
  const core::Tenancy* organisation =
    core::find_tenancy(directory, request.token);
  if (!organisation && !queue->open) {
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
      platform::CallerAnswer{
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
  if (call->request.body.size() > this->hooks.directory().max_body_bytes) {
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
    core::find_queue(this->hooks.directory(), call->queue);
  workflow->service = queue->service;
  workflow->priority = queue->priority;
  workflow->attempts = std::max(queue->attempts, 1U);
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

void
CallerApi::try_submit(const CallPointer& call)
{
  this->store.commit(
    call->change,
    COMMIT_TIMEOUT,
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
    this->hooks.accepted();
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
        this->pass_on(call, CallerResult::NotDone);
        return;
      }
      break;
    default:
      call->uncertain = true;
      break;
  }
  this->retry(call, [this, call] { this->try_submit(call); });
}

void
CallerApi::retry(const CallPointer& call, std::function<void()> again)
{
  std::int64_t deadline = call->received_ms + call->request.deadline.count();
  if (kernel::boot_ms() + RETRY_PAUSE.count() + ANSWER_MARGIN_MS > deadline) {
    this->answer(call, CallerResult::Uncertain);
    return;
  }
  this->after(RETRY_PAUSE, std::move(again));
}

void
CallerApi::look_up(const CallPointer& call,
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
  this->look_up(call, [this, call](const platform::Store::ReadResult& page) {
    if (!page)
      this->pass_on(call, CallerResult::NotDone);
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
    COMMIT_TIMEOUT,
    this->guarded([this, call, row, workflow_version](
                    const platform::Store::CommitResult& result) {
      if (result) {
        this->view.apply(platform::StoredRow{ row, "", *result, false });
        this->hooks.accepted();
        this->answer(call, CallerResult::Accepted);
        return;
      }
      switch (result.error().kind) {
        case platform::StoreErrorKind::Conflict:
          this->answer(call, CallerResult::NoSuchJob);
          return;
        case platform::StoreErrorKind::Refused:
          if (!call->uncertain) {
            this->pass_on(call, CallerResult::NotDone);
            return;
          }
          break;
        default:
          call->uncertain = true;
          break;
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
    this->answer(
      call,
      platform::CallerAnswer{ CallerResult::State, this->state_of(*known), 0 });
    return;
  }
  this->look_up(call, [this, call](const platform::Store::ReadResult& page) {
    if (!page) {
      this->pass_on(call, CallerResult::NotDone);
      return;
    }
    if (page->rows.empty()) {
      this->answer(call, CallerResult::NoSuchJob);
      return;
    }
    this->view.apply(*page);
    const WorkItem* item = this->view.find(call->id);
    this->answer(call,
                 platform::CallerAnswer{ CallerResult::State,
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
CallerApi::pass_on(const CallPointer& call, CallerResult otherwise)
{
  if (call->request.relayed) {
    this->answer(call, otherwise);
    return;
  }
  this->metrics.counter("entry_relayed_total").add();
  this->relay.pass(
    call->request,
    this->guarded(
      [this, call, otherwise](const platform::CallerAnswer& answer) {
        if (answer.result != CallerResult::NotDone) {
          this->answer(call, answer);
          return;
        }
        const WorkItem* known = this->view.find(
          call->request.path.substr(call->request.path.rfind('/') + 1));
        bool get = call->request.operation == CallerOperation::GetState;
        std::int64_t waited = kernel::boot_ms() - call->received_ms;
        if (!get && waited < STORE_RETRY_LIMIT_MS) {
          this->after(STORE_RETRY_PAUSE, [this, call] { this->begin(call); });
          return;
        }
        bool show = get && known;
        if (show)
          this->answer(call,
                       platform::CallerAnswer{
                         CallerResult::State, this->state_of(*known), 0 });
        else
          this->answer(call, otherwise);
      }));
}

void
CallerApi::answer(const CallPointer& call, CallerResult result)
{
  this->answer(call, platform::CallerAnswer{ result, {}, 0 });
}

void
CallerApi::answer(const CallPointer& call, const platform::CallerAnswer& answer)
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
                      { "config", this->hooks.directory().version },
                      { "relayed", request.relayed },
                      { "took_ms", took } });
  call->respond(answer);
}

} // namespace geraniumhinge::entry
