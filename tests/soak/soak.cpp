// Runs the real programs of the operators' platform as processes, with faults
// from outside, and checks what callers and backend servers see.
#include "gateway/http_client.h"
#include "tests/platform/row_store_standin.h"
#include "tests/platform/worker_standin.h"
#include "tests/soak/promises.h"
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
constexpr std::size_t SERVER_CAPACITY =
  8;                              ///< Tasks; each takes an accelerator.
constexpr int FAULT_MS = 12'000;  ///< Faults begin in this time.
constexpr int SETTLE_MS = 60'000; ///< Accepted jobs must end within this time.
constexpr int BEAT_MS = 300;
constexpr int SUBMIT_MS = 150;
constexpr int FAULT_PERIOD_MS = 700;
constexpr int MAX_OUTAGE_MS = 3'000;
constexpr int MAX_DELAY_MS = 400; ///< Of each piece of data, by a proxy.
constexpr int MAX_RUN_MS = 900;
constexpr int GANG_LOOK_MS = 50;
constexpr char TOKEN[] = "key";
constexpr char PREFIX[] = "/queue/";
/// Payload by which the stand-ins know tasks that end together.
constexpr char GANG[] = "gang"; ///< Followed by the number of tasks.
/// Only the first step of a job is a gang.
constexpr char FIRST_STEP[] = ".0.0.";

struct SoakSize
{
  int entries = DEFAULT_ENTRIES;
  int servers = DEFAULT_SERVERS;
};

class Soak
{
public:
  Soak(std::uint64_t seed, const SoakSize& size, std::string folder)
    : random(seed)
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

  /// Plays one seed; returns the broken promises.
  std::vector<std::string> play()
  {
    this->beat = this->timers.every(kernel::Milliseconds(BEAT_MS),
                                    [this] { this->announce_all(); });
    this->submit = this->timers.every(kernel::Milliseconds(SUBMIT_MS),
                                      [this] { this->submit_one(); });
    this->fault = this->timers.every(kernel::Milliseconds(FAULT_PERIOD_MS),
                                     [this] { this->inject(); });
    kernel::Subscription calm =
      this->timers.after(kernel::Milliseconds(FAULT_MS), [this] {
        this->submit.reset();
        this->fault.reset();
      });
    kernel::Subscription poll = this->timers.every(
      kernel::Milliseconds(BEAT_MS), [this] { this->ask_all(); });
    kernel::Subscription limit =
      this->timers.after(kernel::Milliseconds(FAULT_MS + SETTLE_MS), [this] {
        for (const std::string& job : this->promises.open())
          this->promises.broken.push_back("no outcome of " + job);
        this->loop.stop();
      });
    this->loop.run();
    this->promises.check_refused();
    return this->promises.broken;
  }

  std::size_t accepted() const { return this->promises.accepted.size(); }
  int faults() const { return this->injected; }

private:
  struct Program
  {
    std::vector<std::string> arguments;
    std::string log;
    std::unique_ptr<Process> process;
    kernel::Subscription resume;
  };

  struct Server
  {
    std::unique_ptr<WorkerStandin> worker;
    std::unique_ptr<Relay> relay;
    std::string registry;
    std::uint64_t sequence = 0;
    kernel::Subscription heal;
    std::vector<kernel::Subscription> ends;
  };

  static std::string configuration()
  {
    return R"({"version":1,"routes":[{"name":"q","host":"127.0.0.1",
      "path_prefix":"/queue/","service":"planner","attempts":50,
      "priority":1}],"tenants":[{"name":"t","api_keys":["key"]}]})";
  }

  int number(int first, int last)
  {
    return std::uniform_int_distribution<int>(first, last)(this->random);
  }

  void launch(const std::string& name,
              const std::string& program,
              const nlohmann::json& settings)
  {
    std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    Program made;
    made.arguments = { std::string(GERANIUMHINGE_BIN_DIR "/") + program,
                       "serve",
                       "--settings",
                       path };
    made.log = this->folder + "/" + name + ".log";
    made.process = std::make_unique<Process>(made.arguments, made.log);
    this->programs.push_back(std::move(made));
  }

  void add_entry(int index)
  {
    this->callers.push_back(free_address());
    launch(fmt::format("entry-{}", index),
           "geraniumhinge",
           { { "name", fmt::format("entry-{}", index) },
             { "zone", "z" },
             { "peer", { { "listen", free_address() } } },
             { "http", { { "listen", free_address() } } },
             { "platform",
               { { "caller_listen", this->callers.back() },
                 { "ready_listen", free_address() },
                 { "store_address", this->store_relay.address() },
                 { "max_lease_ms", 3'000 },
                 { "orphan_ms", 2'000 } } } });
  }

  void add_server(int index)
  {
    Server server;
    server.worker = std::make_unique<WorkerStandin>(this->loop, this->timers);
    server.relay = std::make_unique<Relay>(server.worker->address());
    server.registry = free_address();
    this->servers.push_back(std::move(server));
    Server& added = this->servers.back();
    added.worker->on_start = [this, index](const WorkerStandin::Run& run) {
      this->run_started(static_cast<std::size_t>(index), run);
    };
    added.worker->on_end = [this](const WorkerStandin::Run& run,
                                  const std::string& how) {
      this->run_ended(run, how);
    };
    added.worker->on_seen = [this](const WorkerStandin::End& end) {
      if (end.how == "done")
        this->promises.noted(end.run);
    };
    launch(fmt::format("agent-{}", index),
           "geraniumhinge-agent",
           { { "name", fmt::format("node-{}", index) },
             { "zone", "z" },
             { "peer", { { "listen", free_address() } } },
             { "http", { { "listen", free_address() } } },
             { "platform",
               { { "registry_listen", added.registry },
                 { "store_address", this->store_relay.address() },
                 { "max_lease_ms", 3'000 },
                 { "orphan_ms", 2'000 },
                 { "report_ms", 300 } } } });
  }

  void run_started(std::size_t index, const WorkerStandin::Run& run)
  {
    Server& server = this->servers[index];
    this->promises.started(run, server.worker->running.size(), SERVER_CAPACITY);
    bool fails = this->number(0, 99) < 4;
    server.ends.push_back(this->timers.after(
      kernel::Milliseconds(this->number(50, MAX_RUN_MS)),
      [this, &server, run, fails] { this->finish(server, run, fails); }));
  }

  /// A member that ends, however it does, ends its whole gang.
  void run_ended(const WorkerStandin::Run& run, const std::string& how)
  {
    this->promises.ended(run, how);
    if (how != "done")
      this->later.push_back(
        this->timers.after(kernel::Milliseconds(1),
                           [this, run] { this->end_gang(run, "broken"); }));
  }

  /// Whether all members run; the payload names how many there are.
  bool gang_present(const WorkerStandin::Run& run, const std::string& payload)
  {
    std::string step = run.first.substr(0, run.first.rfind('.') + 1);
    std::size_t present = 0;
    for (const Server& server : this->servers) {
      for (const std::pair<const WorkerStandin::Run, std::string>& item :
           server.worker->running)
        present += item.first.second == run.second &&
                       item.first.first.rfind(step, 0) == 0
                     ? 1
                     : 0;
    }
    return present == std::stoul(payload.substr(sizeof GANG - 1));
  }

  void end_gang(const WorkerStandin::Run& run, const std::string& how)
  {
    std::string step = run.first.substr(0, run.first.rfind('.') + 1);
    for (Server& server : this->servers) {
      std::map<WorkerStandin::Run, std::string> now = server.worker->running;
      for (const std::pair<const WorkerStandin::Run, std::string>& item : now) {
        bool member = item.second.starts_with(GANG) &&
                      item.first.second == run.second &&
                      item.first.first.rfind(step, 0) == 0;
        if (member)
          server.worker->finish(item.first, how);
      }
    }
  }

  /// The members of a gang end together.
  void finish(Server& server, const WorkerStandin::Run& run, bool fails)
  {
    std::map<WorkerStandin::Run, std::string>::iterator found =
      server.worker->running.find(run);
    if (found == server.worker->running.end())
      return;
    bool gang = found->second.starts_with(GANG) &&
                run.first.find(FIRST_STEP) != std::string::npos;
    if (gang && !this->gang_present(run, found->second)) {
      server.ends.push_back(this->timers.after(
        kernel::Milliseconds(GANG_LOOK_MS),
        [this, &server, run, fails] { this->finish(server, run, fails); }));
      return;
    }
    server.worker->finish(run, fails ? "failed" : "done");
    if (gang)
      this->end_gang(run, fails ? "broken" : "done");
  }

  void announce_all()
  {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      Server& server = this->servers[index];
      nlohmann::json body =
        server.worker->announcement("ready", ++server.sequence);
      body["address"] = server.relay->address();
      gateway::HttpCall call;
      call.url = fmt::format("http://{}/geraniumhinge/instances/i-{}/heartbeat",
                             server.registry,
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
    gateway::HttpCall call;
    call.method = method;
    std::size_t entry =
      static_cast<std::size_t>(this->number(0, this->size.entries - 1));
    call.url = "http://" + this->callers[entry] + PREFIX + job;
    call.headers = { { "Authorization", std::string("Bearer ") + TOKEN },
                     { "Deadline-Ms", "3000" } };
    call.body = body;
    call.timeout = kernel::Milliseconds(3'500);
    this->client.call(
      std::move(call),
      [done = std::move(done)](const gateway::HttpClient::Result& answer) {
        if (answer)
          done(answer->status, answer->body);
        else
          done(0, "");
      });
  }

  void submit_one()
  {
    std::string job = fmt::format("{:016x}", ++this->jobs);
    bool gang = this->number(0, 1) == 0;
    int tasks = this->number(1, 4);
    std::string body = fmt::format(
      R"({{"task_spec":"{}","phases":[{{"count":{},"cpu":100,"mem_mb":10,
          "gpu":1,"gang":{}}},{{"count":1,"cpu":100,"mem_mb":10,"gpu":1,
          "depends_on":[0]}}]}})",
      gang ? GANG + std::to_string(tasks) : "single",
      tasks,
      gang);
    bool cancel = this->number(0, 9) == 0;
    this->hand_in(job, body, cancel, 4);
  }

  void hand_in(const std::string& job,
               const std::string& body,
               bool cancel,
               int tries)
  {
    this->promises.submitting(job);
    this->request(
      "POST",
      job,
      body,
      [this, job, body, cancel, tries](int status, const std::string&) {
        this->promises.submitted(job, status);
        if (status != 200 && tries > 1)
          this->hand_in(job, body, cancel, tries - 1);
        else if (status == 200 && cancel)
          this->request(
            "DELETE", job, "", [this, job](int answer, const std::string&) {
              // Any answer may have had its effect.
              (void)answer;
              this->promises.cancelled(job);
            });
      });
  }

  void ask_all()
  {
    for (const std::string& job : this->promises.open())
      this->request(
        "GET", job, "", [this, job](int status, const std::string& body) {
          if (status == 410)
            this->promises.broken.push_back("410 for the accepted " + job);
          if (body.find("completed") != std::string::npos)
            this->promises.completed(job);
        });
    bool settled = !this->submit.active() && this->promises.open().empty();
    if (settled)
      this->loop.stop();
  }

  /// One fault; several overlap.
  void inject()
  {
    ++this->injected;
    kernel::Milliseconds length(this->number(200, MAX_OUTAGE_MS));
    std::size_t program = static_cast<std::size_t>(
      this->number(0, this->size.entries + this->size.servers - 1));
    Server& server = this->servers[static_cast<std::size_t>(
      this->number(0, this->size.servers - 1))];
    switch (this->number(0, 15)) {
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
        this->store_heal =
          this->timers.after(length, [this] { this->store.refusing = false; });
        return;
      case 4:
        this->store.lost_answers = this->number(1, 5);
        return;
      case 5:
        this->store.late_writes = this->number(1, 3);
        this->late =
          this->timers.after(length, [this] { this->store.release_late(); });
        return;
      case 6:
        this->store.compact();
        return;
      case 7:
        this->store_relay.silence_existing();
        return;
      case 8:
        server.relay->cut();
        this->heal_after(server, length);
        return;
      case 9:
        server.relay->cut_towards_target();
        this->heal_after(server, length);
        return;
      case 10:
        server.relay->delay(this->number(50, MAX_DELAY_MS));
        this->heal_after(server, length);
        return;
      case 11:
        server.relay->reset_existing();
        this->store_relay.reset_existing();
        return;
      case 12:
        this->store_relay.delay(this->number(20, MAX_DELAY_MS));
        this->store_path_heal =
          this->timers.after(length, [this] { this->store_relay.heal(); });
        return;
      case 13:
        this->store_relay.cut();
        this->store_path_heal =
          this->timers.after(length, [this] { this->store_relay.heal(); });
        return;
      case 14:
        // The server crashes and starts again under its identifier.
        server.worker->restart();
        return;
      default:
        server.worker->lost_starts = this->number(1, 3);
        server.worker->unheard_starts = this->number(0, 2);
        return;
    }
  }

  void heal_after(Server& server, kernel::Milliseconds length)
  {
    server.heal =
      this->timers.after(length, [&server] { server.relay->heal(); });
  }

  void restart(Program& program, int signal)
  {
    program.process->send(signal);
    program.resume = this->timers.after(
      kernel::Milliseconds(signal == SIGKILL ? 300 : 4'500), [&program] {
        program.process->kill();
        program.process =
          std::make_unique<Process>(program.arguments, program.log);
      });
  }

  void pause(Program& program, kernel::Milliseconds length)
  {
    program.process->freeze();
    program.resume =
      this->timers.after(length, [&program] { program.process->resume(); });
  }

  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  std::mt19937_64 random;
  SoakSize size;
  std::string folder;
  RowStoreStandin store;
  Relay store_relay;
  gateway::HttpClient client;
  Promises promises;
  std::vector<Program> programs;
  std::deque<Server> servers;
  std::vector<std::string> callers;
  std::uint64_t jobs = 0;
  int injected = 0;
  kernel::Subscription beat;
  kernel::Subscription submit;
  kernel::Subscription fault;
  std::vector<kernel::Subscription> later;
  kernel::Subscription store_heal;
  kernel::Subscription store_path_heal;
  kernel::Subscription late;
};

/// Plays a seed in a folder of its own; keeps its logs if a promise is broken.
bool
play_seed(std::uint64_t seed, const SoakSize& size, const std::string& folder)
{
  std::string own = fmt::format("{}/seed-{}", folder, seed);
  std::filesystem::create_directories(own);
  Soak soak(seed, size, own);
  std::vector<std::string> broken = soak.play();
  fmt::print("seed {}: {} jobs, {} faults, {} broken\n",
             seed,
             soak.accepted(),
             soak.faults(),
             broken.size());
  for (const std::string& promise : broken)
    fmt::print("  {}\n", promise);
  std::fflush(stdout);
  if (broken.empty())
    std::filesystem::remove_all(own);
  return broken.empty();
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options("soak", "Random faults on the real programs");
  options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>())(
    "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
    "minutes", "play new seeds for so long", cxxopts::value<int>())(
    "entries",
    "entries to run",
    cxxopts::value<int>()->default_value(std::to_string(DEFAULT_ENTRIES)))(
    "servers",
    "agents to run, each with a backend server",
    cxxopts::value<int>()->default_value(std::to_string(DEFAULT_SERVERS)))(
    "logs", "folder of the logs", cxxopts::value<std::string>());
  cxxopts::ParseResult parsed = options.parse(argc, argv);
  std::uint64_t seed = parsed.count("seed") > 0
                         ? parsed["seed"].as<std::uint64_t>()
                         : std::random_device{}();
  std::string folder =
    parsed.count("logs") > 0
      ? parsed["logs"].as<std::string>()
      : std::filesystem::temp_directory_path().string() + "/geraniumhinge-soak";
  int seeds = parsed["seeds"].as<int>();
  SoakSize size{ parsed["entries"].as<int>(), parsed["servers"].as<int>() };
  if (size.entries < 1 || size.servers < 1 ||
      size.entries + size.servers > MAX_PROCESSES) {
    fmt::print(stderr, "at least one of each, at most {}\n", MAX_PROCESSES);
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
    if (play_seed(seed + static_cast<std::uint64_t>(index), size, folder))
      ++passed;
    else
      ++failed;
  }
  fmt::print("{} passed, {} failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
