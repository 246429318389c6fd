#pragma once

#include "core/pool.h"
#include "core/settle.h"
#include "core/workflow.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Bounds on how long leases last after an agent's last report.
struct LeaseBounds
{
  /// Agents keep renewing leases this long after the last report that was
  /// replied to.
  std::int64_t orphan_ms = 4'000;
  /// Length of a lease on the server's clock, which may be slow.
  std::int64_t granted_ms = 3'000;
  /// An owner keeps sending orders this long after the sending of its last
  /// heartbeat that the store has confirmed.
  std::int64_t owner_send_limit_ms = 6'000;

  /// Longest duration of a lease on this entry's clock.
  std::int64_t lease_ms() const;

  /// Time after an agent's last report by which every lease has expired.
  std::int64_t expiry_ms() const { return this->orphan_ms + this->lease_ms(); }
};

/// Why the owner treats an instance of a backend server as ended.
enum class LossCause
{
  InstanceReplaced, ///< Its agent reported another instance.
  LeasesExpired,    ///< Its agent reported that no run is left.
  ServerUnknown,    ///< Its agent restarted, and older leases have expired.
  AgentSilent,      ///< Its agent sent no report for too long.
  GangBroken,       ///< All other members of the gang ended because of it.
};

inline constexpr NamedValue<LossCause> LOSS_CAUSE_NAMES[] = {
  { LossCause::InstanceReplaced, "instance_replaced" },
  { LossCause::LeasesExpired, "leases_expired" },
  { LossCause::ServerUnknown, "server_unknown" },
  { LossCause::AgentSilent, "agent_silent" },
  { LossCause::GangBroken, "gang_broken" },
};

/// The backend server that an earlier process of an agent had reported. If it
/// has crashed since, no agent reports the crash.
struct FormerServer
{
  core::ServerInstance instance;
  std::int64_t last_seen_ms = 0; ///< Boot time of its process's last report.
};

/// The last report of an agent, and what was sent to this agent.
struct AgentView
{
  std::string node;
  std::string address;
  std::uint64_t incarnation = 0; ///< Of the agent's process.
  /// Of its earlier processes, whose reports may still arrive.
  std::set<std::uint64_t> former_incarnations;
  v1::ServerReport report;
  /// The last report differs from the one before in what a scheduling round
  /// depends on.
  bool report_changed = false;
  /// For how long the agent's process had granted no lease when it sent its
  /// last report, 0 if it knew its backend server then.
  std::int64_t no_lease_ms = 0;
  /// Set until this process of the agent reports the same instance.
  std::optional<FormerServer> former_server;
  /// The agent's first report to this owner showed that its process had just
  /// started: it knew no server, or had never received orders.
  bool process_is_new = false;
  /// The first instance that the agent has reported to this owner.
  core::ServerInstance first_instance;
  std::int64_t last_seen_ms = 0; ///< Boot time of the last report, 0 if none.
  std::uint64_t orders_sequence = 0;
  std::uint64_t stored_ends = 0; ///< Number of the last end in the store.
};

/// An agent that has not reported to the owner for some time.
struct SilentAgent
{
  std::string node;
  /// Time since which no owner has replied to a report of the agent. Negative
  /// if a former owner may still do so.
  std::int64_t silent_ms = 0;
};

/// What a new owner knows of the one before.
struct FormerOwner
{
  /// Boot time by which its last heartbeat had been stored, at the latest.
  std::int64_t confirmed_ms = 0;
  /// As its last heartbeat listed them.
  std::vector<SilentAgent> silent;
};

/// Agents and their backend servers as the owner knows them.
class ServerTable
{
public:
  explicit ServerTable(const LeaseBounds& bounds);

  /// Drops all agents; called when ownership begins. Until `set_former_owner`,
  /// the former owner may have been confirmed just now.
  void reset(std::int64_t now_ms);

  void set_former_owner(const FormerOwner& former);

  /// All agents were added, also those that have not reported.
  void set_agents_listed() { this->agents_listed = true; }

  /// How many agents have reported their servers since ownership began.
  core::FirstReports first_reports(std::int64_t now_ms) const;

  /// Of these nodes, those whose agents have been silent for so long that they
  /// renew no lease. No orders may be sent to them until `release_withheld` is
  /// called without them, so that the next owner need not wait for such orders.
  std::vector<SilentAgent> withhold_silent(const std::set<std::string>& nodes,
                                           std::int64_t now_ms);

  /// A heartbeat with these silent agents is stored. Returns the other agents
  /// to which no orders could be sent until now.
  std::vector<AgentView*> release_withheld(
    const std::vector<SilentAgent>& silent);

  bool is_withheld(const std::string& node) const
  {
    return this->withheld.contains(node);
  }

  /// Applies a report. An older report changes nothing and returns null, and
  /// so does one of an earlier process of the agent while the last one reports.
  AgentView* apply_report(const v1::Envelope& envelope, std::int64_t now_ms);

  /// Sets the address of an agent, which may not have reported yet.
  AgentView& add_agent(const std::string& node, const std::string& address);

  AgentView* find(const std::string& node);
  std::map<std::string, AgentView>& all() { return this->agents; }
  const std::map<std::string, AgentView>& all() const { return this->agents; }

  /// Why the instance and all runs in it must have ended; empty if they may
  /// not have ended.
  std::optional<LossCause> loss_cause(const core::ServerInstance& instance,
                                      const std::string& node,
                                      std::int64_t now_ms) const;

  /// The former server of an agent if another instance shows that it has ended
  /// without announcing it; null otherwise.
  const FormerServer* crashed_former_server(const AgentView& agent,
                                            std::int64_t now_ms) const;

  /// Whether the instance has ended while no process of its agent could report
  /// that to this owner: a process that had just started when it first
  /// reported to this owner has found another instance at the node.
  bool ended_unseen(const core::ServerInstance& instance,
                    const std::string& node) const;

  /// Whether the instance counts as ended only since a new process of its agent
  /// did not find it in time. It has crashed, or is cut off and silent.
  bool may_have_crashed(const core::ServerInstance& instance,
                        const std::string& node,
                        std::int64_t now_ms) const;

  /// Whether the agent's present process has found the instance.
  bool is_found(const core::ServerInstance& instance,
                const std::string& node) const;

  /// Whether two reports of the agent in a row are missing.
  bool agent_silent(const std::string& node, std::int64_t now_ms) const;

  /// Shortest remaining time, never negative, that a leaving server stays;
  /// empty if the server is not leaving.
  std::optional<std::int64_t> min_stay_ms(const AgentView& agent,
                                          std::int64_t now_ms) const;

  /// Whether new work may be placed on the agent's server.
  bool accepts_work(const AgentView& agent, std::int64_t now_ms) const;

private:
  bool server_is_settled(const AgentView& agent) const;
  std::int64_t last_reply_ms(const std::string& node) const;

  LeaseBounds bounds;
  std::int64_t owner_since_ms = 0; ///< Boot time at which ownership began.
  /// Boot time until which the former owner may have replied to reports.
  std::int64_t former_owner_until_ms = 0;
  /// The same by node, of agents that the former owner withheld orders from.
  std::map<std::string, std::int64_t> former_reply_ms;
  std::set<std::string> withheld;
  bool agents_listed = false; ///< Since ownership began.
  std::map<std::string, AgentView> agents;
};

core::ServerInstance
instance_of(const v1::ServerLifeRow& row);

/// The server of a report, with all its capacity.
core::PoolServer
pool_server(const v1::ServerReport& report);

} // namespace geraniumhinge::entry
