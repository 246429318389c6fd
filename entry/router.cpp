#include "entry/router.h"

#include "entry/rows.h"

namespace geraniumhinge::entry {

namespace {

constexpr std::uint32_t DEFAULT_LIMIT = 1'000;

gateway::CallError
request_id_reused()
{
  return gateway::call_error(
    v1::ERROR_KIND_REQUEST_ID_REUSED,
    "the request id was used before for another request");
}

/// The hash of what must be equal in a repeated request.
std::uint64_t
hash_of(const v1::RunRequest& request)
{
  v1::RunRequest body = request;
  body.clear_timeout_ms();
  return body_hash(body);
}

} // namespace

Router::Router(RunContext& context,
               std::function<const v1::Configuration&()> config)
  : Task(context.loop, "router")
  , context(context)
  , config(std::move(config))
{
}

std::uint32_t
Router::limit_of(const std::string& organisation) const
{
  for (const v1::Organisation& row : this->config().organisations()) {
    if (row.name() == organisation &&
        row.limits().max_concurrent_requests() != 0)
      return row.limits().max_concurrent_requests();
  }
  return DEFAULT_LIMIT;
}

Router::Respond
Router::count_in_flight(const std::string& organisation,
                        ResponseCallback answer)
{
  ++this->total;
  ++this->used[organisation];
  std::int64_t started = kernel::boot_us();
  return [this, organisation, started, answer = std::move(answer)](
           tl::expected<v1::RunResponse, gateway::CallError> result) {
    --this->total;
    --this->used[organisation];
    this->context.metrics.summary("entry_run_ms")
      .observe(static_cast<double>(kernel::boot_us() - started) / 1'000);
    answer(std::move(result));
  };
}

void
Router::run(const std::string& organisation,
            const kernel::TraceContext& trace,
            v1::RunRequest request,
            ResponseCallback answer)
{
  this->context.metrics.counter("entry_runs_total").add();
  if (this->used[organisation] >= this->limit_of(organisation)) {
    this->context.metrics.counter("entry_runs_rejected_total").add();
    answer(not_run(this->context, request.request_id(), v1::REASON_QUEUE_FULL));
    return;
  }
  Respond respond = this->count_in_flight(organisation, std::move(answer));
  if (request.idempotent())
    this->run_idempotent(trace, std::move(request), std::move(respond));
  else
    this->run_exclusive(
      organisation, trace, std::move(request), std::move(respond));
}

void
Router::run_idempotent(const kernel::TraceContext& trace,
                       v1::RunRequest request,
                       Respond respond)
{
  std::uint64_t id = ++this->next_run;
  std::unique_ptr<IdempotentRun> run = std::make_unique<IdempotentRun>(
    this->context,
    std::move(request),
    trace,
    [this, id, respond = std::move(respond)](v1::RunResponse response) {
      respond(std::move(response));
      // The run is still on the call stack.
      this->post([this, id] { this->idempotent.erase(id); });
    });
  IdempotentRun& started = *run;
  this->idempotent[id] = std::move(run);
  started.start();
}

void
Router::run_exclusive(const std::string& organisation,
                      const kernel::TraceContext& trace,
                      v1::RunRequest request,
                      Respond respond)
{
  std::string key = request_key(organisation, request.request_id());
  std::uint64_t hash = hash_of(request);
  kernel::Milliseconds timeout(request.timeout_ms());
  ExclusiveRun::Done done =
    [respond = std::move(respond)](std::optional<v1::RunResponse> response) {
      if (response)
        respond(std::move(*response));
      else
        respond(tl::unexpected(request_id_reused()));
    };
  std::unique_ptr<ExclusiveRun>& run = this->exclusive[key];
  if (run) {
    if (run->body() == hash)
      run->join(timeout, std::move(done));
    else
      done(std::nullopt);
    return;
  }
  run = std::make_unique<ExclusiveRun>(
    this->context, key, hash, std::move(request), trace, [this, key] {
      // Later requests must not join a run that has ended.
      std::shared_ptr<ExclusiveRun> over = std::move(this->exclusive[key]);
      this->exclusive.erase(key);
      this->post([over] {});
    });
  run->join(timeout, std::move(done));
  run->start();
}

} // namespace geraniumhinge::entry
