#include "agent/requests.h"

#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

using platform::BackendError;

constexpr double MS_PER_US = 0.001;

v1::AgentRunReply
make_reply(v1::AgentRunResult result)
{
  v1::AgentRunReply reply;
  reply.set_result(result);
  return reply;
}

v1::AgentRunReply
make_result_reply(tl::expected<std::string, BackendError> result)
{
  if (result) {
    v1::AgentRunReply reply = make_reply(v1::AGENT_RUN_RESULT_DONE);
    reply.set_output(std::move(*result));
    return reply;
  }
  switch (result.error()) {
    case BackendError::Failed:
      return make_reply(v1::AGENT_RUN_RESULT_FAILED);
    case BackendError::Unreachable:
    case BackendError::Refused:
    case BackendError::NoSlot:
      return make_reply(v1::AGENT_RUN_RESULT_REFUSED);
    default:
      return make_reply(v1::AGENT_RUN_RESULT_UNKNOWN);
  }
}

} // namespace

Requests::Requests(kernel::Loop& loop,
                   kernel::Metrics& metrics,
                   kernel::Tracer& tracer,
                   platform::Backend& backend,
                   const RequestSettings& settings,
                   std::uint64_t incarnation,
                   AllocatedResources& allocated)
  : Task(loop, "requests")
  , metrics(metrics)
  , tracer(tracer)
  , backend(backend)
  , settings(settings)
  , incarnation(incarnation)
  , allocated(allocated)
  , refused_count(metrics.counter("agent_requests_refused_total"))
  , request_ms(metrics.summary("agent_request_ms"))
{
}

bool
Requests::refuses() const
{
  return this->leaving || this->quarantined;
}

void
Requests::send_reply(const ReplyCallback& reply_callback,
                     v1::AgentRunReply reply) const
{
  reply.set_slots_used(this->allocated.slots_used());
  reply_callback(std::move(reply));
}

void
Requests::handle(const v1::AgentRun& run,
                 const kernel::TraceContext& trace,
                 ReplyCallback reply_callback)
{
  this->remove_expired();
  bool other_incarnation =
    run.incarnation() != 0 && run.incarnation() != this->incarnation;
  if (other_incarnation) {
    // This incarnation does not know which attempts the addressed one ran.
    v1::AgentRunResult result = run.query_only() ? v1::AGENT_RUN_RESULT_UNKNOWN
                                                 : v1::AGENT_RUN_RESULT_REFUSED;
    return this->send_reply(reply_callback, make_reply(result));
  }
  std::unordered_map<std::uint64_t, Attempt>::iterator known =
    this->attempts.find(run.attempt());
  if (known != this->attempts.end())
    return this->reply_for_known_attempt(
      run, known->second, std::move(reply_callback));
  if (run.query_only())
    return this->refuse_attempt(run.attempt(), reply_callback);
  if (!run.idempotent())
    return this->run_exclusive(run, trace, std::move(reply_callback));
  if (this->refuses() || !this->allocated.allocate({})) {
    this->refused_count.add();
    return this->send_reply(reply_callback,
                            make_reply(v1::AGENT_RUN_RESULT_REFUSED));
  }
  this->execute(run, trace, std::move(reply_callback));
}

void
Requests::reply_for_known_attempt(const v1::AgentRun& run,
                                  Attempt& known,
                                  ReplyCallback reply_callback)
{
  if (!known.running)
    return this->send_reply(reply_callback, known.reply);
  if (run.query_only())
    return this->send_reply(reply_callback,
                            make_reply(v1::AGENT_RUN_RESULT_RUNNING));
  known.waiting_callbacks.push_back(std::move(reply_callback));
}

void
Requests::refuse_attempt(std::uint64_t attempt,
                         const ReplyCallback& reply_callback)
{
  this->refused_count.add();
  this->attempts[attempt].waiting_callbacks.push_back(reply_callback);
  this->finish_attempt(attempt, make_reply(v1::AGENT_RUN_RESULT_REFUSED));
}

void
Requests::run_exclusive(const v1::AgentRun& run,
                        const kernel::TraceContext& trace,
                        ReplyCallback reply_callback)
{
  std::uint64_t attempt = run.attempt();
  if (this->refuses() || !this->allocated.allocate({}))
    return this->refuse_attempt(attempt, reply_callback);
  this->attempts[attempt].waiting_callbacks.push_back(
    std::move(reply_callback));
  this->execute(run, trace, [this, attempt](v1::AgentRunReply reply) {
    this->finish_attempt(attempt, std::move(reply));
  });
}

void
Requests::finish_attempt(std::uint64_t attempt, v1::AgentRunReply reply)
{
  Attempt& known = this->attempts[attempt];
  known.running = false;
  known.reply = std::move(reply);
  std::int64_t now = kernel::boot_ms();
  this->output_expiries.emplace_back(
    now + this->settings.answer_retention.count(), attempt);
  this->attempt_expiries.emplace_back(
    now + this->settings.attempt_retention.count(), attempt);
  std::vector<ReplyCallback> waiting_callbacks =
    std::exchange(known.waiting_callbacks, {});
  v1::AgentRunReply stored_reply = known.reply;
  for (const ReplyCallback& reply_callback : waiting_callbacks)
    this->send_reply(reply_callback, stored_reply);
}

void
Requests::execute(const v1::AgentRun& run,
                  const kernel::TraceContext& trace,
                  ReplyCallback reply_callback)
{
  kernel::Milliseconds timeout = std::min(
    kernel::Milliseconds(run.timeout_ms()), this->settings.max_timeout);
  std::shared_ptr<kernel::Span> span =
    std::make_shared<kernel::Span>(this->tracer.start("agent.run", trace));
  std::int64_t started_us = kernel::boot_us();
  this->running++;
  this->backend.run(
    run.attempt(),
    run.input(),
    timeout,
    span->traceparent(),
    this->guarded(
      [this, span, started_us, reply_callback = std::move(reply_callback)](
        tl::expected<std::string, BackendError> result) {
        this->running--;
        this->allocated.release({});
        double elapsed_us = static_cast<double>(kernel::boot_us() - started_us);
        this->request_ms.observe(elapsed_us * MS_PER_US);
        v1::AgentRunReply reply = make_result_reply(std::move(result));
        span->set_attribute("result", v1::AgentRunResult_Name(reply.result()));
        this->send_reply(reply_callback, std::move(reply));
      }));
}

void
Requests::remove_expired()
{
  std::int64_t now = kernel::boot_ms();
  while (!this->output_expiries.empty() &&
         this->output_expiries.front().first <= now) {
    std::unordered_map<std::uint64_t, Attempt>::iterator found =
      this->attempts.find(this->output_expiries.front().second);
    this->output_expiries.pop_front();
    // Without its output, an attempt can't be reported as done any more.
    bool may_have_run =
      found != this->attempts.end() &&
      found->second.reply.result() != v1::AGENT_RUN_RESULT_REFUSED;
    if (may_have_run)
      found->second.reply = make_reply(v1::AGENT_RUN_RESULT_UNKNOWN);
  }
  while (!this->attempt_expiries.empty() &&
         this->attempt_expiries.front().first <= now) {
    this->attempts.erase(this->attempt_expiries.front().second);
    this->attempt_expiries.pop_front();
  }
}

} // namespace geraniumhinge::agent
