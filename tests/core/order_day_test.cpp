#define BOOST_TEST_MODULE order_day
#include "tests/core/busy_day.h"

#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

// Load: customer A of docs/hard-load.md, with bursts of 2.3 times the rate of
// priority 0 and twice that of priority 2, on a third to a half of the servers
// that the bursts need.

namespace {

std::vector<JobResult>
play_days(bool order_by_value)
{
  DayConfig config;
  config.limits.weigh_stops = true;
  config.limits.order_by_value = order_by_value;
  return play_scarce_days(config);
}

/// What the largest tenth of the jobs of a kind got.
double
share_of_large(const std::vector<JobResult>& results, std::uint32_t priority)
{
  std::vector<double> work;
  for (const JobResult& result : results) {
    if (result.priority == priority)
      work.push_back(result.work);
  }
  std::sort(work.begin(), work.end());
  double least = work[work.size() * 9 / 10];
  return share_of(results, [priority, least](const JobResult& result) {
    return result.priority == priority && result.work >= least;
  });
}

/// The step that gets the only server; empty for none.
std::string
first_placed(RoundWorkflows& workflows, StepHistory& history)
{
  Pool pool = make_pool(1, 1);
  RoundLimits limits;
  limits.order_by_value = true;
  RoundResult result =
    run_scheduling_round(workflows.entries, pool, history, limits, NOW_MS);
  return result.placements.empty() ? "" : result.placements[0].step.workflow;
}

/// Adds a step that needs a whole server, with a run time of 1 s and an
/// objective of 2 s.
void
add_step(RoundWorkflows& workflows, const char* id, std::int64_t age_ms)
{
  Step step = make_step(1, { 1'000, 1'024, 8 });
  step.estimate_ms = 1'000;
  workflows.add(id, "x", 0, step).objective = { 2, 0 };
  workflows.definitions.back()->accepted_ms = NOW_MS - age_ms;
}

} // namespace

// Guards against an order that serves callers or the largest jobs worse. What
// the worst served organisation gets differs by less than between days.
BOOST_AUTO_TEST_CASE(callers_get_as_much_where_room_is_scarce)
{
  std::vector<JobResult> before = play_days(false);
  std::vector<JobResult> after = play_days(true);
  for (const std::vector<JobResult>* results : { &before, &after })
    BOOST_TEST_MESSAGE("callers got "
                       << share_of_all(*results) << ", worst organisation "
                       << worst_organisation(*results) << ", large jobs "
                       << share_of_large(*results, 0) << ", "
                       << share_of_large(*results, 1) << " and "
                       << share_of_large(*results, 2));
  BOOST_TEST(share_of_all(after) > share_of_all(before) - 0.005);
  for (std::uint32_t priority : { 0U, 1U, 2U })
    BOOST_TEST(share_of_large(after, priority) >
               0.8 * share_of_large(before, priority));
}

// Guards against a step without value that is placed before one that is late,
// and a late one before one on time, however old it is.
BOOST_AUTO_TEST_CASE(steps_of_more_value_are_placed_first)
{
  RoundWorkflows workflows;
  StepHistory history;
  add_step(workflows, "worthless", 9'000);
  add_step(workflows, "late", 4'000);
  BOOST_TEST(first_placed(workflows, history) == "late");
  RoundWorkflows more;
  add_step(more, "worthless", 9'000);
  add_step(more, "late", 4'000);
  add_step(more, "older", 500);
  add_step(more, "on_time", 100);
  BOOST_TEST(first_placed(more, history) == "older");
}

// Guards against a step without value that never runs because others always
// come before it.
BOOST_AUTO_TEST_CASE(wait_of_a_step_without_value_is_bounded)
{
  RoundWorkflows workflows;
  StepHistory history;
  add_step(workflows, "on_time", 100);
  add_step(workflows, "worthless", 30'000);
  history.ready_ms[{ "worthless", 0, 0 }] = NOW_MS - 21'000;
  BOOST_TEST(first_placed(workflows, history) == "worthless");
}

// Guards against decisions that change although there is room for all.
BOOST_AUTO_TEST_CASE(placements_are_unchanged_where_everything_fits)
{
  DayConfig config;
  config.servers = 160;
  BusyDay before(config);
  before.run();
  config.limits.order_by_value = true;
  BusyDay after(config);
  after.run();
  BOOST_TEST((before.placements == after.placements));
}
