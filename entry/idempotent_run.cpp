#include "entry/idempotent_run.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

// Delays of the retries while all servers are busy: short, because most
// requests use a slot for milliseconds only.
constexpr core::RetryLimits BUSY_RETRY_LIMITS{ 0, 0, 10, 200 };

} // namespace

IdempotentRun::IdempotentRun(RunContext& context,
                             v1::RunRequest request,
                             const kernel::TraceContext& trace,
                             Done done)
  : Task(context.loop, "idempotent_run")
  , context(context)
  , request(std::move(request))
  , done(std::move(done))
  , span(context.tracer.start("run.idempotent", trace))
  , deadline_ms(kernel::boot_ms() + this->request.timeout_ms())
{
}

void
IdempotentRun::start()
{
  this->context.budget.record_first_attempt();
  this->deadline_timer = this->context.timers.after(
    this->remaining(), [this] { this->give_up(v1::REASON_DEADLINE); });
  this->dispatch();
}

kernel::Milliseconds
IdempotentRun::remaining() const
{
  return kernel::Milliseconds(
    std::max<std::int64_t>(this->deadline_ms - kernel::boot_ms(), 1));
}

void
IdempotentRun::dispatch()
{
  std::optional<PickedServer> picked =
    this->context.picker.pick(this->tried_servers);
  if (picked)
    this->send(*picked);
  else if (this->missing_replies == 0)
    this->retry_after_delay();
}

void
IdempotentRun::send(const PickedServer& picked)
{
  ++this->attempts;
  ++this->missing_replies;
  this->tried_servers.insert(picked.server);
  v1::Envelope envelope;
  envelope.set_traceparent(this->span.traceparent());
  v1::AgentRun& run = *envelope.mutable_agent_run();
  run.set_attempt(kernel::random_id());
  run.set_input(this->request.input());
  run.set_timeout_ms(this->remaining().count());
  run.set_idempotent(true);
  std::int64_t now = kernel::boot_ms();
  this->attempt_timer =
    this->context.timers.after(this->context.settings.attempt_timeout,
                               [this, server = picked.server, now] {
                                 this->attempt_timed_out(server, now);
                               });
  // The request counts as in flight until the transport drops the callback,
  // even if this run ends earlier.
  this->context.transport.request(
    picked.agent_address,
    std::move(envelope),
    this->remaining(),
    [load_guard = picked.load_guard,
     handler =
       this->guarded([this, picked](const peer::PeerNode::Reply& reply) {
         this->handle_reply(picked, reply);
       })](const peer::PeerNode::Reply& result) mutable { handler(result); });
}

void
IdempotentRun::attempt_timed_out(const std::string& server,
                                 std::int64_t sent_ms)
{
  ServerView* view = this->context.fleet.find(server);
  if (view != nullptr && view->replied_ms < sent_ms)
    this->context.fleet.mark_suspect(server);
  this->try_another_server();
}

void
IdempotentRun::try_another_server()
{
  if (this->attempts >= this->context.settings.max_attempts) {
    if (this->missing_replies == 0)
      this->give_up(v1::REASON_RETRIES_EXHAUSTED);
    return;
  }
  if (this->context.budget.try_retry()) {
    this->context.metrics.counter("entry_run_retries_total").add();
    this->dispatch();
  } else if (this->missing_replies == 0) {
    this->give_up(v1::REASON_RETRIES_EXHAUSTED);
  }
}

void
IdempotentRun::handle_reply(const PickedServer& picked,
                            const peer::PeerNode::Reply& reply)
{
  --this->missing_replies;
  if (!reply) {
    if (reply.error() == peer::PeerError::TimedOut)
      this->record_lost_attempt();
    this->context.fleet.mark_suspect(picked.server);
    this->try_another_server();
    return;
  }
  this->context.fleet.record_reply(picked.server);
  const v1::AgentRunReply& run_reply = reply->agent_run_reply();
  switch (run_reply.result()) {
    case v1::AGENT_RUN_RESULT_DONE:
    case v1::AGENT_RUN_RESULT_FAILED: {
      bool succeeded = run_reply.result() == v1::AGENT_RUN_RESULT_DONE;
      v1::RunResponse response = run_response(
        this->request.request_id(),
        succeeded ? v1::OUTCOME_SUCCEEDED : v1::OUTCOME_FAILED,
        succeeded ? v1::REASON_UNSPECIFIED : v1::REASON_TASK_FAILED);
      response.set_output(run_reply.output());
      this->finish(std::move(response));
      return;
    }
    case v1::AGENT_RUN_RESULT_REFUSED:
      // A refused request did not run and cost little, so the next attempt does
      // not use the retry budget.
      if (this->attempts < this->context.settings.max_attempts)
        this->dispatch();
      else if (this->missing_replies == 0)
        this->retry_after_delay();
      return;
    default:
      this->record_lost_attempt();
      this->try_another_server();
  }
}

void
IdempotentRun::record_lost_attempt()
{
  this->may_have_run = true;
  ++this->lost_attempts;
}

void
IdempotentRun::retry_after_delay()
{
  // All servers are busy: all are tried again after a delay, until the
  // deadline. Lost attempts still count, since the request itself may make its
  // servers crash.
  this->tried_servers.clear();
  this->attempts = this->lost_attempts;
  if (this->attempts >= this->context.settings.max_attempts) {
    this->give_up(v1::REASON_RETRIES_EXHAUSTED);
    return;
  }
  this->retry_timer = this->context.timers.after(
    kernel::Milliseconds(core::retry_delay_ms(BUSY_RETRY_LIMITS,
                                              ++this->busy_retries,
                                              kernel::random_id()) +
                         1),
    [this] { this->dispatch(); });
}

void
IdempotentRun::give_up(v1::Reason reason)
{
  const std::string& id = this->request.request_id();
  if (this->missing_replies > 0 || this->may_have_run)
    this->finish(run_response(id, v1::OUTCOME_UNKNOWN, reason));
  else
    this->finish(not_run(this->context, id, v1::REASON_NO_CAPACITY));
}

void
IdempotentRun::finish(v1::RunResponse response)
{
  this->attempt_timer.reset();
  this->retry_timer.reset();
  this->deadline_timer.reset();
  this->span.set_attribute("outcome", v1::Outcome_Name(response.outcome()));
  this->span.end();
  Done done = std::exchange(this->done, nullptr);
  if (done)
    done(std::move(response));
}

} // namespace geraniumhinge::entry
