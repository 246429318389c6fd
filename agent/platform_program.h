#pragma once

#include "agent/platform_settings.h"
#include "agent/server_agent.h"
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "gateway/refusal_log.h"
#include "kernel/event_limit.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/timer.h"
#include "peer/peer_node.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

namespace geraniumhinge::agent {

/// The agent on the operators' platform: receives the announcements of its
/// backend server, reports to the owner of the work, and carries out the
/// owner's orders.
class PlatformProgram : public kernel::Task
{
public:
  PlatformProgram(kernel::Loop& loop,
                  kernel::TimerService& timers,
                  const kernel::Log& log,
                  const PlatformSettings& settings);

  /// Starts to listen and to watch the owner's row; returns false if a listen
  /// address can't be used.
  bool start();

  /// Ends the loop. Runs continue, and the next agent on this VM adopts them.
  void stop();

  /// Applies the changed settings that need no restart.
  void reload(const PlatformSettings& changed);

private:
  void handle_registry_call(
    const gateway::HttpRequest& request,
    const gateway::HttpServer::ResponseCallback& respond);
  void handle_message(const v1::Envelope& envelope);
  void handle_owner_rows(const platform::RowPage& page);
  void set_owner(std::uint64_t term, const std::string& address);
  void register_node();
  void send_report();
  void schedule_report();

  kernel::TimerService& timers;
  const kernel::Log& log;
  PlatformSettings settings;
  kernel::EventLimit rejected_calls;
  kernel::EventLimit rejected_announcements;
  kernel::Metrics metrics;
  gateway::HttpClient store_client;
  gateway::HttpClient server_http_client;
  platform::Store store;
  platform::ServerClient server_client;
  std::uint64_t incarnation = kernel::random_id();
  peer::PeerNode node;
  gateway::RefusalLog refusal_log;
  gateway::RequestBudget request_budget; ///< Of both servers.
  gateway::HttpServer registry_server;
  gateway::HttpServer metrics_server;
  ServerAgent agent;
  platform::TableWatcher owner_watcher;
  std::uint64_t owner_term = 0;
  std::string owner_address;
  bool report_scheduled = false;
  kernel::Subscription report_timer;
  kernel::Subscription register_timer;
};

/// Runs the agent until SIGTERM or SIGINT and returns the exit code. `path` is
/// the settings file, which is watched for changes.
int
serve_on_platform(const PlatformSettings& settings, const std::string& path);

} // namespace geraniumhinge::agent
