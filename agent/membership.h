#pragma once

#include "agent/settings.h"
#include "agent/transport.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include "geraniumhinge/v1/state.pb.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::agent {

struct MembershipHooks
{
  /// Builds the announcement of the agent.
  std::function<v1::Hello()> hello;
  std::function<v1::AgentHeartbeat()> heartbeat;
  /// Applies a configuration digest that is not older than the last one.
  std::function<void(const v1::ConfigDigest&)> config;
};

/// Keeps the list of entries. Finds them through the addresses in the settings,
/// announces the agent to the preferred entry of its cell and to one backup,
/// and sends heartbeats to both.
class Membership : public kernel::Task
{
public:
  Membership(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             const AgentSettings& settings,
             Transport transport,
             MembershipHooks hooks);

  void start();

  /// Handles ConfigDigest, EntryDown and HelloReply.
  void handle(const v1::Envelope& envelope);

  /// Records a message of an entry. Requests the configuration if the entry has
  /// a newer version.
  void record_contact(const v1::Envelope& envelope);
  /// Whether an entry was seen within the period.
  bool seen_within(kernel::Milliseconds period) const;

  /// Sends heartbeats soon, after a change of the agent's load.
  void announce_change();

  /// Announces that the agent leaves, again and again until the preferred entry
  /// and the backup have acknowledged.
  void leave();

  /// Peer addresses of the known entries, with the preferred entry and the
  /// backup first.
  std::vector<std::string> addresses() const;
  /// Whether the preferred entry and the backup have acknowledged the leaving.
  bool has_left() const;
  std::uint64_t config_version() const { return this->version; }

private:
  void contact_next_entry();
  void schedule_contact();
  std::string next_contact();
  void send_hello(const std::string& address, bool discovering);
  void apply_entries(const v1::Envelope& envelope);
  void choose_targets();
  void send_heartbeats();
  void send_heartbeat(const std::string& address);
  void handle_heartbeat_reply(const v1::Envelope& envelope);
  void refresh();
  void send_leaving(const std::string& address);
  void apply_config(const v1::ConfigDigest& digest);

  kernel::TimerService& timers;
  const kernel::Log& log;
  const AgentSettings& settings;
  Transport transport;
  MembershipHooks hooks;
  std::vector<v1::EntryRow> entries;
  std::vector<std::string> targets; ///< Preferred entry and backup.
  std::size_t next_address = 0;
  std::uint64_t version = 0;
  std::uint64_t entries_digest = 0; ///< Digest of `entries`; 0 if unknown.
  std::int64_t last_seen_ms = 0;
  std::int64_t config_requested_ms = 0;
  bool no_entry_logged = false;
  std::set<std::string> acknowledged_leaving; ///< Addresses of entries.
  kernel::Subscription heartbeat_timer;
  kernel::Subscription refresh_timer;
  kernel::Subscription contact_timer;
  kernel::Subscription change_timer;
  kernel::Subscription leave_timer;
};

} // namespace geraniumhinge::agent
