#pragma once

#include "core/operator_config.h"
#include "entry/advice_requester.h"
#include "entry/caller_api.h"
#include "entry/ownership.h"
#include "entry/platform_settings.h"
#include "entry/relay.h"
#include "entry/server_table.h"
#include "entry/work_scheduler.h"
#include "entry/work_view.h"
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/timer.h"
#include "peer/peer_node.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

namespace geraniumhinge::entry {

/// The entry on the operators' platform: serves callers of queues, follows the
/// configuration and the work in the store, and places work while it owns it.
class PlatformProgram : public kernel::Task
{
public:
  PlatformProgram(kernel::Loop& loop,
                  kernel::TimerService& timers,
                  const kernel::Log& log,
                  const PlatformSettings& settings);

  /// Listens and begins to follow the store; false if an address can't be
  /// used.
  bool start();

  /// Becomes unready and gives ownership up at once, serves open connections
  /// until the platform has noticed, then stops the loop.
  void drain();

  /// Whether new connections are welcome.
  bool ready() const;
  /// Whether the configuration and the work are as new as callers may expect.
  bool data_is_current() const;
  /// Whether this entry places the work.
  bool owns() const { return this->ownership.owns(); }
  std::uint64_t config_version() const { return this->operator_config.version; }

  /// Takes up changed settings, as far as that needs no restart.
  void reload(const PlatformSettings& changed);

private:
  WorkSchedulerHooks scheduler_hooks();
  OwnershipHooks ownership_hooks();
  CallerApiHooks caller_hooks();
  void handle_configuration(const platform::RowPage& page);
  void handle_message(const v1::Envelope& envelope);
  void handle_call(const gateway::HttpRequest& request,
                   gateway::HttpServer::Respond respond);
  void handle_page(const gateway::HttpRequest& request,
                   gateway::HttpServer::Respond respond);
  void term_began(std::uint64_t term);
  void read_work(std::uint64_t term);
  void announce_ownership(std::uint64_t term);
  bool may_send_orders() const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  PlatformSettings settings;
  kernel::Metrics metrics;
  gateway::HttpClient store_client;
  gateway::HttpClient relay_client;
  gateway::HttpClient advice_client;
  platform::Store store;
  platform::AdviceClient advice;
  peer::PeerNode node;
  core::OperatorConfig operator_config;
  WorkView view;
  ServerTable servers;
  platform::TableWatcher config_watcher;
  platform::TableWatcher work_watcher;
  WorkScheduler scheduler;
  AdviceRequester advice_requester;
  Ownership ownership;
  Relay relay;
  CallerApi calls;
  gateway::HttpServer caller_server;
  gateway::HttpServer ready_server;
  gateway::HttpServer page_server;
  bool draining = false;
  kernel::Subscription step_timer;
  kernel::Subscription read_timer;
};

/// Runs the entry until it is told to stop; returns the exit code. `path` is
/// the file of the settings, which is watched for changes.
int
serve_on_platform(const PlatformSettings& settings, const std::string& path);

} // namespace geraniumhinge::entry
