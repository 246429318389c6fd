#include "entry/cell_cache.h"

#include "entry/events.h"
#include "entry/rows.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr std::size_t MAX_CELLS = 1000;
constexpr int MAX_CONFLICTS = 16;
constexpr kernel::Milliseconds LOAD_RETRY_DELAY{ 200 };

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

CellCache::CellCache(kernel::Loop& loop,
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
CellCache::start(std::function<void()> loaded)
{
  this->refresh([this, loaded = std::move(loaded)](bool read) {
    if (!read) {
      this->poll_timer = this->timers.after(
        LOAD_RETRY_DELAY, [this, loaded] { this->start(loaded); });
      return;
    }
    this->poll_timer =
      this->timers.every(this->poll_period, [this] { this->poll(); });
    loaded();
  });
}

void
CellCache::poll()
{
  if (this->poll_in_flight)
    return;
  this->poll_in_flight = true;
  this->refresh([this](bool) { this->poll_in_flight = false; });
}

void
CellCache::refresh(const std::function<void(bool)>& done)
{
  this->table.scan(
    CELL_PREFIX,
    "",
    MAX_CELLS,
    this->guarded([this, done](platform::Table::ReadResult result) {
      if (result) {
        for (const platform::Row& row : *result)
          this->apply(row);
        this->notify_listeners();
      }
      done(result.has_value());
    }));
}

void
CellCache::apply(const platform::Row& row)
{
  std::optional<v1::CellRow> parsed = parse_row<v1::CellRow>(row);
  if (!parsed) {
    if (row.version != 0)
      this->log.write(ROW_MALFORMED, { { "key", row.key } });
    return;
  }
  CellView& view = this->cells[parsed->zone()];
  // A read that overlaps a commit can return an older version of the row.
  if (row.version < view.version)
    return;
  view.version = row.version;
  view.row = std::move(*parsed);
}

void
CellCache::on_change(std::function<void()> fn)
{
  this->listeners.push_back(std::move(fn));
}

void
CellCache::notify_listeners() const
{
  for (const std::function<void()>& listener : this->listeners)
    listener();
}

void
CellCache::update(CellUpdate update, UpdateDone done)
{
  PendingUpdatePtr pending = std::make_shared<PendingUpdate>();
  pending->update = std::move(update);
  pending->done = std::move(done);
  this->queue.push_back(pending);
  this->start_ready_updates();
}

bool
CellCache::overlaps_busy_zone(const PendingUpdate& pending) const
{
  return std::any_of(pending.update.zones.begin(),
                     pending.update.zones.end(),
                     [this](const std::string& zone) {
                       return this->busy_zones.contains(zone);
                     });
}

void
CellCache::start_ready_updates()
{
  // An update that waits for a zone blocks later updates of the same zones.
  std::set<std::string> waiting_zones;
  std::vector<PendingUpdatePtr> ready;
  for (std::deque<PendingUpdatePtr>::iterator it = this->queue.begin();
       it != this->queue.end();) {
    const std::vector<std::string>& zones = (*it)->update.zones;
    bool waits =
      this->overlaps_busy_zone(**it) ||
      std::any_of(zones.begin(), zones.end(), [&](const std::string& zone) {
        return waiting_zones.contains(zone);
      });
    if (waits) {
      waiting_zones.insert(zones.begin(), zones.end());
      ++it;
      continue;
    }
    this->busy_zones.insert(zones.begin(), zones.end());
    ready.push_back(*it);
    it = this->queue.erase(it);
  }
  for (const PendingUpdatePtr& pending : ready)
    this->attempt(pending);
}

void
CellCache::attempt(const PendingUpdatePtr& pending)
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
  // The copies may be outdated: tries once more on rows just read.
  if (!pending->read_from_store)
    this->read_again(pending);
  else
    this->finish(pending,
                 tl::unexpected(UpdateError{ UpdateErrorKind::Refused, "" }));
}

void
CellCache::commit(const PendingUpdatePtr& pending, CellMap changed)
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
        this->handle_commit(pending, changed, *result);
      else
        this->handle_failure(pending, result.error());
    }));
}

void
CellCache::handle_commit(const PendingUpdatePtr& pending,
                         const CellMap& changed,
                         const std::vector<std::uint64_t>& versions)
{
  std::size_t other_writes = pending->update.other_rows.writes.size();
  std::size_t index = other_writes;
  for (const auto& [zone, view] : changed) {
    std::uint64_t version = versions[index++];
    CellView& copy = this->cells[zone];
    if (copy.version < version)
      copy = CellView{ view.row, version };
  }
  this->metrics.counter("entry_cell_commits_total").add();
  this->finish(pending,
               std::vector<std::uint64_t>(versions.begin(),
                                          versions.begin() +
                                            static_cast<long>(other_writes)));
  this->notify_listeners();
}

void
CellCache::handle_failure(const PendingUpdatePtr& pending,
                          const platform::TableError& error)
{
  bool retry = error.kind == platform::TableErrorKind::Conflict &&
               is_cell(error.key) && pending->conflicts < MAX_CONFLICTS;
  if (error.kind == platform::TableErrorKind::Conflict) {
    this->metrics.counter("entry_commit_conflicts_total").add();
    this->log.write(COMMIT_CONFLICT, { { "key", error.key } });
  }
  if (retry) {
    ++pending->conflicts;
    this->read_again(pending);
    return;
  }
  this->finish(pending,
               tl::unexpected(UpdateError{ kind_of(error.kind), error.key }));
}

void
CellCache::read_again(const PendingUpdatePtr& pending)
{
  pending->read_from_store = true;
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
CellCache::finish(const PendingUpdatePtr& pending, const UpdateResult& result)
{
  for (const std::string& zone : pending->update.zones)
    this->busy_zones.erase(zone);
  pending->done(result);
  this->start_ready_updates();
}

} // namespace geraniumhinge::entry
