#include "agent/platform_program.h"

#include "agent/events.h"
#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/events.h"
#include "kernel/settings_watch.h"
#include "platform/events.h"
#include "platform/tables.h"

#include <csignal>

namespace geraniumhinge::agent {

namespace {

constexpr int EXIT_OK = 0;
constexpr int EXIT_FAILED = 1;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_NOT_FOUND = 404;
constexpr int STORE_CONNECTIONS = 4;
constexpr int SERVER_CONNECTIONS = 16;
/// An announcement has less than 1 KiB.
constexpr std::size_t MAX_ANNOUNCEMENT_BYTES = 64UL * 1'024;
constexpr std::int64_t REJECTED_LOG_PERIOD_MS = 10'000;
constexpr std::size_t MAX_PAGE_BODY_BYTES = 4'096;
/// Wait of one read of the owner's row. The row changes only with the owner,
/// and a new owner also sends orders by itself.
constexpr kernel::Milliseconds OWNER_WAIT{ 10'000 };
constexpr kernel::Milliseconds REGISTER_TIMEOUT{ 1'000 };
constexpr kernel::Milliseconds REGISTER_RETRY{ 500 };
/// The estimate of the server's clock may be ahead by the duration of a call.
constexpr kernel::Milliseconds LEASE_MARGIN{ 200 };

ServerAgentOptions
agent_options(const PlatformSettings& settings, std::uint64_t incarnation)
{
  ServerAgentOptions options;
  options.node = settings.name;
  options.service = settings.service;
  options.incarnation = incarnation;
  options.max_lease = settings.max_lease;
  options.lease = settings.lease - LEASE_MARGIN;
  options.orphan_timeout = settings.orphan_timeout;
  options.heartbeat_period = settings.heartbeat_period;
  options.limit_order_age = settings.evacuation.count() > 0;
  return options;
}

platform::TableWatchOptions
owner_options()
{
  platform::TableWatchOptions options;
  options.table = platform::OWNER_TABLE;
  options.part = platform::WORK_PART;
  options.wait = OWNER_WAIT;
  return options;
}

} // namespace

PlatformProgram::PlatformProgram(kernel::Loop& loop,
                                 kernel::TimerService& timers,
                                 const kernel::Log& log,
                                 const PlatformSettings& settings)
  : Task(loop, "agent")
  , timers(timers)
  , log(log)
  , settings(settings)
  , rejected_calls(REJECTED_LOG_PERIOD_MS)
  , rejected_announcements(REJECTED_LOG_PERIOD_MS)
  , store_client(loop, timers, STORE_CONNECTIONS)
  , server_http_client(loop, timers, SERVER_CONNECTIONS)
  , store(loop, log, this->metrics, this->store_client, settings.store_address)
  , server_client(this->server_http_client)
  , node(loop,
         timers,
         log,
         this->metrics,
         { settings.name, this->incarnation, settings.peer_listen })
  , refusal_log(log, this->metrics)
  , request_budget(settings.limits, this->refusal_log.hooks())
  , registry_server(
      loop,
      timers,
      settings.registry_listen,
      MAX_ANNOUNCEMENT_BYTES,
      [this](const gateway::HttpRequest& request,
             const gateway::HttpServer::ResponseCallback& respond) {
        this->handle_registry_call(request, respond);
      },
      &this->request_budget)
  , metrics_server(
      loop,
      timers,
      settings.http_listen,
      MAX_PAGE_BODY_BYTES,
      [this](const gateway::HttpRequest& request,
             const gateway::HttpServer::ResponseCallback& respond) {
        bool found = request.path == "/metrics";
        respond({ found ? 200 : HTTP_NOT_FOUND,
                  "text/plain; version=0.0.4",
                  found ? this->metrics.text() : "",
                  {} });
      },
      &this->request_budget)
  , agent(loop,
          timers,
          log,
          this->metrics,
          this->server_client,
          agent_options(settings, this->incarnation),
          [this] { this->schedule_report(); })
  , owner_watcher(loop,
                  timers,
                  log,
                  this->store,
                  owner_options(),
                  { [this](const platform::RowPage& page) {
                     this->handle_owner_rows(page);
                   },
                    [this](const platform::RowPage& page) {
                      this->handle_owner_rows(page);
                    } })
{
}

bool
PlatformProgram::start()
{
  this->node.on_message(
    [this](const v1::Envelope& envelope) { this->handle_message(envelope); });
  bool listening = this->node.listen() && this->registry_server.listen() &&
                   this->metrics_server.listen();
  if (!listening) {
    this->log.write(HTTP_LISTEN_FAILED,
                    { { "registry", this->settings.registry_listen },
                      { "peer", this->settings.peer_listen },
                      { "http", this->settings.http_listen } });
    return false;
  }
  this->owner_watcher.start();
  this->register_node();
  this->report_timer = this->timers.every(this->settings.report_period,
                                          [this] { this->send_report(); });
  return true;
}

void
PlatformProgram::reload(const PlatformSettings& changed)
{
  bool restart = changed.registry_listen != this->settings.registry_listen ||
                 changed.peer_listen != this->settings.peer_listen ||
                 changed.http_listen != this->settings.http_listen ||
                 changed.store_address != this->settings.store_address ||
                 changed.max_lease != this->settings.max_lease ||
                 changed.lease != this->settings.lease ||
                 changed.orphan_timeout != this->settings.orphan_timeout ||
                 changed.heartbeat_period != this->settings.heartbeat_period ||
                 changed.evacuation != this->settings.evacuation ||
                 changed.limits != this->settings.limits;
  this->settings.report_period = changed.report_period;
  this->report_timer = this->timers.every(this->settings.report_period,
                                          [this] { this->send_report(); });
  this->log.write(kernel::SETTINGS_RELOADED, { { "restart", restart } });
}

void
PlatformProgram::stop()
{
  this->loop.stop();
}

void
PlatformProgram::handle_registry_call(
  const gateway::HttpRequest& request,
  const gateway::HttpServer::ResponseCallback& respond)
{
  std::optional<platform::AnnouncementRequest> announcement_request =
    platform::decode_announcement_request(request);
  if (!announcement_request) {
    std::uint64_t calls = this->rejected_calls.record(kernel::boot_ms());
    if (calls > 0)
      this->log.write(CALL_REJECTED,
                      { { "method", request.method },
                        { "path", request.path },
                        { "calls", calls } });
    respond({ HTTP_NOT_FOUND, "application/json", "{}", {} });
    return;
  }
  if (announcement_request->leaving) {
    this->agent.apply_departure(announcement_request->id);
    respond({ 200, "application/json", "{}", {} });
    return;
  }
  std::optional<platform::Announcement> announcement =
    platform::decode_announcement(*announcement_request);
  if (!announcement) {
    this->metrics.counter("agent_announcements_rejected_total").add();
    std::uint64_t rejected =
      this->rejected_announcements.record(kernel::boot_ms());
    if (rejected > 0)
      this->log.write(platform::ANNOUNCEMENT_REJECTED,
                      { { "server", announcement_request->id },
                        { "announcements", rejected } });
    respond({ HTTP_BAD_REQUEST, "application/json", "{}", {} });
    return;
  }
  this->agent.apply_announcement(*announcement);
  respond({ 200, "application/json", "{}", {} });
}

void
PlatformProgram::handle_message(const v1::Envelope& envelope)
{
  if (envelope.body_case() != v1::Envelope::kServerOrders)
    return;
  const v1::ServerOrders& orders = envelope.server_orders();
  this->set_owner(orders.term(), envelope.sender_address());
  this->agent.apply_orders(orders);
}

void
PlatformProgram::handle_owner_rows(const platform::RowPage& page)
{
  for (const platform::StoredRow& row : page.rows) {
    v1::OwnerRow owner;
    if (row.name.key != platform::OWNER_KEY || row.removed ||
        !owner.ParseFromString(row.value))
      continue;
    this->set_owner(row.version, owner.peer_address());
  }
}

void
PlatformProgram::set_owner(std::uint64_t term, const std::string& address)
{
  if (term <= this->owner_term || !kernel::is_address(address))
    return;
  this->owner_term = term;
  this->owner_address = address;
  this->log.write(OWNER_CHANGED, { { "term", term }, { "address", address } });
  this->send_report();
}

void
PlatformProgram::register_node()
{
  v1::NodeRow row;
  row.set_node(this->settings.name);
  row.set_peer_address(this->settings.peer_listen);
  row.set_zone(this->settings.zone);
  platform::RowChange change;
  change.writes.push_back(
    { { platform::AGENT_TABLE, platform::WORK_PART, this->settings.name },
      row.SerializeAsString() });
  this->store.commit(
    change,
    REGISTER_TIMEOUT,
    this->guarded([this](const platform::Store::CommitResult& result) {
      if (!result)
        this->register_timer =
          this->timers.after(REGISTER_RETRY, [this] { this->register_node(); });
    }));
}

void
PlatformProgram::schedule_report()
{
  if (this->report_scheduled)
    return;
  this->report_scheduled = true;
  this->post([this] {
    this->report_scheduled = false;
    this->send_report();
  });
}

void
PlatformProgram::send_report()
{
  if (this->owner_address.empty())
    return;
  v1::Envelope envelope;
  *envelope.mutable_server_report() = this->agent.report();
  this->node.send(this->owner_address, std::move(envelope));
}

int
serve_on_platform(const PlatformSettings& settings, const std::string& path)
{
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  kernel::Log log(settings.name, settings.log_level);
  PlatformProgram program(loop, timers, log, settings);
  kernel::Subscription terminate =
    loop.watch_signal(SIGTERM, [&program] { program.stop(); });
  kernel::Subscription interrupt =
    loop.watch_signal(SIGINT, [&program] { program.stop(); });
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

} // namespace geraniumhinge::agent
