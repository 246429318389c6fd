#define BOOST_TEST_MODULE run_samples
#include "entry/run_samples.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>

using namespace geraniumhinge;

namespace {

constexpr std::int64_t PLACED_MS = 10'000;

/// Runs of one step on nodes n0, n1, ..., as their agents report them.
struct Fixture
{
  entry::ServerTable servers{ entry::LeaseBounds{} };
  core::StepHistory history;
  core::RunTimes run_times;
  entry::RunSamples samples{ run_times, history, servers };
  std::unique_ptr<core::Workflow> workflow = std::make_unique<core::Workflow>();
  std::vector<core::RoundWorkflow> workflows;

  void start(const core::Step& step)
  {
    workflow->id = "5c0e7a21d94b36f8";
    workflow->steps = { step };
    core::RoundWorkflow round_workflow;
    round_workflow.definition = workflow.get();
    core::open_due_occurrences(*workflow, round_workflow.progress, 0, 0);
    core::StepState& tasks = round_workflow.progress.open_occurrences[0][0];
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      std::string number = std::to_string(index);
      tasks[index].last_attempt = 1;
      tasks[index].run = core::Run{ 1, { "i" + number, 1 }, "n" + number };
      history.placed_ms[{ { workflow->id, 0, 0 }, index }] = PLACED_MS;
    }
    workflows = { std::move(round_workflow) };
  }
  core::StepState& tasks()
  {
    return workflows.front().progress.open_occurrences[0][0];
  }
  std::string name(std::uint32_t index) const
  {
    return core::task_name(workflow->id, { 0, 0, index });
  }
  void report(std::uint32_t index,
              std::uint32_t percent,
              std::int64_t now_ms,
              bool done = false)
  {
    entry::AgentView agent;
    agent.node = "n" + std::to_string(index);
    agent.report.set_answering(true);
    if (done) {
      v1::EndReport& end = *agent.report.add_ended();
      end.set_task(name(index));
      end.set_attempt(1);
      end.set_kind(static_cast<std::uint32_t>(core::RunEndKind::Done));
    } else {
      v1::RunReport& run = *agent.report.add_running();
      run.set_task(name(index));
      run.set_attempt(1);
      run.set_percent(percent);
    }
    samples.record_report(agent, now_ms);
  }
  void round() { samples.record_run_times(workflows, PLACED_MS + 5'000); }
  std::size_t known() const { return run_times.speeds().nodes.size(); }
  double factor(const std::string& node) const
  {
    for (const core::NodeSpeed& speed : run_times.speeds().nodes) {
      if (speed.node == node)
        return speed.factor;
    }
    return 0;
  }
};

core::Step
make_step(std::uint32_t tasks, bool gang)
{
  core::Step step;
  step.tasks = tasks;
  step.gang = gang;
  step.estimate_ms = 2'000;
  return step;
}

} // namespace

// Guards against gangs whose members are all taken for equally slow, because
// they end together.
BOOST_FIXTURE_TEST_CASE(members_of_a_gang_are_compared_by_their_progress,
                        Fixture)
{
  start(make_step(3, true));
  report(0, 75, PLACED_MS + 900);
  report(1, 45, PLACED_MS + 900);
  report(2, 30, PLACED_MS + 900);
  round();
  BOOST_TEST(known() == 0U); // Too early to be exact.
  report(0, 0, PLACED_MS + 3'000, true);
  round();
  BOOST_TEST(known() == 3U);
  BOOST_TEST(factor("n0") < 0.85);
  BOOST_TEST(factor("n2") > 1.15);
  BOOST_TEST(factor("n0") < factor("n1"));
  BOOST_TEST(factor("n1") < factor("n2"));
}

// Guards against gangs that are compared only once they have ended: long ones
// would keep their servers unknown.
BOOST_FIXTURE_TEST_CASE(running_gangs_are_compared, Fixture)
{
  start(make_step(2, true));
  report(0, 60, PLACED_MS + 2'000);
  round();
  BOOST_TEST(known() == 0U); // The other member is not known.
  report(1, 30, PLACED_MS + 2'100);
  round();
  BOOST_TEST(known() == 2U);
  BOOST_TEST(factor("n0") < factor("n1"));
}

// Guards against a run that counts more than once, by its progress and its end.
BOOST_FIXTURE_TEST_CASE(each_run_counts_once, Fixture)
{
  start(make_step(1, false));
  report(0, 40, PLACED_MS + 2'000);
  round();
  double first = factor("n0");
  BOOST_TEST(first > 1.0);
  report(0, 60, PLACED_MS + 3'000);
  round();
  report(0, 0, PLACED_MS + 5'000, true);
  round();
  BOOST_TEST(factor("n0") == first);
}

// Guards against run times that grow while the store does not answer: an end is
// reported again until it is stored.
BOOST_FIXTURE_TEST_CASE(the_first_report_of_an_end_counts, Fixture)
{
  start(make_step(1, false));
  report(0, 0, PLACED_MS + 1'000, true);
  report(0, 0, PLACED_MS + 9'000, true);
  round();
  BOOST_TEST(factor("n0") < 1.0);
}

// Guards against servers that look slow or fast because of how a run was
// started: paced down, from a checkpoint, outside the rack of its data, at an
// unknown time, or as a task that only ends when cancelled.
BOOST_FIXTURE_TEST_CASE(runs_that_say_nothing_are_left_out, Fixture)
{
  core::Step paced = make_step(1, false);
  paced.best_effort = true;
  core::Step lasting = make_step(1, false);
  lasting.runs_until_cancelled = true;
  for (const core::Step& step : { paced, lasting }) {
    start(step);
    report(0, 0, PLACED_MS + 5'000, true);
    round();
  }
  start(make_step(1, false));
  tasks().front().checkpoint = "half";
  report(0, 0, PLACED_MS + 500, true);
  round();
  start(make_step(1, false));
  history.placed_ms.clear();
  report(0, 40, PLACED_MS + 5'000);
  report(0, 0, PLACED_MS + 5'000, true);
  round();
  core::Step near_data = make_step(1, false);
  near_data.rack = "r1";
  v1::Envelope envelope;
  envelope.set_sender("n0");
  envelope.set_sender_incarnation(1);
  envelope.mutable_server_report()->mutable_life()->set_id("i0");
  envelope.mutable_server_report()->set_rack("r2");
  servers.apply_report(envelope, PLACED_MS);
  start(near_data);
  report(0, 0, PLACED_MS + 5'000, true);
  round();
  BOOST_TEST(known() == 0U);
}

// Guards against reports on another attempt or an unknown task, and against
// figures of workflows that have ended.
BOOST_FIXTURE_TEST_CASE(other_attempts_and_unknown_tasks_are_ignored, Fixture)
{
  start(make_step(1, false));
  tasks().front().run->attempt = 2;
  report(0, 50, PLACED_MS + 2'000);
  report(0, 0, PLACED_MS + 2'500, true);
  round();
  workflows.clear();
  report(0, 50, PLACED_MS + 2'000);
  report(0, 0, PLACED_MS + 2'500, true);
  round();
  samples.forget("5c0e7a21d94b36f8");
  samples.forget("unknown");
  BOOST_TEST(known() == 0U);
}
