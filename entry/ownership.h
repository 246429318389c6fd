#pragma once

#include "entry/server_table.h"
#include "entry/work_view.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

#include "geraniumhinge/v1/state.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

struct OwnershipHooks
{
  /// Called when this entry becomes the owner under a new term, and has to read
  /// all rows of the work again.
  std::function<void(std::uint64_t term)> acquired;
  std::function<void()> lost;
  /// The newest heartbeat row that was read.
  std::function<const OwnerHeartbeat&()> heartbeat;
  /// Agents to which no orders go from now on, until a heartbeat without them
  /// is stored.
  std::function<std::vector<SilentAgent>()> withhold_silent_agents;
  /// Called when a heartbeat with these agents is stored.
  std::function<void(const std::vector<SilentAgent>&)> heartbeat_stored;
  /// Boot time since which the watch of the work has had no failure, 0 while
  /// the watch fails.
  std::function<std::int64_t()> watch_healthy_since_ms;
  /// Boot time up to which all changes of the work are known.
  std::function<std::int64_t()> watch_confirmed_ms;
};

/// Elects the entry that places the work, the owner. Any entry takes over from
/// an owner that is silent, later by its claim delay (core/owner_choice.h). The
/// new owner need not wait for the old one: each transaction of an owner
/// depends on the version of the owner's row (the term) and fails once this
/// version has changed.
class Ownership : public kernel::Task
{
public:
  Ownership(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            platform::Store& store,
            std::string entry,
            std::string peer_address,
            std::int64_t claim_delay_ms,
            OwnershipHooks hooks);

  void start();

  /// Releases ownership permanently, so that another entry takes over at once.
  void release();

  bool owns() const { return this->own_term != 0; }
  std::uint64_t term() const { return this->own_term; }
  const std::string& owner_address() const
  {
    return this->current_owner_address;
  }

  /// Boot time of the sending of the last claim or heartbeat that the store
  /// has confirmed.
  std::int64_t confirmed_ms() const { return this->own_confirmed_ms; }

  /// What is known of the owner before the own term. Call with the newest
  /// heartbeat as read since the claim.
  FormerOwner former_owner(const OwnerHeartbeat& heartbeat) const;

  /// Writes a heartbeat at once, or as soon as the one in flight has ended.
  void request_heartbeat();

  /// Call when a transaction failed because another term has begun.
  void term_superseded();

private:
  void handle_rows(const platform::RowPage& page);
  void handle_snapshot(const platform::RowPage& page);
  void handle_odd_row(const platform::StoredRow& row);
  /// The row has this version, 0 if it does not exist, and names no owner.
  void handle_vacant_row(std::uint64_t version);
  void check_owner();
  bool owner_silent(std::int64_t now_ms);
  void claim();
  void handle_claim_result(const platform::Store::CommitResult& result);
  void become_owner(std::uint64_t term);
  void lose_ownership();
  void write_heartbeat();
  void handle_heartbeat_result(const platform::Store::CommitResult& result,
                               const std::vector<SilentAgent>& silent,
                               std::int64_t sent_ms);
  /// Another version of the heartbeat row, or another term, is stored.
  void handle_heartbeat_conflict(const platform::StoreError& error);
  v1::OwnerRow own_row() const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Store& store;
  std::string entry;
  std::string peer_address;
  std::uint64_t incarnation;
  OwnershipHooks hooks;
  platform::TableWatcher watcher;
  std::uint64_t row_version = 0;
  std::int64_t row_seen_ms = 0; ///< Boot time at which this version was seen.
  /// Term of the owner that the row names or named before its release, 0 if
  /// unknown.
  std::uint64_t row_term = 0;
  bool vacant = true; ///< There is no owner, or the owner released ownership.
  std::int64_t vacant_since_ms = 0; ///< Boot time; valid while `vacant`.
  std::string current_owner_address;
  std::uint64_t own_term = 0;
  std::int64_t claim_sent_ms = 0; ///< Boot time of the last claim.
  std::int64_t own_confirmed_ms = 0;
  std::uint64_t former_term = 0; ///< 0 if unknown.
  /// Boot time at which the own claim's condition was seen in the store.
  std::int64_t former_seen_ms = 0;
  std::uint64_t heartbeats = 0;
  /// Version of the heartbeat row as far as known: a condition of the next one.
  std::uint64_t heartbeat_row_version = 0;
  std::uint64_t seen_heartbeat = 0;
  /// Boot time from which the wait for the owner's next heartbeat counts.
  std::int64_t seen_heartbeat_ms = 0;
  std::int64_t claim_delay_ms;
  std::int64_t heartbeat_timeout_ms;
  bool claiming = false;
  bool heartbeat_in_flight = false;
  bool heartbeat_requested = false; ///< While one is in flight.
  bool released = false;
  kernel::Subscription check_timer;
  kernel::Subscription heartbeat_timer;
};

} // namespace geraniumhinge::entry
