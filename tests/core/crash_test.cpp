#define BOOST_TEST_MODULE crash
#include "core/crash.h"
#include "core/round.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

namespace {

constexpr std::int64_t NOW_MS = 1'000'000;
constexpr std::int64_t OLD_RUN_MS = EARLY_CRASH_MS + 1;
/// Longer than a run is on probation, and than a suspect waits alone.
constexpr std::int64_t LONG_MS = 3'000;

Workflow
make_workflow(const std::string& id, std::uint32_t tasks, bool gang)
{
  Workflow workflow;
  workflow.id = id;
  Step step;
  step.tasks = tasks;
  step.gang = gang;
  step.demand = { 1'000, 0, 1 };
  workflow.steps = { step };
  return workflow;
}

Progress
open_progress(const Workflow& workflow)
{
  Progress progress;
  open_due_occurrences(workflow, progress, 0, 0);
  for (TaskState& task : progress.open_occurrences[0][0])
    task.last_attempt = 100;
  return progress;
}

BlamedRun
blamed(std::uint32_t attempt, bool early)
{
  return { { "", attempt, 0 }, early };
}

/// Servers with room for eight tasks each, and the workflows of one round.
struct RoundFixture
{
  std::vector<Workflow> definitions;
  std::vector<RoundWorkflow> workflows;
  Pool pool;
  StepHistory history;
  std::int64_t now_ms = NOW_MS;

  void add_servers(int count)
  {
    for (int index = 0; index < count; ++index) {
      PoolServer server;
      server.instance = { "s" + std::to_string(index), 1 };
      server.capacity = { 8'000, 1'000, 8 };
      pool.servers[server.instance.id] = server;
    }
  }

  void add(const Workflow& workflow)
  {
    definitions.push_back(workflow);
    RoundWorkflow round_workflow;
    round_workflow.progress = open_progress(workflow);
    workflows.push_back(round_workflow);
    for (std::size_t index = 0; index < workflows.size(); ++index)
      workflows[index].definition = &definitions[index];
  }

  TaskState& task(std::size_t workflow, std::uint32_t index = 0)
  {
    return workflows[workflow].progress.open_occurrences[0][0][index];
  }

  /// Records that the last attempt crashed its server soon after its start.
  void suspect(std::size_t workflow,
               std::uint32_t index = 0,
               std::uint32_t crashes = 1)
  {
    task(workflow, index).early_crashes = crashes;
    task(workflow, index).crashed_attempt = task(workflow, index).last_attempt;
  }

  std::string server_of(std::size_t workflow, std::uint32_t index = 0)
  {
    TaskState& state = task(workflow, index);
    return state.run ? state.run->server.id : "";
  }

  void run_round()
  {
    for (const std::pair<const std::string, PoolServer>& item : pool.servers)
      pool.free[item.first] = item.second.capacity;
    allocate_runs(workflows, pool);
    run_scheduling_round(workflows, pool, history, RoundLimits{}, now_ms);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(only_runs_that_had_just_started_are_blamed)
{
  ServerCrash crash{ { "s0", 1 },
                     { { "old", 1, OLD_RUN_MS }, { "new", 1, 10 } } };
  std::vector<BlamedRun> result = blamed_runs(crash);
  BOOST_TEST_REQUIRE(result.size() == 1U);
  BOOST_TEST(result.front().run.task == "new");
  BOOST_TEST(result.front().early);
}

BOOST_AUTO_TEST_CASE(task_that_crashes_late_is_never_blamed)
{
  ServerCrash crash{ { "s0", 1 }, { { "old", 1, OLD_RUN_MS } } };
  BOOST_TEST_REQUIRE(blamed_runs(crash).size() == 1U);
  BOOST_TEST(!blamed_runs(crash).front().early);
}

BOOST_AUTO_TEST_CASE(crashing_task_is_started_without_end)
{
  Workflow workflow = make_workflow("w", 1, false);
  Progress early = open_progress(workflow);
  for (std::uint32_t attempt = 1; attempt <= MAX_EARLY_CRASHES; ++attempt)
    BOOST_TEST(apply_crash(workflow, early, {}, blamed(attempt, true)));
  BOOST_TEST((early.outcome == Outcome::Failed));
  Progress late = open_progress(workflow);
  for (std::uint32_t attempt = 1; attempt <= MAX_CRASHES; ++attempt)
    BOOST_TEST(apply_crash(workflow, late, {}, blamed(attempt, false)));
  BOOST_TEST((late.outcome == Outcome::Failed));
}

BOOST_AUTO_TEST_CASE(repeated_report_counts_one_crash_twice)
{
  Workflow workflow = make_workflow("w", 1, false);
  Progress progress = open_progress(workflow);
  BOOST_TEST(apply_crash(workflow, progress, {}, blamed(2, true)));
  BOOST_TEST(!apply_crash(workflow, progress, {}, blamed(2, true)));
  BOOST_TEST(!apply_crash(workflow, progress, {}, blamed(1, true)));
  BOOST_TEST(progress.open_occurrences[0][0][0].crashes == 1U);
}

BOOST_AUTO_TEST_CASE(attempt_that_was_never_placed_is_blamed)
{
  Workflow workflow = make_workflow("w", 1, false);
  Progress progress = open_progress(workflow);
  progress.open_occurrences[0][0][0].last_attempt = 1;
  BOOST_TEST(!apply_crash(workflow, progress, {}, blamed(2, true)));
}

// Several servers may crash under one attempt of a gang.
BOOST_AUTO_TEST_CASE(crashes_of_one_gang_attempt_count_more_than_once)
{
  Workflow workflow = make_workflow("w", 3, true);
  Progress progress = open_progress(workflow);
  BOOST_TEST(apply_crash(workflow, progress, { 0, 0, 2 }, blamed(1, true)));
  BOOST_TEST(!apply_crash(workflow, progress, { 0, 0, 1 }, blamed(1, true)));
  BOOST_TEST(progress.open_occurrences[0][0][0].crashes == 1U);
}

BOOST_AUTO_TEST_CASE(long_running_task_is_given_up_for_crashes_of_others)
{
  Workflow workflow = make_workflow("w", 1, false);
  workflow.steps.front().runs_until_cancelled = true;
  Progress progress = open_progress(workflow);
  BOOST_TEST(!apply_crash(workflow, progress, {}, blamed(1, false)));
  BOOST_TEST(apply_crash(workflow, progress, {}, blamed(1, true)));
}

BOOST_FIXTURE_TEST_CASE(suspect_is_placed_beside_other_work, RoundFixture)
{
  add_servers(2);
  add(make_workflow("a", 1, false));
  run_round();
  add(make_workflow("b", 1, false));
  suspect(1);
  run_round();
  BOOST_TEST(!server_of(1).empty());
  BOOST_TEST(server_of(1) != server_of(0));
}

BOOST_FIXTURE_TEST_CASE(work_is_placed_beside_a_suspect, RoundFixture)
{
  add_servers(1);
  add(make_workflow("a", 1, false));
  suspect(0);
  run_round();
  BOOST_TEST(server_of(0) == "s0");
  add(make_workflow("b", 1, false));
  run_round();
  BOOST_TEST(server_of(1).empty());
  now_ms += LONG_MS;
  run_round();
  BOOST_TEST(server_of(1) == "s0");
}

BOOST_FIXTURE_TEST_CASE(suspect_waits_for_ever_for_an_empty_server,
                        RoundFixture)
{
  add_servers(1);
  add(make_workflow("a", 1, false));
  run_round();
  add(make_workflow("b", 1, false));
  suspect(1);
  run_round();
  BOOST_TEST(server_of(1).empty());
  now_ms += LONG_MS;
  run_round();
  BOOST_TEST(server_of(1) == "s0");
}

// Each task of a step may crash its server.
BOOST_FIXTURE_TEST_CASE(tasks_of_one_step_crash_many_servers_at_once,
                        RoundFixture)
{
  add_servers(4);
  add(make_workflow("a", 4, false));
  suspect(0, 1);
  suspect(0, 2, 2);
  run_round();
  BOOST_TEST(!server_of(0, 2).empty());
  for (std::uint32_t index : { 0U, 1U, 3U })
    BOOST_TEST(server_of(0, index).empty());
  run_round();
  BOOST_TEST(server_of(0, 1).empty());
}

// The first suspect runs on, so the step's tasks don't all crash their servers.
BOOST_FIXTURE_TEST_CASE(tasks_wait_for_each_suspect_of_their_step, RoundFixture)
{
  add_servers(4);
  add(make_workflow("a", 4, false));
  suspect(0, 1);
  suspect(0, 2, 2);
  run_round();
  now_ms += LONG_MS;
  run_round();
  for (std::uint32_t index : { 0U, 1U, 3U })
    BOOST_TEST(!server_of(0, index).empty());
}

BOOST_FIXTURE_TEST_CASE(task_that_ran_on_stays_a_suspect, RoundFixture)
{
  add_servers(1);
  add(make_workflow("a", 1, false));
  run_round();
  add(make_workflow("b", 1, false));
  suspect(1);
  ++task(1).last_attempt;
  run_round();
  BOOST_TEST(server_of(1) == "s0");
}

BOOST_FIXTURE_TEST_CASE(suspect_gang_is_placed_beside_other_work, RoundFixture)
{
  add_servers(3);
  add(make_workflow("a", 1, false));
  run_round();
  add(make_workflow("b", 2, true));
  suspect(1);
  run_round();
  BOOST_TEST(!server_of(1, 0).empty());
  BOOST_TEST(server_of(1, 0) != server_of(0));
  BOOST_TEST(server_of(1, 1) != server_of(0));
}
