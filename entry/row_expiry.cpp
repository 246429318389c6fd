#include "entry/row_expiry.h"

#include "entry/events.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds COMMIT_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds PERIOD{ 10'000 };
/// Between two transactions while there are more rows to remove.
constexpr kernel::Milliseconds PAUSE{ 50 };
/// The store accepts 100 entries per transaction: conditions and removals.
constexpr std::size_t MAX_ENTRIES_PER_COMMIT = 100;
/// A workflow needs a condition and up to three removals.
constexpr std::size_t MAX_ENTRIES_PER_ITEM = 4;

bool
is_expired_workflow(const WorkItem& item, std::int64_t read_before_ms)
{
  return item.workflow && item.outcome_read_ms != 0 &&
         item.outcome_read_ms < read_before_ms &&
         !core::has_runs(item.progress);
}

bool
is_expired_cancel(const WorkItem& item, std::int64_t read_before_ms)
{
  return item.workflow_version == 0 && item.cancelled &&
         item.cancel_read_ms < read_before_ms;
}

void
add_workflow(platform::RowChange& change,
             const std::string& id,
             const WorkItem& item)
{
  platform::RowName row = work_row(WorkRowKind::Workflow, id);
  change.conditions.push_back({ row, item.workflow_version });
  change.removals.push_back(row);
  change.removals.push_back(work_row(WorkRowKind::Progress, id));
  if (item.cancelled)
    change.removals.push_back(work_row(WorkRowKind::Cancel, id));
}

void
add_cancel(platform::RowChange& change,
           const std::string& id,
           const WorkItem& item)
{
  platform::RowName row = work_row(WorkRowKind::Cancel, id);
  change.conditions.push_back({ row, item.cancel_version });
  change.removals.push_back(row);
}

} // namespace

platform::RowChange
make_removal(const WorkView& view,
             std::uint64_t term,
             std::int64_t read_before_ms)
{
  platform::RowChange change;
  change.conditions.push_back({ owner_row(), term });
  for (const std::pair<const std::string, WorkItem>& entry : view.items()) {
    std::size_t entries = change.conditions.size() + change.removals.size();
    if (entries + MAX_ENTRIES_PER_ITEM > MAX_ENTRIES_PER_COMMIT)
      break;
    if (is_expired_workflow(entry.second, read_before_ms))
      add_workflow(change, entry.first, entry.second);
    else if (is_expired_cancel(entry.second, read_before_ms))
      add_cancel(change, entry.first, entry.second);
  }
  return change;
}

RowExpiry::RowExpiry(kernel::Loop& loop,
                     kernel::TimerService& timers,
                     const kernel::Log& log,
                     kernel::Metrics& metrics,
                     platform::Store& store,
                     WorkView& view,
                     std::int64_t retention_ms)
  : Task(loop, "row_expiry")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , store(store)
  , view(view)
  , retention_ms(retention_ms)
{
}

void
RowExpiry::start_term(std::uint64_t term)
{
  this->term = term;
  this->next_timer.reset();
  this->period_timer = this->timers.every(PERIOD, [this] {
    this->log_malformed_rows();
    this->remove_rows();
  });
}

void
RowExpiry::end_term()
{
  this->term = 0;
  this->period_timer.reset();
  this->next_timer.reset();
}

void
RowExpiry::log_malformed_rows()
{
  for (const std::pair<const std::string, WorkItem>& entry :
       this->view.items()) {
    if (entry.second.workflow_version != 0 && !entry.second.usable)
      this->log.write(ROW_MALFORMED, { { "key", entry.first } });
  }
}

void
RowExpiry::remove_rows()
{
  platform::RowChange removal = make_removal(
    this->view, this->term, kernel::boot_ms() - this->retention_ms);
  if (removal.removals.empty())
    return;
  this->store.commit(
    removal,
    COMMIT_TIMEOUT,
    this->guarded([this, term = this->term, removal](
                    const platform::Store::CommitResult& result) {
      if (term == this->term)
        this->handle_result(removal, result);
    }));
}

void
RowExpiry::handle_result(const platform::RowChange& removal,
                         const platform::Store::CommitResult& result)
{
  if (!result) {
    this->log.write(
      EXPIRY_FAILED,
      { { "error",
          name_of(platform::STORE_ERROR_NAMES, result.error().kind) } });
    return;
  }
  this->metrics.counter("entry_rows_expired_total")
    .add(removal.removals.size());
  for (const platform::RowName& row : removal.removals)
    this->view.apply(platform::StoredRow{ row, "", *result, true });
  this->next_timer = this->timers.after(PAUSE, [this] { this->remove_rows(); });
}

} // namespace geraniumhinge::entry
