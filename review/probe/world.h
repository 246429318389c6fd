#pragma once

#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "kernel/loop.h"
#include "kernel/timer.h"
#include "review/probe/store_front.h"
#include "review/probe/worker.h"
#include "tests/platform/row_store_standin.h"
#include "tests/support/process.h"

#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::review {

inline constexpr char HOST[] = "127.0.0.1";
inline constexpr char QUEUE[] = "/lohu930/";
inline constexpr char TOKEN[] = "d4a3hwrr6x73d3zji9n7";

/// Ends of a review program.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

struct Reply
{
  int status = 0; ///< 0 without a complete response.
  std::string body;
};

/// How a run ends after it has worked for some time.
struct WorkPlan
{
  std::int64_t work_ms = 0;
  std::string end = "done";
};

/// The times of a queue's `recommendation`.
struct AdviceTimes
{
  int decide_ms = 0;
  int per_worker_ms = 0;
};

/// An event that a worker saw.
struct Sighting
{
  std::int64_t at_ms = 0; ///< Since the start of the program.
  std::size_t worker = 0;
  std::string event;
  Run run;
};

/// A small deployment: the project's programs as processes, and stand-ins for
/// the store, the workers and the advice service in this process.
class World
{
public:
  World(std::string programs, std::string folder, const std::string& record);
  ~World();

  /// Writes the operators' configuration.
  void configure(std::uint64_t version, const nlohmann::json& routes);
  static nlohmann::json route(const std::string& prefix, int attempts);

  void add_entry();
  void add_worker(const std::string& ticket_spec = "",
                  const std::string& kind = "a");
  /// Waits until the entries serve callers and the workers are known.
  bool wait_ready();

  /// Runs the loop until the condition holds; false after the limit.
  bool wait(int limit_ms, const std::function<bool()>& condition);
  void pause(int length_ms);
  kernel::Subscription after(int delay_ms, std::function<void()> action);
  Reply call(const std::string& method,
             const std::string& path,
             const std::string& body = "",
             std::size_t entry = 0);
  /// The same without waiting for the response, which is not recorded.
  void call_beside(const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   std::size_t entry);
  /// The state that a GET of the job returns.
  std::string state(const std::string& id, std::size_t entry = 0);

  /// Ends a run as failed by its task's own fault.
  void fail(std::size_t worker, const Run& run);
  /// The worker on which the attempt of the task runs.
  std::optional<std::size_t> worker_of(const Run& run) const;

  std::int64_t now_ms() const;
  void note(const std::string& line);
  std::size_t count(const std::string& event, const std::string& task) const;
  tests::Process& agent(std::size_t index) { return *this->agents[index]; }
  StoreFront& store_front() { return this->front; }
  tests::Process& entry(std::size_t index) { return *this->entries[index]; }
  /// The entry whose log shows the latest term; none if no log shows one.
  std::optional<std::size_t> owner() const;

  std::deque<std::unique_ptr<Worker>> workers;
  std::vector<Sighting> sightings;
  /// How a run ends; called at its start.
  std::function<WorkPlan(const Run&, const std::string& spec)> plan;
  /// Members of the gang with this task_spec, 0 for other jobs.
  std::function<std::size_t(const std::string& spec)> gang_size =
    [](const std::string&) { return std::size_t{ 0 }; };
  int advice_calls = 0;
  /// Of the advice service; all 0 for answers at once.
  AdviceTimes advice_times;
  std::int64_t ticket_validity_ms = 20'000;

private:
  gateway::HttpClientRequest make_call(const std::string& method,
                                       const std::string& path,
                                       const std::string& body,
                                       std::size_t entry) const;
  void start_program(const std::string& name,
                     const std::string& program,
                     const nlohmann::json& settings,
                     std::vector<std::unique_ptr<tests::Process>>& group);
  void advise(const gateway::HttpRequest& request,
              const gateway::HttpServer::ResponseCallback& respond);
  void advise_next();
  void see(std::size_t worker, const std::string& event, const Run& run);
  void work();
  void work_on(Worker& worker);
  void advance_gang(const Run& run, const std::string& spec);
  void break_gang(const Run& run);

  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  std::string programs;
  std::string folder;
  std::ofstream record;
  std::int64_t begin_ms = kernel::boot_ms();
  tests::RowStoreStandin store{ loop, timers };
  StoreFront front{ loop, timers, store.address() };
  gateway::HttpClient client{ loop, timers, 16 };
  gateway::HttpServer advice_server;
  std::vector<std::unique_ptr<tests::Process>> entries;
  std::vector<std::unique_ptr<tests::Process>> agents;
  std::vector<std::string> caller_addresses;
  std::vector<std::string> ready_addresses;
  struct AdviceCall
  {
    nlohmann::json workers;
    gateway::HttpServer::ResponseCallback respond;
  };

  std::map<Run, WorkPlan> plans;
  std::deque<AdviceCall> advice_queue; ///< The first one is being decided.
  kernel::Subscription advice_timer;
  kernel::Subscription work_timer;
};

/// A job of one step.
std::string
submission(const std::string& spec, int tasks, int accelerators, bool gang);

} // namespace geraniumhinge::review
