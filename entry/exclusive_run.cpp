#include "entry/exclusive_run.h"

#include "entry/events.h"
#include "entry/rows.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds ROW_POLL_PERIOD{ 100 };
// Time from the caller's deadline until an outcome that is not resolved is
// recorded as unknown.
constexpr std::int64_t UNRESOLVED_LIMIT_MS = 30'000;

} // namespace

ExclusiveRun::ExclusiveRun(RunContext& context,
                           std::string key,
                           std::uint64_t hash,
                           v1::RunRequest request,
                           const kernel::TraceContext& trace,
                           std::function<void()> ended)
  : Task(context.loop, "exclusive_run")
  , context(context)
  , key(std::move(key))
  , hash(hash)
  , request(std::move(request))
  , ended(std::move(ended))
  , span(context.tracer.start("run.exclusive", trace))
  , deadline_ms(kernel::boot_ms() + this->request.timeout_ms())
{
}

void
ExclusiveRun::join(kernel::Milliseconds timeout, Done done)
{
  Waiter waiter;
  waiter.done = std::move(done);
  waiter.deadline =
    this->context.timers.after(timeout, [this, index = this->waiters.size()] {
      Done callback = std::exchange(this->waiters[index].done, nullptr);
      if (callback)
        callback(run_response(this->request.request_id(),
                              v1::OUTCOME_UNKNOWN,
                              v1::REASON_DEADLINE));
    });
  this->waiters.push_back(std::move(waiter));
}

void
ExclusiveRun::start()
{
  this->start_attempt();
}

kernel::Milliseconds
ExclusiveRun::remaining() const
{
  return kernel::Milliseconds(
    std::max<std::int64_t>(this->deadline_ms - kernel::boot_ms(), 1));
}

void
ExclusiveRun::start_attempt()
{
  bool exhausted = this->attempts >= this->context.settings.max_attempts ||
                   kernel::boot_ms() >= this->deadline_ms;
  std::optional<PickedServer> next;
  if (!exhausted)
    next = this->context.picker.pick(this->tried_servers);
  if (next)
    this->write_attempt(std::move(*next));
  else
    this->refuse(v1::REASON_NO_CAPACITY);
}

void
ExclusiveRun::write_attempt(PickedServer picked)
{
  ++this->attempts;
  this->tried_servers.insert(picked.server);
  this->picked = std::move(picked);
  v1::RequestRow next;
  next.set_body_hash(this->hash);
  next.set_entry(this->context.membership.self().name());
  next.set_entry_incarnation(this->context.membership.self().incarnation());
  next.set_server(this->picked->server);
  next.set_server_incarnation(this->picked->incarnation);
  next.set_agent_address(this->picked->agent_address);
  next.set_attempt(kernel::random_id());
  next.set_created_ms(kernel::unix_ms());
  platform::Transaction transaction;
  transaction.checks.push_back({ this->key, this->version });
  transaction.writes.push_back(write_row(this->key, next));
  this->context.table.commit(
    std::move(transaction),
    this->guarded([this, next](const platform::Table::CommitResult& result) {
      this->handle_attempt_commit(result, next);
    }));
}

void
ExclusiveRun::handle_attempt_commit(const platform::Table::CommitResult& result,
                                    v1::RequestRow next)
{
  if (result) {
    this->row = std::move(next);
    this->version = result->front();
    this->dispatch();
    return;
  }
  this->picked.reset();
  if (result.error().kind == platform::TableErrorKind::Conflict) {
    this->read_row();
    return;
  }
  // NOT_RUN is true: an attempt is dispatched only once its row is known to be
  // committed.
  this->respond(not_run(
    this->context, this->request.request_id(), v1::REASON_STORE_UNAVAILABLE));
  this->end();
}

v1::Envelope
ExclusiveRun::envelope(bool query_only) const
{
  v1::Envelope envelope;
  envelope.set_traceparent(this->span.traceparent());
  v1::AgentRun& run = *envelope.mutable_agent_run();
  run.set_attempt(this->row.attempt());
  run.set_incarnation(this->row.server_incarnation());
  run.set_query_only(query_only);
  if (!query_only) {
    run.set_input(this->request.input());
    run.set_timeout_ms(this->remaining().count());
  }
  return envelope;
}

void
ExclusiveRun::dispatch()
{
  std::uint64_t attempt_number = ++this->attempt_number;
  this->context.transport.request(
    this->row.agent_address(),
    this->envelope(false),
    this->remaining(),
    this->guarded([this, attempt_number](const peer::PeerNode::Reply& reply) {
      if (attempt_number == this->attempt_number && !this->resolved)
        this->handle_dispatch_reply(reply);
    }));
  this->schedule_query();
}

void
ExclusiveRun::handle_dispatch_reply(const peer::PeerNode::Reply& reply)
{
  if (reply) {
    this->context.fleet.record_reply(this->row.server());
    this->apply_reply(reply->agent_run_reply());
    return;
  }
  if (reply.error() == peer::PeerError::NotSent)
    this->handle_refusal();
}

void
ExclusiveRun::apply_reply(const v1::AgentRunReply& reply)
{
  const std::string& id = this->request.request_id();
  switch (reply.result()) {
    case v1::AGENT_RUN_RESULT_DONE:
    case v1::AGENT_RUN_RESULT_FAILED: {
      bool succeeded = reply.result() == v1::AGENT_RUN_RESULT_DONE;
      v1::RunResponse response = run_response(
        id,
        succeeded ? v1::OUTCOME_SUCCEEDED : v1::OUTCOME_FAILED,
        succeeded ? v1::REASON_UNSPECIFIED : v1::REASON_TASK_FAILED);
      response.set_output(reply.output());
      this->record_outcome(std::move(response));
      return;
    }
    case v1::AGENT_RUN_RESULT_REFUSED:
      this->handle_refusal();
      return;
    case v1::AGENT_RUN_RESULT_RUNNING:
      this->schedule_query();
      return;
    default:
      this->record_outcome(
        run_response(id, v1::OUTCOME_UNKNOWN, v1::REASON_SERVER_LOST));
  }
}

void
ExclusiveRun::handle_refusal()
{
  ++this->attempt_number;
  this->timer.reset();
  this->picked.reset();
  this->start_attempt();
}

void
ExclusiveRun::schedule_query()
{
  this->timer = this->context.timers.after(
    this->context.settings.attempt_timeout, [this] { this->query(); });
}

void
ExclusiveRun::query()
{
  if (kernel::boot_ms() - this->deadline_ms > UNRESOLVED_LIMIT_MS) {
    this->record_outcome(run_response(
      this->request.request_id(), v1::OUTCOME_UNKNOWN, v1::REASON_SERVER_LOST));
    return;
  }
  std::uint64_t attempt_number = this->attempt_number;
  this->context.transport.request(
    this->row.agent_address(),
    this->envelope(true),
    this->context.settings.attempt_timeout,
    this->guarded([this, attempt_number](const peer::PeerNode::Reply& reply) {
      if (attempt_number == this->attempt_number && !this->resolved)
        this->handle_query_reply(reply);
    }));
}

void
ExclusiveRun::handle_query_reply(const peer::PeerNode::Reply& reply)
{
  if (reply) {
    this->apply_reply(reply->agent_run_reply());
    return;
  }
  this->context.fleet.mark_suspect(this->row.server());
  this->schedule_query();
}

void
ExclusiveRun::read_row()
{
  this->context.table.read(
    { this->key },
    this->guarded([this](const platform::Table::ReadResult& result) {
      this->handle_row(result);
    }));
}

void
ExclusiveRun::handle_row(const platform::Table::ReadResult& result)
{
  if (!result && this->confirming_absence) {
    this->respond(not_run(
      this->context, this->request.request_id(), v1::REASON_STORE_UNAVAILABLE));
    this->end();
    return;
  }
  if (!result) {
    this->timer = this->context.timers.after(
      this->context.settings.store_retry_delay, [this] { this->read_row(); });
    return;
  }
  this->confirming_absence = false;
  std::optional<v1::RequestRow> found =
    parse_row<v1::RequestRow>(result->front());
  if (!found && result->front().version != 0) {
    // The request may have run, whatever the unreadable row says.
    this->context.log.write(ROW_MALFORMED, { { "key", this->key } });
    this->respond(run_response(this->request.request_id(),
                               v1::OUTCOME_UNKNOWN,
                               v1::REASON_STORE_UNAVAILABLE));
    this->end();
    return;
  }
  if (!found) {
    // The attempt of another entry has not run and its row was deleted.
    this->version = 0;
    this->row_absent = true;
    this->start_attempt();
    return;
  }
  this->continue_from_row(std::move(*found), result->front().version);
}

void
ExclusiveRun::continue_from_row(v1::RequestRow row, std::uint64_t version)
{
  if (row.body_hash() != this->hash || !row.job().empty()) {
    this->respond(std::nullopt);
    this->end();
    return;
  }
  this->row = std::move(row);
  this->version = version;
  if (this->row.has_answer()) {
    this->respond(this->row.answer());
    this->end();
    return;
  }
  const v1::EntryRow& self = this->context.membership.self();
  bool written_by_this_entry = this->row.entry() == self.name();
  bool run_by_live_entry = !written_by_this_entry &&
                           this->context.membership.is_live(
                             this->row.entry(), this->row.entry_incarnation());
  if (!run_by_live_entry) {
    this->query();
    return;
  }
  if (kernel::boot_ms() >= this->deadline_ms) {
    this->end();
    return;
  }
  this->timer =
    this->context.timers.after(ROW_POLL_PERIOD, [this] { this->read_row(); });
}

void
ExclusiveRun::record_outcome(v1::RunResponse response)
{
  this->resolved = true;
  this->timer.reset();
  this->picked.reset();
  *this->row.mutable_answer() = std::move(response);
  platform::Transaction transaction;
  transaction.checks.push_back({ this->key, this->version });
  transaction.writes.push_back(write_row(this->key, this->row));
  this->context.table.commit(
    std::move(transaction),
    this->guarded([this](const platform::Table::CommitResult& result) {
      this->handle_record_commit(result);
    }));
}

void
ExclusiveRun::handle_record_commit(const platform::Table::CommitResult& result)
{
  bool conflict =
    !result && result.error().kind == platform::TableErrorKind::Conflict;
  if (conflict) {
    // Another entry has changed the row; callers get the outcome in the row.
    this->resolved = false;
    this->read_row();
    return;
  }
  this->respond(this->row.answer());
  if (result) {
    this->end();
    return;
  }
  this->context.log.write(OUTCOME_NOT_RECORDED, { { "key", this->key } });
  this->timer = this->context.timers.after(
    this->context.settings.store_retry_delay,
    [this] { this->record_outcome(this->row.answer()); });
}

void
ExclusiveRun::refuse(v1::Reason reason)
{
  // Another entry may have run the same request id, so the row counts as absent
  // only after a read.
  if (this->version == 0 && !this->row_absent) {
    this->confirming_absence = true;
    this->read_row();
    return;
  }
  v1::RunResponse response =
    not_run(this->context, this->request.request_id(), reason);
  if (this->version == 0) {
    this->respond(response);
    this->end();
    return;
  }
  this->resolved = true;
  // Deletes the row, so that a repeated request can run as NOT_RUN promises.
  platform::Transaction transaction;
  transaction.checks.push_back({ this->key, this->version });
  transaction.writes.push_back(delete_row(this->key));
  this->context.table.commit(
    std::move(transaction),
    this->guarded(
      [this, response](const platform::Table::CommitResult& result) {
        bool taken_over =
          !result && result.error().kind == platform::TableErrorKind::Conflict;
        if (taken_over) {
          this->resolved = false;
          this->read_row();
          return;
        }
        this->respond(response);
        this->end();
      }));
}

void
ExclusiveRun::respond(const std::optional<v1::RunResponse>& response)
{
  if (response)
    this->span.set_attribute("outcome", v1::Outcome_Name(response->outcome()));
  std::vector<Waiter> waiting = std::move(this->waiters);
  this->waiters.clear();
  for (Waiter& waiter : waiting) {
    if (waiter.done)
      waiter.done(response);
  }
}

void
ExclusiveRun::end()
{
  this->resolved = true;
  this->timer.reset();
  this->respond(run_response(
    this->request.request_id(), v1::OUTCOME_UNKNOWN, v1::REASON_DEADLINE));
  this->span.end();
  this->ended();
}

} // namespace geraniumhinge::entry
