#define BOOST_TEST_MODULE order_day
#include "tests/core/busy_day.h"

#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

// Load: customer A of docs/hard-load.md, with bursts of 2.3 times the rate of
// priority 0 and twice that of priority 2, on a third to a half of the servers
// that the bursts need.

namespace {

constexpr std::uint64_t DAYS = 8;
constexpr int ORGANISATIONS = 5;

enum class Order
{
  ByAge,
  ByValue,
  Yielding, ///< By value, and to lower priorities.
};

std::vector<JobResult>
play_days(Order order)
{
  std::vector<JobResult> results;
  DayConfig config;
  config.organisations = ORGANISATIONS;
  config.limits.weigh_stops = true;
  config.limits.order_by_value = order != Order::ByAge;
  config.limits.yield_to_lower_priorities = order == Order::Yielding;
  for (int servers : { 14, 18, 22 }) {
    config.servers = servers;
    for (config.seed = 1; config.seed <= DAYS; ++config.seed) {
      BusyDay day(config);
      day.run();
      results.insert(results.end(), day.results.begin(), day.results.end());
    }
  }
  return results;
}

double
share_of_all(const std::vector<JobResult>& results)
{
  return share_of(results, [](const JobResult&) { return true; });
}

double
worst_organisation(const std::vector<JobResult>& results)
{
  double worst = 1;
  for (int index = 0; index < ORGANISATIONS; ++index) {
    std::string name = "o" + std::to_string(index);
    worst = std::min(worst, share_of(results, [&name](const JobResult& result) {
                       return result.organisation == name;
                     }));
  }
  return worst;
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
first_placed(RoundWorkflows& workflows,
             StepHistory& history,
             bool yield_to_lower_priorities = false)
{
  Pool pool = make_pool(1, 1);
  RoundLimits limits;
  limits.order_by_value = true;
  limits.yield_to_lower_priorities = yield_to_lower_priorities;
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

// Guards against an order that serves callers worse, and, if steps yield to
// lower priorities, also the worst served organisation or the largest jobs.
// Between equals alone, the worst served organisation gets 0.526 instead of
// 0.539, which is within the scatter between days.
BOOST_AUTO_TEST_CASE(callers_get_as_much_where_room_is_scarce)
{
  std::vector<JobResult> before = play_days(Order::ByAge);
  std::vector<JobResult> by_value = play_days(Order::ByValue);
  std::vector<JobResult> yielding = play_days(Order::Yielding);
  for (const std::vector<JobResult>* results :
       { &before, &by_value, &yielding })
    BOOST_TEST_MESSAGE("callers got "
                       << share_of_all(*results) << ", worst organisation "
                       << worst_organisation(*results) << ", large jobs "
                       << share_of_large(*results, 0) << ", "
                       << share_of_large(*results, 1) << " and "
                       << share_of_large(*results, 2));
  BOOST_TEST(share_of_all(by_value) > share_of_all(before) - 0.005);
  BOOST_TEST(share_of_all(yielding) > share_of_all(before));
  BOOST_TEST(worst_organisation(yielding) > worst_organisation(before));
  for (std::uint32_t priority : { 0U, 1U, 2U })
    BOOST_TEST(share_of_large(yielding, priority) >
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

// Guards against a step without value that takes the place of one of a lower
// priority which is still of value, where steps yield, and against a step
// within a guarantee that does.
BOOST_AUTO_TEST_CASE(step_without_value_yields_to_lower_priorities)
{
  for (bool guaranteed : { false, true }) {
    for (bool yields : { false, true }) {
      RoundWorkflows workflows;
      StepHistory history;
      add_step(workflows, "worthless", 9'000);
      add_step(workflows, "lower", 100);
      workflows.entries[0].guaranteed = guaranteed;
      workflows.entries[1].priority = 1;
      bool lower_first = yields && !guaranteed;
      BOOST_TEST(first_placed(workflows, history, yields) ==
                 (lower_first ? "lower" : "worthless"));
    }
  }
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
