#include "entry/membership.h"

#include "entry/events.h"
#include "entry/ranking.h"
#include "entry/rows.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <xxhash.h>

namespace geraniumhinge::entry {

namespace {

constexpr std::size_t MAX_ENTRIES = 1000;
constexpr std::size_t HEARTBEAT_TARGETS = 3;
// Detects a silent entry within 5% of the default heartbeat limit of 1 s.
constexpr kernel::Milliseconds SILENCE_CHECK_PERIOD{ 50 };
constexpr std::int64_t MAX_CHECK_GAP_MS = 500;

} // namespace

Membership::Membership(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       const kernel::Log& log,
                       platform::Table& table,
                       Transport transport,
                       const EntrySettings& settings,
                       v1::EntryRow self)
  : Task(loop, "membership")
  , timers(timers)
  , log(log)
  , table(table)
  , transport(std::move(transport))
  , settings(settings)
  , own_row(std::move(self))
{
}

void
Membership::start(const std::function<void()>& joined)
{
  this->table.scan(
    ENTRY_PREFIX,
    "",
    MAX_ENTRIES,
    this->guarded([this, joined](platform::Table::ReadResult result) {
      if (!result) {
        this->retry_start(joined);
        return;
      }
      this->apply_rows(*result);
      this->write_own_row(joined);
    }));
}

void
Membership::retry_start(const std::function<void()>& joined)
{
  this->log.write(STORE_UNAVAILABLE, { { "step", "write_entry_row" } });
  this->retry_timer = this->timers.after(
    this->settings.store_retry_delay, [this, joined] { this->start(joined); });
}

void
Membership::write_own_row(const std::function<void()>& joined)
{
  platform::Transaction transaction;
  transaction.checks.push_back(
    { entry_key(this->own_row.name()), this->own_version });
  transaction.writes.push_back(
    write_row(entry_key(this->own_row.name()), this->own_row));
  this->table.commit(
    std::move(transaction),
    this->guarded([this, joined](platform::Table::CommitResult result) {
      if (!result) {
        this->retry_start(joined);
        return;
      }
      this->own_version = result->front();
      this->heartbeat_timer = this->timers.every(
        this->settings.heartbeat_period, [this] { this->send_heartbeats(); });
      this->silence_timer = this->timers.every(
        SILENCE_CHECK_PERIOD, [this] { this->check_silence_now(); });
      this->poll_timer = this->timers.every(this->settings.entry_poll_period,
                                            [this] { this->poll(); });
      // Entries that start at the same time find each other's rows only in a
      // read that follows the write.
      this->poll();
      joined();
    }));
}

void
Membership::poll()
{
  if (this->poll_in_flight)
    return;
  this->poll_in_flight = true;
  this->table.scan(ENTRY_PREFIX,
                   "",
                   MAX_ENTRIES,
                   this->guarded([this](platform::Table::ReadResult result) {
                     this->poll_in_flight = false;
                     if (!result)
                       return;
                     this->apply_rows(*result);
                     // Another entry deletes the own row if this process
                     // was paused for too long.
                     if (this->own_version == 0)
                       this->write_own_row([] {});
                     // Entries that marked this one as down by mistake
                     // get a heartbeat.
                     this->send_heartbeat_to_all();
                     this->delete_down_rows(kernel::boot_ms());
                   }));
}

void
Membership::apply_rows(const std::vector<platform::Row>& rows)
{
  std::int64_t now = kernel::boot_ms();
  std::vector<std::string> deleted;
  std::set<std::string> present;
  for (const platform::Row& row : rows)
    present.insert(row.key);
  for (const auto& [name, peer] : this->peer_entries) {
    if (!present.contains(entry_key(name)))
      deleted.push_back(name);
  }
  for (const std::string& name : deleted)
    this->peer_entries.erase(name);
  this->own_version = 0;
  for (const platform::Row& row : rows)
    this->apply_row(row, now);
  this->notify_listeners();
}

void
Membership::apply_row(const platform::Row& row, std::int64_t now)
{
  std::optional<v1::EntryRow> parsed = parse_row<v1::EntryRow>(row);
  if (!parsed) {
    this->log.write(ROW_MALFORMED, { { "key", row.key } });
    return;
  }
  if (parsed->name() == this->own_row.name()) {
    this->own_version = row.version;
    return;
  }
  PeerEntry& peer = this->peer_entries[parsed->name()];
  bool same = peer.row.incarnation() == parsed->incarnation();
  peer.version = row.version;
  if (same)
    return;
  peer = PeerEntry{};
  peer.version = row.version;
  peer.row = *parsed;
  peer.last_seen_ms = now;
  this->log.write(ENTRY_LIVE, { { "entry", parsed->name() } });
}

std::vector<std::string>
Membership::heartbeat_targets(const std::string& name) const
{
  std::vector<std::string> names;
  if (name != this->own_row.name())
    names.push_back(this->own_row.name());
  for (const auto& [other, peer] : this->peer_entries) {
    if (other != name && peer.live)
      names.push_back(other);
  }
  std::vector<std::string> targets = ranked(name, names);
  if (targets.size() > HEARTBEAT_TARGETS)
    targets.resize(HEARTBEAT_TARGETS);
  return targets;
}

void
Membership::send_heartbeat(const std::string& address)
{
  v1::Envelope envelope;
  envelope.mutable_entry_heartbeat()->set_ready(this->ready);
  envelope.mutable_entry_heartbeat()->set_draining(this->draining);
  this->transport.send(address, std::move(envelope));
}

void
Membership::send_heartbeats()
{
  for (const std::string& name : this->heartbeat_targets(this->own_row.name()))
    this->send_heartbeat(this->peer_entries.at(name).row.peer_address());
}

void
Membership::send_heartbeat_to_all()
{
  for (const auto& [name, peer] : this->peer_entries)
    this->send_heartbeat(peer.row.peer_address());
}

void
Membership::update_expected_heartbeats()
{
  std::int64_t now = kernel::boot_ms();
  for (auto& [name, peer] : this->peer_entries) {
    std::vector<std::string> targets = this->heartbeat_targets(name);
    bool expected =
      peer.live &&
      std::find(targets.begin(), targets.end(), this->own_row.name()) !=
        targets.end();
    if (expected && !peer.sends_heartbeats)
      peer.last_seen_ms = std::max(peer.last_seen_ms, now);
    peer.sends_heartbeats = expected;
  }
}

void
Membership::check_silence_now()
{
  this->check_silence(kernel::boot_ms());
}

void
Membership::check_silence(std::int64_t now)
{
  // A long gap means that this process was paused: heartbeats may still wait in
  // its own queues.
  bool paused = now - this->checked_ms > MAX_CHECK_GAP_MS;
  this->checked_ms = now;
  if (paused) {
    for (auto& [name, peer] : this->peer_entries)
      peer.last_seen_ms = now;
  }
  std::vector<PeerEntry*> silent;
  for (auto& [name, peer] : this->peer_entries) {
    if (peer.live && peer.sends_heartbeats &&
        now - peer.last_seen_ms >= this->settings.heartbeat_limit.count())
      silent.push_back(&peer);
  }
  for (PeerEntry* peer : silent) {
    v1::Envelope envelope;
    envelope.mutable_entry_down()->set_entry(peer->row.name());
    envelope.mutable_entry_down()->set_incarnation(peer->row.incarnation());
    for (const auto& [name, other] : this->peer_entries)
      this->transport.send(other.row.peer_address(), envelope);
    this->mark_down(*peer);
  }
  if (!silent.empty())
    this->notify_listeners();
}

void
Membership::mark_down(PeerEntry& peer)
{
  peer.live = false;
  peer.down_since_ms = kernel::boot_ms();
  this->log.write(ENTRY_DOWN, { { "entry", peer.row.name() } });
}

void
Membership::handle(const v1::Envelope& envelope)
{
  if (envelope.has_entry_heartbeat())
    this->handle_heartbeat(envelope);
  else if (envelope.has_entry_down())
    this->handle_down(envelope.entry_down());
}

void
Membership::handle_heartbeat(const v1::Envelope& envelope)
{
  std::map<std::string, PeerEntry>::iterator found =
    this->peer_entries.find(envelope.sender());
  bool known = found != this->peer_entries.end() &&
               found->second.row.incarnation() == envelope.sender_incarnation();
  if (!known) {
    this->poll();
    return;
  }
  PeerEntry& peer = found->second;
  peer.last_seen_ms = kernel::boot_ms();
  peer.ready = envelope.entry_heartbeat().ready();
  bool was_draining = peer.draining;
  bool was_live = peer.live;
  peer.draining = envelope.entry_heartbeat().draining();
  peer.live = true;
  if (!was_live)
    this->log.write(ENTRY_LIVE, { { "entry", peer.row.name() } });
  if (!was_live || peer.draining != was_draining)
    this->notify_listeners();
}

void
Membership::handle_down(const v1::EntryDown& down)
{
  if (down.entry() == this->own_row.name()) {
    if (down.incarnation() == this->own_row.incarnation())
      this->send_heartbeat_to_all();
    return;
  }
  std::map<std::string, PeerEntry>::iterator found =
    this->peer_entries.find(down.entry());
  bool applies = found != this->peer_entries.end() && found->second.live &&
                 found->second.row.incarnation() == down.incarnation();
  if (!applies)
    return;
  this->mark_down(found->second);
  this->notify_listeners();
}

bool
Membership::is_row_deleter() const
{
  std::vector<std::string> names = this->live_names();
  return !names.empty() && names.front() == this->own_row.name();
}

void
Membership::delete_down_rows(std::int64_t now)
{
  if (!this->is_row_deleter())
    return;
  for (const auto& [name, peer] : this->peer_entries) {
    bool expired = !peer.live && now - peer.down_since_ms >=
                                   this->settings.down_row_age.count();
    if (!expired)
      continue;
    platform::Transaction transaction;
    transaction.checks.push_back({ entry_key(name), peer.version });
    transaction.writes.push_back(delete_row(entry_key(name)));
    this->table.commit(std::move(transaction),
                       [](const platform::Table::CommitResult&) {});
  }
}

void
Membership::drain()
{
  this->draining = true;
  this->ready = false;
  this->send_heartbeat_to_all();
  this->notify_listeners();
}

void
Membership::leave(std::function<void()> done)
{
  this->heartbeat_timer.reset();
  this->silence_timer.reset();
  this->poll_timer.reset();
  platform::Transaction transaction;
  transaction.checks.push_back(
    { entry_key(this->own_row.name()), this->own_version });
  transaction.writes.push_back(delete_row(entry_key(this->own_row.name())));
  this->table.commit(
    std::move(transaction),
    [done = std::move(done)](const platform::Table::CommitResult&) { done(); });
}

std::vector<std::string>
Membership::live_names() const
{
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->peer_entries) {
    if (peer.live && !peer.draining)
      names.push_back(name);
  }
  if (!this->draining)
    names.push_back(this->own_row.name());
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<v1::EntryRow>
Membership::live_rows() const
{
  std::vector<v1::EntryRow> rows;
  for (const std::string& name : this->live_names()) {
    if (name == this->own_row.name())
      rows.push_back(this->own_row);
    else
      rows.push_back(this->peer_entries.at(name).row);
  }
  return rows;
}

std::uint64_t
Membership::live_digest() const
{
  std::string text;
  for (const v1::EntryRow& row : this->live_rows())
    text += fmt::format("{} {}\n", row.name(), row.incarnation());
  return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

const v1::EntryRow*
Membership::find_live(const std::string& name) const
{
  if (name == this->own_row.name())
    return &this->own_row;
  std::map<std::string, PeerEntry>::const_iterator found =
    this->peer_entries.find(name);
  if (found == this->peer_entries.end() || !found->second.live)
    return nullptr;
  return &found->second.row;
}

bool
Membership::is_live(const std::string& name, std::uint64_t incarnation) const
{
  const v1::EntryRow* row = this->find_live(name);
  return row != nullptr && row->incarnation() == incarnation;
}

std::string
Membership::preferred_entry(const std::string& zone) const
{
  return first_ranked(zone, this->live_names());
}

std::string
Membership::driver_of(const std::string& job,
                      const std::string& accepted_by) const
{
  std::vector<std::string> names = this->live_names();
  if (std::find(names.begin(), names.end(), accepted_by) != names.end())
    return accepted_by;
  return first_ranked(job, names);
}

std::string
Membership::backup_of(const std::string& job, const std::string& driver) const
{
  std::vector<std::string> names = this->live_names();
  std::erase(names, driver);
  return first_ranked(job, names);
}

void
Membership::on_change(std::function<void()> fn)
{
  this->listeners.push_back(std::move(fn));
}

void
Membership::notify_listeners()
{
  this->update_expected_heartbeats();
  for (const std::function<void()>& listener : this->listeners)
    listener();
}

} // namespace geraniumhinge::entry
