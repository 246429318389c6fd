#include "entry/caller_methods.h"

#include "entry/validate.h"

namespace geraniumhinge::entry {

namespace {

gateway::CallError
not_ready()
{
  gateway::CallError error = gateway::call_error(
    v1::ERROR_KIND_NOT_READY, "this entry has not read the store yet");
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

} // namespace

CallerMethods::CallerMethods(ConfigStore& config,
                             JobApi& jobs,
                             RunService& run_service,
                             std::function<bool()> ready)
  : config(config)
  , jobs(jobs)
  , run_service(run_service)
  , ready(std::move(ready))
{
}

tl::expected<Principal, gateway::CallError>
CallerMethods::authenticate_caller(const std::string& token) const
{
  if (!this->ready())
    return tl::unexpected(not_ready());
  tl::expected<Principal, gateway::CallError> principal =
    this->config.authenticate(token);
  if (principal && principal->organisation.empty())
    return tl::unexpected(
      gateway::call_error(v1::ERROR_KIND_PERMISSION_DENIED,
                          "the method is for callers of an organisation"));
  return principal;
}

template<typename Request, typename Response>
void
CallerMethods::add(gateway::UnaryRouter& unary,
                   const std::string& name,
                   std::function<void(const Principal&,
                                      const kernel::TraceContext&,
                                      Request,
                                      ResponseCallback<Response>)> handler)
{
  unary.add<Request, Response>(
    name,
    [this, handler = std::move(handler)](const gateway::CallContext& context,
                                         Request request,
                                         ResponseCallback<Response> respond) {
      tl::expected<Principal, gateway::CallError> caller =
        this->authenticate_caller(context.token);
      if (!caller) {
        respond(tl::unexpected(caller.error()));
        return;
      }
      Fault fault = validate(request);
      if (fault)
        respond(tl::unexpected(*fault));
      else
        handler(*caller, context.trace, std::move(request), std::move(respond));
    });
}

void
CallerMethods::add_to(gateway::UnaryRouter& unary)
{
  using Trace = kernel::TraceContext;
  this->add<v1::RunRequest, v1::RunResponse>(
    unary,
    "Run",
    [this](const Principal& caller,
           const Trace& trace,
           v1::RunRequest request,
           ResponseCallback<v1::RunResponse> respond) {
      this->run_service.run(
        caller.organisation, trace, std::move(request), std::move(respond));
    });
  this->add<v1::SubmitJobRequest, v1::SubmitJobResponse>(
    unary,
    "SubmitJob",
    [this](const Principal& caller,
           const Trace& trace,
           v1::SubmitJobRequest request,
           ResponseCallback<v1::SubmitJobResponse> respond) {
      this->jobs.submit(caller, trace, std::move(request), std::move(respond));
    });
  this->add<v1::GetJobRequest, v1::Job>(
    unary,
    "GetJob",
    [this](const Principal& caller,
           const Trace&,
           const v1::GetJobRequest& request,
           ResponseCallback<v1::Job> respond) {
      this->jobs.get(caller, request.id(), std::move(respond));
    });
  this->add<v1::WaitJobRequest, v1::Job>(
    unary,
    "WaitJob",
    [this](const Principal& caller,
           const Trace&,
           const v1::WaitJobRequest& request,
           ResponseCallback<v1::Job> respond) {
      this->jobs.wait(caller, request, std::move(respond));
    });
  this->add<v1::ListJobsRequest, v1::ListJobsResponse>(
    unary,
    "ListJobs",
    [this](const Principal& caller,
           const Trace&,
           const v1::ListJobsRequest& request,
           ResponseCallback<v1::ListJobsResponse> respond) {
      this->jobs.list(caller, request, std::move(respond));
    });
  this->add<v1::CancelJobRequest, v1::Job>(
    unary,
    "CancelJob",
    [this](const Principal& caller,
           const Trace&,
           const v1::CancelJobRequest& request,
           ResponseCallback<v1::Job> respond) {
      this->jobs.cancel(caller, request.id(), std::move(respond));
    });
}

} // namespace geraniumhinge::entry
