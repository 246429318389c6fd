#include "entry/stopper.h"

#include "entry/rows.h"

namespace geraniumhinge::entry {

namespace {

// Gathers a burst of cancellations; a single one waits no longer than this.
constexpr kernel::Milliseconds BATCH_DELAY{ 5 };
constexpr std::size_t MAX_BATCH = 100;

/// The row once the stop is asked for, or nothing if it needs no change.
std::optional<v1::JobRow>
stopped_row(const v1::JobRow& row, v1::StopPurpose purpose)
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
  // A cancellation replaces any other purpose of a stop under way.
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

Stopper::Stopper(const DriverContext& context, DriverTable& drivers)
  : Task(context.loop, "stopper")
  , context(context)
  , drivers(drivers)
{
}

void
Stopper::request(const std::string& job, v1::StopPurpose purpose, Done done)
{
  Request& request = this->pending[job];
  if (request.purpose != v1::STOP_PURPOSE_CANCEL)
    request.purpose = purpose;
  if (done)
    request.done.push_back(std::move(done));
  if (!this->batch_timer.active())
    this->batch_timer =
      this->context.timers.after(BATCH_DELAY, [this] { this->flush(); });
}

void
Stopper::flush()
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
Stopper::read(Batch batch)
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
        this->fail(batch);
    }));
}

void
Stopper::apply(Batch batch, const std::vector<platform::Row>& rows)
{
  platform::Transaction transaction;
  std::vector<v1::JobRow> changed;
  for (const platform::Row& row : rows) {
    std::string job =
      row.key.substr(std::char_traits<char>::length(JOB_PREFIX));
    std::optional<v1::JobRow> current = parse_row<v1::JobRow>(row);
    std::optional<v1::JobRow> next;
    if (current)
      next = stopped_row(*current, batch[job].purpose);
    if (!next) {
      this->settle(batch[job],
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
Stopper::commit(Batch batch,
                std::vector<v1::JobRow> next,
                platform::Transaction transaction)
{
  this->context.table.commit(
    std::move(transaction),
    this->guarded([this, batch = std::move(batch), next = std::move(next)](
                    const platform::Table::CommitResult& result) {
      if (!result) {
        if (result.error().kind == platform::TableErrorKind::Conflict)
          this->commit_each(batch);
        else
          this->fail(batch);
        return;
      }
      for (const v1::JobRow& row : next) {
        this->drivers.notify(row);
        this->settle(batch.at(row.job().id()), row);
      }
    }));
}

void
Stopper::commit_each(const Batch& batch)
{
  // One row of the batch changed: the others must not wait for it.
  for (const auto& [job, request] : batch)
    this->read(Batch{ { job, request } });
}

void
Stopper::settle(const Request& request, const Result& result)
{
  for (const Done& done : request.done)
    done(result);
}

void
Stopper::fail(const Batch& batch)
{
  for (const auto& [job, request] : batch)
    this->settle(request, tl::unexpected(StopError::Unavailable));
}

} // namespace geraniumhinge::entry
