#define BOOST_TEST_MODULE settle
#include "core/settle.h"
#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

namespace {

constexpr std::int64_t LIMIT_MS = 1'500;
const Resources WHOLE_SERVER{ 1'000, 1'024, 8 };

RoundResult
run_settling_round(RoundWorkflows& workflows,
                   Pool pool,
                   StepHistory& history,
                   bool settling,
                   std::int64_t guarantee = 16)
{
  allocate_runs(workflows.entries, pool);
  mark_guaranteed(workflows.entries, { { "x", guarantee } });
  RoundLimits limits;
  limits.settling = settling;
  return run_scheduling_round(workflows.entries, pool, history, limits, NOW_MS);
}

} // namespace

// Guards against a new owner that never places all work because an agent has
// ended for good, that waits although all agents have reported, or that takes
// the agents which have reported for all there are.
BOOST_AUTO_TEST_CASE(settling_ends_with_all_reports_or_at_the_limit)
{
  BOOST_TEST(is_settling({ 0, false, 0, 0 }, LIMIT_MS));
  BOOST_TEST(is_settling({ 10, false, 3, 3 }, LIMIT_MS));
  BOOST_TEST(is_settling({ 10, true, 3, 2 }, LIMIT_MS));
  BOOST_TEST(!is_settling({ 10, true, 3, 3 }, LIMIT_MS));
  BOOST_TEST(!is_settling({ LIMIT_MS, true, 3, 2 }, LIMIT_MS));
  BOOST_TEST(!is_settling({ LIMIT_MS, false, 3, 0 }, LIMIT_MS));
  BOOST_TEST(!is_settling({ 0, false, 0, 0 }, 0));
}

// Guards against runs that a new owner stops for urgent work while it does not
// know yet which servers are free.
BOOST_AUTO_TEST_CASE(nothing_is_stopped_while_agents_report)
{
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("filler", "y", 1, make_step(1, WHOLE_SERVER));
  Pool known = make_pool(1, 1);
  run_settling_round(workflows, known, history, false);
  workflows.add("urgent", "x", 0, make_step(1, WHOLE_SERVER));
  RoundResult first = run_settling_round(workflows, known, history, true);
  BOOST_TEST(first.preemptions.empty());
  BOOST_TEST(!stopping(workflows.entries[0]));
  // The next agent reports a free server.
  run_settling_round(workflows, make_pool(2, 1), history, true);
  BOOST_TEST(running(workflows.entries[1]) == 1U);
  BOOST_TEST(!stopping(workflows.entries[0]));
}

// Guards against a guarantee that is not reclaimed once agents have reported.
BOOST_AUTO_TEST_CASE(runs_are_stopped_once_agents_have_reported)
{
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("filler", "y", 1, make_step(1, WHOLE_SERVER));
  Pool pool = make_pool(1, 1);
  run_settling_round(workflows, pool, history, false);
  workflows.add("urgent", "x", 0, make_step(1, WHOLE_SERVER));
  run_settling_round(workflows, pool, history, true);
  RoundResult settled = run_settling_round(workflows, pool, history, false);
  BOOST_TEST(settled.preemptions.size() == 1U);
}

// Guards against less urgent work that takes the first servers that report,
// before the urgent work that needs them, and against urgent work that waits
// although it fits.
BOOST_AUTO_TEST_CASE(only_urgent_steps_are_placed_while_agents_report)
{
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("gang", "x", 0, make_step(2, WHOLE_SERVER, true));
  workflows.add("other", "y", 1, make_step(1, WHOLE_SERVER));
  run_settling_round(workflows, make_pool(1, 2), history, true);
  BOOST_TEST(running(workflows.entries[0]) == 0U);
  BOOST_TEST(running(workflows.entries[1]) == 0U);
  run_settling_round(workflows, make_pool(2, 2), history, true);
  BOOST_TEST(running(workflows.entries[0]) == 2U);
  run_settling_round(workflows, make_pool(3, 2), history, true);
  BOOST_TEST(running(workflows.entries[1]) == 0U);
  run_settling_round(workflows, make_pool(3, 2), history, false);
  BOOST_TEST(running(workflows.entries[1]) == 1U);
}

// Guards against a gang that is spread over racks, where it runs slower,
// because the servers of its rack have not reported yet.
BOOST_AUTO_TEST_CASE(gang_waits_for_the_servers_of_its_rack)
{
  RoundWorkflows workflows;
  StepHistory history;
  Step step = make_step(2, WHOLE_SERVER, true);
  step.same_rack = true;
  workflows.add("gang", "x", 0, step);
  // One server of each of two racks has reported.
  run_settling_round(workflows, make_pool(2, 1), history, true);
  BOOST_TEST(running(workflows.entries[0]) == 0U);
  run_settling_round(workflows, make_pool(4, 2), history, true);
  BOOST_TEST(running(workflows.entries[0]) == 2U);
}
