#include "entry/jobs.h"

#include "entry/events.h"
#include "entry/rows.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr std::uint32_t DEFAULT_QUEUE_LIMIT = 10'000;
constexpr std::uint32_t DEFAULT_PAGE_SIZE = 100;
constexpr std::uint32_t MAX_PAGE_SIZE = 1'000;
// First and longest poll period of a wait for a job that another entry drives;
// the period doubles with each poll.
constexpr kernel::Milliseconds FIRST_POLL_PERIOD{ 100 };
constexpr kernel::Milliseconds MAX_POLL_PERIOD{ 1'000 };

gateway::CallError
unknown_job()
{
  return gateway::call_error(v1::ERROR_KIND_UNKNOWN_JOB, "no such job");
}

const v1::Organisation*
find_organisation(const v1::Configuration& configuration,
                  const std::string& name)
{
  for (const v1::Organisation& row : configuration.organisations()) {
    if (row.name() == name)
      return &row;
  }
  return nullptr;
}

v1::JobRow
new_row(const std::string& organisation,
        const Principal& principal,
        const std::string& entry,
        const v1::SubmitJobRequest& request)
{
  v1::JobRow row;
  v1::Job& job = *row.mutable_job();
  job.set_id(new_job_id(organisation));
  job.set_organisation(organisation);
  job.set_request_id(request.request_id());
  job.set_state(v1::JOB_STATE_QUEUED);
  *job.mutable_spec() = request.spec();
  job.set_submitted_ms(kernel::unix_ms());
  row.set_caller(principal.name);
  row.set_driver(entry);
  return row;
}

bool
is_final(const v1::Job& job)
{
  return job.state() == v1::JOB_STATE_DONE;
}

} // namespace

JobApi::JobApi(const DriverContext& context,
               Membership& membership,
               DriverTable& drivers,
               Scheduler& scheduler,
               JobStopper& stopper,
               Takeover& takeover)
  : Task(context.loop, "jobs")
  , context(context)
  , membership(membership)
  , drivers(drivers)
  , scheduler(scheduler)
  , stopper(stopper)
  , takeover(takeover)
{
  this->drivers.on_finished(
    [this](const v1::JobRow& row) { this->handle_finished(row); });
}

gateway::CallError
JobApi::store_unavailable(v1::Outcome outcome) const
{
  gateway::CallError error = gateway::call_error(
    v1::ERROR_KIND_STORE_UNAVAILABLE, "the table service does not answer");
  error.detail.set_outcome(outcome);
  error.detail.set_retry_after_ms(this->context.settings.retry_after.count());
  return error;
}

std::optional<gateway::CallError>
JobApi::check_submission(const std::string& organisation,
                         const v1::JobSpec& spec)
{
  const v1::Organisation* row =
    find_organisation(this->context.config(), organisation);
  if (row == nullptr) {
    gateway::CallError error =
      gateway::call_error(v1::ERROR_KIND_UNKNOWN_ORGANISATION,
                          "the caller's organisation does not exist");
    error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
    return error;
  }
  if (this->scheduler.is_impossible(spec.shape())) {
    gateway::CallError error = gateway::call_error(
      v1::ERROR_KIND_IMPOSSIBLE_SHAPE,
      "no set of registered backend servers holds the shape");
    error.detail.set_field("spec.shape");
    error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
    return error;
  }
  std::size_t limit = row->limits().max_queued_jobs();
  if (limit == 0)
    limit = DEFAULT_QUEUE_LIMIT;
  bool queue_full =
    this->scheduler.queued(organisation) >= limit ||
    this->drivers.all().size() >= this->context.settings.max_queue;
  if (!queue_full)
    return std::nullopt;
  gateway::CallError error = gateway::call_error(
    v1::ERROR_KIND_QUEUE_FULL, "the organisation's queue is full");
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  error.detail.set_retry_after_ms(this->context.settings.retry_after.count());
  return error;
}

void
JobApi::submit(const Principal& principal,
               const kernel::TraceContext& trace,
               v1::SubmitJobRequest request,
               ResponseCallback<v1::SubmitJobResponse> callback)
{
  if (request.spec().shape().members() == 0)
    request.mutable_spec()->mutable_shape()->set_members(1);
  std::optional<gateway::CallError> refusal =
    this->check_submission(principal.organisation, request.spec());
  SubmissionPtr submission = std::make_shared<Submission>();
  submission->hash = body_hash(request);
  submission->trace = trace;
  submission->callback = std::move(callback);
  submission->row = new_row(
    principal.organisation, principal, this->membership.self().name(), request);
  submission->request = std::move(request);
  // A repeated request gets its job even if a new job would be refused.
  if (refusal) {
    submission->row.clear_job();
    submission->row.mutable_job()->set_organisation(principal.organisation);
    this->context.table.read(
      { request_key(principal.organisation, submission->request.request_id()) },
      this->guarded(
        [this, submission, refusal](const platform::Table::ReadResult& result) {
          if (result && result->front().version != 0)
            this->join_existing(submission);
          else
            submission->callback(tl::unexpected(*refusal));
        }));
    return;
  }
  const std::string& id = submission->row.job().id();
  v1::RequestRow record;
  record.set_body_hash(submission->hash);
  record.set_job(id);
  record.set_created_ms(kernel::unix_ms());
  std::string key =
    request_key(principal.organisation, submission->request.request_id());
  platform::Transaction transaction;
  transaction.checks.push_back({ key, 0 });
  transaction.checks.push_back({ job_key(id), 0 });
  transaction.writes.push_back(write_row(job_key(id), submission->row));
  transaction.writes.push_back(write_row(key, record));
  transaction.writes.push_back(
    { open_key(id), this->membership.self().name() });
  this->context.table.commit(
    std::move(transaction),
    this->guarded(
      [this, submission](const platform::Table::CommitResult& result) {
        this->handle_submit_commit(submission, result);
      }));
}

void
JobApi::handle_submit_commit(const SubmissionPtr& submission,
                             const platform::Table::CommitResult& result)
{
  if (!result) {
    if (result.error().kind == platform::TableErrorKind::Conflict)
      this->join_existing(submission);
    else if (result.error().kind == platform::TableErrorKind::Unavailable)
      submission->callback(
        tl::unexpected(this->store_unavailable(v1::OUTCOME_NOT_RUN)));
    else
      // If the commit is applied after all, a scan of the open jobs finds the
      // job.
      submission->callback(
        tl::unexpected(this->store_unavailable(v1::OUTCOME_UNKNOWN)));
    return;
  }
  const v1::JobRow& row = submission->row;
  this->context.log.write(JOB_ACCEPTED, { { "job", row.job().id() } });
  this->context.metrics.counter("entry_jobs_accepted_total").add();
  v1::SubmitJobResponse response;
  *response.mutable_job() = row.job();
  submission->callback(std::move(response));
  this->takeover.notify_backup(row);
  this->drivers.start(row, result->front(), submission->trace);
}

void
JobApi::join_existing(const SubmissionPtr& submission)
{
  this->context.table.read(
    { request_key(submission->row.job().organisation(),
                  submission->request.request_id()) },
    this->guarded(
      [this, submission](const platform::Table::ReadResult& result) {
        this->handle_request_row(submission, result);
      }));
}

void
JobApi::handle_request_row(const SubmissionPtr& submission,
                           const platform::Table::ReadResult& result)
{
  if (!result) {
    submission->callback(
      tl::unexpected(this->store_unavailable(v1::OUTCOME_UNKNOWN)));
    return;
  }
  std::optional<v1::RequestRow> record =
    parse_row<v1::RequestRow>(result->front());
  bool same_request =
    record && record->body_hash() == submission->hash && !record->job().empty();
  if (!same_request) {
    submission->callback(tl::unexpected(gateway::call_error(
      v1::ERROR_KIND_REQUEST_ID_REUSED,
      "the request id was used before for another request")));
    return;
  }
  this->read_job(record->job(),
                 [submission](tl::expected<v1::Job, gateway::CallError> job) {
                   if (!job) {
                     submission->callback(tl::unexpected(job.error()));
                     return;
                   }
                   v1::SubmitJobResponse response;
                   *response.mutable_job() = std::move(*job);
                   submission->callback(std::move(response));
                 });
}

void
JobApi::read_job(
  const std::string& id,
  std::function<void(tl::expected<v1::Job, gateway::CallError>)> done)
{
  this->context.table.read(
    { job_key(id) },
    this->guarded([this, done = std::move(done)](
                    const platform::Table::ReadResult& result) {
      if (!result) {
        done(tl::unexpected(this->store_unavailable(v1::OUTCOME_UNSPECIFIED)));
        return;
      }
      std::optional<v1::JobRow> row = parse_row<v1::JobRow>(result->front());
      if (row)
        done(std::move(*row->mutable_job()));
      else
        done(tl::unexpected(unknown_job()));
    }));
}

void
JobApi::get(const Principal& principal,
            const std::string& id,
            ResponseCallback<v1::Job> callback)
{
  if (organisation_of(id) != principal.organisation)
    callback(tl::unexpected(unknown_job()));
  else
    this->read_job(id, std::move(callback));
}

void
JobApi::wait(const Principal& principal,
             const v1::WaitJobRequest& request,
             ResponseCallback<v1::Job> callback)
{
  if (organisation_of(request.id()) != principal.organisation) {
    callback(tl::unexpected(unknown_job()));
    return;
  }
  WaiterPtr waiter = std::make_shared<Waiter>();
  waiter->job = request.id();
  waiter->callback = std::move(callback);
  waiter->deadline_ms = kernel::boot_ms() + request.timeout_ms();
  this->waiters.emplace(waiter->job, waiter);
  this->poll_waiter(waiter, FIRST_POLL_PERIOD);
}

void
JobApi::poll_waiter(const WaiterPtr& waiter, kernel::Milliseconds period)
{
  this->read_job(
    waiter->job,
    [this, waiter, period](tl::expected<v1::Job, gateway::CallError> job) {
      if (!waiter->callback)
        return;
      std::int64_t remaining_ms = waiter->deadline_ms - kernel::boot_ms();
      // A store that is unavailable for a while must not end the wait.
      bool retry =
        !job && job.error().detail.kind() == v1::ERROR_KIND_STORE_UNAVAILABLE;
      bool wait_ended =
        remaining_ms <= 0 || (!retry && (!job || is_final(*job)));
      if (!wait_ended) {
        bool driven_here = this->drivers.find(waiter->job) != nullptr;
        kernel::Milliseconds next = driven_here ? MAX_POLL_PERIOD : period;
        waiter->poll = this->context.timers.after(
          std::min(next, kernel::Milliseconds(remaining_ms)),
          [this, waiter, period] {
            this->poll_waiter(waiter, std::min(period * 2, MAX_POLL_PERIOD));
          });
        return;
      }
      std::erase_if(this->waiters, [&waiter](const auto& entry) {
        return entry.second == waiter;
      });
      ResponseCallback<v1::Job> callback =
        std::exchange(waiter->callback, nullptr);
      callback(std::move(job));
    });
}

void
JobApi::handle_finished(const v1::JobRow& row)
{
  if (!is_final(row.job()))
    return;
  std::vector<WaiterPtr> ended_waiters;
  auto [first, last] = this->waiters.equal_range(row.job().id());
  for (std::multimap<std::string, WaiterPtr>::iterator it = first; it != last;
       ++it)
    ended_waiters.push_back(it->second);
  this->waiters.erase(first, last);
  for (const WaiterPtr& waiter : ended_waiters) {
    waiter->poll.reset();
    ResponseCallback<v1::Job> callback =
      std::exchange(waiter->callback, nullptr);
    if (callback)
      callback(row.job());
  }
}

void
JobApi::list(const Principal& principal,
             const v1::ListJobsRequest& request,
             ResponseCallback<v1::ListJobsResponse> callback)
{
  std::size_t size = request.page_size() == 0
                       ? DEFAULT_PAGE_SIZE
                       : std::min(request.page_size(), MAX_PAGE_SIZE);
  std::string prefix = job_key(principal.organisation + ".");
  std::string after =
    request.page_token().empty() ? "" : job_key(request.page_token());
  this->context.table.scan(
    prefix,
    after,
    size,
    this->guarded([this, size, callback = std::move(callback)](
                    const platform::Table::ReadResult& result) {
      if (!result) {
        callback(
          tl::unexpected(this->store_unavailable(v1::OUTCOME_UNSPECIFIED)));
        return;
      }
      v1::ListJobsResponse response;
      for (const platform::Row& row : *result) {
        std::optional<v1::JobRow> parsed = parse_row<v1::JobRow>(row);
        if (parsed)
          *response.add_jobs() = std::move(*parsed->mutable_job());
      }
      if (result->size() == size && response.jobs_size() > 0)
        response.set_next_page_token(
          response.jobs(response.jobs_size() - 1).id());
      callback(std::move(response));
    }));
}

void
JobApi::cancel(const Principal& principal,
               const std::string& id,
               ResponseCallback<v1::Job> callback)
{
  if (organisation_of(id) != principal.organisation) {
    callback(tl::unexpected(unknown_job()));
    return;
  }
  this->stopper.request(id,
                        v1::STOP_PURPOSE_CANCEL,
                        this->guarded([this, callback = std::move(callback)](
                                        const JobStopper::Result& result) {
                          if (result)
                            callback(result->job());
                          else if (result.error() == StopError::NoSuchJob)
                            callback(tl::unexpected(unknown_job()));
                          else
                            callback(tl::unexpected(this->store_unavailable(
                              v1::OUTCOME_UNSPECIFIED)));
                        }));
}

} // namespace geraniumhinge::entry
