#pragma once

#include "entry/settings.h"
#include "entry/transport.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/table.h"

#include "geraniumhinge/v1/state.pb.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// State of another entry.
struct PeerEntry
{
  v1::EntryRow row;
  std::uint64_t version = 0; ///< Of its row.
  bool live = true;
  bool ready = false;
  bool draining = false;
  bool sends_heartbeats = false; ///< To this entry.
  /// Last heartbeat, or when the peer should have begun to send them here.
  std::int64_t last_seen_ms = 0;
  std::int64_t down_since_ms = 0;
};

/// The set of live entries, from their rows and the heartbeats between them.
/// Only preferences depend on the set (the entry of a cell, the driver of a
/// job), so entries may disagree on it for a while.
class Membership : public kernel::Task
{
public:
  Membership(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             platform::Table& table,
             Transport transport,
             const EntrySettings& settings,
             v1::EntryRow self);

  /// Reads the entry rows and writes the own one, with retries until the store
  /// responds, then starts the heartbeats and calls `joined`.
  void start(const std::function<void()>& joined);

  /// Handles EntryHeartbeat and EntryDown.
  void handle(const v1::Envelope& envelope);

  /// Announces to all entries that this one accepts no new work.
  void drain();
  /// Deletes the own row.
  void leave(std::function<void()> done);

  void set_ready(bool ready) { this->ready = ready; }
  bool is_draining() const { return this->draining; }

  /// Names of the live entries that accept work, sorted.
  std::vector<std::string> live_names() const;
  /// Rows of the live entries that accept work.
  std::vector<v1::EntryRow> live_rows() const;
  /// Hash of `live_rows`, never 0. Agents read the list when the hash changes.
  std::uint64_t live_digest() const;
  /// The row of a live entry, or null.
  const v1::EntryRow* find_live(const std::string& name) const;
  const v1::EntryRow& self() const { return this->own_row; }
  const std::map<std::string, PeerEntry>& peers() const
  {
    return this->peer_entries;
  }

  /// Whether the entry is live and still the process with this incarnation.
  bool is_live(const std::string& name, std::uint64_t incarnation) const;

  /// The entry that handles a cell by preference, or empty.
  std::string preferred_entry(const std::string& zone) const;
  /// The entry that drives a job accepted by `accepted_by`.
  std::string driver_of(const std::string& job,
                        const std::string& accepted_by) const;
  /// The entry that takes over if the driver of a job goes down, or empty.
  std::string backup_of(const std::string& job,
                        const std::string& driver) const;

  /// Calls `fn` after the live set has changed.
  void on_change(std::function<void()> fn);

private:
  void write_own_row(const std::function<void()>& joined);
  void retry_start(const std::function<void()>& joined);
  void poll();
  void apply_rows(const std::vector<platform::Row>& rows);
  void apply_row(const platform::Row& row, std::int64_t now);
  void check_silence_now();
  void send_heartbeats();
  void send_heartbeat_to_all();
  void send_heartbeat(const std::string& address);
  void update_expected_heartbeats();
  void check_silence(std::int64_t now);
  void mark_down(PeerEntry& peer);
  void handle_heartbeat(const v1::Envelope& envelope);
  void handle_down(const v1::EntryDown& down);
  void delete_down_rows(std::int64_t now);
  bool is_row_deleter() const;
  std::vector<std::string> heartbeat_targets(const std::string& name) const;
  void notify_listeners();

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Table& table;
  Transport transport;
  const EntrySettings& settings;
  v1::EntryRow own_row;
  std::uint64_t own_version = 0;
  bool ready = false;
  bool draining = false;
  bool poll_in_flight = false;
  std::int64_t checked_ms = 0;
  std::map<std::string, PeerEntry> peer_entries;
  std::vector<std::function<void()>> listeners;
  kernel::Subscription heartbeat_timer;
  kernel::Subscription silence_timer;
  kernel::Subscription poll_timer;
  kernel::Subscription retry_timer;
};

} // namespace geraniumhinge::entry
