#include "entry/work_writer.h"

#include "entry/work_rows.h"
#include "kernel/clock.h"

namespace geraniumhinge::entry {

namespace {

/// Limit of the first try; later tries get longer, as the store may be slow.
constexpr kernel::Milliseconds FIRST_TIMEOUT{ 600 };
constexpr kernel::Milliseconds COMMIT_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds COMMIT_RETRY{ 100 };

} // namespace

WorkWriter::WorkWriter(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       platform::Store& store,
                       WorkWriterHooks hooks)
  : Task(loop, "work_writer")
  , timers(timers)
  , store(store)
  , hooks(std::move(hooks))
{
}

void
WorkWriter::start_term(std::uint64_t term)
{
  this->end_term();
  this->term = term;
}

void
WorkWriter::end_term()
{
  this->in_flight = false;
  ++this->change_number;
  this->retry_timer.reset();
}

void
WorkWriter::write(platform::RowChange change)
{
  this->change = std::move(change);
  this->in_flight = true;
  this->written_ms = kernel::boot_ms();
  this->tries = 0;
  ++this->change_number;
  this->send();
}

void
WorkWriter::send()
{
  this->store.commit(
    this->change,
    this->tries++ == 0 ? FIRST_TIMEOUT : COMMIT_TIMEOUT,
    this->guarded([this, number = this->change_number](
                    const platform::Store::CommitResult& result) {
      if (number == this->change_number && this->in_flight)
        this->handle_commit_result(result);
    }));
}

void
WorkWriter::handle_commit_result(const platform::Store::CommitResult& result)
{
  if (result)
    this->finish(*result);
  else if (result.error().kind == platform::StoreErrorKind::Conflict)
    this->handle_conflict(result.error());
  else
    this->retry_timer =
      this->timers.after(COMMIT_RETRY, [this] { this->send(); });
}

void
WorkWriter::handle_conflict(const platform::StoreError& error)
{
  bool still_owner = true;
  for (const platform::StoredRow& row : error.current) {
    if (row.name == owner_row())
      still_owner = row.version == this->term;
  }
  std::optional<std::uint64_t> version = this->applied_version(error);
  if (version) {
    this->finish(*version);
    return;
  }
  this->in_flight = false;
  this->hooks.conflict(still_owner, error.current);
}

/// The version of the written rows if all of them have the values of the
/// change: an earlier try without a response was applied. Other rows that the
/// change depends on may have changed since.
std::optional<std::uint64_t>
WorkWriter::applied_version(const platform::StoreError& error) const
{
  std::optional<std::uint64_t> version;
  for (const platform::RowValue& write : this->change.writes) {
    const platform::StoredRow* found =
      platform::find_row(error.current, write.name);
    if (!found || found->value != write.value)
      return std::nullopt;
    version = found->version;
  }
  return version;
}

void
WorkWriter::finish(std::uint64_t version)
{
  this->in_flight = false;
  platform::RowChange stored = std::move(this->change);
  this->change = {};
  this->hooks.stored(stored, version);
}

} // namespace geraniumhinge::entry
