#pragma once

#include "gateway/http_client.h"
#include "kernel/loop.h"
#include "kernel/timer.h"
#include "tests/platform/row_store_standin.h"
#include "tests/platform/server_standin.h"
#include "tests/support/process.h"
#include "tests/support/relay.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace geraniumhinge::review {

/// What a case found; the exit code of its program.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

struct ClusterOptions
{
  std::string programs; ///< Folder of the two programs.
  std::string folder;   ///< For settings and logs.
  std::string record;   ///< File that gets what was sent, answered and run.
  std::size_t entries = 3;
  std::size_t servers = 2;
  std::uint32_t attempts = 4; ///< Of the queue, in the configuration.
};

/// A small deployment on loopback: the two programs as processes, and stand-ins
/// for the store, the backend servers and the callers in this process.
class Cluster
{
private:
  // Everything else is destroyed before the loop.
  kernel::Loop loop;
  kernel::TimerService timers;

public:
  using Run = tests::ServerStandin::Run;
  using Json = nlohmann::json;
  using Response = std::function<void(int, const std::string&)>;

  struct Server
  {
    std::string id;
    std::unique_ptr<tests::ServerStandin> standin;
    std::string registry_address;
    std::uint64_t sequence = 0;
    bool announces = true;
    std::unique_ptr<tests::Process> agent;
    std::int64_t agent_started_ms = 0;
  };

  explicit Cluster(const ClusterOptions& options);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Runs the loop until `finish` or the limit, and returns the verdict.
  Verdict run(kernel::Milliseconds limit);
  void finish(Verdict verdict, const std::string& reason);

  /// Writes a line with the time since the start to the record.
  void note(const std::string& text);

  /// Sends a call of a caller to an entry; an empty identifier asks for the
  /// queue. The status is 0 if there was no response.
  void call(std::size_t entry,
            const std::string& method,
            const std::string& id,
            const std::string& body,
            const Response& done);

  /// Submits a job, again at the next entry until one accepts it.
  void submit(std::size_t entry,
              const std::string& id,
              const Json& body,
              const std::function<void()>& accepted);

  /// Announces a backend server at once, as a new instance does.
  void announce(Server& server);

  /// Ends a run as done, with a checkpoint in the list of ends.
  void end_with_checkpoint(std::size_t server,
                           const Run& run,
                           const std::string& checkpoint);

  /// Cuts an entry off from the store, silently, or heals the cut.
  void cut_from_store(std::size_t entry);
  void heal(std::size_t entry);
  void freeze_entry(std::size_t entry);
  void resume_entry(std::size_t entry);

  /// Calls the function after a delay.
  void after(std::int64_t delay_ms, std::function<void()> action);
  /// Calls the function again and again.
  void every(std::int64_t period_ms, std::function<void()> action);

  /// Whether any program ended by itself.
  bool program_ended();

  std::vector<Server> servers;
  /// Called when a run begins or ends on a server, with the server's index.
  std::function<void(std::size_t, const Run&)> on_start = [](std::size_t,
                                                             const Run&) {};
  std::function<void(std::size_t, const Run&, const std::string&)> on_end =
    [](std::size_t, const Run&, const std::string&) {};
  std::function<void(std::size_t, const tests::ServerStandin::End&)>
    on_end_acknowledged = [](std::size_t, const tests::ServerStandin::End&) {};

private:
  std::unique_ptr<tests::Process> start_program(const std::string& name,
                                                const std::string& program,
                                                const Json& settings);
  void add_entry(std::size_t index);
  void add_server(std::size_t index);

  tests::RowStoreStandin store;
  gateway::HttpClient client;
  ClusterOptions options;
  std::ofstream record;
  std::int64_t begin_ms;
  std::vector<std::string> caller_addresses;
  std::vector<std::unique_ptr<tests::Relay>> store_links; ///< By entry.
  std::vector<std::unique_ptr<tests::Process>> entries;
  std::vector<kernel::Subscription> subscriptions;
  Verdict verdict = Verdict::CouldNotRun;
};

/// Runs a case with the folders given as arguments: programs, temporary folder,
/// record. `prepare` sets the case up; `trouble` is false with TROUBLE=0.
int
run_case(int argc,
         char** argv,
         ClusterOptions options,
         kernel::Milliseconds limit,
         const std::function<void(Cluster&, bool trouble)>& prepare);

} // namespace geraniumhinge::review
