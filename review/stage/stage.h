#pragma once

#include "gateway/http_client.h"
#include "kernel/loop.h"
#include "kernel/timer.h"
#include "review/stage/failing_front.h"
#include "tests/platform/row_store_standin.h"
#include "tests/platform/server_standin.h"
#include "tests/support/process.h"

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace geraniumhinge::review {

/// Exit codes of a case.
inline constexpr int RULE_HELD = 0;
inline constexpr int RULE_BROKEN = 1;
inline constexpr int NOT_RUN = 2;

/// Path prefixes of the queues, by priority.
inline constexpr char URGENT[] = "/urgent/";
inline constexpr char TRIAL[] = "/trial/";
inline constexpr char BATCH[] = "/batch/";

/// Bounds of the small deployment rota-sabores.
inline constexpr int VISIBLE_MS = 3'000;
inline constexpr int FINISH_MS = 14'000;

/// A backend server and the agent beside it.
struct Worker
{
  std::string id;
  std::string agent;
  std::unique_ptr<tests::ServerStandin> standin;
  std::unique_ptr<FailingFront> front; ///< Null if agents call it directly.
  std::string registry_address;
  std::uint64_t sequence = 0;
  bool is_up = true;
  /// Ends of the runs that are at work.
  std::map<tests::ServerStandin::Run, kernel::Subscription> ends;
};

/// A run as the backend servers saw it.
struct SeenRun
{
  std::string task;
  std::uint32_t attempt = 0;
  std::string worker;
  std::int64_t started_ms = 0;
  int work_ms = 0;           ///< Time that it takes if nothing ends it.
  std::int64_t ended_ms = 0; ///< 0 while it runs.
  std::string end_kind;
  std::int64_t noted_ms = 0; ///< When `last_seen` reached the end, 0 if not.
  bool lease_lapsed = false; ///< Between the end and the above.
};

/// What a caller got as the response; status 0 if there was none.
struct Reply
{
  int status = 0;
  std::string body;
};

/// Runs the programs as processes, with stand-ins of the store, the backend
/// servers and the callers on one event loop, and writes the record of a case.
class Stage
{
public:
  /// Arguments: folder of the programs, folder for the record.
  Stage(int argc, char** argv);
  ~Stage();
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  bool has_trouble() const { return this->trouble; }
  std::int64_t now_ms() const;
  /// The worker with this identifier.
  Worker& worker(const std::string& id);

  /// Adds entries and workers as in a small deployment, three workers a rack.
  void add_deployment(int entry_count, int worker_count);
  /// Places a front before the worker. To be called before the traffic.
  void add_front(Worker& worker);
  void start_process(const std::string& name);
  /// Boot time of the last start of the process.
  std::int64_t process_started_ms(const std::string& name) const;
  tests::Process& process(const std::string& name);

  /// Writes a line into the record.
  void record(const std::string& line);
  /// Calls `action` once, so long after the start of the traffic.
  void at(int ms, std::function<void()> action);
  void after(int ms, std::function<void()> action);
  void every(int ms, std::function<void()> action);

  /// Sends a call to an entry, and records it with its response.
  void call(const std::string& method,
            const std::string& path,
            const std::string& body,
            std::function<void(const Reply&)> done,
            std::size_t entry = 0);

  /// A sound backend server that no agent of this deployment belongs to.
  std::unique_ptr<tests::ServerStandin> make_foreign_worker();
  /// Sends the agent of the worker a heartbeat of another writer.
  void send_foreign_heartbeat(const Worker& worker,
                              const std::string& id,
                              const nlohmann::json& body);

  /// Ends the backend server with all runs, without a word. It is back, as a
  /// new instance at the same address, after `down_ms`.
  void crash(Worker& worker, int down_ms);

  /// Waits until the entry is ready and the agents have reported, then runs the
  /// scheduled actions until `finish` is called. Returns the exit code.
  int run(int limit_ms);
  void finish(int exit_code, const std::string& verdict);

  std::deque<Worker> workers;
  std::vector<SeenRun> runs;
  /// Called after each heartbeat of a worker.
  std::function<void(const Worker&)> on_heartbeat = [](const Worker&) {};
  /// Time that a run takes; by default what its payload says, in ms.
  std::function<int(const Worker&, const tests::ServerStandin::Run&)> work_ms;
  /// How a run ends after that time.
  std::function<std::string(const Worker&, const tests::ServerStandin::Run&)>
    end_kind;
  /// Called when a run has ended.
  std::function<void(const SeenRun&)> on_end = [](const SeenRun&) {};

private:
  void add_entry();
  Worker& add_worker(const std::string& rack);
  void announce(Worker& worker);
  void send_heartbeat(const Worker& worker,
                      const std::string& id,
                      const nlohmann::json& body);
  void handle_start(Worker& worker, const tests::ServerStandin::Run& run);
  void handle_noted(const Worker& worker, const tests::ServerStandin::End& end);
  void update_progress();
  void check_leases();
  void handle_end(Worker& worker,
                  const tests::ServerStandin::Run& run,
                  const std::string& end_kind);
  void poll_ready(int polls_left);
  void start_process(const std::string& name,
                     const std::string& program,
                     const nlohmann::json& settings);

  struct Program
  {
    std::vector<std::string> arguments;
    std::unique_ptr<tests::Process> process;
    std::int64_t started_ms = 0;
  };

  bool trouble = true;
  std::string programs_folder;
  std::string folder; ///< Temporary, for settings and logs.
  std::ofstream record_file;
  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  tests::RowStoreStandin store{ loop, timers };
  gateway::HttpClient client{ loop, timers, 32 };
  std::map<std::string, Program> programs;
  std::vector<std::string> caller_addresses;
  std::vector<std::string> ready_addresses;
  std::vector<std::pair<int, std::function<void()>>> scheduled;
  std::vector<kernel::Subscription> subscriptions;
  std::int64_t begin_ms = 0;
  int exit_code = NOT_RUN;
};

} // namespace geraniumhinge::review
