#pragma once

#include "agent/fences.h"
#include "agent/settings.h"
#include "agent/transport.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace geraniumhinge::agent {

/// Children of each node in the tree of a gang. With 8, the lead of 128 members
/// sends 8 messages per renewal round and the tree has three levels.
inline constexpr std::uint32_t GANG_FAN_OUT = 8;

/// Calls of Gangs to the members of this agent.
struct GangHooks
{
  std::function<void(const MemberId&, std::int64_t lease_until_ms)> open;
  std::function<void(const MemberId&, std::int64_t until_ms)> extend;
  /// Ends the member if its deadline has passed; returns whether it is active.
  /// Called before each action on the member.
  std::function<bool(const MemberId&)> check_deadline;
  /// Calls back when the backend server confirms that the member's task runs;
  /// never if the task does not run, at once if there is no task yet.
  std::function<void(const MemberId&, std::function<void()> confirmed)>
    confirm_running;
  std::function<void(const MemberId&)> record_acknowledged;
  std::function<bool(const MemberId&)> is_reserved;
};

/// Renews the leases of gangs in rounds. In each period the lead, member 0,
/// sends a round down the tree of members, and acknowledgements return up the
/// tree. The gang opens once every member has acknowledged a round. An
/// acknowledgement starts a new lease of the member, which takes effect when a
/// later round reports the acknowledged round as complete. Therefore the loss
/// of one member ends all others within the lease plus the round limit.
class Gangs : public kernel::Task
{
public:
  using RoundDone = std::function<void(v1::GangRoundAck)>;

  Gangs(kernel::Loop& loop,
        kernel::TimerService& timers,
        const kernel::Log& log,
        kernel::Metrics& metrics,
        const LeaseSettings& lease_settings,
        Transport transport,
        GangHooks hooks);

  void member_started(const MemberId& id, const v1::Prepare& spec);
  /// A member that succeeded acknowledges rounds until the whole gang has
  /// ended. A member that failed or was stopped acknowledges no further round.
  void member_ended(const MemberId& id, bool succeeded);

  /// Handles a round from the parent. Calls `done` when the whole subtree has
  /// acknowledged the round, and never if a member of the subtree does not.
  void handle_round(const v1::GangRound& round, RoundDone done);

  std::size_t size() const { return this->nodes.size(); }

private:
  /// A member of a gang on this agent, as a node of the gang's tree.
  struct Node
  {
    v1::Prepare spec;
    bool task_done = false;
    std::map<std::uint64_t, std::int64_t> acknowledged_ms; ///< By round.
    std::uint64_t round = 0;
    std::uint64_t complete_round = 0;
    bool open = false;
    std::size_t missing_acks = 0;
    bool subtree_done = false;
    RoundDone reply_to_parent;
    std::int64_t round_started_ms = 0;
    kernel::Subscription round_timer; ///< Only of the lead.
    kernel::Subscription expiry_timer;
  };
  using Nodes = std::map<MemberId, Node>;
  struct EarlyRound
  {
    v1::GangRound round;
    RoundDone done;
    std::int64_t received_ms = 0;
  };

  void store_early_round(const MemberId& id,
                         const v1::GangRound& round,
                         RoundDone done);
  void start_round(const MemberId& id);
  void propagate_round(const MemberId& id, Node& node);
  void send_round(const MemberId& id, const Node& node, std::uint32_t child);
  void child_replied(const MemberId& id,
                     std::uint64_t round,
                     const peer::PeerNode::Reply& reply);
  void subtree_acknowledged(const MemberId& id, Node& node);
  void acknowledge(const MemberId& id, Node& node);
  void complete_lead_round(const MemberId& id, Node& node);
  void apply_complete_round(const MemberId& id, Node& node);
  void schedule_rounds(const MemberId& id, Node& node);
  void restart_expiry_timer(const MemberId& id, Node& node);

  kernel::TimerService& timers;
  const kernel::Log& log;
  const LeaseSettings& lease_settings;
  Transport transport;
  GangHooks hooks;
  kernel::Counter& rounds_complete;
  kernel::Counter& rounds_failed;
  Nodes nodes;
  /// Rounds that arrived before the member's start message.
  std::map<MemberId, EarlyRound> early_rounds;
};

} // namespace geraniumhinge::agent
