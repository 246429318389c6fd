#pragma once

#include "gateway/http_client.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"
#include "tests/platform/server_standin.h"
#include "tests/soak/invariants.h"
#include "tests/support/ports.h"
#include "tests/support/process.h"

#include "geraniumhinge/v1/state.pb.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Runs the entry and agent programs for the operators' platform as processes,
// against stand-ins of the store and of the backend servers in this process.

namespace geraniumhinge::tests {

/// Processes with the lease (3 s) and the orphan timeout (4 s) of the default
/// settings. Each backend server has 8 accelerators.
struct ProcessFixture : LoopFixture
{
  static constexpr std::size_t ENTRIES = 3;
  static constexpr std::size_t SERVERS = 4;
  static constexpr std::size_t SERVER_CAPACITY = 8;
  static constexpr int HEARTBEAT_PERIOD_MS = 200;
  static constexpr int REPORT_PERIOD_MS = 500;
  static constexpr kernel::Milliseconds STATE_POLL_PERIOD{ 50 };
  /// Runs without progress would be started on other servers.
  static constexpr std::int64_t MS_PER_PERCENT = 1'000;
  static constexpr std::int64_t MAX_PERCENT = 99;
  /// Longest wait for a condition; no test depends on how long it took.
  static constexpr kernel::Milliseconds LONG_BOUND{ 60'000 };
  static constexpr char KEY[] = "key";
  static constexpr char QUEUE_PREFIX[] = "/queue/";
  static constexpr char WARM_UP_JOB[] = "00000000000000f0";

  struct Program
  {
    std::vector<std::string> arguments;
    std::string log;
    std::string peer_address;
    std::unique_ptr<Process> process;
  };

  using Programs = std::vector<Program*>;
  using ResponseCallback = std::function<void(int, const std::string&)>;

  RowStoreStandin store{ loop, timers };
  gateway::HttpClient client{ loop, timers, 32 };
  InvariantChecker invariants;
  std::deque<Program> entries;
  std::deque<Program> agents;
  std::vector<std::string> caller_addresses;
  std::vector<std::string> registry_addresses;
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::vector<std::uint64_t> sequences;
  std::set<std::size_t> unannounced_servers; ///< They send no announcements.
  std::map<std::string, int> begun_runs;     ///< By task.
  std::function<void(const ServerStandin::Run&)> on_start =
    [](const ServerStandin::Run&) {};
  kernel::Subscription heartbeats;
  std::int64_t begin_ms = kernel::boot_ms();
  int settle_ms; ///< Setting of the entries.
  std::string folder;

  explicit ProcessFixture(int settle_ms = 0)
    : settle_ms(settle_ms)
  {
    this->folder = fmt::format("{}/geraniumhinge-restart-{:016x}",
                               std::filesystem::temp_directory_path().string(),
                               kernel::random_id());
    std::filesystem::create_directories(this->folder);
    this->store.put({ "op", "", "config" }, configuration());
    for (std::size_t index = 0; index < ENTRIES; ++index)
      this->add_entry(index);
    for (std::size_t index = 0; index < SERVERS; ++index)
      this->add_server(index);
    this->heartbeats =
      this->timers.every(kernel::Milliseconds(HEARTBEAT_PERIOD_MS),
                         [this] { this->announce_all(); });
    this->run_warm_up_job();
  }

  ~ProcessFixture()
  {
    this->entries.clear();
    this->agents.clear();
    if (std::getenv("GERANIUMHINGE_KEEP") == nullptr)
      std::filesystem::remove_all(this->folder);
  }

  ProcessFixture(const ProcessFixture&) = delete;
  ProcessFixture& operator=(const ProcessFixture&) = delete;

  static std::string configuration(int version = 1,
                                   const std::string& key = KEY)
  {
    return fmt::format(
      R"({{"version":{},"routes":[{{"name":"q","host":"127.0.0.1",
          "path_prefix":"/queue/","service":"planner","attempts":50,
          "priority":1}},{{"name":"u","host":"127.0.0.1",
          "path_prefix":"/urgent/","service":"planner","attempts":50,
          "priority":0}}],"tenants":[{{"name":"t","api_keys":["{}"],
          "guaranteed":{{"gpu":32}}}}]}})",
      version,
      key);
  }

  /// A job of one step.
  static std::string job_body(std::size_t tasks, int accelerators, bool gang)
  {
    return fmt::format(
      R"({{"task_spec":"text","phases":[{{"count":{},"cpu":100,"mem_mb":10,
          "gpu":{},"gang":{}}}]}})",
      tasks,
      accelerators,
      gang);
  }

  static std::string job_name(std::size_t number)
  {
    return fmt::format("{:016x}", number);
  }

  void add_program(std::deque<Program>& programs,
                   const std::string& name,
                   const std::string& program,
                   const nlohmann::json& settings)
  {
    std::string path = fmt::format("{}/{}.json", this->folder, name);
    std::ofstream(path) << settings.dump(2);
    Program added;
    added.arguments = { std::string(GERANIUMHINGE_BIN_DIR "/") + program,
                        "serve",
                        "--settings",
                        path };
    added.peer_address = settings["peer"]["listen"].get<std::string>();
    added.log = fmt::format("{}/{}.log", this->folder, name);
    programs.push_back(std::move(added));
    start({ &programs.back() });
  }

  void add_entry(std::size_t index)
  {
    std::string name = fmt::format("entry-{}", index);
    this->caller_addresses.push_back(free_address());
    this->add_program(this->entries,
                      name,
                      "geraniumhinge",
                      { { "name", name },
                        { "zone", "z" },
                        { "peer", { { "listen", free_address() } } },
                        { "http", { { "listen", free_address() } } },
                        { "platform",
                          { { "caller_listen", this->caller_addresses.back() },
                            { "ready_listen", free_address() },
                            { "store_address", this->store.address() },
                            { "settle_ms", this->settle_ms } } } });
  }

  void add_server(std::size_t index)
  {
    this->servers.push_back(
      std::make_unique<ServerStandin>(this->loop, this->timers));
    this->sequences.push_back(0);
    this->registry_addresses.push_back(free_address());
    ServerStandin& server = *this->servers.back();
    server.on_start = [this, &server](const ServerStandin::Run& run) {
      ++this->begun_runs[run.first];
      this->invariants.record_start(
        run, server.running.size(), SERVER_CAPACITY);
      this->on_start(run);
    };
    server.on_end = [this](const ServerStandin::Run& run,
                           const std::string& end_kind) {
      this->invariants.record_end(run, end_kind);
    };
    server.on_end_acknowledged = [this](const ServerStandin::End& end) {
      if (end.end_kind == "done")
        this->invariants.record_acknowledged_end(end.run);
    };
    std::string name = fmt::format("node-{}", index);
    this->add_program(
      this->agents,
      name,
      "geraniumhinge-agent",
      { { "name", name },
        { "zone", "z" },
        { "peer", { { "listen", free_address() } } },
        { "http", { { "listen", free_address() } } },
        { "platform",
          { { "registry_listen", this->registry_addresses.back() },
            { "store_address", this->store.address() },
            { "heartbeat_ms", HEARTBEAT_PERIOD_MS },
            { "report_ms", REPORT_PERIOD_MS } } } });
  }

  /// Afterwards the owner knows all servers and nothing is to be stored.
  void run_warm_up_job()
  {
    this->accept(WARM_UP_JOB, job_body(SERVERS, SERVER_CAPACITY, true));
    this->wait([this] { return this->running() == SERVERS; });
    this->finish_all();
    this->wait_state(WARM_UP_JOB, "completed");
    this->wait([this] { return this->all_ends_acknowledged(); });
  }

  void announce_all()
  {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      this->servers[index]->percent = static_cast<int>(std::min(
        (kernel::boot_ms() - this->begin_ms) / MS_PER_PERCENT, MAX_PERCENT));
      if (!this->unannounced_servers.contains(index))
        this->announce(index, this->announcement(index), [](bool) {});
    }
  }

  std::string announcement(std::size_t index)
  {
    return this->servers[index]
      ->announcement("ready", ++this->sequences[index])
      .dump();
  }

  void announce(std::size_t index,
                const std::string& body,
                std::function<void(bool)> done)
  {
    this->call_agent(index, "heartbeat", body, std::move(done));
  }

  void announce_departure(std::size_t index, std::function<void(bool)> done)
  {
    this->call_agent(index, "deregister", "{}", std::move(done));
  }

  void call_agent(std::size_t index,
                  const std::string& action,
                  const std::string& body,
                  std::function<void(bool)> done)
  {
    gateway::HttpClientRequest call;
    call.url = fmt::format("http://{}/geraniumhinge/instances/i-{}/{}",
                           this->registry_addresses[index],
                           index,
                           action);
    call.body = body;
    call.timeout = kernel::Milliseconds(1'000);
    this->client.call(
      std::move(call),
      [done = std::move(done)](const gateway::HttpClient::Result& response) {
        done(response && response->status == 200);
      });
  }

  void wait(const std::function<bool()>& condition)
  {
    this->run_until(condition, LONG_BOUND);
  }

  // Processes.

  static Programs all_of(std::deque<Program>& programs)
  {
    Programs all;
    for (Program& program : programs)
      all.push_back(&program);
    return all;
  }

  Programs all_entries() { return all_of(this->entries); }
  Programs all_agents() { return all_of(this->agents); }

  Programs all_programs()
  {
    Programs all = this->all_entries();
    for (Program& program : this->agents)
      all.push_back(&program);
    return all;
  }

  static void send(const Programs& programs, int signal)
  {
    for (Program* program : programs)
      program->process->send(signal);
  }

  /// Sends SIGKILL to all of them before it waits for the end of the first.
  static void kill(const Programs& programs)
  {
    send(programs, SIGKILL);
    for (Program* program : programs)
      program->process->kill();
  }

  static void start(const Programs& programs)
  {
    for (Program* program : programs)
      program->process =
        std::make_unique<Process>(program->arguments, program->log);
  }

  /// Index of the entry that the owner row names.
  std::size_t owner() const
  {
    v1::OwnerRow row;
    row.ParseFromString(this->store.value_of({ "owner", "main", "owner" }));
    return std::stoul(row.entry().substr(std::string("entry-").size()));
  }

  // Calls of callers.

  void request(std::size_t entry,
               const std::string& method,
               const std::string& path,
               const std::string& body,
               ResponseCallback done)
  {
    gateway::HttpClientRequest call;
    call.method = method;
    call.url = "http://" + this->caller_addresses[entry] + path;
    call.headers = { { "Authorization", std::string("Bearer ") + KEY },
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

  void submit(std::size_t entry,
              const std::string& job,
              const std::string& body,
              std::function<void(int)> done,
              const std::string& prefix = QUEUE_PREFIX)
  {
    this->invariants.record_submission(job);
    this->request(
      entry,
      "POST",
      prefix + job,
      body,
      [this, job, done = std::move(done)](int status, const std::string&) {
        this->invariants.record_submit_response(job, status);
        done(status);
      });
  }

  /// Sends a call to one entry after the other until one response is accepted.
  void call_until(const std::string& method,
                  const std::string& path,
                  const std::string& body,
                  const std::function<bool(int, const std::string&)>& accepted)
  {
    bool done = false;
    std::size_t entry = 0;
    std::function<void()> send_call = [&] {
      this->request(entry++ % ENTRIES,
                    method,
                    path,
                    body,
                    [&](int status, const std::string& response) {
                      done = accepted(status, response);
                      if (!done)
                        this->poll_timer =
                          this->timers.after(STATE_POLL_PERIOD, send_call);
                    });
    };
    send_call();
    this->wait([&done] { return done; });
  }

  /// Submits a job again and again until it is accepted, as callers do.
  void accept(const std::string& job,
              const std::string& body,
              const std::string& prefix = QUEUE_PREFIX)
  {
    this->invariants.record_submission(job);
    this->call_until(
      "POST", prefix + job, body, [this, &job](int status, const std::string&) {
        this->invariants.record_submit_response(job, status);
        return status == 200;
      });
  }

  void cancel(const std::string& job)
  {
    this->call_until(
      "DELETE", QUEUE_PREFIX + job, "", [](int status, const std::string&) {
        return status == 200;
      });
    this->invariants.record_cancellation(job);
  }

  /// Waits until a caller sees the job in this state. An acknowledged job must
  /// never be unknown.
  void wait_state(const std::string& job,
                  const std::string& expected,
                  const std::string& prefix = QUEUE_PREFIX)
  {
    std::string expected_body = "{\"state\":\"" + expected + "\"}";
    this->call_until(
      "GET", prefix + job, "", [&](int status, const std::string& body) {
        BOOST_TEST(status != 410, "job " << job << " is unknown");
        return body == expected_body;
      });
    if (expected == "completed")
      this->invariants.record_completion(job);
  }

  // Runs.

  std::size_t running() const
  {
    std::size_t count = 0;
    for (const std::unique_ptr<ServerStandin>& server : this->servers)
      count += server->running.size();
    return count;
  }

  std::size_t running(const std::string& job) const
  {
    std::size_t count = 0;
    for (const std::unique_ptr<ServerStandin>& server : this->servers) {
      for (const std::pair<const ServerStandin::Run, std::string>& item :
           server->running)
        count += item.first.first.starts_with(job) ? 1 : 0;
    }
    return count;
  }

  void finish_job(const std::string& job)
  {
    for (const std::unique_ptr<ServerStandin>& server : this->servers) {
      std::map<ServerStandin::Run, std::string> now = server->running;
      for (const std::pair<const ServerStandin::Run, std::string>& item : now) {
        if (item.first.first.starts_with(job))
          server->finish(item.first, "done");
      }
    }
  }

  void finish_all() { this->finish_job(""); }

  bool all_ends_acknowledged() const
  {
    for (const std::unique_ptr<ServerStandin>& server : this->servers) {
      if (!server->ended.empty())
        return false;
    }
    return true;
  }

  /// How often tasks of the job began to run.
  int begun(const std::string& job) const
  {
    int count = 0;
    for (const std::pair<const std::string, int>& item : this->begun_runs)
      count += item.first.starts_with(job) ? item.second : 0;
    return count;
  }

  /// Checks that no task ran twice at the same time or after its acknowledged
  /// end, and that nothing ran that was not submitted or was refused.
  void check_invariants()
  {
    this->invariants.check_refused_jobs();
    for (const std::string& violation : this->invariants.violations)
      BOOST_ERROR(violation);
  }

  kernel::Subscription poll_timer;
};

} // namespace geraniumhinge::tests
