#pragma once

#include "core/operator_config.h"
#include "entry/advice_requester.h"
#include "entry/caller_api.h"
#include "entry/evacuations.h"
#include "entry/ownership.h"
#include "entry/platform_settings.h"
#include "entry/relay.h"
#include "entry/server_table.h"
#include "entry/work_scheduler.h"
#include "entry/work_view.h"
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "gateway/refusal_log.h"
#include "kernel/log.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/timer.h"
#include "peer/peer_node.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

namespace geraniumhinge::entry {

/// The entry on the operators' platform: serves callers of queues, watches the
/// configuration and the work in the store, and places the work while this
/// entry is the owner.
class PlatformProgram : public kernel::Task
{
public:
  PlatformProgram(kernel::Loop& loop,
                  kernel::TimerService& timers,
                  const kernel::Log& log,
                  const PlatformSettings& settings);

  /// Listens and starts to watch the store; false if an address cannot be used.
  bool start();

  /// Becomes unready and releases ownership at once. Continues serving until
  /// the platform treats this entry as unready, then stops the loop.
  void drain();

  /// Whether this entry accepts new connections.
  bool ready() const;
  /// Whether the copies of the configuration and the work are recent enough to
  /// serve callers.
  bool data_is_current() const;
  /// Whether this entry is the owner and places the work.
  bool owns() const { return this->ownership.owns(); }
  std::uint64_t config_version() const { return this->operator_config.version; }

  /// Applies changed settings; those that need a restart are ignored.
  void reload(const PlatformSettings& changed);

private:
  /// At the internal address of an entry: `v1::UnstoredEnds` of the owner.
  static constexpr char UNSTORED_ENDS_PATH[] = "/unstored-ends";

  WorkSchedulerHooks scheduler_hooks();
  EndSharerHooks end_sharer_hooks();
  OwnershipHooks ownership_hooks();
  CallerApiHooks caller_hooks();
  void handle_configuration(const platform::RowPage& page);
  /// Applies rows of the operators' table, all of them or those that changed.
  void handle_operator_rows(const platform::RowPage& page, bool all);
  void handle_message(const v1::Envelope& envelope);
  void handle_call(const gateway::HttpRequest& request,
                   gateway::HttpServer::ResponseCallback respond);
  void handle_unstored_ends(
    const gateway::HttpRequest& request,
    const gateway::HttpServer::ResponseCallback& respond);
  /// Handles a request of another entry, or of a reader of /metrics.
  void handle_internal_request(const gateway::HttpRequest& request,
                               gateway::HttpServer::ResponseCallback respond);
  void start_term(std::uint64_t term);
  /// Reads all rows of the work, then starts scheduling under the term.
  void read_work(std::uint64_t term);
  /// Applies what the rows show of the owner before this term.
  void apply_former_owner();
  /// Sends orders to the agents that have not reported to this entry yet.
  void announce_ownership(std::uint64_t term);
  bool may_send_orders() const;
  bool work_is_current() const;
  bool evacuations_are_current() const;

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
  Evacuations evacuations;
  WorkView view;
  ServerTable servers;
  SharedEnds shared_ends;
  platform::TableWatcher config_watcher;
  platform::TableWatcher work_watcher;
  WorkScheduler scheduler;
  AdviceRequester advice_requester;
  Ownership ownership;
  Relay relay;
  EndSharer end_sharer;
  CallerApi caller_api;
  gateway::RefusalLog refusal_log;
  gateway::RequestBudget request_budget; ///< Of all three servers.
  gateway::HttpServer caller_server;
  gateway::HttpServer ready_server;
  gateway::HttpServer internal_server;
  bool former_owner_read = false; ///< In this term.
  bool draining = false;
  kernel::Subscription drain_timer;
  kernel::Subscription read_timer;
};

/// Runs the entry until a signal stops it; returns the exit code. `path` is the
/// settings file, which is watched for changes.
int
serve_on_platform(const PlatformSettings& settings, const std::string& path);

} // namespace geraniumhinge::entry
