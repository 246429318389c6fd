#define BOOST_TEST_MODULE workflow
#include "core/workflow.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

namespace {

constexpr std::uint32_t MAX_FAILURES = 2;

Workflow
make_workflow(std::vector<Step> steps)
{
  Workflow workflow;
  workflow.id = "5c0e7a21d94b36f8";
  workflow.steps = std::move(steps);
  return workflow;
}

Step
make_step(std::uint32_t tasks, bool gang = false)
{
  Step step;
  step.tasks = tasks;
  step.gang = gang;
  return step;
}

Progress
open_first_occurrence(const Workflow& workflow)
{
  Progress progress;
  open_due_occurrences(workflow, progress, 0, 0);
  return progress;
}

void
run(Progress& progress, const TaskRef& task, std::uint32_t attempt)
{
  TaskState* state = find_task(progress, task);
  state->last_attempt = attempt;
  state->run = Run{ attempt, { "server", 1 }, "node", false };
}

} // namespace

// Guards against rows that grow by checkpoints which nothing needs any more.
BOOST_AUTO_TEST_CASE(checkpoint_of_a_done_task_is_kept)
{
  for (bool gang : { false, true }) {
    Workflow workflow = make_workflow({ make_step(2, gang) });
    Progress progress = open_first_occurrence(workflow);
    run(progress, { 0, 0, 0 }, 1);
    run(progress, { 0, 0, 1 }, 1);
    apply_run_end(workflow,
                  progress,
                  { 0, 0, 0 },
                  1,
                  RunEndKind::Done,
                  "saved",
                  MAX_FAILURES);
    BOOST_TEST(find_task(progress, { 0, 0, 0 })->checkpoint.empty());
    if (!gang)
      continue;
    // The rest of the gang is stopped, and leaves its own checkpoint.
    run(progress, { 0, 0, 0 }, 1);
    apply_run_end(workflow,
                  progress,
                  { 0, 0, 1 },
                  1,
                  RunEndKind::GangBroken,
                  "later",
                  MAX_FAILURES);
    BOOST_TEST(find_task(progress, { 0, 0, 0 })->checkpoint.empty());
  }
}

// Guards against gang members that run again after one member has ended as
// done.
BOOST_AUTO_TEST_CASE(one_end_completes_a_gang)
{
  Workflow workflow = make_workflow({ make_step(3, true) });
  Progress progress = open_first_occurrence(workflow);
  for (std::uint32_t index = 0; index < 3; ++index)
    run(progress, { 0, 0, index }, 1);
  BOOST_TEST(apply_run_end(
    workflow, progress, { 0, 0, 1 }, 1, RunEndKind::Done, "", MAX_FAILURES));
  BOOST_TEST((progress.outcome == Outcome::Completed));
  BOOST_TEST(ready_steps(workflow, progress).empty());
  // The other members use their servers until their own ends are recorded.
  BOOST_TEST(has_runs(progress));
  apply_run_end(
    workflow, progress, { 0, 0, 0 }, 1, RunEndKind::Lost, "", MAX_FAILURES);
  apply_run_end(
    workflow, progress, { 0, 0, 2 }, 1, RunEndKind::Done, "", MAX_FAILURES);
  BOOST_TEST(!has_runs(progress));
  BOOST_TEST((progress.outcome == Outcome::Completed));
}

// Guards against gang members that are started again while members of the
// previous attempt still run.
BOOST_AUTO_TEST_CASE(gang_waits_until_all_members_have_ended)
{
  Workflow workflow = make_workflow({ make_step(2, true) });
  Progress progress = open_first_occurrence(workflow);
  run(progress, { 0, 0, 0 }, 1);
  run(progress, { 0, 0, 1 }, 1);
  apply_run_end(
    workflow, progress, { 0, 0, 0 }, 1, RunEndKind::Lost, "", MAX_FAILURES);
  BOOST_TEST(ready_steps(workflow, progress).empty());
  BOOST_TEST(find_task(progress, { 0, 0, 1 })->run->stopping);
  apply_run_end(workflow,
                progress,
                { 0, 0, 1 },
                1,
                RunEndKind::GangBroken,
                "",
                MAX_FAILURES);
  BOOST_TEST(ready_steps(workflow, progress).size() == 1U);
}

// Guards against failures of several gang members in one attempt that count
// more than once.
BOOST_AUTO_TEST_CASE(failures_of_a_gang_count_once_an_attempt)
{
  Workflow workflow = make_workflow({ make_step(2, true) });
  Progress progress = open_first_occurrence(workflow);
  run(progress, { 0, 0, 0 }, 1);
  run(progress, { 0, 0, 1 }, 1);
  apply_run_end(
    workflow, progress, { 0, 0, 0 }, 1, RunEndKind::Failed, "", MAX_FAILURES);
  apply_run_end(
    workflow, progress, { 0, 0, 1 }, 1, RunEndKind::Failed, "", MAX_FAILURES);
  BOOST_TEST((progress.outcome == Outcome::Open));
  run(progress, { 0, 0, 0 }, 2);
  run(progress, { 0, 0, 1 }, 2);
  apply_run_end(
    workflow, progress, { 0, 0, 1 }, 2, RunEndKind::Failed, "", MAX_FAILURES);
  BOOST_TEST((progress.outcome == Outcome::Failed));
  BOOST_TEST(find_task(progress, { 0, 0, 0 })->run->stopping);
}

// Guards against a workflow that fails because of ends other than `Failed`.
BOOST_AUTO_TEST_CASE(only_failures_count_towards_the_limit)
{
  Workflow workflow = make_workflow({ make_step(1) });
  Progress progress = open_first_occurrence(workflow);
  const RunEndKind not_failures[] = {
    RunEndKind::LeaseExpired, RunEndKind::Stopped,
    RunEndKind::GangBroken,   RunEndKind::GangIncomplete,
    RunEndKind::NeverStarted, RunEndKind::Lost
  };
  std::uint32_t attempt = 0;
  for (RunEndKind kind : not_failures) {
    run(progress, { 0, 0, 0 }, ++attempt);
    apply_run_end(
      workflow, progress, { 0, 0, 0 }, attempt, kind, "", MAX_FAILURES);
    BOOST_TEST((progress.outcome == Outcome::Open));
    BOOST_TEST(ready_steps(workflow, progress).size() == 1U);
  }
}

// Guards against the end of an earlier attempt that is applied to a later one.
BOOST_AUTO_TEST_CASE(late_end_of_an_earlier_attempt_changes_nothing)
{
  Workflow workflow = make_workflow({ make_step(1) });
  Progress progress = open_first_occurrence(workflow);
  run(progress, { 0, 0, 0 }, 2);
  BOOST_TEST(!apply_run_end(
    workflow, progress, { 0, 0, 0 }, 1, RunEndKind::Done, "", MAX_FAILURES));
  BOOST_TEST(find_task(progress, { 0, 0, 0 })->run.has_value());
}

// Guards against a step that starts before its dependencies are done.
BOOST_AUTO_TEST_CASE(steps_wait_for_their_dependencies)
{
  Step second = make_step(1);
  second.dependencies = { 0 };
  Workflow workflow = make_workflow({ make_step(2), second });
  Progress progress = open_first_occurrence(workflow);
  run(progress, { 0, 0, 0 }, 1);
  run(progress, { 0, 0, 1 }, 1);
  apply_run_end(
    workflow, progress, { 0, 0, 0 }, 1, RunEndKind::Done, "", MAX_FAILURES);
  BOOST_TEST(ready_steps(workflow, progress).empty());
  apply_run_end(
    workflow, progress, { 0, 0, 1 }, 1, RunEndKind::Done, "", MAX_FAILURES);
  std::vector<ReadyStep> ready = ready_steps(workflow, progress);
  BOOST_REQUIRE(ready.size() == 1U);
  BOOST_TEST(ready.front().step == 1U);
}

// Guards against occurrences that open too early, and against a workflow that
// is completed before its last occurrence.
BOOST_AUTO_TEST_CASE(occurrences_open_when_they_are_due)
{
  Workflow workflow = make_workflow({ make_step(1) });
  workflow.occurrences = 2;
  workflow.first_due_ms = 1'000;
  workflow.period_ms = 500;
  Progress progress;
  BOOST_TEST(!open_due_occurrences(workflow, progress, 700, 250));
  BOOST_TEST(open_due_occurrences(workflow, progress, 750, 250));
  BOOST_TEST(progress.open_occurrences.size() == 1U);
  run(progress, { 0, 0, 0 }, 1);
  apply_run_end(
    workflow, progress, { 0, 0, 0 }, 1, RunEndKind::Done, "", MAX_FAILURES);
  BOOST_TEST((progress.outcome == Outcome::Open));
  BOOST_TEST(open_due_occurrences(workflow, progress, 5'000, 250));
  run(progress, { 1, 0, 0 }, 1);
  apply_run_end(
    workflow, progress, { 1, 0, 0 }, 1, RunEndKind::Done, "", MAX_FAILURES);
  BOOST_TEST((progress.outcome == Outcome::Completed));
}

// Guards against a long-running task that is not started again.
BOOST_AUTO_TEST_CASE(long_running_tasks_run_again_after_any_end)
{
  Step step = make_step(1);
  step.runs_until_cancelled = true;
  Workflow workflow = make_workflow({ step });
  Progress progress = open_first_occurrence(workflow);
  std::uint32_t attempt = 0;
  for (RunEndKind kind : { RunEndKind::Done,
                           RunEndKind::Failed,
                           RunEndKind::Failed,
                           RunEndKind::Failed }) {
    run(progress, { 0, 0, 0 }, ++attempt);
    apply_run_end(
      workflow, progress, { 0, 0, 0 }, attempt, kind, "", MAX_FAILURES);
    BOOST_TEST((progress.outcome == Outcome::Open));
    BOOST_TEST(ready_steps(workflow, progress).size() == 1U);
  }
}

// Guards against task names that are not parsed as they were written.
BOOST_AUTO_TEST_CASE(task_names_are_parsed_as_written)
{
  TaskRef task{ 3, 1, 17 };
  std::string name = task_name("5c0e7a21d94b36f8", task);
  BOOST_TEST(name == "5c0e7a21d94b36f8.3.1.17");
  std::optional<std::pair<std::string, TaskRef>> read = parse_task_name(name);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->first == "5c0e7a21d94b36f8");
  BOOST_TEST((read->second == task));
  for (const char* wrong : { "", "a.b", "a.1.2", "a.1.2.x", ".1.2.3" })
    BOOST_TEST(!parse_task_name(wrong).has_value());
}
