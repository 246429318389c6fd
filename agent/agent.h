#pragma once

#include "agent/allocated_resources.h"
#include "agent/backend_health.h"
#include "agent/gangs.h"
#include "agent/members.h"
#include "agent/membership.h"
#include "agent/pending_results.h"
#include "agent/requests.h"
#include "agent/settings.h"
#include "kernel/task.h"
#include "peer/peer_node.h"

#include <functional>
#include <memory>

namespace geraniumhinge::agent {

/// Services used by the agent's tasks. All of them outlive the agent.
struct AgentServices
{
  kernel::Loop& loop;
  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  peer::PeerNode& node;
  platform::Backend& backend;
};

/// The agent of one backend server: connects the agent's tasks and dispatches
/// each message to the task that handles it.
class Agent : public kernel::Task
{
public:
  Agent(const AgentServices& services, const AgentSettings& settings);

  /// Sets the message handler and announces the agent.
  void start();

  /// Drains the agent: refuses new work, waits for work in flight up to the
  /// drain limit, stops the rest, and calls back. Further calls have no effect.
  void leave(std::function<void()> done);

private:
  Transport make_transport();
  MemberHooks member_hooks();
  GangHooks gang_hooks();
  MembershipHooks membership_hooks();

  void handle(const v1::Envelope& envelope);
  bool handle_member_message(const v1::Envelope& envelope);
  void handle_prepare(const v1::Envelope& envelope);
  void handle_start(const v1::Envelope& envelope);
  void handle_stop(const v1::Envelope& envelope);
  void handle_query(const v1::Envelope& envelope);
  void handle_checkpoint(const v1::Envelope& envelope);
  void handle_round(const v1::Envelope& envelope);
  void handle_run(const v1::Envelope& envelope);
  v1::Hello hello() const;
  v1::AgentHeartbeat heartbeat() const;
  void check_orphaned();
  void check_drained();

  AgentServices services;
  const AgentSettings& settings;
  std::uint64_t incarnation;
  AllocatedResources allocated;
  Membership membership;
  PendingResults results;
  BackendHealth health;
  Members members;
  Gangs gangs;
  Requests requests;
  bool leaving = false;
  bool orphaned = false;
  std::int64_t drain_until_ms = 0;
  bool drain_forced = false;
  bool drain_idle = false;
  std::function<void()> drained_callback;
  kernel::Gauge& slots_used;
  kernel::Subscription orphan_checks;
  kernel::Subscription drain_checks;
};

} // namespace geraniumhinge::agent
