// Runs the entry and agent programs for the operators' platform as processes,
// injects faults from outside, and checks the responses that callers receive
// and the runs that backend servers see.
#include "gateway/http_client.h"
#include "tests/platform/row_store_standin.h"
#include "tests/platform/server_standin.h"
#include "tests/soak/invariants.h"
#include "tests/support/ports.h"
#include "tests/support/process.h"
#include "tests/support/relay.h"

#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <random>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr int DEFAULT_ENTRIES = 3;
constexpr int DEFAULT_SERVERS = 5;
constexpr int MAX_PROCESSES = 300;
/// Tasks that a backend server can run at a time; each uses one accelerator.
constexpr std::size_t SERVER_CAPACITY = 8;
/// Faults are injected during this time.
constexpr int FAULT_PHASE_MS = 12'000;
/// Accepted jobs must end within this time after the fault phase.
constexpr int SETTLE_LIMIT_MS = 60'000;
constexpr int HEARTBEAT_PERIOD_MS = 300;
constexpr int SUBMIT_PERIOD_MS = 150;
constexpr int FAULT_PERIOD_MS = 700;
constexpr int MAX_OUTAGE_MS = 3'000;
constexpr int MAX_DELAY_MS = 400; ///< Delay of a chunk of data in a relay.
constexpr int MAX_RUN_MS = 900;
/// Between two failures of many processes. They are drawn from numbers of their
/// own, so that the other faults of a seed stay the same without them.
constexpr int MASS_FAILURE_PERIOD_MS = 3'300;
constexpr std::uint64_t MASS_FAILURE_SEED_OFFSET = 1'000'003;
/// Longer than the time after which nothing may start in the zone.
constexpr int MIN_EVACUATION_MS = 6'000;
constexpr int MAX_EVACUATION_MS = 8'000;
constexpr int ZONES = 2; ///< Of the servers, if zones are evacuated.
constexpr int PERCENT = 100;
constexpr int GANG_POLL_MS = 50;
constexpr char TOKEN[] = "key";
constexpr char PREFIX[] = "/queue/";
/// Prefix of the payload of gang members, which end together. The number of
/// members follows.
constexpr char GANG_PAYLOAD_PREFIX[] = "gang";
/// Part of the task name in the first step, the only step that can be a gang.
constexpr char FIRST_STEP_INFIX[] = ".0.0.";

struct SoakSize
{
  int entries = DEFAULT_ENTRIES;
  int servers = DEFAULT_SERVERS;
  bool mass_failures = true; ///< Many processes end at once.
  bool evacuations = false;  ///< Operators evacuate a zone.
};

class Soak
{
public:
  Soak(std::uint64_t seed, const SoakSize& size, std::string folder)
    : random(seed)
    , mass_random(seed + MASS_FAILURE_SEED_OFFSET)
    , size(size)
    , folder(std::move(folder))
    , store(loop, timers)
    , store_relay(this->store.address())
    , client(loop, timers, 32)
  {
    this->store.put({ "op", "", "config" }, configuration());
    for (int index = 0; index < size.entries; ++index)
      this->add_entry(index);
    for (int index = 0; index < size.servers; ++index)
      this->add_server(index);
  }

  /// Runs the schedule of one seed and returns the violated guarantees.
  std::vector<std::string> execute()
  {
    this->heartbeats =
      this->timers.every(kernel::Milliseconds(HEARTBEAT_PERIOD_MS),
                         [this] { this->announce_all(); });
    this->submissions =
      this->timers.every(kernel::Milliseconds(SUBMIT_PERIOD_MS),
                         [this] { this->submit_next_job(); });
    this->fault_injection = this->timers.every(
      kernel::Milliseconds(FAULT_PERIOD_MS), [this] { this->inject_fault(); });
    if (this->size.mass_failures)
      this->mass_failures =
        this->timers.every(kernel::Milliseconds(MASS_FAILURE_PERIOD_MS),
                           [this] { this->end_many_processes(); });
    if (this->size.evacuations)
      this->evacuate_zone();
    kernel::Subscription end_of_faults =
      this->timers.after(kernel::Milliseconds(FAULT_PHASE_MS), [this] {
        this->submissions.reset();
        this->fault_injection.reset();
        this->mass_failures.reset();
      });
    kernel::Subscription job_poll =
      this->timers.every(kernel::Milliseconds(HEARTBEAT_PERIOD_MS),
                         [this] { this->poll_open_jobs(); });
    kernel::Subscription settle_limit = this->timers.after(
      kernel::Milliseconds(FAULT_PHASE_MS + SETTLE_LIMIT_MS), [this] {
        for (const std::string& job : this->invariants.open_jobs())
          this->invariants.violations.push_back("no outcome of accepted job " +
                                                job);
        this->loop.stop();
      });
    this->loop.run();
    this->invariants.check_refused_jobs();
    return this->invariants.violations;
  }

  std::size_t accepted_jobs() const
  {
    return this->invariants.accepted_jobs.size();
  }
  int faults() const { return this->fault_count; }

private:
  struct Program
  {
    std::vector<std::string> arguments;
    std::string log;
    std::unique_ptr<Process> process;
    kernel::Subscription resume;
    bool is_restarting = false; ///< Ended, or told to end.
  };

  struct Server
  {
    std::unique_ptr<ServerStandin> standin;
    std::unique_ptr<Relay> relay;
    std::string registry_address;
    std::string zone;
    std::uint64_t sequence = 0;
    kernel::Subscription heal;
    std::vector<kernel::Subscription> run_timers;
  };

  static std::string configuration()
  {
    return R"({"version":1,"routes":[{"name":"q","host":"127.0.0.1",
      "path_prefix":"/queue/","service":"planner","attempts":50,
      "priority":1}],"tenants":[{"name":"t","api_keys":["key"]}]})";
  }

  int random_number(int first, int last)
  {
    return std::uniform_int_distribution<int>(first, last)(this->random);
  }

  void start_program(const std::string& name,
                     const std::string& program,
                     const nlohmann::json& settings)
  {
    std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    Program program_state;
    program_state.arguments = { std::string(GERANIUMHINGE_BIN_DIR "/") +
                                  program,
                                "serve",
                                "--settings",
                                path };
    program_state.log = this->folder + "/" + name + ".log";
    program_state.process =
      std::make_unique<Process>(program_state.arguments, program_state.log);
    this->programs.push_back(std::move(program_state));
  }

  void add_entry(int index)
  {
    this->caller_addresses.push_back(free_address());
    start_program(fmt::format("entry-{}", index),
                  "geraniumhinge",
                  { { "name", fmt::format("entry-{}", index) },
                    { "zone", "z" },
                    { "peer", { { "listen", free_address() } } },
                    { "http", { { "listen", free_address() } } },
                    { "platform",
                      { { "caller_listen", this->caller_addresses.back() },
                        { "ready_listen", free_address() },
                        { "store_address", this->store_relay.address() },
                        { "max_lease_ms", 3'000 },
                        { "orphan_ms", 2'000 } } } });
  }

  void add_server(int index)
  {
    Server server;
    server.standin = std::make_unique<ServerStandin>(this->loop, this->timers);
    server.relay = std::make_unique<Relay>(server.standin->address());
    server.registry_address = free_address();
    server.zone =
      fmt::format("zone-{}", this->size.evacuations ? index % ZONES + 1 : 1);
    this->servers.push_back(std::move(server));
    Server& added_server = this->servers.back();
    added_server.standin->on_start = [this,
                                      index](const ServerStandin::Run& run) {
      this->run_started(static_cast<std::size_t>(index), run);
    };
    added_server.standin->on_end = [this](const ServerStandin::Run& run,
                                          const std::string& end_kind) {
      this->run_ended(run, end_kind);
    };
    added_server.standin->on_end_acknowledged =
      [this](const ServerStandin::End& end) {
        if (end.end_kind == "done")
          this->invariants.record_acknowledged_end(end.run);
      };
    start_program(fmt::format("agent-{}", index),
                  "geraniumhinge-agent",
                  { { "name", fmt::format("node-{}", index) },
                    { "zone", "z" },
                    { "peer", { { "listen", free_address() } } },
                    { "http", { { "listen", free_address() } } },
                    { "platform",
                      { { "registry_listen", added_server.registry_address },
                        { "store_address", this->store_relay.address() },
                        { "max_lease_ms", 3'000 },
                        { "orphan_ms", 2'000 },
                        { "report_ms", 300 } } } });
  }

  void run_started(std::size_t index, const ServerStandin::Run& run)
  {
    Server& server = this->servers[index];
    this->invariants.record_start(
      run, server.standin->running.size(), SERVER_CAPACITY);
    this->invariants.check_zone(run, server.zone, kernel::boot_ms());
    bool run_fails = this->random_number(0, 99) < 4;
    server.run_timers.push_back(this->timers.after(
      kernel::Milliseconds(this->random_number(50, MAX_RUN_MS)),
      [this, &server, run, run_fails] {
        this->finish(server, run, run_fails);
      }));
  }

  /// Records the end of a run. If a gang member does not end as done, ends the
  /// other members too.
  void run_ended(const ServerStandin::Run& run, const std::string& end_kind)
  {
    this->invariants.record_end(run, end_kind);
    if (end_kind != "done")
      this->gang_end_timers.push_back(
        this->timers.after(kernel::Milliseconds(1),
                           [this, run] { this->end_gang(run, "broken"); }));
  }

  /// Whether all members of the run's gang are running. The payload contains
  /// the number of members.
  bool is_gang_complete(const ServerStandin::Run& run,
                        const std::string& payload)
  {
    std::string step = run.first.substr(0, run.first.rfind('.') + 1);
    std::size_t running_members = 0;
    for (const Server& server : this->servers) {
      for (const std::pair<const ServerStandin::Run, std::string>& item :
           server.standin->running)
        running_members += item.first.second == run.second &&
                               item.first.first.rfind(step, 0) == 0
                             ? 1
                             : 0;
    }
    return running_members ==
           std::stoul(payload.substr(sizeof GANG_PAYLOAD_PREFIX - 1));
  }

  void end_gang(const ServerStandin::Run& run, const std::string& end_kind)
  {
    std::string step = run.first.substr(0, run.first.rfind('.') + 1);
    for (Server& server : this->servers) {
      std::map<ServerStandin::Run, std::string> snapshot =
        server.standin->running;
      for (const std::pair<const ServerStandin::Run, std::string>& item :
           snapshot) {
        bool member = item.second.starts_with(GANG_PAYLOAD_PREFIX) &&
                      item.first.second == run.second &&
                      item.first.first.rfind(step, 0) == 0;
        if (member)
          server.standin->finish(item.first, end_kind);
      }
    }
  }

  /// Ends a run. All members of a gang end together, once all of them run.
  void finish(Server& server, const ServerStandin::Run& run, bool run_fails)
  {
    std::map<ServerStandin::Run, std::string>::iterator found =
      server.standin->running.find(run);
    if (found == server.standin->running.end())
      return;
    bool gang = found->second.starts_with(GANG_PAYLOAD_PREFIX) &&
                run.first.find(FIRST_STEP_INFIX) != std::string::npos;
    if (gang && !this->is_gang_complete(run, found->second)) {
      server.run_timers.push_back(this->timers.after(
        kernel::Milliseconds(GANG_POLL_MS), [this, &server, run, run_fails] {
          this->finish(server, run, run_fails);
        }));
      return;
    }
    server.standin->finish(run, run_fails ? "failed" : "done");
    if (gang)
      this->end_gang(run, run_fails ? "broken" : "done");
  }

  void announce_all()
  {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      Server& server = this->servers[index];
      nlohmann::json body =
        server.standin->announcement("ready", ++server.sequence);
      body["address"] = server.relay->address();
      body["zone"] = server.zone;
      gateway::HttpClientRequest call;
      call.url = fmt::format("http://{}/geraniumhinge/instances/i-{}/heartbeat",
                             server.registry_address,
                             index);
      call.body = body.dump();
      call.timeout = kernel::Milliseconds(1'000);
      this->client.call(std::move(call),
                        [](const gateway::HttpClient::Result&) {});
    }
  }

  void request(const std::string& method,
               const std::string& job,
               const std::string& body,
               std::function<void(int, const std::string&)> done)
  {
    gateway::HttpClientRequest call;
    call.method = method;
    std::size_t entry =
      static_cast<std::size_t>(this->random_number(0, this->size.entries - 1));
    call.url = "http://" + this->caller_addresses[entry] + PREFIX + job;
    call.headers = { { "Authorization", std::string("Bearer ") + TOKEN },
                     { "Deadline-Ms", "3000" } };
    call.body = body;
    call.timeout = kernel::Milliseconds(3'500);
    this->client.call(
      std::move(call),
      [done = std::move(done)](const gateway::HttpClient::Result& response) {
        if (response)
          done(response->status, response->body);
        else
          done(0, "");
      });
  }

  void submit_next_job()
  {
    std::string job = fmt::format("{:016x}", ++this->jobs);
    bool gang = this->random_number(0, 1) == 0;
    int tasks = this->random_number(1, 4);
    std::string body = fmt::format(
      R"({{"task_spec":"{}","phases":[{{"count":{},"cpu":100,"mem_mb":10,
          "gpu":1,"gang":{}}},{{"count":1,"cpu":100,"mem_mb":10,"gpu":1,
          "depends_on":[0]}}]}})",
      gang ? GANG_PAYLOAD_PREFIX + std::to_string(tasks) : "single",
      tasks,
      gang);
    bool cancel = this->random_number(0, 9) == 0;
    this->submit_job(job, body, cancel, 4);
  }

  void submit_job(const std::string& job,
                  const std::string& body,
                  bool cancel,
                  int tries)
  {
    this->invariants.record_submission(job);
    this->request(
      "POST",
      job,
      body,
      [this, job, body, cancel, tries](int status, const std::string&) {
        this->invariants.record_submit_response(job, status);
        if (status != 200 && tries > 1)
          this->submit_job(job, body, cancel, tries - 1);
        else if (status == 200 && cancel)
          this->request("DELETE",
                        job,
                        "",
                        [this, job](int cancel_status, const std::string&) {
                          // The cancellation may have taken effect whatever the
                          // response.
                          (void)cancel_status;
                          this->invariants.record_cancellation(job);
                        });
      });
  }

  void poll_open_jobs()
  {
    for (const std::string& job : this->invariants.open_jobs())
      this->request(
        "GET", job, "", [this, job](int status, const std::string& body) {
          if (status == 410)
            this->invariants.violations.push_back(
              "status 410 for accepted job " + job);
          if (body.find("completed") != std::string::npos)
            this->invariants.record_completion(job);
        });
    bool settled =
      !this->submissions.active() && this->invariants.open_jobs().empty();
    if (settled)
      this->loop.stop();
  }

  /// Injects one random fault. Faults may overlap.
  void inject_fault()
  {
    ++this->fault_count;
    kernel::Milliseconds length(this->random_number(200, MAX_OUTAGE_MS));
    std::size_t program = static_cast<std::size_t>(
      this->random_number(0, this->size.entries + this->size.servers - 1));
    Server& server = this->servers[static_cast<std::size_t>(
      this->random_number(0, this->size.servers - 1))];
    switch (this->random_number(0, 15)) {
      case 0:
        this->restart(this->programs[program], SIGKILL);
        return;
      case 1:
        this->restart(this->programs[program], SIGTERM);
        return;
      case 2:
        this->pause(this->programs[program], length);
        return;
      case 3:
        this->store.refusing = true;
        this->store_refusal_timer =
          this->timers.after(length, [this] { this->store.refusing = false; });
        return;
      case 4:
        this->store.unanswered_writes = this->random_number(1, 5);
        return;
      case 5:
        this->store.delayed_writes = this->random_number(1, 3);
        this->delayed_writes_timer = this->timers.after(
          length, [this] { this->store.apply_delayed_writes(); });
        return;
      case 6:
        this->store.compact();
        return;
      case 7:
        this->store_relay.blackhole_existing();
        return;
      case 8:
        server.relay->blackhole();
        this->schedule_heal(server, length);
        return;
      case 9:
        server.relay->blackhole_to_target();
        this->schedule_heal(server, length);
        return;
      case 10:
        server.relay->delay(this->random_number(50, MAX_DELAY_MS));
        this->schedule_heal(server, length);
        return;
      case 11:
        server.relay->reset_existing();
        this->store_relay.reset_existing();
        return;
      case 12:
        this->store_relay.delay(this->random_number(20, MAX_DELAY_MS));
        this->store_relay_timer =
          this->timers.after(length, [this] { this->store_relay.heal(); });
        return;
      case 13:
        this->store_relay.blackhole();
        this->store_relay_timer =
          this->timers.after(length, [this] { this->store_relay.heal(); });
        return;
      case 14:
        // The backend server crashes and restarts with the same identifier.
        server.standin->restart();
        return;
      default:
        server.standin->unanswered_starts = this->random_number(1, 3);
        server.standin->ignored_starts = this->random_number(0, 2);
        return;
    }
  }

  /// Ends all entries, all agents, or each process with a random probability.
  void end_many_processes()
  {
    ++this->fault_count;
    std::uniform_int_distribution<int> percent(0, PERCENT - 1);
    int kind = percent(this->mass_random) % 4;
    int share = percent(this->mass_random);
    for (std::size_t index = 0; index < this->programs.size(); ++index) {
      bool is_entry = index < static_cast<std::size_t>(this->size.entries);
      bool chosen = kind == 0   ? is_entry
                    : kind == 1 ? !is_entry
                    : kind == 2 ? true
                                : percent(this->mass_random) < share;
      if (chosen)
        this->restart(this->programs[index], SIGKILL);
    }
  }

  /// Requests the evacuation of a zone as operators do, and later removes the
  /// request.
  void evacuate_zone()
  {
    std::uniform_int_distribution<int> zones(1, ZONES);
    std::uniform_int_distribution<int> lengths(MIN_EVACUATION_MS,
                                               MAX_EVACUATION_MS);
    std::string zone = fmt::format("zone-{}", zones(this->mass_random));
    RowStoreStandin::Name row{ "op", "", "evacuate/" + zone };
    this->store.put(row, "{}");
    this->invariants.record_evacuation(zone, kernel::boot_ms());
    this->reopening = this->timers.after(
      kernel::Milliseconds(lengths(this->mass_random)), [this, zone, row] {
        this->invariants.record_reopening(zone);
        this->store.remove(row);
        if (this->fault_injection.active())
          this->evacuate_zone();
      });
  }

  void schedule_heal(Server& server, kernel::Milliseconds length)
  {
    server.heal =
      this->timers.after(length, [&server] { server.relay->heal(); });
  }

  void restart(Program& program, int signal)
  {
    program.process->send(signal);
    program.is_restarting = true;
    program.resume = this->timers.after(
      kernel::Milliseconds(signal == SIGKILL ? 300 : 4'500), [&program] {
        program.process->kill();
        program.process =
          std::make_unique<Process>(program.arguments, program.log);
        program.is_restarting = false;
      });
  }

  void pause(Program& program, kernel::Milliseconds length)
  {
    // The end of the pause would replace the restart.
    if (program.is_restarting)
      return;
    program.process->freeze();
    program.resume =
      this->timers.after(length, [&program] { program.process->resume(); });
  }

  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  std::mt19937_64 random;
  std::mt19937_64 mass_random;
  SoakSize size;
  std::string folder;
  RowStoreStandin store;
  Relay store_relay;
  gateway::HttpClient client;
  InvariantChecker invariants;
  std::vector<Program> programs;
  std::deque<Server> servers;
  std::vector<std::string> caller_addresses;
  std::uint64_t jobs = 0;
  int fault_count = 0;
  kernel::Subscription heartbeats;
  kernel::Subscription submissions;
  kernel::Subscription fault_injection;
  kernel::Subscription mass_failures;
  kernel::Subscription reopening;
  std::vector<kernel::Subscription> gang_end_timers;
  kernel::Subscription store_refusal_timer;
  kernel::Subscription store_relay_timer;
  kernel::Subscription delayed_writes_timer;
};

/// Runs one seed in its own folder. Keeps the logs if a guarantee is violated.
bool
run_seed(std::uint64_t seed, const SoakSize& size, const std::string& folder)
{
  std::string seed_folder = fmt::format("{}/seed-{}", folder, seed);
  std::filesystem::create_directories(seed_folder);
  Soak soak(seed, size, seed_folder);
  std::vector<std::string> violations = soak.execute();
  fmt::print("seed {}: {} jobs, {} faults, {} broken\n",
             seed,
             soak.accepted_jobs(),
             soak.faults(),
             violations.size());
  for (const std::string& violation : violations)
    fmt::print("  {}\n", violation);
  std::fflush(stdout);
  if (violations.empty())
    std::filesystem::remove_all(seed_folder);
  return violations.empty();
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options(
    "soak", "Runs the entry and agent programs with random faults");
  options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>())(
    "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
    "minutes", "run new seeds for this many minutes", cxxopts::value<int>())(
    "entries",
    "number of entries",
    cxxopts::value<int>()->default_value(std::to_string(DEFAULT_ENTRIES)))(
    "servers",
    "number of agents, each with a backend server",
    cxxopts::value<int>()->default_value(std::to_string(DEFAULT_SERVERS)))(
    "mass-failures",
    "end many processes at once",
    cxxopts::value<bool>()->default_value("true"))(
    "evacuations",
    "evacuate zones",
    cxxopts::value<bool>()->default_value("false"))(
    "logs", "folder for the logs", cxxopts::value<std::string>());
  cxxopts::ParseResult parsed = options.parse(argc, argv);
  std::uint64_t seed = parsed.count("seed") > 0
                         ? parsed["seed"].as<std::uint64_t>()
                         : std::random_device{}();
  std::string folder =
    parsed.count("logs") > 0
      ? parsed["logs"].as<std::string>()
      : std::filesystem::temp_directory_path().string() + "/geraniumhinge-soak";
  int seeds = parsed["seeds"].as<int>();
  SoakSize size{ parsed["entries"].as<int>(),
                 parsed["servers"].as<int>(),
                 parsed["mass-failures"].as<bool>(),
                 parsed["evacuations"].as<bool>() };
  if (size.entries < 1 || size.servers < 1 ||
      size.entries + size.servers > MAX_PROCESSES) {
    fmt::print(
      stderr,
      "--entries and --servers must be at least 1, and at most {} together\n",
      MAX_PROCESSES);
    return 2;
  }
  std::int64_t until_ms =
    parsed.count("minutes") > 0
      ? kernel::boot_ms() + parsed["minutes"].as<int>() * 60'000LL
      : 0;
  int passed = 0;
  int failed = 0;
  for (int index = 0;
       until_ms > 0 ? kernel::boot_ms() < until_ms : index < seeds;
       ++index) {
    if (run_seed(seed + static_cast<std::uint64_t>(index), size, folder))
      ++passed;
    else
      ++failed;
  }
  fmt::print("{} passed, {} failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
