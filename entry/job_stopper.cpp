#include "entry/job_stopper.h"

#include "entry/rows.h"

namespace geraniumhinge::entry {

namespace {

// Time in which a burst of cancellations is collected into one batch; a single
// request waits no longer.
constexpr kernel::Milliseconds BATCH_DELAY{ 5 };
constexpr std::size_t MAX_BATCH = 100;

/// The row with the stop requested, or nothing if the row needs no change.
std::optional<v1::JobRow>
row_with_stop(const v1::JobRow& row, v1::StopPurpose purpose)
{
  bool cancel = purpose == v1::STOP_PURPOSE_CANCEL;
  v1::JobRow next = row;
  if (row.job().state() == v1::JOB_STATE_QUEUED && cancel) {
    next.mutable_job()->set_state(v1::JOB_STATE_DONE);
    next.mutable_job()->set_outcome(row.unconfirmed() ? v1::OUTCOME_UNKNOWN
                                    : row.ran()       ? v1::OUTCOME_FAILED
                                                      : v1::OUTCOME_NOT_RUN);
    next.mutable_job()->set_reason(v1::REASON_CANCELLED);
    next.mutable_job()->set_finished_ms(kernel::unix_ms());
    return next;
  }
  bool running = row.job().state() == v1::JOB_STATE_RUNNING;
  // A cancellation replaces any other purpose of a stop in progress.
  bool overrides = row.job().state() == v1::JOB_STATE_STOPPING && cancel &&
                   row.stop_purpose() != v1::STOP_PURPOSE_CANCEL;
  if (!running && !overrides)
    return std::nullopt;
  next.mutable_job()->set_state(v1::JOB_STATE_STOPPING);
  next.set_stop_purpose(purpose);
  if (running)
    next.set_stopping_since_ms(kernel::unix_ms());
  return next;
}

} // namespace

JobStopper::JobStopper(const DriverContext& context, DriverTable& drivers)
  : Task(context.loop, "stopper")
  , context(context)
  , drivers(drivers)
{
}

void
JobStopper::request(const std::string& job, v1::StopPurpose purpose, Done done)
{
  Request& request = this->pending[job];
  if (request.purpose != v1::STOP_PURPOSE_CANCEL)
    request.purpose = purpose;
  if (done)
    request.done.push_back(std::move(done));
  if (!this->batch_timer.active())
    this->batch_timer =
      this->context.timers.after(BATCH_DELAY, [this] { this->read_pending(); });
}

void
JobStopper::read_pending()
{
  this->batch_timer.reset();
  Batch batch;
  while (!this->pending.empty()) {
    batch.insert(this->pending.extract(this->pending.begin()));
    if (batch.size() == MAX_BATCH || this->pending.empty())
      this->read(std::exchange(batch, {}));
  }
}

void
JobStopper::read(Batch batch)
{
  std::vector<std::string> keys;
  for (const auto& [job, request] : batch)
    keys.push_back(job_key(job));
  this->context.table.read(
    std::move(keys),
    this->guarded([this, batch = std::move(batch)](
                    const platform::Table::ReadResult& result) {
      if (result)
        this->apply(batch, *result);
      else
        this->fail_batch(batch);
    }));
}

void
JobStopper::apply(Batch batch, const std::vector<platform::Row>& rows)
{
  platform::Transaction transaction;
  std::vector<v1::JobRow> changed;
  for (const platform::Row& row : rows) {
    std::string job =
      row.key.substr(std::char_traits<char>::length(JOB_PREFIX));
    std::optional<v1::JobRow> current = parse_row<v1::JobRow>(row);
    std::optional<v1::JobRow> next;
    if (current)
      next = row_with_stop(*current, batch[job].purpose);
    if (!next) {
      this->complete(batch[job],
                     current ? Result(*current)
                             : tl::unexpected(StopError::NoSuchJob));
      batch.erase(job);
      continue;
    }
    transaction.checks.push_back({ row.key, row.version });
    transaction.writes.push_back(write_row(row.key, *next));
    if (next->job().state() == v1::JOB_STATE_DONE)
      transaction.writes.push_back(delete_row(open_key(job)));
    changed.push_back(std::move(*next));
  }
  if (!changed.empty())
    this->commit(std::move(batch), std::move(changed), std::move(transaction));
}

void
JobStopper::commit(Batch batch,
                   std::vector<v1::JobRow> next,
                   platform::Transaction transaction)
{
  this->context.table.commit(
    std::move(transaction),
    this->guarded([this, batch = std::move(batch), next = std::move(next)](
                    const platform::Table::CommitResult& result) {
      if (!result) {
        if (result.error().kind == platform::TableErrorKind::Conflict)
          this->retry_each(batch);
        else
          this->fail_batch(batch);
        return;
      }
      for (const v1::JobRow& row : next) {
        this->drivers.notify(row);
        this->complete(batch.at(row.job().id()), row);
      }
    }));
}

void
JobStopper::retry_each(const Batch& batch)
{
  // A row of the batch has changed since it was read. Each job is tried alone,
  // so that the conflict does not delay the others.
  for (const auto& [job, request] : batch)
    this->read(Batch{ { job, request } });
}

void
JobStopper::complete(const Request& request, const Result& result)
{
  for (const Done& done : request.done)
    done(result);
}

void
JobStopper::fail_batch(const Batch& batch)
{
  for (const auto& [job, request] : batch)
    this->complete(request, tl::unexpected(StopError::Unavailable));
}

} // namespace geraniumhinge::entry
