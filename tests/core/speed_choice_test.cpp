#define BOOST_TEST_MODULE speed_choice
#include "core/preempt.h"
#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace geraniumhinge::core;

namespace {

constexpr Resources WHOLE_SERVER{ 1'000, 1'024, 8 };
constexpr double UNLIMITED = std::numeric_limits<double>::infinity();

/// Servers s0, s1, ... with factors of 0.6, 1.0 and 1.6 in turn.
Pool
mixed_pool(int servers, int per_rack)
{
  constexpr double FACTORS[] = { 0.6, 1.0, 1.6 };
  Pool pool = make_pool(servers, per_rack);
  for (int index = 0; index < servers; ++index)
    pool.servers.at("s" + std::to_string(index)).run_time_factor =
      FACTORS[index % 3];
  return pool;
}

std::vector<double>
factors_of(const Pool& pool, const std::vector<std::string>& servers)
{
  std::vector<double> factors;
  factors.reserve(servers.size());
  for (const std::string& server : servers)
    factors.push_back(pool.servers.at(server).run_time_factor);
  std::sort(factors.begin(), factors.end());
  return factors;
}

std::vector<double>
assigned_factors(const Pool& pool, const Step& step, double max_factor)
{
  AssignRequest request = request_for(step);
  request.max_factor = max_factor;
  return factors_of(pool, assign(pool, request));
}

using Factors = std::vector<double>;

/// Runs a round at a time at which the workflows have just been accepted.
RoundResult
run_new(RoundWorkflows& workflows, Pool pool, StepHistory& history)
{
  RoundLimits limits;
  limits.unix_offset_ms = -NOW_MS;
  allocate_runs(workflows.entries, pool);
  return run_scheduling_round(workflows.entries, pool, history, limits, NOW_MS);
}

} // namespace

// Guards against urgent gangs with a slow member, and against fast servers that
// long work occupies.
BOOST_AUTO_TEST_CASE(a_step_takes_the_slowest_servers_that_meet_its_objective)
{
  Pool pool = mixed_pool(12, 3);
  Step gang = make_step(3, WHOLE_SERVER, true);
  BOOST_TEST(assigned_factors(pool, gang, 1.2) == Factors(3, 1.0),
             boost::test_tools::per_element());
  BOOST_TEST(assigned_factors(pool, gang, 0.7) == Factors(3, 0.6),
             boost::test_tools::per_element());
  Step single = make_step(1, WHOLE_SERVER);
  BOOST_TEST(assigned_factors(pool, single, UNLIMITED) == Factors{ 1.6 },
             boost::test_tools::per_element());
  BOOST_TEST(assigned_factors(pool, single, 1.5) == Factors{ 1.0 },
             boost::test_tools::per_element());
  Step batch = make_step(4, WHOLE_SERVER);
  BOOST_TEST(assigned_factors(pool, batch, UNLIMITED) == Factors(4, 1.6),
             boost::test_tools::per_element());
}

// Guards against steps that wait, or use slow servers needlessly, because no
// choice meets the objective.
BOOST_AUTO_TEST_CASE(a_late_step_takes_the_choice_that_ends_soonest)
{
  Pool pool = mixed_pool(6, 3);
  Step gang = make_step(3, WHOLE_SERVER, true);
  // Only two servers are fast. A third one of median speed decides the end, so
  // that the gang leaves a fast one free.
  BOOST_TEST(assigned_factors(pool, gang, 0.1) == (Factors{ 0.6, 1.0, 1.0 }),
             boost::test_tools::per_element());
  pool.free["s0"] = {};
  pool.free["s3"] = {};
  BOOST_TEST(assigned_factors(pool, gang, 0.1) == (Factors{ 1.0, 1.6, 1.6 }),
             boost::test_tools::per_element());
  Step batch = make_step(5, WHOLE_SERVER);
  BOOST_TEST(assigned_factors(pool, batch, 0.1).size() == 4U);
}

// Guards against unknown servers that are used like slow ones.
BOOST_AUTO_TEST_CASE(unknown_servers_are_preferred_to_slow_ones)
{
  Pool pool = make_pool(4, 4);
  pool.servers.at("s0").run_time_factor = 1.6;
  pool.servers.at("s1").run_time_factor = 1.6;
  Step gang = make_step(2, WHOLE_SERVER, true);
  BOOST_TEST(assigned_factors(pool, gang, 1.2) == Factors(2, 1.0),
             boost::test_tools::per_element());
}

// Guards against runs outside the rack of their data or over several racks,
// which costs more than a slow server.
BOOST_AUTO_TEST_CASE(racks_come_before_speed)
{
  Pool pool = mixed_pool(6, 3);
  Step gang = make_step(3, WHOLE_SERVER, true);
  gang.same_rack = true;
  AssignRequest request = request_for(gang);
  request.max_factor = 0.7;
  std::set<std::string> racks;
  for (const std::string& server : assign(pool, request))
    racks.insert(pool.servers.at(server).rack);
  BOOST_TEST(racks.size() == 1U);
  Step near_data = make_step(1, WHOLE_SERVER);
  near_data.rack = "r1";
  pool.free["s3"] = {};
  pool.free["s4"] = {};
  request = request_for(near_data);
  request.max_factor = 0.7;
  request.allow_any_rack = true;
  request.rack_penalty = 3;
  BOOST_TEST(assign(pool, request) == std::vector<std::string>{ "s5" },
             boost::test_tools::per_element());
}

// Guards against a rack whose only advantage is that it is full: of two racks
// that hold a gang, one meets its objective.
BOOST_AUTO_TEST_CASE(the_rack_that_meets_the_objective_is_chosen)
{
  Pool pool = make_pool(5, 2);
  for (const char* server : { "s0", "s1" })
    pool.servers.at(server).run_time_factor = 1.6;
  Step gang = make_step(2, WHOLE_SERVER, true);
  gang.same_rack = true;
  BOOST_TEST(assigned_factors(pool, gang, 1.2) == Factors(2, 1.0),
             boost::test_tools::per_element());
  pool.free["s2"] = {};
  BOOST_TEST(assigned_factors(pool, gang, 1.2) == Factors(2, 1.6),
             boost::test_tools::per_element());
}

namespace {

Step
random_step()
{
  Step step = make_step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 9)),
                        { *rc::gen::inRange(0, 20'000),
                          *rc::gen::inRange(0, 60'000),
                          *rc::gen::inRange(0, 9) },
                        *rc::gen::arbitrary<bool>());
  step.same_rack = *rc::gen::arbitrary<bool>();
  if (*rc::gen::inRange(0, 4) == 0)
    step.rack = "r1";
  step.max_per_server = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
  return step;
}

void
use_randomly(Pool& pool)
{
  for (std::pair<const std::string, Resources>& item : pool.free)
    item.second.accelerators = *rc::gen::inRange(0, 9);
}

AssignRequest
random_request(const Step& step)
{
  AssignRequest request = request_for(step);
  request.allow_any_rack = *rc::gen::arbitrary<bool>();
  request.max_factor = *rc::gen::element(0.0, 0.7, 1.2, 2.0, UNLIMITED);
  request.rack_penalty = 3;
  return request;
}

} // namespace

// Guards against speeds that decide whether and how many tasks fit: preemption
// relies on stops of more runs never taking away a fit.
BOOST_AUTO_TEST_CASE(speeds_do_not_change_what_fits)
{
  BOOST_TEST(rc::check("as many tasks are placed as without speeds", [] {
    Pool mixed = mixed_pool(9, 3);
    use_randomly(mixed);
    Pool equal = mixed;
    for (std::pair<const std::string, PoolServer>& item : equal.servers)
      item.second.run_time_factor = 1;
    Step step = random_step();
    AssignRequest request = random_request(step);
    std::vector<std::string> servers = assign(mixed, request);
    RC_ASSERT(servers.size() == assign(equal, request).size());
    std::map<std::string, std::uint32_t> tasks;
    for (const std::string& server : servers) {
      ++tasks[server];
      mixed.allocate(server, resources_of_run(step));
      RC_ASSERT(mixed.free.at(server).covers({}));
    }
    for (const std::pair<const std::string, std::uint32_t>& item : tasks)
      RC_ASSERT(step.max_per_server == 0 || item.second <= step.max_per_server);
  }));
}

// Guards against decisions that depend on the objective where all servers are
// equally fast: earlier deployments must be served as before.
BOOST_AUTO_TEST_CASE(equal_speeds_change_nothing)
{
  BOOST_TEST(rc::check("the same servers are chosen for any objective", [] {
    Pool pool = make_pool(9, 3);
    use_randomly(pool);
    Step step = random_step();
    AssignRequest request = random_request(step);
    AssignRequest indifferent = request;
    indifferent.max_factor = UNLIMITED;
    indifferent.rack_penalty = 1;
    std::vector<std::string> expected = assign(pool, indifferent);
    RC_ASSERT(assign(pool, request) == expected);
    // Differences of a few percent, or of servers that can't run the step, are
    // ignored.
    for (std::pair<const std::string, PoolServer>& item : pool.servers)
      item.second.run_time_factor = *rc::gen::element(0.96, 1.0, 1.04);
    PoolServer other = pool.servers.at("s0");
    other.instance.id = "other";
    other.service = "other";
    other.run_time_factor = 3;
    pool.free["other"] = other.capacity;
    pool.servers["other"] = other;
    RC_ASSERT(assign(pool, request) == expected);
  }));
}

// Guards against a round that does not pass the objective of a step on to the
// choice of its servers.
BOOST_AUTO_TEST_CASE(the_round_derives_the_factor_from_the_objective)
{
  Pool pool = mixed_pool(6, 6);
  RoundWorkflows workflows;
  StepHistory history;
  Step step = make_step(2, WHOLE_SERVER, true);
  step.estimate_ms = 2'000;
  // The objective of urgent gangs of customer A. The definitions were accepted
  // at 0 ms, and the time of the round is set accordingly.
  workflows.add("urgent", "x", 0, step).objective = { 1.5, 300 };
  step.estimate_ms = 10'000;
  workflows.add("long", "x", 1, step).objective = { 5, 300 };
  workflows.add("without-objective", "x", 2, make_step(1, WHOLE_SERVER));
  RoundResult result = run_new(workflows, pool, history);
  BOOST_REQUIRE(result.placements.size() == 3U);
  BOOST_TEST(factors_of(pool, result.placements[0].servers) == Factors(2, 0.6),
             boost::test_tools::per_element());
  BOOST_TEST(factors_of(pool, result.placements[1].servers) == Factors(2, 1.6),
             boost::test_tools::per_element());
  BOOST_TEST(factors_of(pool, result.placements[2].servers) == Factors{ 1.0 },
             boost::test_tools::per_element());
}

// Guards against urgent steps that wait for fast servers although none is known
// to become free, and against long work that waits for slow ones.
BOOST_AUTO_TEST_CASE(no_step_waits_without_a_known_end)
{
  for (double factor : { 0.3, 1.6, 5.0 }) {
    Pool pool = make_pool(3, 3);
    pool.servers.at("s0").run_time_factor = factor;
    pool.servers.at("s1").run_time_factor = factor;
    pool.free["s2"] = {};
    for (double objective : { 0.0, 1.5, 100.0 }) {
      RoundWorkflows workflows;
      StepHistory history;
      Step step = make_step(2, WHOLE_SERVER, true);
      step.estimate_ms = 2'000;
      workflows.add("j", "x", 0, step).objective = { objective, 300 };
      BOOST_TEST(run_new(workflows, pool, history).placements.size() == 1U);
    }
  }
}

// Guards against a small step on a slow server that delays the gang for which
// the server is reserved.
BOOST_AUTO_TEST_CASE(a_slow_server_is_used_before_a_gang_only_by_shorter_work)
{
  for (double factor : { 1.0, 1.6 }) {
    Pool pool = make_pool(2, 2);
    pool.servers.at("s1").run_time_factor = factor;
    RoundWorkflows workflows;
    StepHistory history;
    Step before = make_step(1, WHOLE_SERVER);
    before.estimate_ms = 3'000;
    workflows.add("before", "x", 0, before).objective = { 1.1, 0 };
    RoundResult first = run_new(workflows, pool, history);
    BOOST_REQUIRE(first.placements.size() == 1U);
    BOOST_TEST(first.placements[0].servers == std::vector<std::string>{ "s0" },
               boost::test_tools::per_element());
    Step gang = make_step(2, WHOLE_SERVER, true);
    gang.estimate_ms = 1'000;
    workflows.add("gang", "x", 1, gang);
    Step small = make_step(1, WHOLE_SERVER);
    small.estimate_ms = 2'000;
    workflows.add("small", "x", 2, small);
    run_new(workflows, pool, history);
    BOOST_TEST(running(workflows.entries[2]) == (factor == 1 ? 1U : 0U));
  }
}

// Guards against a run on a slow server that is left to be lost with its
// server, because its remaining time is taken for that on a median one.
BOOST_AUTO_TEST_CASE(remaining_times_depend_on_the_server)
{
  for (double factor : { 1.0, 1.6 }) {
    Pool pool = make_pool(2, 2);
    RoundWorkflows workflows;
    StepHistory history;
    Step step = make_step(1, WHOLE_SERVER);
    step.estimate_ms = 4'000;
    step.checkpoints = true;
    workflows.add("j", "x", 0, step);
    run_new(workflows, pool, history);
    history.percent[{ { "j", 0, 0 }, 0 }] = 50;
    for (std::pair<const std::string, PoolServer>& item : pool.servers) {
      item.second.run_time_factor = factor;
      item.second.min_stay_ms = 2'500;
    }
    RoundResult result = run_new(workflows, pool, history);
    BOOST_TEST(result.restarts.size() == (factor == 1 ? 0U : 1U));
  }
}

// Guards against expected run times that do not reach the choice of servers: a
// step that takes longer than declared has less slack.
BOOST_AUTO_TEST_CASE(expected_times_replace_declared_ones)
{
  for (bool longer : { false, true }) {
    RoundWorkflows workflows;
    StepHistory history;
    Step step = make_step(1, WHOLE_SERVER);
    step.estimate_ms = 2'000;
    RoundWorkflow& entry = workflows.add("j", "x", 0, step);
    entry.objective = { 5, 0 };
    if (longer)
      entry.expected = { 6'000 };
    RoundResult result = run_new(workflows, mixed_pool(3, 3), history);
    BOOST_REQUIRE(result.placements.size() == 1U);
    BOOST_TEST(result.placements[0].slowest_factor == (longer ? 0.6 : 1.6));
  }
}

// Guards against an urgent step on a slow server although a fast one is free
// within less time than the slow one costs, and against a wait that is too long
// or never ends.
BOOST_AUTO_TEST_CASE(an_urgent_step_waits_only_if_it_then_ends_sooner)
{
  struct Case
  {
    std::int64_t remaining_ms = 0;
    std::int64_t waited_ms = 0;
    bool guaranteed = false;
    bool waits = false;
    std::uint32_t estimate_ms = 2'000;
  };
  for (const Case& item : { Case{ 300, 0, false, true },
                            Case{ 5'000, 0, false, false },
                            Case{ 300, 0, false, false, 400 },
                            Case{ 300, 1'100, false, false },
                            Case{ 0, 0, false, false },
                            Case{ 300, 0, true, false } }) {
    Pool pool = make_pool(2, 2);
    pool.servers.at("s0").run_time_factor = 0.6;
    pool.servers.at("s1").run_time_factor = 1.6;
    RoundWorkflows workflows;
    StepHistory history;
    Step step = make_step(1, WHOLE_SERVER);
    step.estimate_ms = 10'000;
    workflows.add("before", "x", 0, step).objective = { 1.1, 0 };
    run_new(workflows, pool, history);
    // On the fast server the run takes 6,000 ms.
    history.percent[{ { "before", 0, 0 }, 0 }] =
      static_cast<std::uint32_t>(100 - item.remaining_ms / 60);
    step.estimate_ms = item.estimate_ms;
    RoundWorkflow& urgent = workflows.add("urgent", "y", 0, step);
    urgent.objective = { 1.5, 0 };
    urgent.peak_accelerators = 8;
    history.ready_ms[{ "urgent", 0, 0 }] = NOW_MS - item.waited_ms;
    workflows.add("small", "x", 2, make_step(1, WHOLE_SERVER));
    if (item.guaranteed)
      mark_guaranteed(workflows.entries, { { "y", 8 } });
    run_new(workflows, pool, history);
    BOOST_TEST(running(workflows.entries[1]) == (item.waits ? 0U : 1U));
    // The slow server is left to other work, the fast one is not.
    BOOST_TEST(running(workflows.entries[2]) == (item.waits ? 1U : 0U));
  }
}
