#pragma once

#include "entry/cells.h"
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

/// A backend server as this entry knows it, from its cell row and from the
/// announcements of its agent.
struct ServerView
{
  v1::Member member;
  std::string zone;
  /// 0 if its agent never announced itself here.
  std::int64_t last_seen_ms = 0;
  bool leaving = false;                 ///< As the agent says.
  std::uint32_t job_slots = 0;          ///< Held by jobs, from the cell row.
  std::uint32_t requests_in_flight = 0; ///< As the agent says, all entries.
  std::uint32_t own_in_flight = 0;      ///< Short requests of this entry.
  std::int64_t suspect_until_ms = 0;    ///< Avoided until then.
  std::int64_t replied_ms = 0;          ///< Last reply to a short request.
};

/// The backend servers: announcements of agents, load view, and the digest of
/// the configuration that is pushed to the agents.
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
        Cells& cells,
        ConfigHook config);

  /// Handles Hello, AgentHeartbeat and Leaving.
  void handle(const v1::Envelope& envelope);

  /// Sends the digest to every agent that announces itself here.
  void push_config();

  const std::map<std::string, ServerView>& servers() const
  {
    return this->views;
  }
  ServerView* find(const std::string& server);

  /// Whether new work may be sent to the server.
  bool usable(const ServerView& view, std::int64_t now_ms) const;
  bool quarantined(const std::string& server) const;
  /// Avoids a server that did not answer for a while.
  void suspect(const std::string& server);
  /// Records that a server answered a short request.
  void record_reply(const std::string& server);

  /// Calls `fn` with the server when its announcement has news for its cell.
  void on_announcement(std::function<void(const std::string&)> fn);

private:
  void handle_hello(const v1::Envelope& envelope);
  void handle_heartbeat(const v1::Envelope& envelope);
  void handle_leaving(const v1::Envelope& envelope);
  void reply_hello(const v1::Envelope& envelope, const std::string& server);
  ServerView* by_sender(const v1::Envelope& envelope);
  v1::ConfigDigest digest(const std::string& server) const;
  void send_digest(const ServerView& view);
  void apply_cells();
  void announce(const std::string& server);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  const EntrySettings& settings;
  Transport transport;
  Membership& membership;
  Cells& cells;
  ConfigHook config;
  std::map<std::string, ServerView> views;
  std::map<std::string, std::string> senders; ///< Agent name to server.
  std::function<void(const std::string&)> listener;
};

} // namespace geraniumhinge::entry
