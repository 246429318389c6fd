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
reply_of(tl::expected<std::string, BackendError> result)
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
                   Slots& slots)
  : Task(loop, "requests")
  , metrics(metrics)
  , tracer(tracer)
  , backend(backend)
  , settings(settings)
  , incarnation(incarnation)
  , slots(slots)
  , refusals(metrics.counter("agent_requests_refused_total"))
  , run_ms(metrics.summary("agent_request_ms"))
{
}

bool
Requests::refuses() const
{
  return this->leaving || this->quarantined;
}

void
Requests::respond_with(const Respond& respond, v1::AgentRunReply reply) const
{
  reply.set_slots_used(this->slots.slots_used());
  respond(std::move(reply));
}

void
Requests::handle(const v1::AgentRun& run,
                 const kernel::TraceContext& trace,
                 Respond respond)
{
  this->prune();
  bool other = run.incarnation() != 0 && run.incarnation() != this->incarnation;
  if (other) {
    // Nothing is known here of what the addressed incarnation ran.
    v1::AgentRunResult result = run.query_only() ? v1::AGENT_RUN_RESULT_UNKNOWN
                                                 : v1::AGENT_RUN_RESULT_REFUSED;
    return this->respond_with(respond, make_reply(result));
  }
  std::unordered_map<std::uint64_t, Attempt>::iterator known =
    this->attempts.find(run.attempt());
  if (known != this->attempts.end())
    return this->answer_known(run, known->second, std::move(respond));
  if (run.query_only())
    return this->refuse_attempt(run.attempt(), respond);
  if (!run.idempotent())
    return this->run_exclusive(run, trace, std::move(respond));
  if (this->refuses() || !this->slots.allocate({})) {
    this->refusals.add();
    return this->respond_with(respond,
                              make_reply(v1::AGENT_RUN_RESULT_REFUSED));
  }
  this->execute(run, trace, std::move(respond));
}

void
Requests::answer_known(const v1::AgentRun& run, Attempt& known, Respond respond)
{
  if (!known.running)
    return this->respond_with(respond, known.reply);
  if (run.query_only())
    return this->respond_with(respond,
                              make_reply(v1::AGENT_RUN_RESULT_RUNNING));
  known.waiting.push_back(std::move(respond));
}

void
Requests::refuse_attempt(std::uint64_t attempt, const Respond& respond)
{
  this->refusals.add();
  this->attempts[attempt].waiting.push_back(respond);
  this->finish_attempt(attempt, make_reply(v1::AGENT_RUN_RESULT_REFUSED));
}

void
Requests::run_exclusive(const v1::AgentRun& run,
                        const kernel::TraceContext& trace,
                        Respond respond)
{
  std::uint64_t attempt = run.attempt();
  if (this->refuses() || !this->slots.allocate({}))
    return this->refuse_attempt(attempt, respond);
  this->attempts[attempt].waiting.push_back(std::move(respond));
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
  this->outputs_due.emplace_back(now + this->settings.answer_retention.count(),
                                 attempt);
  this->attempts_due.emplace_back(
    now + this->settings.attempt_retention.count(), attempt);
  std::vector<Respond> waiting = std::exchange(known.waiting, {});
  v1::AgentRunReply answer = known.reply;
  for (const Respond& respond : waiting)
    this->respond_with(respond, answer);
}

void
Requests::execute(const v1::AgentRun& run,
                  const kernel::TraceContext& trace,
                  Respond respond)
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
    this->guarded([this, span, started_us, respond = std::move(respond)](
                    tl::expected<std::string, BackendError> result) {
      this->running--;
      this->slots.release({});
      double us = static_cast<double>(kernel::boot_us() - started_us);
      this->run_ms.observe(us * MS_PER_US);
      v1::AgentRunReply reply = reply_of(std::move(result));
      span->set("result", v1::AgentRunResult_Name(reply.result()));
      this->respond_with(respond, std::move(reply));
    }));
}

void
Requests::prune()
{
  std::int64_t now = kernel::boot_ms();
  while (!this->outputs_due.empty() && this->outputs_due.front().first <= now) {
    std::unordered_map<std::uint64_t, Attempt>::iterator found =
      this->attempts.find(this->outputs_due.front().second);
    this->outputs_due.pop_front();
    // Without its output a run can't be answered as done any more.
    bool ran = found != this->attempts.end() &&
               found->second.reply.result() != v1::AGENT_RUN_RESULT_REFUSED;
    if (ran)
      found->second.reply = make_reply(v1::AGENT_RUN_RESULT_UNKNOWN);
  }
  while (!this->attempts_due.empty() &&
         this->attempts_due.front().first <= now) {
    this->attempts.erase(this->attempts_due.front().second);
    this->attempts_due.pop_front();
  }
}

} // namespace geraniumhinge::agent
