#include "entry/cells.h"

#include "entry/events.h"
#include "entry/rows.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr std::size_t MAX_CELLS = 1000;
constexpr int MAX_CONFLICTS = 16;
constexpr kernel::Milliseconds LOAD_RETRY{ 200 };

bool
is_cell(const std::string& key)
{
  return key.starts_with(CELL_PREFIX);
}

UpdateErrorKind
kind_of(platform::TableErrorKind kind)
{
  switch (kind) {
    case platform::TableErrorKind::Conflict:
      return UpdateErrorKind::Conflict;
    case platform::TableErrorKind::Unavailable:
      return UpdateErrorKind::Unavailable;
    case platform::TableErrorKind::Ambiguous:
      return UpdateErrorKind::Ambiguous;
  }
  return UpdateErrorKind::Ambiguous;
}

} // namespace

Cells::Cells(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             kernel::Metrics& metrics,
             platform::Table& table,
             kernel::Milliseconds poll_period)
  : Task(loop, "cells")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , table(table)
  , poll_period(poll_period)
{
}

void
Cells::start(std::function<void()> loaded)
{
  this->refresh([this, loaded = std::move(loaded)](bool read) {
    if (!read) {
      this->poll_timer =
        this->timers.after(LOAD_RETRY, [this, loaded] { this->start(loaded); });
      return;
    }
    this->poll_timer =
      this->timers.every(this->poll_period, [this] { this->poll(); });
    loaded();
  });
}

void
Cells::poll()
{
  if (this->polling)
    return;
  this->polling = true;
  this->refresh([this](bool) { this->polling = false; });
}

void
Cells::refresh(const std::function<void(bool)>& done)
{
  this->table.scan(
    CELL_PREFIX,
    "",
    MAX_CELLS,
    this->guarded([this, done](platform::Table::ReadResult result) {
      if (result) {
        for (const platform::Row& row : *result)
          this->apply(row);
        this->changed();
      }
      done(result.has_value());
    }));
}

void
Cells::apply(const platform::Row& row)
{
  std::optional<v1::CellRow> parsed = parse_row<v1::CellRow>(row);
  if (!parsed) {
    if (row.version != 0)
      this->log.write(ROW_MALFORMED, { { "key", row.key } });
    return;
  }
  CellView& view = this->cells[parsed->zone()];
  // A read that was under way while a commit succeeded is older than it.
  if (row.version < view.version)
    return;
  view.version = row.version;
  view.row = std::move(*parsed);
}

void
Cells::on_change(std::function<void()> fn)
{
  this->listeners.push_back(std::move(fn));
}

void
Cells::changed() const
{
  for (const std::function<void()>& listener : this->listeners)
    listener();
}

void
Cells::update(CellUpdate update, UpdateDone done)
{
  PendingPtr pending = std::make_shared<Pending>();
  pending->update = std::move(update);
  pending->done = std::move(done);
  this->queue.push_back(pending);
  this->run_queue();
}

bool
Cells::overlaps_busy(const Pending& pending) const
{
  return std::any_of(
    pending.update.zones.begin(),
    pending.update.zones.end(),
    [this](const std::string& zone) { return this->busy.contains(zone); });
}

void
Cells::run_queue()
{
  // Updates that wait for a zone keep their place before later ones.
  std::set<std::string> blocked;
  std::vector<PendingPtr> ready;
  for (std::deque<PendingPtr>::iterator it = this->queue.begin();
       it != this->queue.end();) {
    const std::vector<std::string>& zones = (*it)->update.zones;
    bool waits =
      this->overlaps_busy(**it) ||
      std::any_of(zones.begin(), zones.end(), [&](const std::string& zone) {
        return blocked.contains(zone);
      });
    if (waits) {
      blocked.insert(zones.begin(), zones.end());
      ++it;
      continue;
    }
    this->busy.insert(zones.begin(), zones.end());
    ready.push_back(*it);
    it = this->queue.erase(it);
  }
  for (const PendingPtr& pending : ready)
    this->attempt(pending);
}

void
Cells::attempt(const PendingPtr& pending)
{
  CellMap changed;
  for (const std::string& zone : pending->update.zones) {
    CellMap::iterator found = this->cells.find(zone);
    if (found != this->cells.end())
      changed[zone] = found->second;
    else
      changed[zone].row.set_zone(zone);
  }
  if (pending->update.change(changed)) {
    this->commit(pending, std::move(changed));
    return;
  }
  // The copies may be old: decides once more on rows just read.
  if (!pending->reread)
    this->reread(pending);
  else
    this->finish(pending,
                 tl::unexpected(UpdateError{ UpdateErrorKind::Refused, "" }));
}

void
Cells::commit(const PendingPtr& pending, CellMap changed)
{
  platform::Transaction transaction = pending->update.other_rows;
  for (const auto& [zone, view] : changed) {
    transaction.checks.push_back({ cell_key(zone), view.version });
    transaction.writes.push_back(write_row(cell_key(zone), view.row));
  }
  this->table.commit(
    std::move(transaction),
    this->guarded([this, pending, changed = std::move(changed)](
                    const platform::Table::CommitResult& result) {
      if (result)
        this->committed(pending, changed, *result);
      else
        this->failed(pending, result.error());
    }));
}

void
Cells::committed(const PendingPtr& pending,
                 const CellMap& changed,
                 const std::vector<std::uint64_t>& versions)
{
  std::size_t rest = pending->update.other_rows.writes.size();
  std::size_t index = rest;
  for (const auto& [zone, view] : changed) {
    std::uint64_t version = versions[index++];
    CellView& own = this->cells[zone];
    if (own.version < version)
      own = CellView{ view.row, version };
  }
  this->metrics.counter("entry_cell_commits_total").add();
  this->finish(pending,
               std::vector<std::uint64_t>(
                 versions.begin(), versions.begin() + static_cast<long>(rest)));
  this->changed();
}

void
Cells::failed(const PendingPtr& pending, const platform::TableError& error)
{
  bool retry = error.kind == platform::TableErrorKind::Conflict &&
               is_cell(error.key) && pending->conflicts < MAX_CONFLICTS;
  if (error.kind == platform::TableErrorKind::Conflict) {
    this->metrics.counter("entry_commit_conflicts_total").add();
    this->log.write(COMMIT_CONFLICT, { { "key", error.key } });
  }
  if (retry) {
    ++pending->conflicts;
    this->reread(pending);
    return;
  }
  this->finish(pending,
               tl::unexpected(UpdateError{ kind_of(error.kind), error.key }));
}

void
Cells::reread(const PendingPtr& pending)
{
  pending->reread = true;
  std::vector<std::string> keys;
  for (const std::string& zone : pending->update.zones)
    keys.push_back(cell_key(zone));
  this->table.read(
    keys, this->guarded([this, pending](platform::Table::ReadResult result) {
      if (!result) {
        this->finish(
          pending,
          tl::unexpected(UpdateError{ UpdateErrorKind::Unavailable, "" }));
        return;
      }
      for (const platform::Row& row : *result)
        this->apply(row);
      this->attempt(pending);
    }));
}

void
Cells::finish(const PendingPtr& pending, const UpdateResult& result)
{
  for (const std::string& zone : pending->update.zones)
    this->busy.erase(zone);
  pending->done(result);
  this->run_queue();
}

} // namespace geraniumhinge::entry
