#define BOOST_TEST_MODULE reserve_day
#include "tests/core/busy_day.h"

#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

// Load: customer A of docs/hard-load.md, with bursts of 2.3 times the rate of
// priority 0 and twice that of priority 2, on a third to a half of the servers
// that the bursts need. A quarter of the gangs needs a whole server for each
// task.

namespace {

constexpr std::size_t MANY_GANGS = 8;

std::vector<JobResult>
play_days(std::size_t max_gang_reservations)
{
  DayConfig config;
  config.limits.weigh_stops = true;
  config.limits.order_by_value = true;
  config.limits.max_gang_reservations = max_gang_reservations;
  return play_scarce_days(config);
}

double
share_of_whole_servers(const std::vector<JobResult>& results)
{
  return share_of(results, [](const JobResult& result) {
    return result.accelerators == SERVER_CAPACITY.accelerators;
  });
}

} // namespace

// Guards against gangs in a burst that starve behind smaller work, since
// servers are reserved for the first three only.
BOOST_AUTO_TEST_CASE(gangs_of_a_burst_get_servers)
{
  std::vector<JobResult> before =
    play_days(RoundLimits{}.max_gang_reservations);
  std::vector<JobResult> after = play_days(MANY_GANGS);
  for (const std::vector<JobResult>* results : { &before, &after })
    BOOST_TEST_MESSAGE("callers got "
                       << share_of_all(*results) << ", worst organisation "
                       << worst_organisation(*results) << ", whole servers "
                       << share_of_whole_servers(*results));
  BOOST_TEST(share_of_all(after) > share_of_all(before));
  BOOST_TEST(worst_organisation(after) > worst_organisation(before));
  BOOST_TEST(share_of_whole_servers(after) > share_of_whole_servers(before));
}

// Guards against long work on the servers of the fourth gang in the queue, and
// against servers that stay idle although work would end in time.
BOOST_AUTO_TEST_CASE(servers_of_a_fourth_gang_are_used_only_until_it_fits)
{
  for (std::size_t reservations : { std::size_t{ 3 }, MANY_GANGS }) {
    RoundWorkflows workflows;
    StepHistory history;
    RoundLimits limits;
    limits.max_gang_reservations = reservations;
    Pool pool = make_pool(10, 8);
    auto add = [&workflows](const char* id,
                            const char* rack,
                            std::uint32_t tasks,
                            bool gang,
                            std::uint32_t estimate_ms) {
      Step step = make_step(tasks, { 1'000, 1'024, 8 }, gang);
      step.label = rack;
      step.estimate_ms = estimate_ms;
      workflows.add(id, "x", 1, step);
    };
    auto run = [&workflows, &history, &limits, &pool] {
      Pool free = pool;
      allocate_runs(workflows.entries, free);
      run_scheduling_round(workflows.entries, free, history, limits, NOW_MS);
    };
    add("fills_r0", "r0", 8, false, 10'000);
    add("half_of_r1", "r1", 1, false, 10'000);
    run();
    for (const char* id : { "a", "b", "c" })
      add(id, "r0", 2, true, 10'000);
    add("d", "r1", 2, true, 10'000);
    add("long", "r1", 1, false, 20'000);
    add("short", "r1", 1, false, 5'000);
    run();
    bool reserved = reservations == MANY_GANGS;
    BOOST_TEST(running(workflows.entries[6]) == (reserved ? 0U : 1U));
    BOOST_TEST(running(workflows.entries[7]) == (reserved ? 1U : 0U));
  }
}

// Guards against decisions that change although there is room for all.
BOOST_AUTO_TEST_CASE(placements_are_unchanged_where_everything_fits)
{
  DayConfig config;
  config.servers = 160;
  BusyDay before(config);
  before.run();
  config.limits.max_gang_reservations = MANY_GANGS;
  BusyDay after(config);
  after.run();
  BOOST_TEST((before.placements == after.placements));
}
