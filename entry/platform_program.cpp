#include "entry/platform_program.h"

#include "core/owner_choice.h"
#include "entry/events.h"
#include "entry/work_rows.h"
#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/events.h"
#include "kernel/settings_watch.h"
#include "platform/events.h"
#include "platform/operator_config.h"

#include <csignal>

namespace geraniumhinge::entry {

namespace {

constexpr int EXIT_OK = 0;
constexpr int EXIT_FAILED = 1;
constexpr int HTTP_OK = 200;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_NOT_FOUND = 404;
constexpr int HTTP_UNAVAILABLE = 503;
constexpr int HTTP_METHOD_NOT_ALLOWED = 405;
constexpr int STORE_CONNECTIONS = 12;
constexpr int RELAY_CONNECTIONS = 8;
constexpr int ADVICE_CONNECTIONS = 1;
constexpr std::size_t MAX_BODY_BYTES = 1UL * 1'024 * 1'024;
constexpr std::size_t MAX_READY_BODY_BYTES = 4'096;
constexpr char READY_PATH[] = "/geraniumhinge/ready";
/// Two waits must fit into the accepted age of the configuration.
constexpr kernel::Milliseconds CONFIG_WAIT{ 700 };
constexpr kernel::Milliseconds WORK_WAIT{ 700 };
/// Entries that are not the owner read changes of the work in batches.
constexpr kernel::Milliseconds BATCH_PAUSE{ 120 };
constexpr kernel::Milliseconds READ_TIMEOUT{ 1'000 };
constexpr kernel::Milliseconds READ_RETRY{ 100 };
/// The platform treats an entry as unready after two polls, a second apart.
constexpr kernel::Milliseconds UNREADY_DETECTION{ 2'500 };

platform::TableWatchOptions
config_options()
{
  platform::TableWatchOptions options;
  options.table = platform::OPERATOR_TABLE;
  options.wait = CONFIG_WAIT;
  return options;
}

platform::TableWatchOptions
work_options()
{
  platform::TableWatchOptions options;
  options.table = platform::WORK_TABLE;
  options.part = platform::WORK_PART;
  options.wait = WORK_WAIT;
  return options;
}

LeaseBounds
lease_bounds(const PlatformSettings& settings)
{
  LeaseBounds bounds;
  bounds.orphan_ms = settings.orphan_timeout.count();
  bounds.granted_ms = settings.lease.count();
  return bounds;
}

WorkSchedulerLimits
scheduler_limits(const PlatformSettings& settings)
{
  WorkSchedulerLimits limits;
  limits.early_ms = settings.max_early.count();
  limits.retention_ms = settings.retention.count();
  limits.stop_ms = settings.stop_grace.count();
  limits.checkpoint_ms = settings.checkpoint_period.count();
  limits.rack_penalty = settings.rack_penalty;
  limits.scarce_capacity = settings.scarce_capacity;
  limits.max_row_bytes = settings.max_row_bytes;
  limits.settle_ms = settings.settle_limit.count();
  return limits;
}

} // namespace

PlatformProgram::PlatformProgram(kernel::Loop& loop,
                                 kernel::TimerService& timers,
                                 const kernel::Log& log,
                                 const PlatformSettings& settings)
  : Task(loop, "entry")
  , timers(timers)
  , log(log)
  , settings(settings)
  , store_client(loop, timers, STORE_CONNECTIONS)
  , relay_client(loop, timers, RELAY_CONNECTIONS)
  , advice_client(loop, timers, ADVICE_CONNECTIONS)
  , store(loop, log, this->metrics, this->store_client, settings.store_address)
  , advice(this->advice_client, settings.advice_address)
  , node(loop,
         timers,
         log,
         this->metrics,
         { settings.name, kernel::random_id(), settings.peer_listen })
  , evacuations(log, this->metrics, settings.evacuation.count())
  , servers(lease_bounds(settings))
  , config_watcher(loop,
                   timers,
                   log,
                   this->store,
                   config_options(),
                   { [this](const platform::RowPage& page) {
                      this->handle_operator_rows(page, true);
                    },
                     [this](const platform::RowPage& page) {
                       this->handle_operator_rows(page, false);
                     } })
  , work_watcher(loop,
                 timers,
                 log,
                 this->store,
                 work_options(),
                 { [this](const platform::RowPage& page) {
                    this->view.replace(page);
                    this->scheduler.schedule_decision();
                  },
                   [this](const platform::RowPage& page) {
                     this->view.apply(page);
                     this->scheduler.schedule_decision();
                   },
                   [this] {
                     return this->ownership.owns() ? kernel::Milliseconds(0)
                                                   : BATCH_PAUSE;
                   } })
  , scheduler(loop,
              timers,
              log,
              this->metrics,
              this->store,
              this->view,
              this->servers,
              this->shared_ends,
              this->evacuations,
              scheduler_limits(settings),
              this->scheduler_hooks())
  , advice_requester(loop,
                     timers,
                     log,
                     this->metrics,
                     this->advice,
                     [this](const core::AdviceRequest& advice_request,
                            const std::vector<core::AdviceTicket>& tickets,
                            std::int64_t requested_ms) {
                       this->scheduler.record_advice(
                         advice_request, tickets, requested_ms);
                     })
  , ownership(loop,
              timers,
              log,
              this->store,
              settings.name,
              settings.peer_listen,
              core::claim_delay_ms(settings.core_share),
              this->ownership_hooks())
  , relay(loop,
          timers,
          log,
          this->store,
          this->relay_client,
          settings.name,
          settings.relay_listen)
  , end_sharer(timers, this->servers, this->end_sharer_hooks())
  , caller_api(loop,
               timers,
               log,
               this->metrics,
               this->store,
               this->view,
               this->relay,
               this->caller_hooks())
  , refusal_log(log, this->metrics)
  , request_budget(settings.limits, this->refusal_log.hooks())
  , caller_server(
      loop,
      timers,
      settings.caller_listen,
      MAX_BODY_BYTES,
      [this](const gateway::HttpRequest& request,
             gateway::HttpServer::ResponseCallback respond) {
        this->handle_call(request, std::move(respond));
      },
      &this->request_budget)
  , ready_server(
      loop,
      timers,
      settings.ready_listen,
      MAX_READY_BODY_BYTES,
      [this](const gateway::HttpRequest& request,
             const gateway::HttpServer::ResponseCallback& respond) {
        int status = this->ready() ? HTTP_OK : HTTP_UNAVAILABLE;
        if (request.path != READY_PATH)
          status = HTTP_NOT_FOUND;
        respond({ status, "application/json", "{}", {} });
      },
      &this->request_budget)
  , internal_server(
      loop,
      timers,
      settings.relay_listen,
      MAX_BODY_BYTES,
      [this](const gateway::HttpRequest& request,
             gateway::HttpServer::ResponseCallback respond) {
        this->handle_internal_request(request, std::move(respond));
      },
      &this->request_budget)
{
}

bool
PlatformProgram::start()
{
  this->node.on_message(
    [this](const v1::Envelope& envelope) { this->handle_message(envelope); });
  bool listening = this->node.listen() && this->caller_server.listen() &&
                   this->ready_server.listen() &&
                   this->internal_server.listen();
  if (!listening) {
    this->log.write(ENTRY_LISTEN_FAILED,
                    { { "address", this->settings.caller_listen },
                      { "ready", this->settings.ready_listen },
                      { "http", this->settings.relay_listen },
                      { "peer", this->settings.peer_listen } });
    return false;
  }
  this->config_watcher.start();
  this->work_watcher.start();
  this->ownership.start();
  this->relay.start();
  return true;
}

void
PlatformProgram::reload(const PlatformSettings& changed)
{
  bool restart = changed.caller_listen != this->settings.caller_listen ||
                 changed.ready_listen != this->settings.ready_listen ||
                 changed.relay_listen != this->settings.relay_listen ||
                 changed.peer_listen != this->settings.peer_listen ||
                 changed.store_address != this->settings.store_address ||
                 changed.advice_address != this->settings.advice_address ||
                 changed.lease != this->settings.lease ||
                 changed.max_lease != this->settings.max_lease ||
                 changed.orphan_timeout != this->settings.orphan_timeout ||
                 changed.limits != this->settings.limits;
  this->settings.max_config_age = changed.max_config_age;
  this->settings.max_row_bytes = changed.max_row_bytes;
  this->evacuations.set_evacuate_ms(changed.evacuation.count());
  this->scheduler.set_limits(scheduler_limits(changed));
  this->log.write(kernel::SETTINGS_RELOADED, { { "restart", restart } });
}

bool
PlatformProgram::data_is_current() const
{
  std::int64_t limit =
    kernel::boot_ms() - this->settings.max_config_age.count();
  return this->operator_config.version != 0 &&
         this->config_watcher.confirmed_ms() > limit && this->work_is_current();
}

bool
PlatformProgram::work_is_current() const
{
  std::int64_t limit =
    kernel::boot_ms() - this->settings.max_config_age.count();
  return this->work_watcher.confirmed_ms() > limit;
}

/// Always true where zones are never evacuated.
bool
PlatformProgram::evacuations_are_current() const
{
  std::int64_t max_age_ms =
    this->evacuations.max_data_age_ms(this->settings.max_config_age.count());
  return max_age_ms == 0 ||
         this->config_watcher.confirmed_ms() > kernel::boot_ms() - max_age_ms;
}

bool
PlatformProgram::may_send_orders() const
{
  std::int64_t limit =
    kernel::boot_ms() - lease_bounds(this->settings).owner_send_limit_ms;
  return this->ownership.confirmed_ms() > limit;
}

void
PlatformProgram::handle_operator_rows(const platform::RowPage& page, bool all)
{
  std::int64_t known_until_ms = this->config_watcher.confirmed_before_ms();
  bool changed = all ? this->evacuations.replace(page, known_until_ms)
                     : this->evacuations.apply(page, known_until_ms);
  this->handle_configuration(page);
  if (changed)
    this->scheduler.schedule_decision();
}

void
PlatformProgram::handle_configuration(const platform::RowPage& page)
{
  for (const platform::StoredRow& row : page.rows) {
    if (row.removed || row.name.key != platform::CONFIGURATION_KEY)
      continue;
    std::optional<core::OperatorConfig> read =
      platform::decode_operator_config(row.value);
    if (!read) {
      this->log.write(platform::CONFIGURATION_UNREADABLE,
                      { { "row_version", row.version } });
      continue;
    }
    if (read->version <= this->operator_config.version)
      continue;
    this->operator_config = std::move(*read);
    this->log.write(
      CONFIGURATION_IN_FORCE,
      { { "version", this->operator_config.version },
        { "queues", this->operator_config.queues.size() },
        { "organisations", this->operator_config.organisations.size() } });
    this->scheduler.schedule_decision();
  }
}

void
PlatformProgram::handle_message(const v1::Envelope& envelope)
{
  if (envelope.body_case() != v1::Envelope::kServerReport ||
      !this->ownership.owns())
    return;
  AgentView* agent = this->servers.apply_report(envelope, kernel::boot_ms());
  if (!agent)
    return;
  this->scheduler.apply_report(*agent);
  if (this->servers.is_withheld(agent->node))
    this->ownership.request_heartbeat();
}

void
PlatformProgram::handle_call(const gateway::HttpRequest& request,
                             gateway::HttpServer::ResponseCallback respond)
{
  std::optional<platform::CallerRequest> call =
    platform::decode_caller_request(request);
  if (!call) {
    respond({ HTTP_METHOD_NOT_ALLOWED, "application/json", "{}", {} });
    return;
  }
  this->caller_api.handle(
    std::move(*call),
    [respond = std::move(respond)](const platform::CallerResponse& response) {
      respond(platform::encode_caller_response(response));
    });
}

void
PlatformProgram::handle_internal_request(
  const gateway::HttpRequest& request,
  gateway::HttpServer::ResponseCallback respond)
{
  if (request.method == "GET" && request.path == "/metrics")
    respond({ HTTP_OK, "text/plain; version=0.0.4", this->metrics.text(), {} });
  else if (request.method == "POST" && request.path == UNSTORED_ENDS_PATH)
    this->handle_unstored_ends(request, respond);
  else
    this->handle_call(request, std::move(respond));
}

void
PlatformProgram::handle_unstored_ends(
  const gateway::HttpRequest& request,
  const gateway::HttpServer::ResponseCallback& respond)
{
  v1::UnstoredEnds message;
  bool valid = message.ParseFromString(request.body);
  if (valid)
    this->shared_ends.add(message, kernel::boot_ms());
  respond({ valid ? HTTP_OK : HTTP_BAD_REQUEST, "application/json", "{}", {} });
}

bool
PlatformProgram::ready() const
{
  return !this->draining && this->operator_config.version != 0 &&
         this->work_watcher.loaded();
}

void
PlatformProgram::start_term(std::uint64_t term)
{
  this->servers.reset(kernel::boot_ms());
  this->former_owner_read = false;
  this->read_work(term);
}

void
PlatformProgram::read_work(std::uint64_t term)
{
  this->store.read_all(
    { platform::WORK_TABLE, platform::WORK_PART, "", 0 },
    READ_TIMEOUT,
    this->guarded([this, term](const platform::Store::ReadResult& page) {
      if (this->ownership.term() != term)
        return;
      if (!page) {
        this->read_timer = this->timers.after(
          READ_RETRY, [this, term] { this->read_work(term); });
        return;
      }
      this->view.replace(*page);
      if (!this->former_owner_read)
        this->apply_former_owner();
      this->log.write(WORK_READ,
                      { { "term", term },
                        { "rows", page->rows.size() },
                        { "version", page->version } });
      this->scheduler.start_term(term);
      this->announce_ownership(term);
    }));
}

void
PlatformProgram::apply_former_owner()
{
  this->former_owner_read = true;
  FormerOwner former = this->ownership.former_owner(this->view.heartbeat());
  this->servers.set_former_owner(former);
  if (former.confirmed_ms == 0)
    return;
  this->log.write(
    FORMER_OWNER_READ,
    { { "term", this->ownership.term() },
      { "confirmed_ms_ago", kernel::boot_ms() - former.confirmed_ms },
      { "silent_agents", former.silent.size() } });
}

void
PlatformProgram::announce_ownership(std::uint64_t term)
{
  this->store.read_all(
    { platform::AGENT_TABLE, platform::WORK_PART, "", 0 },
    READ_TIMEOUT,
    this->guarded([this, term](const platform::Store::ReadResult& page) {
      if (this->ownership.term() != term)
        return;
      if (!page) {
        this->read_timer = this->timers.after(
          READ_RETRY, [this, term] { this->announce_ownership(term); });
        return;
      }
      for (const platform::StoredRow& item : page->rows) {
        v1::NodeRow row;
        // Another writer's row must not replace the address of an agent.
        if (!row.ParseFromString(item.value) || row.node() != item.name.key ||
            !kernel::is_address(row.peer_address())) {
          this->log.write(ROW_MALFORMED, { { "key", item.name.key } });
          continue;
        }
        AgentView& agent =
          this->servers.add_agent(row.node(), row.peer_address());
        // The orders tell the agent to report to this entry. Its report then
        // causes orders with the runs of its server.
        if (agent.last_seen_ms == 0)
          this->scheduler.send_orders(agent);
      }
      this->servers.set_agents_listed();
    }));
}

void
PlatformProgram::drain()
{
  if (this->draining)
    return;
  this->draining = true;
  this->log.write(ENTRY_DRAINING);
  this->ownership.release();
  this->drain_timer = this->timers.after(UNREADY_DETECTION, [this] {
    this->caller_server.drain([this] { this->loop.stop(); });
  });
}

int
serve_on_platform(const PlatformSettings& settings, const std::string& path)
{
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  kernel::Log log(settings.name, settings.log_level);
  PlatformProgram program(loop, timers, log, settings);
  kernel::Subscription terminate =
    loop.watch_signal(SIGTERM, [&program] { program.drain(); });
  kernel::Subscription interrupt =
    loop.watch_signal(SIGINT, [&program] { program.drain(); });
  kernel::SettingsWatch watch(
    loop,
    timers,
    path,
    [&log,
     &program](const tl::expected<nlohmann::json, kernel::SettingFault>& root) {
      tl::expected<PlatformSettings, std::vector<kernel::SettingFault>>
        changed =
          root
            ? read_platform_settings(*root)
            : tl::unexpected(std::vector<kernel::SettingFault>{ root.error() });
      if (changed) {
        program.reload(*changed);
        return;
      }
      for (const kernel::SettingFault& fault : changed.error())
        log.write(kernel::SETTINGS_REFUSED,
                  { { "fault", kernel::describe(fault) } });
    });
  log.write(kernel::PROCESS_STARTED, { { "zone", settings.zone } });
  if (!program.start())
    return EXIT_FAILED;
  loop.run();
  log.write(kernel::PROCESS_STOPPED);
  return EXIT_OK;
}

} // namespace geraniumhinge::entry
