#include "entry/program.h"

#include "entry/events.h"
#include "entry/guarantee_watch.h"
#include "entry/operator_api.h"
#include "entry/rows.h"
#include "entry/status.h"
#include "entry/sweeper.h"
#include "gateway/http_client.h"
#include "platform/table_http.h"

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds LOAD_CHECK_PERIOD{ 20 };
constexpr kernel::Milliseconds IDLE_CHECK_PERIOD{ 20 };

v1::EntryRow
own_row(const EntrySettings& settings)
{
  v1::EntryRow row;
  row.set_name(settings.name);
  row.set_zone(settings.zone);
  row.set_peer_address(settings.peer_listen);
  row.set_http_address(settings.http_advertise);
  row.set_incarnation(kernel::random_id());
  return row;
}

core::RetryLimits
retry_limits(const EntrySettings& settings)
{
  core::RetryLimits limits;
  limits.ratio = settings.retry_ratio;
  return limits;
}

gateway::HttpResponse
text_page(int status, std::string body)
{
  return { status, "text/plain; version=0.0.4", std::move(body), {} };
}

} // namespace

Program::Program(kernel::Loop& loop,
                 kernel::TimerService& timers,
                 const kernel::Log& log,
                 const EntrySettings& settings)
  : loop(loop)
  , timers(timers)
  , log(log)
  , settings(settings)
  , tracer(settings.name, settings.trace_path)
  , refusal_log(log, this->metrics)
  , request_budget(settings.limits, this->refusal_log.hooks())
{
  this->make_platform();
  this->make_membership();
  this->make_jobs();
  this->make_runs();
  this->make_api();
  this->resolve_tasks();
}

void
Program::make_platform()
{
  gateway::HttpClient& client = this->services.make<gateway::HttpClient>(
    "http_client", this->loop, this->timers, this->settings.store_connections);
  platform::HttpTableOptions options;
  options.url = this->settings.table_url;
  options.cached_prefixes = { CONFIG_KEY, CELL_PREFIX };
  platform::HttpTable& table = this->services.make<platform::HttpTable>(
    "table", this->loop, this->timers, this->log, client, options);
  this->services.make<ConfigStore>("config",
                                   this->loop,
                                   this->timers,
                                   this->log,
                                   table,
                                   this->settings.config_poll_period,
                                   this->settings.operator_digests);
}

void
Program::make_membership()
{
  platform::HttpTable& table = this->services.get<platform::HttpTable>("table");
  ConfigStore& config = this->services.get<ConfigStore>("config");
  v1::EntryRow self = own_row(this->settings);
  peer::PeerNode& node = this->services.make<peer::PeerNode>(
    "peer_node",
    this->loop,
    this->timers,
    this->log,
    this->metrics,
    peer::PeerIdentity{ self.name(), self.incarnation(), self.peer_address() });
  Transport transport = transport_of(node);
  CellCache& cell_cache =
    this->services.make<CellCache>("cells",
                                   this->loop,
                                   this->timers,
                                   this->log,
                                   this->metrics,
                                   table,
                                   this->settings.cell_poll_period);
  Membership& membership = this->services.make<Membership>("membership",
                                                           this->loop,
                                                           this->timers,
                                                           this->log,
                                                           table,
                                                           transport,
                                                           this->settings,
                                                           self);
  Fleet& fleet = this->services.make<Fleet>(
    "fleet",
    this->loop,
    this->timers,
    this->log,
    this->metrics,
    this->settings,
    transport,
    membership,
    cell_cache,
    Fleet::ConfigHook(
      [&config]() -> const v1::Configuration& { return config.current(); }));
  this->services.make<Registrar>("registrar",
                                 this->loop,
                                 this->timers,
                                 this->log,
                                 this->settings,
                                 membership,
                                 fleet,
                                 cell_cache);
  this->services.make<Sweeper>("sweeper",
                               this->loop,
                               this->timers,
                               this->log,
                               table,
                               this->settings,
                               membership);
}

void
Program::make_jobs()
{
  ConfigStore& config = this->services.get<ConfigStore>("config");
  Membership& membership = this->services.get<Membership>("membership");
  peer::PeerNode& node = this->services.get<peer::PeerNode>("peer_node");
  this->driver_context.emplace(DriverContext{
    this->loop,
    this->timers,
    this->log,
    this->metrics,
    this->tracer,
    this->services.get<platform::HttpTable>("table"),
    this->services.get<CellCache>("cells"),
    this->services.get<Fleet>("fleet"),
    transport_of(node),
    this->settings,
    [&config]() -> const v1::Configuration& { return config.current(); },
    [&config] { return config.row_version(); },
    [&config] { config.observe_version(config.current().version() + 1); },
    [this] { return this->is_draining; } });
  const DriverContext& context = *this->driver_context;
  DriverTable& drivers =
    this->services.make<DriverTable>("drivers", context, membership);
  JobStopper& stopper =
    this->services.make<JobStopper>("stopper", context, drivers);
  Scheduler& scheduler =
    this->services.make<Scheduler>("scheduler", context, drivers, stopper);
  Takeover& takeover =
    this->services.make<Takeover>("takeover", context, membership, drivers);
  DriverHooks hooks;
  hooks.enqueue = [&scheduler](Driver& driver) { scheduler.enqueue(driver); };
  hooks.dequeue = [&scheduler](Driver& driver) { scheduler.dequeue(driver); };
  hooks.task_ended =
    [&scheduler](const std::string& server, const std::string& job, bool ok) {
      scheduler.record_task_end(server, job, ok);
    };
  drivers.set_hooks(std::move(hooks));
  this->services.make<JobApi>(
    "jobs", context, membership, drivers, scheduler, stopper, takeover);
}

void
Program::make_runs()
{
  ConfigStore& config = this->services.get<ConfigStore>("config");
  Fleet& fleet = this->services.get<Fleet>("fleet");
  ServerPicker& picker = this->services.make<ServerPicker>(
    "server_picker", fleet, this->settings.zone);
  this->budget.emplace(retry_limits(this->settings));
  this->run_context.emplace(
    RunContext{ this->loop,
                this->timers,
                this->log,
                this->metrics,
                this->tracer,
                this->services.get<platform::HttpTable>("table"),
                fleet,
                this->services.get<Membership>("membership"),
                transport_of(this->services.get<peer::PeerNode>("peer_node")),
                this->settings,
                picker,
                *this->budget });
  this->services.make<RunService>(
    "router",
    *this->run_context,
    std::function<const v1::Configuration&()>(
      [&config]() -> const v1::Configuration& { return config.current(); }));
}

void
Program::make_api()
{
  ConfigStore& config = this->services.get<ConfigStore>("config");
  this->unary.emplace(this->tracer, this->metrics);
  this->services
    .make<CallerMethods>("calls",
                         config,
                         this->services.get<JobApi>("jobs"),
                         this->services.get<RunService>("router"),
                         [this] { return this->is_ready; })
    .add_to(*this->unary);
  Status& status = this->services.make<Status>(
    "status",
    this->services.get<Membership>("membership"),
    this->services.get<Fleet>("fleet"),
    this->services.get<CellCache>("cells"),
    this->services.get<DriverTable>("drivers"),
    this->services.get<Scheduler>("scheduler"),
    [&config]() -> const v1::Configuration& { return config.current(); });
  Membership& membership = this->services.get<Membership>("membership");
  GuaranteeWatch& watch = this->services.make<GuaranteeWatch>(
    "guarantee_watch",
    this->services.get<CellCache>("cells"),
    this->log,
    this->metrics,
    [&config]() -> const v1::Configuration& { return config.current(); },
    [this, &membership](const std::string& zone) {
      return membership.preferred_entry(zone) == this->settings.name;
    });
  config.on_change([&watch](const v1::Configuration&) { watch.check(); });
  OperatorHooks hooks;
  hooks.status = [&status] { return status.status(); };
  hooks.servers = [&status](const std::string& zone) {
    return status.servers(zone);
  };
  hooks.fleet = [&status](core::Names& names) {
    return status.installed(names);
  };
  this->services
    .make<OperatorApi>("operator_api",
                       config,
                       static_cast<std::uint32_t>(this->settings.spare_servers),
                       std::move(hooks))
    .add_to(*this->unary);
  this->add_pages();
  this->services.make<gateway::HttpServer>(
    "http_server",
    this->loop,
    this->timers,
    this->settings.http_listen,
    this->settings.max_body_bytes,
    [this](const gateway::HttpRequest& request,
           gateway::HttpServer::ResponseCallback respond) {
      this->unary->handle(request, std::move(respond));
    },
    &this->request_budget);
}

void
Program::add_pages()
{
  this->unary->add_page("/live", [] { return text_page(200, "live\n"); });
  this->unary->add_page("/ready", [this] {
    return this->ready() ? text_page(200, "ready\n")
                         : text_page(503, "not ready\n");
  });
  this->unary->add_page("/metrics", [this] {
    this->metrics.gauge("process_cpu_seconds_total")
      .set(static_cast<double>(kernel::process_cpu_us()) / 1'000'000);
    return text_page(200, this->metrics.text());
  });
}

void
Program::resolve_tasks()
{
  this->tasks.emplace(
    Tasks{ this->services.get<peer::PeerNode>("peer_node"),
           this->services.get<ConfigStore>("config"),
           this->services.get<CellCache>("cells"),
           this->services.get<Membership>("membership"),
           this->services.get<Fleet>("fleet"),
           this->services.get<Registrar>("registrar"),
           this->services.get<DriverTable>("drivers"),
           this->services.get<Scheduler>("scheduler"),
           this->services.get<Takeover>("takeover"),
           this->services.get<RunService>("router"),
           this->services.get<gateway::HttpServer>("http_server") });
}

bool
Program::start()
{
  peer::PeerNode& node = this->tasks->node;
  ConfigStore& config = this->tasks->config;
  node.set_config_version_source(
    [&config] { return config.current().version(); });
  node.on_message(
    [this](const v1::Envelope& envelope) { this->handle_message(envelope); });
  if (!node.listen()) {
    this->log.write(ENTRY_LISTEN_FAILED,
                    { { "address", this->settings.peer_listen } });
    return false;
  }
  if (!this->tasks->http.listen()) {
    this->log.write(ENTRY_LISTEN_FAILED,
                    { { "address", this->settings.http_listen } });
    return false;
  }
  config.on_change(
    [this](const v1::Configuration&) { this->tasks->fleet.push_config(); });
  config.start();
  this->tasks->cell_cache.start([this] {
    this->tasks->membership.start([this] { this->wait_until_loaded(); });
  });
  return true;
}

void
Program::wait_until_loaded()
{
  if (this->tasks->config.loaded())
    this->become_ready();
  else
    this->step_timer = this->timers.after(
      LOAD_CHECK_PERIOD, [this] { this->wait_until_loaded(); });
}

void
Program::become_ready()
{
  this->is_ready = true;
  this->tasks->membership.set_ready(!this->is_draining);
  this->tasks->registrar.start();
  this->tasks->scheduler.start();
  this->tasks->takeover.start();
  this->log.write(ENTRY_READY);
}

void
Program::handle_message(const v1::Envelope& envelope)
{
  this->tasks->config.observe_version(envelope.config_version());
  switch (envelope.body_case()) {
    case v1::Envelope::kHello:
    case v1::Envelope::kAgentHeartbeat:
    case v1::Envelope::kLeaving:
      this->tasks->fleet.handle(envelope);
      return;
    case v1::Envelope::kEntryHeartbeat:
    case v1::Envelope::kEntryDown:
      this->tasks->membership.handle(envelope);
      return;
    case v1::Envelope::kJobNotice:
      this->tasks->takeover.handle(envelope);
      return;
    case v1::Envelope::kMemberDone:
      this->tasks->drivers.handle(envelope);
      return;
    default:
      return;
  }
}

void
Program::drain()
{
  if (this->is_draining)
    return;
  this->is_draining = true;
  this->log.write(ENTRY_DRAINING);
  this->tasks->membership.drain();
  this->step_timer = this->timers.after(this->settings.drain_grace_period,
                                        [this] { this->close_http(); });
}

void
Program::close_http()
{
  this->tasks->http.drain([this] {
    this->step_timer = this->timers.every(IDLE_CHECK_PERIOD,
                                          [this] { this->wait_until_idle(); });
  });
}

void
Program::wait_until_idle()
{
  // Other entries take over the jobs of deleted drivers. A busy driver finishes
  // its current state first.
  DriverTable& drivers = this->tasks->drivers;
  drivers.drop_idle();
  bool idle =
    drivers.all().empty() && this->tasks->run_service.open_runs() == 0;
  if (!idle || this->is_leaving)
    return;
  this->is_leaving = true;
  this->tasks->membership.leave([this] { this->loop.stop(); });
}

} // namespace geraniumhinge::entry
