#define BOOST_TEST_MODULE long_running
#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

// Guards against a long-running task without a run beside idle servers, for as
// long as a gang waits for other work to end.
BOOST_AUTO_TEST_CASE(reservation_of_a_gang_stops_a_long_running_task_for_good)
{
  constexpr std::int64_t OVERDUE_MS = 3'500;
  constexpr std::int64_t RESTART_LIMIT_MS = 6'000;
  for (bool lasting : { true, false }) {
    for (std::int64_t waited_ms :
         { std::int64_t{ 0 }, OVERDUE_MS, RESTART_LIMIT_MS }) {
      Pool pool = make_pool(3, 3);
      RoundWorkflows workflows;
      StepHistory history;
      Step work = make_step(1, { 1'000, 1'024, 1 });
      work.estimate_ms = 30'000;
      workflows.add("work", "x", 1, work);
      run_round(workflows, pool, history, {});
      workflows.add("gang", "x", 1, make_step(3, { 1'000, 1'024, 8 }, true));
      Step step = make_step(1, { 1'000, 1'024, 1 });
      step.runs_until_cancelled = lasting;
      workflows.add("task", "x", 2, step);
      history.ready_ms[{ "task", 0, 0 }] = NOW_MS - waited_ms;
      Pool again = make_pool(3, 3);
      run_round(workflows, again, history, {});
      BOOST_TEST(running(workflows.entries[1]) == 0U);
      bool placed = lasting && waited_ms > 0;
      BOOST_TEST(running(workflows.entries[2]) == (placed ? 1U : 0U));
    }
  }
}

// Guards against a long-running task without a run beside its only server,
// which is quarantined for failures of other jobs and healthy again.
BOOST_AUTO_TEST_CASE(quarantine_stops_a_long_running_task_for_good)
{
  constexpr std::int64_t OVERDUE_MS = 3'500;
  for (bool lasting : { true, false }) {
    for (std::int64_t waited_ms : { std::int64_t{ 0 }, OVERDUE_MS }) {
      Pool pool = make_pool(2, 2);
      pool.servers["s0"].labels.insert("b");
      pool.servers["s0"].quarantined = true;
      RoundWorkflows workflows;
      StepHistory history;
      Step step = make_step(1, { 1'000, 1'024, 1 });
      step.label = "b";
      step.runs_until_cancelled = lasting;
      workflows.add("task", "x", 1, step);
      history.ready_ms[{ "task", 0, 0 }] = NOW_MS - waited_ms;
      run_round(workflows, pool, history, {});
      bool placed = lasting && waited_ms > 0;
      BOOST_TEST(running(workflows.entries[0]) == (placed ? 1U : 0U));
    }
  }
}

// Guards against work on a quarantined server while another one has room.
BOOST_AUTO_TEST_CASE(overdue_task_prefers_a_quarantined_server)
{
  Pool pool = make_pool(2, 2);
  pool.servers["s0"].quarantined = true;
  pool.free["s0"].accelerators = 1;
  RoundWorkflows workflows;
  StepHistory history;
  Step step = make_step(1, { 1'000, 1'024, 1 });
  step.runs_until_cancelled = true;
  workflows.add("task", "x", 1, step);
  history.ready_ms[{ "task", 0, 0 }] = NOW_MS - 10'000;
  RoundResult result = run_round(workflows, pool, history, {});
  BOOST_REQUIRE(result.placements.size() == 1U);
  BOOST_TEST(result.placements.front().servers.front() == "s1");
}
