#define BOOST_TEST_MODULE first_wave
#include "core/crash.h"
#include "core/round.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace geraniumhinge::core;

// How many backend servers a step takes down if all its tasks crash them, and
// for how long. Simulates rounds of the owner in virtual time.

namespace {

constexpr int SERVERS = 11;
constexpr std::int64_t TASKS_PER_SERVER = 8;
constexpr std::int64_t ROUND_MS = 50;
/// From a crash until the owner knows of it, as on the deadly day.
constexpr std::int64_t REPORT_DELAY_MS = 400;
constexpr std::int64_t RECOVERY_MS = 3'400;
constexpr std::int64_t LIMIT_MS = 60'000;
/// Until a server has certainly survived its new runs (core/round_isolate).
constexpr std::int64_t WAVE_MS = EARLY_CRASH_MS + 700;

struct Crash
{
  std::int64_t crashed_ms = 0;
  ServerCrash crash;
};

struct Simulation
{
  Workflow workflow;
  std::vector<RoundWorkflow> workflows{ 1 };
  Pool pool;
  StepHistory history;
  std::vector<Crash> unreported;
  std::map<std::string, std::int64_t> back_ms; ///< Servers that are down.
  std::uint32_t early_limit;
  bool healthy = false; ///< No task crashes its server.
  /// Servers that the step may use more in each wave; 0 for no limit.
  std::int64_t wave_servers = 0;
  std::int64_t last_start_ms = 0;
  std::int64_t now_ms = 0;
  std::size_t crashes = 0;
  std::size_t most_down = 0;
  std::int64_t down_ms = 0; ///< Sum over the servers.

  Simulation(std::uint32_t tasks, std::uint32_t early_limit)
    : early_limit(early_limit)
  {
    this->workflow.id = "w";
    Step step;
    step.tasks = tasks;
    step.demand = { 1'000, 0, 1 };
    this->workflow.steps = { step };
    this->workflows.front().definition = &this->workflow;
    open_due_occurrences(
      this->workflow, this->workflows.front().progress, 0, 0);
    for (int index = 0; index < SERVERS; ++index) {
      PoolServer server;
      server.instance = { "s" + std::to_string(index), 1 };
      server.capacity = { 8'000, 1'000, TASKS_PER_SERVER };
      this->pool.servers[server.instance.id] = server;
    }
  }

  Progress& progress() { return this->workflows.front().progress; }

  bool given_up()
  {
    StepState& tasks = this->progress().open_occurrences[0][0];
    return this->progress().outcome == Outcome::Failed ||
           std::any_of(
             tasks.begin(), tasks.end(), [this](const TaskState& task) {
               return task.early_crashes >= this->early_limit;
             });
  }

  void apply_reports()
  {
    std::vector<Crash> reported;
    std::erase_if(this->unreported, [&](const Crash& item) {
      bool due = item.crashed_ms + REPORT_DELAY_MS <= this->now_ms;
      if (due)
        reported.push_back(item);
      return due;
    });
    for (const Crash& item : reported) {
      for (const BlamedRun& blamed : blamed_runs(item.crash))
        apply_crash(this->workflow,
                    this->progress(),
                    parse_task_name(blamed.run.task)->second,
                    blamed);
      for (const CrashedRun& run : item.crash.runs)
        apply_run_end(this->workflow,
                      this->progress(),
                      parse_task_name(run.task)->second,
                      run.attempt,
                      RunEndKind::Lost,
                      "",
                      1);
    }
  }

  void crash_servers()
  {
    if (this->healthy)
      return;
    std::map<std::string, ServerCrash> crashed;
    for_each_run(
      this->progress(), [&](const TaskRef& ref, const TaskState& task) {
        if (this->back_ms.contains(task.run->server.id))
          return;
        ServerCrash& crash = crashed[task.run->server.id];
        crash.instance = task.run->server;
        crash.runs.push_back(
          { task_name(this->workflow.id, ref), task.run->attempt, 10 });
      });
    for (const std::pair<const std::string, ServerCrash>& item : crashed) {
      this->unreported.push_back({ this->now_ms, item.second });
      this->back_ms[item.first] = this->now_ms + RECOVERY_MS;
      ++this->crashes;
    }
  }

  void run_round()
  {
    std::erase_if(
      this->back_ms,
      [this](const std::pair<const std::string, std::int64_t>& item) {
        return item.second <= this->now_ms;
      });
    this->apply_reports();
    for (std::pair<const std::string, PoolServer>& item : this->pool.servers) {
      item.second.accepts_work = !this->back_ms.contains(item.first);
      this->pool.free[item.first] = item.second.capacity;
    }
    allocate_runs(this->workflows, this->pool);
    if (this->wave_servers > 0)
      this->workflows.front().max_runs = static_cast<std::size_t>(
        this->wave_servers * TASKS_PER_SERVER * (1 + this->now_ms / WAVE_MS));
    if (!this->given_up() && !run_scheduling_round(this->workflows,
                                                   this->pool,
                                                   this->history,
                                                   RoundLimits{},
                                                   this->now_ms)
                                .placements.empty())
      this->last_start_ms = this->now_ms;
    this->crash_servers();
    this->most_down = std::max(this->most_down, this->back_ms.size());
    this->down_ms += ROUND_MS * static_cast<std::int64_t>(this->back_ms.size());
  }

  std::int64_t run()
  {
    std::int64_t given_up_ms = 0;
    while (this->now_ms < LIMIT_MS &&
           (!given_up_ms || !this->back_ms.empty())) {
      this->run_round();
      if (!given_up_ms && this->given_up())
        given_up_ms = this->now_ms;
      this->now_ms += ROUND_MS;
    }
    BOOST_TEST_MESSAGE(this->workflow.steps.front().tasks
                       << " tasks, given up after " << this->early_limit
                       << " crashes: " << this->crashes << " crashes, at most "
                       << this->most_down << " servers down, " << this->down_ms
                       << " server-ms, given up at " << given_up_ms << " ms");
    return given_up_ms;
  }

  /// Time from the first start to the last one of a step without crashes.
  std::int64_t run_healthy(std::int64_t servers_per_wave)
  {
    this->healthy = true;
    this->wave_servers = servers_per_wave;
    while (this->now_ms < LIMIT_MS) {
      this->run_round();
      this->now_ms += ROUND_MS;
    }
    BOOST_TEST_MESSAGE(this->workflow.steps.front().tasks
                       << " healthy tasks, " << servers_per_wave
                       << " servers in a wave (0: no limit): last start after "
                       << this->last_start_ms << " ms");
    return this->last_start_ms;
  }
};

} // namespace

// The first placement is not limited. Of the later attempts each may take down
// one server only.
BOOST_AUTO_TEST_CASE(each_attempt_of_a_crashing_step_takes_down_all_servers)
{
  for (std::uint32_t wave : { 1U, 4U, 11U }) {
    for (std::uint32_t attempts = 1; attempts <= MAX_EARLY_CRASHES;
         ++attempts) {
      Simulation simulation(wave * TASKS_PER_SERVER, attempts);
      std::int64_t given_up_ms = simulation.run();
      BOOST_TEST(given_up_ms > 0);
      BOOST_TEST(simulation.crashes == wave + attempts - 1);
      BOOST_TEST(simulation.most_down <= std::size_t{ wave + attempts - 1 });
    }
  }
}

// Why the first placement is not limited: each wave would delay all healthy
// steps by the time after which a server has certainly survived.
BOOST_AUTO_TEST_CASE(healthy_step_starts_in_waves)
{
  for (std::int64_t servers : { 1, 4, 11 }) {
    std::uint32_t tasks =
      static_cast<std::uint32_t>(servers * TASKS_PER_SERVER);
    BOOST_TEST(Simulation(tasks, MAX_EARLY_CRASHES).run_healthy(0) == 0);
    for (std::int64_t wave : { 1, 2, 4 }) {
      std::int64_t further_waves = (servers - 1) / wave;
      BOOST_TEST(Simulation(tasks, MAX_EARLY_CRASHES).run_healthy(wave) ==
                 further_waves * WAVE_MS);
    }
  }
}

// What such a limit would save, for comparison.
BOOST_AUTO_TEST_CASE(limited_first_placement_takes_down_all_servers)
{
  Simulation simulation(11 * TASKS_PER_SERVER, MAX_EARLY_CRASHES);
  simulation.wave_servers = 1;
  simulation.run();
  BOOST_TEST(simulation.crashes == MAX_EARLY_CRASHES);
}
