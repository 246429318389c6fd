#define BOOST_TEST_MODULE preempt_day
#include "tests/core/busy_day.h"

#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

// Load: customer A of docs/hard-load.md with bursts of 2.3 times the rate of
// priority 0 and twice that of priority 2, 34 s of arrivals.

namespace {

constexpr std::uint64_t DAYS = 8;

struct DaySums
{
  double share = 0; ///< Of the worth of all jobs that callers got.
  double discarded_core_s = 0;
  int stopped = 0;
  int runs = 0;
  std::int64_t guaranteed_wait_ms = 0;
};

DaySums
play_days(DayConfig config, const std::vector<int>& fleets)
{
  DaySums sums;
  std::vector<JobResult> results;
  for (std::uint64_t index = 0; index < DAYS * fleets.size(); ++index) {
    config.seed = 1 + index % DAYS;
    config.servers = fleets[index / DAYS];
    BusyDay day(config);
    day.run();
    results.insert(results.end(), day.results.begin(), day.results.end());
    sums.discarded_core_s += day.discarded_core_s;
    sums.stopped += day.stopped;
    sums.runs += day.runs;
    sums.guaranteed_wait_ms =
      std::max(sums.guaranteed_wait_ms, day.guaranteed_wait_ms);
  }
  sums.share = share_of_all(results);
  BOOST_TEST_MESSAGE("weighed " << config.limits.weigh_stops << ": callers got "
                                << sums.share << ", " << sums.stopped << " of "
                                << sums.runs << " runs stopped, "
                                << sums.discarded_core_s
                                << " core seconds discarded");
  return sums;
}

/// A server full of two tasks of priority 1, for which an urgent task waits.
struct FullServer
{
  RoundWorkflows workflows;
  StepHistory history;
  RoundLimits limits;
  Pool pool = make_pool(1, 1);

  FullServer()
  {
    this->limits.weigh_stops = true;
    this->limits.stop_ms = 900;
    this->limits.checkpoint_ms = 2'000;
    for (const char* id : { "first", "second" }) {
      Step step = make_step(1, { 1'000, 1'024, 4 });
      step.estimate_ms = 10'000;
      step.checkpoints = true;
      this->workflows.add(id, "y", 1, step);
    }
    this->run(NOW_MS);
  }

  RoundResult run(std::int64_t now_ms)
  {
    Pool free = this->pool;
    allocate_runs(this->workflows.entries, free);
    return run_scheduling_round(
      this->workflows.entries, free, this->history, this->limits, now_ms);
  }

  /// Adds an urgent step that meets its objective if it starts in `slack_ms`.
  void add_urgent(std::int64_t now_ms, std::int64_t slack_ms)
  {
    Step step = make_step(1, { 8'000, 1'024, 4 });
    step.estimate_ms = 2'000;
    RoundWorkflow& urgent = this->workflows.add("urgent", "x", 0, step);
    this->workflows.definitions.back()->accepted_ms = now_ms;
    urgent.objective = { 1, slack_ms };
  }
};

} // namespace

// Guards against work discarded for steps that gain nothing from it, and
// against savings at the expense of callers. Plays all that
// /platform/scarce_capacity switches on, from a third of the servers that the
// bursts need to all of them.
BOOST_AUTO_TEST_CASE(weighed_stops_discard_less_and_serve_as_many)
{
  const std::vector<int> fleets{ 14, 24, 61 };
  DayConfig config;
  DaySums before = play_days(config, fleets);
  config.limits.weigh_stops = true;
  config.limits.order_by_value = true;
  config.limits.max_gang_reservations = 8;
  DaySums after = play_days(config, fleets);
  BOOST_TEST(after.discarded_core_s < 0.5 * before.discarded_core_s);
  BOOST_TEST(after.stopped < before.stopped);
  BOOST_TEST(after.share >= before.share);
}

// Guards against work within a guarantee that waits too long for expected ends
// of runs.
BOOST_AUTO_TEST_CASE(guaranteed_work_gets_resources_in_time)
{
  DayConfig config;
  config.guarantees = { { "o0", 24 }, { "o1", 24 }, { "o2", 16 } };
  config.limits.weigh_stops = true;
  BOOST_TEST(play_days(config, { 16 }).guaranteed_wait_ms <= 2'700);
}

// Guards against decisions that change although there is room for all.
BOOST_AUTO_TEST_CASE(placements_are_unchanged_where_everything_fits)
{
  DayConfig config;
  config.servers = 160;
  BusyDay before(config);
  before.run();
  config.limits.weigh_stops = true;
  BusyDay after(config);
  after.run();
  BOOST_TEST(before.stopped == 0);
  BOOST_TEST((before.placements == after.placements));
}

// Guards against the stop of a run that ends as soon as a stop would free its
// resources, and against a wait for one that exceeds its expected run time.
BOOST_AUTO_TEST_CASE(run_about_to_end_is_awaited)
{
  for (std::int64_t elapsed_ms : { 9'500, 10'500 }) {
    FullServer server;
    std::int64_t now_ms = NOW_MS + elapsed_ms;
    server.add_urgent(now_ms, 1'400);
    RoundResult result = server.run(now_ms);
    BOOST_TEST(result.preemptions.empty() == (elapsed_ms == 9'500));
  }
}

// Guards against the loss of more work than necessary: the run that has saved
// last is stopped, and one whose checkpoints have ceased is not.
BOOST_AUTO_TEST_CASE(run_that_has_just_saved_is_stopped)
{
  FullServer server;
  std::int64_t now_ms = NOW_MS + 5'000;
  server.history.saved_ms[{ { "first", 0, 0 }, 0 }] = now_ms - 4'500;
  server.history.saved_ms[{ { "second", 0, 0 }, 0 }] = now_ms - 200;
  server.add_urgent(now_ms, 1'400);
  RoundResult result = server.run(now_ms);
  BOOST_REQUIRE(result.preemptions.size() == 1U);
  BOOST_TEST(result.preemptions[0].victim.workflow == "second");
  BOOST_TEST((result.preemptions[0].reason == StopReason::Objective));
}

// Guards against a stop for a step whose result has no value by then, and for
// one that is in time without it.
BOOST_AUTO_TEST_CASE(step_that_gains_nothing_stops_no_run)
{
  for (std::int64_t slack_ms : { -20'000, 1'400, 20'000 }) {
    FullServer server;
    std::int64_t now_ms = NOW_MS + 2'000;
    server.add_urgent(now_ms, slack_ms);
    BOOST_TEST(server.run(now_ms).preemptions.empty() == (slack_ms != 1'400));
  }
}

// Guards against a step that is placed and stopped again for one that waited
// already when it was placed.
BOOST_AUTO_TEST_CASE(run_placed_during_the_wait_is_not_stopped)
{
  for (std::int64_t waited_ms : { 0, 3'000 }) {
    FullServer server;
    std::int64_t now_ms = NOW_MS + 2'000;
    server.add_urgent(now_ms, 1'400);
    server.history.ready_ms[{ "urgent", 0, 0 }] = now_ms - waited_ms;
    BOOST_TEST(server.run(now_ms).preemptions.empty() == (waited_ms > 0));
  }
}

// Guards against the lost objective of a step that counts again for each of its
// tasks, so that tasks of several steps are stopped.
BOOST_AUTO_TEST_CASE(several_tasks_of_one_late_step_cost_its_objective_once)
{
  Pool pool = make_pool(1, 1);
  pool.free["s0"] = {};
  std::vector<RunGroup> groups;
  for (const char* id : { "late", "late", "a", "b" }) {
    RunGroup group;
    group.step = { id, 0, 0 };
    group.priority = 2;
    group.disruptions_allowed = 1;
    group.demand = { 1'000, 1'024, 2 };
    group.servers = { { "s0", 1 } };
    group.loss_core_s = 10;
    group.step_loss_core_s = 100;
    groups.push_back(std::move(group));
  }
  Step step = make_step(1, { 1'000, 1'024, 4 });
  PreemptRequest request;
  request.assign_request = request_for(step);
  std::optional<PreemptPlan> plan = plan_preemption(pool, groups, request);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->loss_core_s == 120);
}
