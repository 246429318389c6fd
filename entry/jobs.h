#pragma once

#include "entry/config_store.h"
#include "entry/job_stopper.h"
#include "entry/scheduler.h"
#include "entry/takeover.h"
#include "gateway/unary.h"

#include <functional>
#include <list>
#include <map>
#include <string>

namespace geraniumhinge::entry {

/// Implements the callers' methods on jobs. A job of another organisation is
/// reported as unknown.
class JobApi : public kernel::Task
{
public:
  template<typename Response>
  using ResponseCallback = gateway::UnaryRouter::ResponseCallback<Response>;

  JobApi(const DriverContext& context,
         Membership& membership,
         DriverTable& drivers,
         Scheduler& scheduler,
         JobStopper& stopper,
         Takeover& takeover);

  void submit(const Principal& principal,
              const kernel::TraceContext& trace,
              v1::SubmitJobRequest request,
              ResponseCallback<v1::SubmitJobResponse> callback);
  void get(const Principal& principal,
           const std::string& id,
           ResponseCallback<v1::Job> callback);
  void wait(const Principal& principal,
            const v1::WaitJobRequest& request,
            ResponseCallback<v1::Job> callback);
  void list(const Principal& principal,
            const v1::ListJobsRequest& request,
            ResponseCallback<v1::ListJobsResponse> callback);
  void cancel(const Principal& principal,
              const std::string& id,
              ResponseCallback<v1::Job> callback);

private:
  struct Submission
  {
    v1::SubmitJobRequest request;
    std::uint64_t hash = 0;
    v1::JobRow row;
    kernel::TraceContext trace;
    ResponseCallback<v1::SubmitJobResponse> callback;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;
  struct Waiter
  {
    std::string job;
    ResponseCallback<v1::Job> callback;
    std::int64_t deadline_ms = 0;
    kernel::Subscription poll;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;

  std::optional<gateway::CallError> check_submission(
    const std::string& organisation,
    const v1::JobSpec& spec);
  void handle_submit_commit(const SubmissionPtr& submission,
                            const platform::Table::CommitResult& result);
  void join_existing(const SubmissionPtr& submission);
  void handle_request_row(const SubmissionPtr& submission,
                          const platform::Table::ReadResult& result);
  void read_job(const std::string& id,
                std::function<void(tl::expected<v1::Job, gateway::CallError>)>);
  void poll_waiter(const WaiterPtr& waiter, kernel::Milliseconds period);
  void handle_finished(const v1::JobRow& row);
  gateway::CallError store_unavailable(v1::Outcome outcome) const;

  const DriverContext& context;
  Membership& membership;
  DriverTable& drivers;
  Scheduler& scheduler;
  JobStopper& stopper;
  Takeover& takeover;
  std::multimap<std::string, WaiterPtr> waiters; ///< By job.
};

} // namespace geraniumhinge::entry
