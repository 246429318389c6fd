#define BOOST_TEST_MODULE evacuation
#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

namespace {

constexpr Resources WHOLE_SERVER{ 1'000, 1'024, 8 };
constexpr Resources SMALL{ 1'000, 1'024, 1 };

/// Closes the zone of the servers of one rack.
void
evacuate(Pool& pool, const std::string& rack)
{
  for (std::pair<const std::string, PoolServer>& item : pool.servers) {
    if (item.second.rack != rack)
      continue;
    item.second.zone = "north";
    item.second.accepts_work = false;
    item.second.evacuated = true;
  }
}

Pool
evacuated_pool(int servers, int per_rack, const std::string& rack)
{
  Pool pool = make_pool(servers, per_rack);
  evacuate(pool, rack);
  return pool;
}

const TaskState&
task_of(const RoundWorkflow& round_workflow, std::size_t index)
{
  return round_workflow.progress.open_occurrences.at(0)[0][index];
}

} // namespace

// Guards against a run that waits in an evacuated zone for good, and against
// other tasks of the step that are stopped with it although they run.
BOOST_AUTO_TEST_CASE(recall_stops_only_the_task_that_has_not_started)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("a", "x", 1, make_step(2, WHOLE_SERVER));
  run_round(workflows, pool, history, {});
  BOOST_REQUIRE(running(workflows.entries[0]) == 2U);
  history.recalled = { { { "a", 0, 0 }, 1 } };
  Pool again = evacuated_pool(2, 2, "r0");
  RoundResult result = run_round(workflows, again, history, {});
  BOOST_REQUIRE(result.restarts.size() == 1U);
  BOOST_TEST((result.restarts.front().reason == RestartReason::ZoneEvacuated));
  BOOST_TEST(!task_of(workflows.entries[0], 0).run->stopping);
  BOOST_TEST(task_of(workflows.entries[0], 1).run->stopping);
}

// Guards against a gang whose members wait for one that may not start any more.
BOOST_AUTO_TEST_CASE(recall_of_one_member_leaves_the_gang_waiting)
{
  Pool pool = make_pool(4, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("a", "x", 1, make_step(3, WHOLE_SERVER, true));
  run_round(workflows, pool, history, {});
  BOOST_REQUIRE(running(workflows.entries[0]) == 3U);
  history.recalled = { { { "a", 0, 0 }, 2 } };
  Pool again = evacuated_pool(4, 2, "r1");
  RoundResult result = run_round(workflows, again, history, {});
  BOOST_REQUIRE(result.restarts.size() == 1U);
  BOOST_TEST(result.restarts.front().tasks.size() == 3U);
  BOOST_TEST(running(workflows.entries[0]) == 0U);
}

// Guards against running work that is stopped because its zone is evacuated.
BOOST_AUTO_TEST_CASE(running_work_in_a_closed_zone_is_stopped)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("a", "x", 1, make_step(2, WHOLE_SERVER, true));
  run_round(workflows, pool, history, {});
  Pool again = evacuated_pool(2, 2, "r0");
  RoundResult result = run_round(workflows, again, history, {});
  BOOST_TEST(result.restarts.empty());
  BOOST_TEST(running(workflows.entries[0]) == 2U);
}

// Guards against callers who can't learn why their job waits, and against a log
// line in each round.
BOOST_AUTO_TEST_CASE(held_step_is_reported_in_each_round_or_never)
{
  RoundWorkflows workflows;
  StepHistory history;
  Step step = make_step(1, SMALL);
  step.label = "r0";
  workflows.add("a", "x", 1, step);
  Pool pool = evacuated_pool(4, 2, "r0");
  RoundResult first = run_round(workflows, pool, history, {});
  BOOST_TEST(running(workflows.entries[0]) == 0U);
  BOOST_REQUIRE(first.held_steps.size() == 1U);
  BOOST_TEST((first.held_steps.front().step == StepKey{ "a", 0, 0 }));
  BOOST_TEST(first.held_steps.front().zone == "north");
  Pool again = evacuated_pool(4, 2, "r0");
  BOOST_TEST(run_round(workflows, again, history, {}).held_steps.empty());
  history.forget("a");
  BOOST_TEST(history.held_steps["north"].empty());
  Pool open = make_pool(4, 2);
  BOOST_TEST(run_round(workflows, open, history, {}).held_steps.empty());
  BOOST_TEST(running(workflows.entries[0]) == 1U);
}

// Guards against a report that blames an evacuation for a step that would not
// fit in the zone either.
BOOST_AUTO_TEST_CASE(step_that_fits_nowhere_counts_as_held)
{
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("a", "x", 1, make_step(5, WHOLE_SERVER, true));
  Pool pool = evacuated_pool(4, 2, "r0");
  BOOST_TEST(run_round(workflows, pool, history, {}).held_steps.empty());
}

// Guards against steps that wait for the rack of their data as long as its zone
// is evacuated, and then run late.
BOOST_AUTO_TEST_CASE(step_waits_for_a_rack_in_a_closed_zone)
{
  for (bool gang : { false, true }) {
    RoundWorkflows workflows;
    StepHistory history;
    Step step = make_step(2, WHOLE_SERVER, gang);
    step.rack = "r0";
    step.estimate_ms = 60'000;
    workflows.add("a", "x", 1, step);
    Pool pool = evacuated_pool(4, 2, "r0");
    run_round(workflows, pool, history, {});
    BOOST_TEST(running(workflows.entries[0]) == 2U);
  }
}

// Guards against a long-running task without a run after its server in a
// closed zone has ended.
BOOST_AUTO_TEST_CASE(long_running_task_waits_for_its_zone)
{
  RoundWorkflows workflows;
  StepHistory history;
  Step step = make_step(1, SMALL);
  step.runs_until_cancelled = true;
  workflows.add("a", "x", 1, step);
  Pool pool = evacuated_pool(4, 2, "r0");
  run_round(workflows, pool, history, {});
  BOOST_REQUIRE(running(workflows.entries[0]) == 1U);
  const std::string& server = task_of(workflows.entries[0], 0).run->server.id;
  BOOST_TEST(pool.servers.at(server).rack == "r1");
}

// Guards against a guarantee that a closed zone blocks: the step stops other
// work in open zones, and none in the closed one.
BOOST_AUTO_TEST_CASE(guaranteed_step_stops_work_in_a_closed_zone)
{
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("work", "x", 2, make_step(4, WHOLE_SERVER));
  Pool pool = make_pool(4, 2);
  run_round(workflows, pool, history, {});
  BOOST_REQUIRE(running(workflows.entries[0]) == 4U);
  workflows.add("urgent", "y", 0, make_step(2, WHOLE_SERVER, true));
  Pool again = evacuated_pool(4, 2, "r0");
  run_round(workflows, again, history, { { "y", 16 } });
  std::size_t stopped = 0;
  for (std::size_t index = 0; index < 4; ++index) {
    const Run& run = *task_of(workflows.entries[0], index).run;
    stopped += run.stopping ? 1 : 0;
    if (run.stopping)
      BOOST_TEST(again.servers.at(run.server.id).rack == "r1");
  }
  BOOST_TEST(stopped == 2U);
}
