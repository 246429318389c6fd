#include "entry/run_service.h"

#include "entry/rows.h"

namespace geraniumhinge::entry {

namespace {

constexpr std::uint32_t DEFAULT_REQUEST_LIMIT = 1'000;

gateway::CallError
request_id_reused()
{
  return gateway::call_error(
    v1::ERROR_KIND_REQUEST_ID_REUSED,
    "the request id was used before for another request");
}

/// Hash of the fields that must be the same in a repeated request.
std::uint64_t
hash_of(const v1::RunRequest& request)
{
  v1::RunRequest body = request;
  body.clear_timeout_ms();
  return body_hash(body);
}

} // namespace

RunService::RunService(RunContext& context,
                       std::function<const v1::Configuration&()> config)
  : Task(context.loop, "router")
  , context(context)
  , config(std::move(config))
{
}

std::uint32_t
RunService::request_limit(const std::string& organisation) const
{
  for (const v1::Organisation& row : this->config().organisations()) {
    if (row.name() == organisation &&
        row.limits().max_concurrent_requests() != 0)
      return row.limits().max_concurrent_requests();
  }
  return DEFAULT_REQUEST_LIMIT;
}

RunService::ResultCallback
RunService::count_in_flight(const std::string& organisation,
                            ResponseCallback callback)
{
  ++this->total_in_flight;
  ++this->in_flight_by_organisation[organisation];
  std::int64_t started_us = kernel::boot_us();
  return [this, organisation, started_us, callback = std::move(callback)](
           tl::expected<v1::RunResponse, gateway::CallError> result) {
    --this->total_in_flight;
    --this->in_flight_by_organisation[organisation];
    this->context.metrics.summary("entry_run_ms")
      .observe(static_cast<double>(kernel::boot_us() - started_us) / 1'000);
    callback(std::move(result));
  };
}

void
RunService::run(const std::string& organisation,
                const kernel::TraceContext& trace,
                v1::RunRequest request,
                ResponseCallback callback)
{
  this->context.metrics.counter("entry_runs_total").add();
  if (this->in_flight_by_organisation[organisation] >=
      this->request_limit(organisation)) {
    this->context.metrics.counter("entry_runs_rejected_total").add();
    callback(
      not_run(this->context, request.request_id(), v1::REASON_QUEUE_FULL));
    return;
  }
  ResultCallback respond =
    this->count_in_flight(organisation, std::move(callback));
  if (request.idempotent())
    this->run_idempotent(trace, std::move(request), std::move(respond));
  else
    this->run_exclusive(
      organisation, trace, std::move(request), std::move(respond));
}

void
RunService::run_idempotent(const kernel::TraceContext& trace,
                           v1::RunRequest request,
                           ResultCallback respond)
{
  std::uint64_t id = ++this->next_run;
  std::unique_ptr<IdempotentRun> run = std::make_unique<IdempotentRun>(
    this->context,
    std::move(request),
    trace,
    [this, id, respond = std::move(respond)](v1::RunResponse response) {
      respond(std::move(response));
      // Deferred, because the run is still on the call stack.
      this->post([this, id] { this->idempotent.erase(id); });
    });
  IdempotentRun& started_run = *run;
  this->idempotent[id] = std::move(run);
  started_run.start();
}

void
RunService::run_exclusive(const std::string& organisation,
                          const kernel::TraceContext& trace,
                          v1::RunRequest request,
                          ResultCallback respond)
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
    if (run->request_hash() == hash)
      run->join(timeout, std::move(done));
    else
      done(std::nullopt);
    return;
  }
  run = std::make_unique<ExclusiveRun>(
    this->context, key, hash, std::move(request), trace, [this, key] {
      // Later requests must not join a run that has ended.
      std::shared_ptr<ExclusiveRun> ended_run = std::move(this->exclusive[key]);
      this->exclusive.erase(key);
      this->post([ended_run] {});
    });
  run->join(timeout, std::move(done));
  run->start();
}

} // namespace geraniumhinge::entry
