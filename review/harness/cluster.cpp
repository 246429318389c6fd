#include "review/harness/cluster.h"

#include "kernel/clock.h"
#include "tests/support/ports.h"

#include <cstdlib>
#include <fmt/format.h>

namespace geraniumhinge::review {

namespace {

constexpr int CLIENT_CONNECTIONS = 32;
constexpr std::int64_t HEARTBEAT_PERIOD_MS = 1'500;
constexpr std::int64_t DEADLINE_MS = 3'000;
constexpr std::int64_t RETRY_MS = 300;
constexpr int HTTP_OK = 200;
constexpr char HOST[] = "queue.example";
constexpr char PREFIX[] = "/queue/";
constexpr char TOKEN[] = "key";
constexpr int ARGUMENTS = 4;

std::string
configuration(std::uint32_t attempts)
{
  nlohmann::json route{
    { "name", "q" },           { "host", HOST },
    { "path_prefix", PREFIX }, { "service", "planner" },
    { "attempts", attempts },  { "priority", 1 },
    { "slo_factor", 3 },       { "slo_ms", 3'000 },
  };
  nlohmann::json tenant{ { "name", "t" }, { "api_keys", { TOKEN } } };
  return nlohmann::json{
    { "version", 1 },
    { "routes", { route } },
    { "services", { { { "name", "planner" } } } },
    { "tenants", { tenant } },
  }
    .dump();
}

} // namespace

Cluster::Cluster(const ClusterOptions& options)
  : timers(this->loop)
  , store(this->loop, this->timers)
  , client(this->loop, this->timers, CLIENT_CONNECTIONS)
  , options(options)
  , record(options.record)
  , begin_ms(kernel::boot_ms())
{
  this->store.put({ "op", "", "config" }, configuration(options.attempts));
  this->servers.reserve(options.servers);
  for (std::size_t index = 0; index < options.entries; ++index)
    this->add_entry(index);
  for (std::size_t index = 0; index < options.servers; ++index)
    this->add_server(index);
  this->every(HEARTBEAT_PERIOD_MS, [this] {
    for (Server& server : this->servers)
      this->announce(server);
  });
}

std::unique_ptr<tests::Process>
Cluster::start_program(const std::string& name,
                       const std::string& program,
                       const Json& settings)
{
  std::string path = this->options.folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  std::vector<std::string> arguments{
    this->options.programs + "/" + program, "serve", "--settings", path
  };
  return std::make_unique<tests::Process>(
    arguments, this->options.folder + "/" + name + ".log");
}

void
Cluster::add_entry(std::size_t index)
{
  std::string name = fmt::format("entry-{}", index);
  this->caller_addresses.push_back(tests::free_address());
  this->store_links.push_back(
    std::make_unique<tests::Relay>(this->store.address()));
  // The entry with the largest share of a core takes over the work first.
  double core_share = index == 0 ? 0.5 : 0.25;
  Json platform{ { "caller_listen", this->caller_addresses.back() },
                 { "ready_listen", tests::free_address() },
                 { "store_address", this->store_links.back()->address() },
                 { "max_lease_ms", 6'000 },
                 { "stop_grace_ms", 900 },
                 { "rack_penalty", 3 },
                 { "checkpoint_s", 2 },
                 { "core_share", core_share },
                 { "max_row_bytes", 65'536 },
                 { "early_ms", 250 },
                 { "retention_s", 120 } };
  Json settings{ { "name", name },
                 { "zone", "zone-1" },
                 { "peer", { { "listen", tests::free_address() } } },
                 { "http", { { "listen", tests::free_address() } } },
                 { "platform", platform } };
  this->entries.push_back(this->start_program(name, "geraniumhinge", settings));
}

void
Cluster::add_server(std::size_t index)
{
  Server server;
  server.id = fmt::format("i-{}", index);
  server.standin =
    std::make_unique<tests::ServerStandin>(this->loop, this->timers);
  server.standin->started_ms = kernel::unix_ms();
  server.registry_address = tests::free_address();
  server.standin->on_start = [this, index](const Run& run) {
    this->note(fmt::format(
      "server i-{}: run {} of {} begins", index, run.second, run.first));
    this->on_start(index, run);
  };
  server.standin->on_end = [this, index](const Run& run,
                                         const std::string& kind) {
    this->note(fmt::format("server i-{}: run {} of {} ends: {}",
                           index,
                           run.second,
                           run.first,
                           kind));
    this->on_end(index, run, kind);
  };
  server.standin->on_end_acknowledged =
    [this, index](const tests::ServerStandin::End& end) {
      this->note(fmt::format("server i-{}: end {} of run {} of {} ({}) taken "
                             "note of",
                             index,
                             end.number,
                             end.run.second,
                             end.run.first,
                             end.end_kind));
      this->on_end_acknowledged(index, end);
    };
  std::string name = fmt::format("node-{}", index);
  Json platform{ { "registry_listen", server.registry_address },
                 { "store_address", this->store.address() },
                 { "service", "planner" },
                 { "max_lease_ms", 6'000 },
                 { "heartbeat_ms", HEARTBEAT_PERIOD_MS } };
  Json settings{ { "name", name },
                 { "zone", "zone-1" },
                 { "peer", { { "listen", tests::free_address() } } },
                 { "http", { { "listen", tests::free_address() } } },
                 { "platform", platform } };
  server.agent_started_ms = kernel::boot_ms();
  server.agent = this->start_program(name, "geraniumhinge-agent", settings);
  this->servers.push_back(std::move(server));
}

Verdict
Cluster::run(kernel::Milliseconds limit)
{
  this->after(limit.count(), [this] {
    this->finish(Verdict::CouldNotRun, "the case did not end in time");
  });
  this->loop.run();
  return this->verdict;
}

void
Cluster::finish(Verdict verdict, const std::string& reason)
{
  this->verdict = verdict;
  this->note(reason);
  this->loop.stop();
}

void
Cluster::note(const std::string& text)
{
  double seconds =
    static_cast<double>(kernel::boot_ms() - this->begin_ms) / 1'000;
  this->record << fmt::format("{:8.3f} s  {}\n", seconds, text) << std::flush;
}

void
Cluster::call(std::size_t entry,
              const std::string& method,
              const std::string& id,
              const std::string& body,
              const Response& done)
{
  gateway::HttpClientRequest request;
  request.method = method;
  request.url = "http://" + this->caller_addresses[entry] + PREFIX + id;
  request.headers = { { "Host", HOST },
                      { "Authorization", std::string("Bearer ") + TOKEN },
                      { "Content-Type", "application/json" },
                      { "Deadline-Ms", std::to_string(DEADLINE_MS) } };
  request.body = body;
  request.timeout = kernel::Milliseconds(DEADLINE_MS);
  this->client.call(
    std::move(request),
    [this, entry, method, id, done](
      const gateway::HttpClient::Result& response) {
      int status = response ? response->status : 0;
      std::string text = response ? response->body : "";
      this->note(fmt::format(
        "entry-{}: {} {}{} -> {} {}", entry, method, PREFIX, id, status, text));
      done(status, text);
    });
}

void
Cluster::submit(std::size_t entry,
                const std::string& id,
                const Json& body,
                const std::function<void()>& accepted)
{
  this->call(entry,
             "POST",
             id,
             body.dump(),
             [this, entry, id, body, accepted](int status, const std::string&) {
               if (status == HTTP_OK) {
                 accepted();
                 return;
               }
               std::size_t next = (entry + 1) % this->caller_addresses.size();
               this->after(RETRY_MS, [this, next, id, body, accepted] {
                 this->submit(next, id, body, accepted);
               });
             });
}

void
Cluster::announce(Server& server)
{
  if (!server.announces || !server.standin->listening)
    return;
  gateway::HttpClientRequest request;
  request.method = "POST";
  request.url = fmt::format("http://{}/geraniumhinge/instances/{}/heartbeat",
                            server.registry_address,
                            server.id);
  request.headers = { { "Content-Type", "application/json" } };
  request.body =
    server.standin->announcement("ready", ++server.sequence).dump();
  request.timeout = kernel::Milliseconds(1'000);
  this->client.call(std::move(request),
                    [](const gateway::HttpClient::Result&) {});
}

void
Cluster::end_with_checkpoint(std::size_t server,
                             const Run& run,
                             const std::string& checkpoint)
{
  tests::ServerStandin& standin = *this->servers[server].standin;
  if (standin.running.erase(run) == 0)
    return;
  standin.on_end(run, "done");
  standin.add_end(run, "done");
  standin.ended.back().checkpoint = checkpoint;
  // From now on the stand-in must refuse this run, as after any end. A stop has
  // this effect, and no other one, since the run is gone.
  gateway::HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + standin.address() + "/geraniumhinge/run-stop";
  request.body = Json{
    { "task", run.first },
    { "attempt", run.second },
    { "fence_token", standin.fencing_token }
  }.dump();
  request.timeout = kernel::Milliseconds(DEADLINE_MS);
  this->client.call(std::move(request),
                    [](const gateway::HttpClient::Result&) {});
}

void
Cluster::cut_from_store(std::size_t entry)
{
  this->note(fmt::format("entry-{} is cut off from the store", entry));
  this->store_links[entry]->blackhole();
}

void
Cluster::heal(std::size_t entry)
{
  this->note(fmt::format("entry-{} reaches the store again", entry));
  this->store_links[entry]->heal();
}

void
Cluster::freeze_entry(std::size_t entry)
{
  this->note(fmt::format("entry-{} is frozen", entry));
  this->entries[entry]->freeze();
}

void
Cluster::resume_entry(std::size_t entry)
{
  this->note(fmt::format("entry-{} wakes again", entry));
  this->entries[entry]->resume();
}

void
Cluster::after(std::int64_t delay_ms, std::function<void()> action)
{
  this->subscriptions.push_back(
    this->timers.after(kernel::Milliseconds(delay_ms), std::move(action)));
}

void
Cluster::every(std::int64_t period_ms, std::function<void()> action)
{
  this->subscriptions.push_back(
    this->timers.every(kernel::Milliseconds(period_ms), std::move(action)));
}

bool
Cluster::program_ended()
{
  bool ended = false;
  for (const std::unique_ptr<tests::Process>& entry : this->entries)
    ended = ended || !entry->is_running();
  for (const Server& server : this->servers)
    ended = ended || !server.agent->is_running();
  return ended;
}

int
run_case(int argc,
         char** argv,
         ClusterOptions options,
         kernel::Milliseconds limit,
         const std::function<void(Cluster&, bool trouble)>& prepare)
{
  if (argc != ARGUMENTS) {
    fmt::print(stderr, "usage: {} PROGRAMS FOLDER RECORD\n", argv[0]);
    return static_cast<int>(Verdict::CouldNotRun);
  }
  options.programs = argv[1];
  options.folder = argv[2];
  options.record = argv[3];
  const char* setting = std::getenv("TROUBLE");
  bool trouble = !setting || std::string(setting) != "0";
  Cluster cluster(options);
  cluster.note(trouble ? "with the disruption" : "without the disruption");
  prepare(cluster, trouble);
  Verdict verdict = cluster.run(limit);
  if (cluster.program_ended() && verdict != Verdict::Broken)
    verdict = Verdict::CouldNotRun;
  return static_cast<int>(verdict);
}

} // namespace geraniumhinge::review
