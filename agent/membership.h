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
  /// What the agent announces.
  std::function<v1::Hello()> hello;
  std::function<v1::AgentHeartbeat()> heartbeat;
  /// A configuration digest that is newer than the last one.
  std::function<void(const v1::ConfigDigest&)> config;
};

/// The agent's view of the entries: finds them through the addresses in the
/// settings, announces the agent to the preferred entry of its cell and one
/// backup, and sends them heartbeats.
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

  /// Some entry was seen.
  void record_contact(const v1::Envelope& envelope);
  bool seen_within(kernel::Milliseconds period) const;

  /// Sends heartbeats soon, because the agent's load has changed.
  void announce_change();

  /// Announces that the agent leaves, until each announced entry has
  /// acknowledged it.
  void leave();

  /// Peer addresses of the known entries, those announced to first.
  std::vector<std::string> addresses() const;
  /// Whether every announced entry has acknowledged the leaving.
  bool has_left() const;
  std::uint64_t config_version() const { return this->version; }

private:
  void contact();
  void contact_later();
  std::string next_contact();
  void send_hello(const std::string& address, bool discovering);
  void apply_entries(const v1::Envelope& envelope);
  void choose_targets();
  void send_heartbeats();
  void send_heartbeat(const std::string& address);
  void heartbeat_answered(const v1::Envelope& envelope);
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
  std::uint64_t entries_digest = 0; ///< Of `entries`, 0 if not known.
  std::int64_t last_seen_ms = 0;
  std::int64_t config_requested_ms = 0;
  bool reported_silence = false;
  std::set<std::string> left; ///< Entries that acknowledged the leaving.
  kernel::Subscription heartbeats;
  kernel::Subscription refreshes;
  kernel::Subscription retry;
  kernel::Subscription change;
  kernel::Subscription leave_retry;
};

} // namespace geraniumhinge::agent
