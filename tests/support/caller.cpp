#include "tests/support/caller.h"

#include "tests/support/wait.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace geraniumhinge::tests {

namespace {

constexpr int STALE_TRIES = 20;
constexpr std::uint32_t WAIT_STEP_MS = 1'000;
constexpr kernel::Milliseconds STEP_LIMIT{ 3'000 };
constexpr std::uint32_t MEMBER_CORES = 1;
constexpr std::uint32_t MEMBER_MEMORY_MB = 1'024;

} // namespace

std::string
work_input(int run_ms, const std::string& output, int exit_code)
{
  return nlohmann::json{
    { "run_ms", run_ms }, { "output", output }, { "exit", exit_code }
  }.dump();
}

JobResult
Caller::submit(const JobPlan& plan) const
{
  v1::SubmitJobRequest request;
  request.set_request_id(plan.request_id);
  v1::JobSpec& spec = *request.mutable_spec();
  v1::Shape& shape = *spec.mutable_shape();
  shape.set_members(plan.members);
  shape.set_accelerators(plan.accelerators);
  shape.set_cores(MEMBER_CORES);
  shape.set_memory_mb(MEMBER_MEMORY_MB);
  shape.set_adjacency(plan.adjacency);
  spec.mutable_input()->set_inline_(
    work_input(plan.run_ms, plan.output, plan.exit_code));
  spec.set_idempotent(plan.idempotent);
  spec.set_urgent(plan.urgent);
  spec.set_use_guarantee(plan.use_guarantee);
  tl::expected<v1::SubmitJobResponse, Failure> response =
    this->client.call<v1::SubmitJobResponse>("SubmitJob", request);
  if (!response)
    return tl::unexpected(response.error());
  return response->job();
}

JobResult
Caller::get(const std::string& job) const
{
  v1::GetJobRequest request;
  request.set_id(job);
  return this->client.call<v1::Job>("GetJob", request);
}

JobResult
Caller::cancel(const std::string& job) const
{
  v1::CancelJobRequest request;
  request.set_id(job);
  return this->client.call<v1::Job>("CancelJob", request);
}

JobResult
Caller::wait(const std::string& job, kernel::Milliseconds limit) const
{
  v1::WaitJobRequest request;
  request.set_id(job);
  request.set_timeout_ms(WAIT_STEP_MS);
  JobResult last = tl::unexpected(Failure{ false, {}, "no request was made" });
  wait_until(limit, [&] {
    last = this->client.call<v1::Job>("WaitJob", request, STEP_LIMIT);
    return last && last->outcome() != v1::OUTCOME_UNSPECIFIED;
  });
  return last;
}

RunResult
Caller::run(const std::string& request_id,
            bool idempotent,
            const std::string& input,
            kernel::Milliseconds timeout) const
{
  v1::RunRequest request;
  request.set_request_id(request_id);
  request.set_input(input);
  request.set_idempotent(idempotent);
  request.set_timeout_ms(static_cast<std::uint32_t>(timeout.count()));
  return this->client.call<v1::RunResponse>("Run", request, timeout * 2);
}

template<typename Request>
tl::expected<std::uint64_t, Failure>
Operator::change(const std::string& method, Request request) const
{
  tl::expected<v1::ConfigurationChange, Failure> result =
    tl::unexpected(Failure{});
  for (int i = 0; i < STALE_TRIES; i++) {
    request.set_base_version(this->version());
    result = this->client.call<v1::ConfigurationChange>(method, request);
    bool stale =
      !result && result.error().detail.kind() == v1::ERROR_KIND_STALE_VERSION;
    if (!stale)
      break;
  }
  if (result)
    return result->version();
  fmt::print(stderr, "{} refused: {}\n", method, result.error().message);
  return tl::unexpected(result.error());
}

std::uint64_t
Operator::version() const
{
  tl::expected<v1::GetConfigurationResponse, Failure> response =
    this->client.call<v1::GetConfigurationResponse>(
      "GetConfiguration", v1::GetConfigurationRequest());
  return response ? response->configuration().version() : 0;
}

std::uint64_t
Operator::create(const std::string& organisation) const
{
  v1::CreateOrganisationRequest request;
  request.mutable_organisation()->set_name(organisation);
  *request.mutable_organisation()->mutable_limits() = wide_limits();
  return this->change("CreateOrganisation", request).value_or(0);
}

std::uint64_t
Operator::assign(const std::string& caller,
                 const std::string& organisation,
                 const std::string& token) const
{
  v1::AssignCallerRequest request;
  request.set_caller(caller);
  request.set_organisation(organisation);
  request.set_token(token);
  return this->change("AssignCaller", request).value_or(0);
}

tl::expected<std::uint64_t, Failure>
Operator::guarantee(const std::string& organisation,
                    const v1::Guarantee& guarantee) const
{
  v1::SetGuaranteesRequest request;
  request.set_organisation(organisation);
  *request.add_guarantees() = guarantee;
  return this->change("SetGuarantees", request);
}

tl::expected<std::uint64_t, Failure>
Operator::limit(const std::string& organisation, const v1::Limits& limits) const
{
  v1::SetLimitsRequest request;
  request.set_organisation(organisation);
  *request.mutable_limits() = limits;
  return this->change("SetLimits", request);
}

v1::Limits
wide_limits()
{
  v1::Limits limits;
  limits.set_max_queued_jobs(1'000);
  limits.set_max_concurrent_requests(1'000);
  limits.set_weight(1);
  return limits;
}

v1::Guarantee
make_guarantee(std::uint32_t count,
               std::uint32_t members,
               std::uint32_t accelerators,
               v1::Adjacency adjacency)
{
  v1::Guarantee guarantee;
  guarantee.set_count(count);
  v1::Shape& shape = *guarantee.mutable_shape();
  shape.set_members(members);
  shape.set_accelerators(accelerators);
  shape.set_cores(MEMBER_CORES);
  shape.set_memory_mb(MEMBER_MEMORY_MB);
  shape.set_adjacency(adjacency);
  return guarantee;
}

} // namespace geraniumhinge::tests
