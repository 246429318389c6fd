#pragma once

#include "agent/platform_settings.h"
#include "agent/server_agent.h"
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/timer.h"
#include "peer/peer_node.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

namespace geraniumhinge::agent {

/// The agent on the operators' platform: takes its backend server's
/// announcements, reports to the owner of the work and carries out its orders.
class PlatformProgram : public kernel::Task
{
public:
  PlatformProgram(kernel::Loop& loop,
                  kernel::TimerService& timers,
                  const kernel::Log& log,
                  const PlatformSettings& settings);

  /// Listens and begins to follow the owner; false if an address can't be
  /// used.
  bool start();

  /// Leaves what runs to the next agent on this VM.
  void stop();

  /// Takes up changed settings, as far as that needs no restart.
  void reload(const PlatformSettings& changed);

private:
  void handle_registry_call(const gateway::HttpRequest& request,
                            const gateway::HttpServer::Respond& respond);
  void handle_message(const v1::Envelope& envelope);
  void handle_owner_rows(const platform::RowPage& page);
  void set_owner(std::uint64_t term, const std::string& address);
  void register_node();
  void report();
  void report_soon();

  kernel::TimerService& timers;
  const kernel::Log& log;
  PlatformSettings settings;
  kernel::Metrics metrics;
  gateway::HttpClient store_client;
  gateway::HttpClient worker_client;
  platform::Store store;
  platform::WorkerClient worker;
  peer::PeerNode node;
  gateway::HttpServer registry;
  gateway::HttpServer pages;
  ServerAgent agent;
  platform::TableWatcher owner_watcher;
  std::uint64_t owner_term = 0;
  std::string owner_address;
  bool report_posted = false;
  kernel::Subscription report_timer;
  kernel::Subscription register_timer;
};

/// Runs the agent until it is told to stop; returns the exit code. `path` is
/// the file of the settings, which is watched for changes.
int
serve_on_platform(const PlatformSettings& settings, const std::string& path);

} // namespace geraniumhinge::agent
