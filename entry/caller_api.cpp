#include "entry/caller_call.h"

#include "entry/events.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

using platform::CallerOperation;
using platform::CallerResult;
using platform::CallerState;

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

bool
CallerApi::is_expired(const CallPointer& call)
{
  return remaining_ms(call) < MIN_TRY_MS;
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
  bool too_late = is_expired(call) && !call->ambiguous;
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
