#include "entry/ownership.h"

#include "entry/events.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds CHECK_PERIOD{ 100 };
constexpr kernel::Milliseconds HEARTBEAT_PERIOD{ 400 };
constexpr kernel::Milliseconds COMMIT_TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds OWNER_WAIT{ 1'000 };
/// Three heartbeats in a row are missing.
constexpr std::int64_t SILENCE_LIMIT_MS = 1'300;
/// Random part of the limit, so that entries with the same share of a core do
/// not all claim at once.
constexpr std::uint64_t TIMEOUT_SPREAD_MS = 100;

platform::TableWatchOptions
owner_options()
{
  platform::TableWatchOptions options;
  options.table = platform::OWNER_TABLE;
  options.part = platform::WORK_PART;
  options.wait = OWNER_WAIT;
  return options;
}

} // namespace

Ownership::Ownership(kernel::Loop& loop,
                     kernel::TimerService& timers,
                     const kernel::Log& log,
                     platform::Store& store,
                     std::string entry,
                     std::string peer_address,
                     std::int64_t claim_delay_ms,
                     OwnershipHooks hooks)
  : Task(loop, "ownership")
  , timers(timers)
  , log(log)
  , store(store)
  , entry(std::move(entry))
  , peer_address(std::move(peer_address))
  , incarnation(kernel::random_id())
  , hooks(std::move(hooks))
  , watcher(
      loop,
      timers,
      log,
      store,
      owner_options(),
      { [this](const platform::RowPage& page) { this->handle_snapshot(page); },
        [this](const platform::RowPage& page) { this->handle_rows(page); } })
  , claim_delay_ms(claim_delay_ms)
  , heartbeat_timeout_ms(
      SILENCE_LIMIT_MS + claim_delay_ms +
      static_cast<std::int64_t>(kernel::random_id() % TIMEOUT_SPREAD_MS))
{
}

void
Ownership::start()
{
  this->vacant_since_ms = kernel::boot_ms();
  this->watcher.start();
  this->check_timer =
    this->timers.every(CHECK_PERIOD, [this] { this->check_owner(); });
  this->heartbeat_timer =
    this->timers.every(HEARTBEAT_PERIOD, [this] { this->write_heartbeat(); });
}

v1::OwnerRow
Ownership::own_row() const
{
  v1::OwnerRow row;
  row.set_entry(this->entry);
  row.set_peer_address(this->peer_address);
  row.set_incarnation(this->incarnation);
  return row;
}

void
Ownership::handle_rows(const platform::RowPage& page)
{
  for (const platform::StoredRow& row : page.unreadable)
    this->handle_odd_row(row);
  for (const platform::StoredRow& row : page.rows) {
    v1::OwnerRow owner;
    if (row.removed || !owner.ParseFromString(row.value)) {
      this->handle_odd_row(row);
      continue;
    }
    if (row.name != owner_row() || row.version <= this->row_version)
      continue;
    this->row_version = row.version;
    this->row_seen_ms = kernel::boot_ms();
    this->row_term = owner.released() ? owner.released_term() : row.version;
    // An earlier process of this entry ran on the same VM and must have ended.
    bool predecessor =
      owner.entry() == this->entry && owner.incarnation() != this->incarnation;
    this->vacant = owner.released() || predecessor;
    this->vacant_since_ms = kernel::boot_ms();
    this->current_owner_address = owner.peer_address();
    this->seen_heartbeat_ms = kernel::boot_ms();
    bool own = owner.incarnation() == this->incarnation && !owner.released();
    if (own && row.version > this->own_term)
      this->become_owner(row.version);
    else if (!own && this->owns())
      this->lose_ownership();
  }
}

/// Forgets a row that the table no longer has.
void
Ownership::handle_snapshot(const platform::RowPage& page)
{
  auto is_owner_row = [](const platform::StoredRow& row) {
    return row.name == owner_row();
  };
  bool is_listed =
    std::any_of(page.rows.begin(), page.rows.end(), is_owner_row) ||
    std::any_of(page.unreadable.begin(), page.unreadable.end(), is_owner_row);
  if (!is_listed && this->row_version != 0 && page.version > this->row_version)
    this->handle_vacant_row(0);
  this->handle_rows(page);
}

/// Another writer removed the owner row or left a value that can't be read. The
/// next claim depends on the row as it is now.
void
Ownership::handle_odd_row(const platform::StoredRow& row)
{
  if (row.name == owner_row() && row.version > this->row_version)
    this->handle_vacant_row(row.removed ? 0 : row.version);
}

void
Ownership::handle_vacant_row(std::uint64_t version)
{
  this->row_version = version;
  this->row_seen_ms = kernel::boot_ms();
  this->row_term = 0;
  this->vacant = true;
  this->vacant_since_ms = kernel::boot_ms();
  if (this->owns())
    this->lose_ownership();
}

bool
Ownership::owner_silent(std::int64_t now_ms)
{
  std::uint64_t heartbeat = this->hooks.heartbeat().version;
  if (heartbeat != this->seen_heartbeat) {
    this->seen_heartbeat = heartbeat;
    this->seen_heartbeat_ms = now_ms;
  }
  std::int64_t healthy_since_ms = this->hooks.watch_healthy_since_ms();
  if (healthy_since_ms == 0)
    return false;
  std::int64_t limit = std::max(this->seen_heartbeat_ms, healthy_since_ms) +
                       this->heartbeat_timeout_ms;
  return now_ms >= limit &&
         this->hooks.watch_confirmed_ms() >= limit - OWNER_WAIT.count();
}

void
Ownership::check_owner()
{
  if (this->owns() || this->released || this->claiming ||
      !this->watcher.loaded())
    return;
  std::int64_t now = kernel::boot_ms();
  bool silent = this->owner_silent(now);
  bool vacant =
    this->vacant && now - this->vacant_since_ms >= this->claim_delay_ms;
  if (vacant || silent)
    this->claim();
}

void
Ownership::claim()
{
  this->claiming = true;
  this->claim_sent_ms = kernel::boot_ms();
  this->former_term = this->row_term;
  this->former_seen_ms = this->row_seen_ms;
  platform::RowChange change;
  change.conditions.push_back({ owner_row(), this->row_version });
  change.writes.push_back({ owner_row(), this->own_row().SerializeAsString() });
  this->store.commit(
    change,
    COMMIT_TIMEOUT,
    this->guarded([this](const platform::Store::CommitResult& result) {
      this->handle_claim_result(result);
    }));
}

void
Ownership::handle_claim_result(const platform::Store::CommitResult& result)
{
  this->claiming = false;
  this->seen_heartbeat_ms = kernel::boot_ms();
  if (result && *result > this->row_version) {
    this->row_version = *result;
    this->row_seen_ms = kernel::boot_ms();
    this->row_term = *result;
    this->vacant = false;
    this->current_owner_address = this->peer_address;
    this->become_owner(*result);
  }
  // Without a response, handle_rows() finds out whether the claim was applied.
}

void
Ownership::become_owner(std::uint64_t term)
{
  this->own_term = term;
  this->own_confirmed_ms = this->claim_sent_ms;
  this->heartbeat_row_version = this->hooks.heartbeat().version;
  this->log.write(OWNERSHIP_TAKEN, { { "term", term } });
  this->hooks.acquired(term);
}

void
Ownership::lose_ownership()
{
  this->log.write(
    OWNERSHIP_LOST,
    { { "term", this->own_term }, { "successor_term", this->row_version } });
  this->own_term = 0;
  this->seen_heartbeat_ms = kernel::boot_ms();
  this->hooks.lost();
}

void
Ownership::term_superseded()
{
  if (this->owns())
    this->lose_ownership();
}

FormerOwner
Ownership::former_owner(const OwnerHeartbeat& heartbeat) const
{
  FormerOwner former;
  former.confirmed_ms = std::max(heartbeat.read_ms, this->former_seen_ms);
  // A heartbeat of an earlier term shows nothing about the last owner.
  if (this->former_term != 0 && heartbeat.term == this->former_term)
    former.silent = heartbeat.silent;
  return former;
}

void
Ownership::request_heartbeat()
{
  if (this->heartbeat_in_flight)
    this->heartbeat_requested = true;
  else
    this->write_heartbeat();
}

void
Ownership::write_heartbeat()
{
  if (!this->owns() || this->heartbeat_in_flight)
    return;
  this->heartbeat_in_flight = true;
  this->heartbeat_requested = false;
  v1::PulseRow row;
  row.set_term(this->own_term);
  row.set_count(++this->heartbeats);
  std::vector<SilentAgent> silent = this->hooks.withhold_silent_agents();
  for (const SilentAgent& agent : silent) {
    v1::SilentAgentRow& item = *row.add_silent();
    item.set_node(agent.node);
    item.set_silent_ms(agent.silent_ms);
  }
  platform::RowName name = work_row(WorkRowKind::Heartbeat, "");
  platform::RowChange change;
  change.conditions.push_back({ owner_row(), this->own_term });
  // An earlier heartbeat that is applied late must not replace this one.
  change.conditions.push_back({ name, this->heartbeat_row_version });
  change.writes.push_back({ name, row.SerializeAsString() });
  this->store.commit(
    change,
    COMMIT_TIMEOUT,
    this->guarded([this,
                   silent = std::move(silent),
                   term = this->own_term,
                   sent_ms = kernel::boot_ms()](
                    const platform::Store::CommitResult& result) {
      this->heartbeat_in_flight = false;
      if (term != this->own_term)
        return;
      this->handle_heartbeat_result(result, silent, sent_ms);
      if (this->heartbeat_requested)
        this->write_heartbeat();
    }));
}

void
Ownership::handle_heartbeat_result(const platform::Store::CommitResult& result,
                                   const std::vector<SilentAgent>& silent,
                                   std::int64_t sent_ms)
{
  if (result) {
    this->heartbeat_row_version = *result;
    this->own_confirmed_ms = sent_ms;
    this->hooks.heartbeat_stored(silent);
  } else if (result.error().kind == platform::StoreErrorKind::Conflict) {
    this->handle_heartbeat_conflict(result.error());
  }
}

void
Ownership::handle_heartbeat_conflict(const platform::StoreError& error)
{
  bool still_owner = false;
  std::uint64_t version = 0;
  for (const std::vector<platform::StoredRow>* rows :
       { &error.current, &error.unreadable }) {
    for (const platform::StoredRow& row : *rows) {
      if (row.name == owner_row())
        still_owner = row.version == this->own_term;
      else
        version = row.version;
    }
  }
  if (!still_owner) {
    this->lose_ownership();
    return;
  }
  this->heartbeat_requested = version != this->heartbeat_row_version;
  this->heartbeat_row_version = version;
}

void
Ownership::release()
{
  this->released = true;
  if (!this->owns())
    return;
  v1::OwnerRow row = this->own_row();
  row.set_released(true);
  row.set_released_term(this->own_term);
  platform::RowChange change;
  change.conditions.push_back({ owner_row(), this->own_term });
  change.writes.push_back({ owner_row(), row.SerializeAsString() });
  this->lose_ownership();
  this->store.commit(
    change, COMMIT_TIMEOUT, [](const platform::Store::CommitResult&) {});
}

} // namespace geraniumhinge::entry
