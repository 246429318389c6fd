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

/// Children of a node in the tree of a gang. With 8, the lead of 128 members
/// sends 8 messages a round and the tree is three levels deep.
inline constexpr std::uint32_t GANG_FAN_OUT = 8;

/// What the gangs use of the members.
struct GangHooks
{
  std::function<void(const MemberId&, std::int64_t lease_until_ms)> open;
  std::function<void(const MemberId&, std::int64_t until_ms)> extend;
  /// Whether the member's time is not over, checked before each action.
  std::function<bool(const MemberId&)> check_deadline;
  /// Calls back once the backend server has confirmed that the member's task
  /// runs, and never if it does not. At once if there is no task yet.
  std::function<void(const MemberId&, std::function<void()> confirmed)>
    confirm_running;
  std::function<void(const MemberId&)> acknowledged;
  std::function<bool(const MemberId&)> is_held;
};

/// The renewal rounds of gangs. The lead, member 0, starts a round in each
/// period; it goes down the tree and is acknowledged up the tree. Once every
/// member has acknowledged one round the gang is open. A member's deadline for
/// a round runs from its acknowledgement and takes effect when a later round
/// says that the round was complete; so the loss of any member ends all others
/// within the lease plus the round limit.
class Gangs : public kernel::Task
{
public:
  using RoundDone = std::function<void(v1::GangRoundAck)>;

  Gangs(kernel::Loop& loop,
        kernel::TimerService& timers,
        const kernel::Log& log,
        kernel::Metrics& metrics,
        const LeaseSettings& settings,
        Transport transport,
        GangHooks hooks);

  void started(const MemberId& id, const v1::Prepare& spec);
  /// A member that succeeded goes on acknowledging rounds until the whole gang
  /// has ended; one that failed or was stopped acknowledges none.
  void ended(const MemberId& id, bool succeeded);

  /// A round from the parent. `done` is called when the subtree has
  /// acknowledged it, and never if it does not.
  void handle_round(const v1::GangRound& round, RoundDone done);

  std::size_t size() const { return this->nodes.size(); }

private:
  /// This agent's part in one gang.
  struct Node
  {
    v1::Prepare spec;
    bool task_done = false;
    std::map<std::uint64_t, std::int64_t> acknowledged_ms;
    std::uint64_t round = 0;
    std::uint64_t complete_round = 0;
    bool open = false;
    std::size_t waiting = 0;
    bool subtree_done = false;
    RoundDone answer;
    std::int64_t round_started_ms = 0;
    kernel::Subscription rounds; ///< Of the lead.
    kernel::Subscription expiry;
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
  void run_round(const MemberId& id, Node& node);
  void send_round(const MemberId& id, const Node& node, std::uint32_t child);
  void child_replied(const MemberId& id,
                     std::uint64_t round,
                     const peer::PeerNode::Reply& reply);
  void subtree_acknowledged(const MemberId& id, Node& node);
  void acknowledge(const MemberId& id, Node& node);
  void lead_completed(const MemberId& id, Node& node);
  void apply(const MemberId& id, Node& node);
  void repeat_rounds(const MemberId& id, Node& node);
  void watch_expiry(const MemberId& id, Node& node);

  kernel::TimerService& timers;
  const kernel::Log& log;
  const LeaseSettings& settings;
  Transport transport;
  GangHooks hooks;
  kernel::Counter& rounds_complete;
  kernel::Counter& rounds_failed;
  Nodes nodes;
  /// Rounds that came before the start message.
  std::map<MemberId, EarlyRound> early;
};

} // namespace geraniumhinge::agent
