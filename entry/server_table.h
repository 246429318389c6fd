#pragma once

#include "core/pool.h"
#include "core/workflow.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace geraniumhinge::entry {

/// How long leases outlive the owner's last word.
struct LeaseBounds
{
  std::int64_t orphan_ms = 4'000;  ///< Agents renew without a word.
  std::int64_t granted_ms = 3'000; ///< Leases, on a clock that may be slow.
  /// An owner that can't reach the store goes on sending its word this long.
  std::int64_t owner_send_limit_ms = 12'000;

  /// Length of a lease on our clock, at most.
  std::int64_t lease_ms() const;

  /// After the last word, every lease has surely expired.
  std::int64_t expiry_ms() const { return this->orphan_ms + this->lease_ms(); }
};

/// What an agent reported last, and what was sent to it.
struct AgentView
{
  std::string node;
  std::string address;
  std::uint64_t incarnation = 0; ///< Of the agent's process.
  v1::ServerReport report;
  /// Boot time of the first report of a process that knows no server yet, 0 if
  /// it knows one.
  std::int64_t no_server_since_ms = 0;
  std::int64_t last_seen_ms = 0;   ///< Boot time of the last report, 0 if none.
  std::int64_t orders_sent_ms = 0; ///< Boot time of the last orders sent.
  std::uint64_t orders_sequence = 0;
  std::uint64_t stored_ends = 0; ///< Ends that are in the store.
};

/// Agents and their backend servers as the owner knows them.
class ServerTable
{
public:
  explicit ServerTable(const LeaseBounds& bounds);

  /// Forgets everything, when ownership begins.
  void reset(std::int64_t now_ms);

  /// Applies a report. Older ones change nothing and return null.
  AgentView* apply_report(const v1::Envelope& envelope, std::int64_t now_ms);

  /// Notes where an agent is reached, before it has reported.
  AgentView& add_agent(const std::string& node, const std::string& address);

  AgentView* find(const std::string& node);
  std::map<std::string, AgentView>& all() { return this->agents; }

  /// Whether the instance has ended for certain, with all that ran in it.
  bool instance_ended(const core::ServerInstance& instance,
                      const std::string& node,
                      std::int64_t now_ms) const;

  /// Whether the agent has not been seen for two reports.
  bool agent_silent(const std::string& node, std::int64_t now_ms) const;

  /// How long a leaving server stays at least; nothing if it is not leaving.
  std::optional<std::int64_t> leaves_in_ms(const AgentView& agent,
                                           std::int64_t now_ms) const;

  /// Whether new work may be placed on the agent's server.
  bool accepts_work(const AgentView& agent, std::int64_t now_ms) const;

private:
  LeaseBounds bounds;
  std::int64_t since_ms = 0; ///< Boot time at which ownership began.
  std::map<std::string, AgentView> agents;
};

core::ServerInstance
instance_of(const v1::ServerLifeRow& row);

/// The server of a report, with its whole capacity.
core::PoolServer
pool_server(const v1::ServerReport& report);

} // namespace geraniumhinge::entry
