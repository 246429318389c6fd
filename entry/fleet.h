#pragma once

#include "entry/cell_cache.h"
#include "entry/membership.h"
#include "entry/settings.h"
#include "entry/transport.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include "geraniumhinge/v1/scheduler.pb.h"
#include "geraniumhinge/v1/state.pb.h"

#include <functional>
#include <map>
#include <string>

namespace geraniumhinge::entry {

/// State of a backend server, from its cell row and its agent's messages.
struct ServerView
{
  v1::Member member;
  std::string zone;
  /// Last message of its agent, 0 if this entry never got one.
  std::int64_t last_seen_ms = 0;
  bool leaving = false;        ///< Reported by the agent.
  std::uint32_t job_slots = 0; ///< Allocated to jobs, from the cell row.
  /// Short requests of all entries, reported by the agent.
  std::uint32_t requests_in_flight = 0;
  std::uint32_t own_in_flight = 0;   ///< Short requests of this entry.
  std::int64_t suspect_until_ms = 0; ///< Gets no new work before.
  std::int64_t replied_ms = 0;       ///< Last reply to a short request.
};

/// The backend servers: handles the messages of their agents, keeps their load
/// and sends the digest of the configuration to the agents.
class Fleet : public kernel::Task
{
public:
  using ConfigHook = std::function<const v1::Configuration&()>;

  Fleet(kernel::Loop& loop,
        kernel::TimerService& timers,
        const kernel::Log& log,
        kernel::Metrics& metrics,
        const EntrySettings& settings,
        Transport transport,
        Membership& membership,
        CellCache& cell_cache,
        ConfigHook config);

  /// Handles Hello, AgentHeartbeat and Leaving.
  void handle(const v1::Envelope& envelope);

  /// Sends the digest to every agent that is not silent here.
  void push_config();

  const std::map<std::string, ServerView>& servers() const
  {
    return this->views;
  }
  ServerView* find(const std::string& server);

  /// Whether new work may be sent to the server.
  bool usable(const ServerView& view, std::int64_t now_ms) const;
  bool quarantined(const std::string& server) const;
  /// Gives no new work to a server that did not reply, for the suspect period.
  void mark_suspect(const std::string& server);
  /// Records a server's reply to a short request.
  void record_reply(const std::string& server);

  /// Calls `fn` with the server after each Hello, heartbeat or Leaving.
  void on_agent_message(std::function<void(const std::string&)> fn);

private:
  void handle_hello(const v1::Envelope& envelope);
  void handle_heartbeat(const v1::Envelope& envelope);
  void handle_leaving(const v1::Envelope& envelope);
  void reply_hello(const v1::Envelope& envelope, const std::string& server);
  ServerView* find_by_sender(const v1::Envelope& envelope);
  v1::ConfigDigest config_digest(const std::string& server) const;
  void send_digest(const ServerView& view);
  void apply_cells();
  void notify_listener(const std::string& server);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  const EntrySettings& settings;
  Transport transport;
  Membership& membership;
  CellCache& cell_cache;
  ConfigHook config;
  std::map<std::string, ServerView> views;
  std::map<std::string, std::string> senders; ///< Agent name to server.
  std::function<void(const std::string&)> listener;
};

} // namespace geraniumhinge::entry
