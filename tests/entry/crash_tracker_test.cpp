#define BOOST_TEST_MODULE crash_tracker
#include "entry/crash_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

constexpr std::int64_t NOW_MS = 100'000;
constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr char NODE[] = "node-1";
constexpr std::uint64_t OLD_TERM = 5;

/// A new owner, and two tasks on the server `i-1` that an earlier owner placed.
struct Fixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  entry::ServerTable servers{ entry::LeaseBounds{} };
  entry::CrashTracker tracker{ log, metrics, servers };
  core::Workflow workflow;
  std::vector<core::RoundWorkflow> workflows{ 1 };
  core::StepHistory history;
  v1::Envelope envelope;
  v1::ServerReport& report = *envelope.mutable_server_report();
  std::int64_t now_ms = NOW_MS;

  Fixture()
  {
    core::Step step;
    step.tasks = 2;
    workflow.id = JOB;
    workflow.steps = { step };
    workflows.front().definition = &workflow;
    core::open_due_occurrences(workflow, workflows.front().progress, 0, 0);
    place("i-1");
    envelope.set_sender(NODE);
    envelope.set_sender_incarnation(1);
    report.set_term(OLD_TERM);
    servers.reset(now_ms);
  }

  core::TaskState& task(std::uint32_t index = 0)
  {
    return workflows.front().progress.open_occurrences[0][0][index];
  }

  /// Places the next attempt of both tasks.
  void place(const std::string& server)
  {
    for (std::uint32_t index : { 0U, 1U }) {
      core::TaskState& state = task(index);
      ++state.last_attempt;
      state.run = core::Run{ state.last_attempt, { server, 1 }, NODE };
    }
  }

  /// Applies the agent's next report. An empty identifier means that the agent
  /// does not know its server.
  void send(const std::string& server)
  {
    report.mutable_life()->set_id(server);
    report.mutable_life()->set_born_ms(server.empty() ? 0 : 1);
    report.set_sequence(report.sequence() + 1);
    BOOST_REQUIRE(servers.apply_report(envelope, now_ms) != nullptr);
    report.set_term(OLD_TERM + 1);
    tracker.apply(workflows, history, now_ms);
  }

  /// The agent restarts, and its new process does not find the server while
  /// leases may last.
  void lose_server()
  {
    envelope.set_sender_incarnation(envelope.sender_incarnation() + 1);
    report.set_leaving(false);
    report.clear_no_lease_ms();
    send("");
    std::int64_t silence_ms = entry::LeaseBounds{}.lease_ms() + 1;
    now_ms += silence_ms;
    report.set_no_lease_ms(silence_ms);
    send("");
  }

  void add_crash(const std::string& server)
  {
    v1::CrashReport& crash = *report.add_crashes();
    crash.mutable_life()->set_id(server);
    crash.mutable_life()->set_born_ms(1);
    v1::CrashedRun& run = *crash.add_runs();
    run.set_task(core::task_name(JOB, { 0, 0, 0 }));
    run.set_attempt(task().last_attempt);
  }
};

} // namespace

// The agent restarted just before the owner changed, or meanwhile.
BOOST_FIXTURE_TEST_CASE(crash_unseen_by_agent_and_owner_is_not_counted, Fixture)
{
  send("");
  BOOST_TEST(task().crashes == 0U);
  send("i-2");
  BOOST_TEST(task(0).crashes == 1U);
  BOOST_TEST(task(1).crashes == 1U);
}

BOOST_FIXTURE_TEST_CASE(crash_before_the_first_orders_is_not_counted, Fixture)
{
  report.set_term(0);
  send("i-2");
  BOOST_TEST(task().crashes == 1U);
}

// When the runs started is unknown.
BOOST_FIXTURE_TEST_CASE(unseen_crash_counts_as_soon_after_a_start, Fixture)
{
  send("");
  send("i-2");
  BOOST_TEST(task().early_crashes == 0U);
}

BOOST_FIXTURE_TEST_CASE(unseen_crash_counts_in_each_round, Fixture)
{
  send("");
  send("i-2");
  send("i-2");
  BOOST_TEST(task().crashes == 1U);
}

// The reported crash names the run that caused it.
BOOST_FIXTURE_TEST_CASE(reported_crash_counts_as_unseen_too, Fixture)
{
  add_crash("i-1");
  send("");
  send("i-2");
  BOOST_TEST(task(0).early_crashes == 1U);
  BOOST_TEST(task(0).crashes == 1U);
  BOOST_TEST(task(1).crashes == 0U);
}

// The agent's process has served an earlier owner and has seen the departure.
BOOST_FIXTURE_TEST_CASE(departure_before_the_first_report_counts_as_a_crash,
                        Fixture)
{
  send("i-2");
  BOOST_TEST(task().crashes == 0U);
}

BOOST_FIXTURE_TEST_CASE(departure_of_an_adopted_server_counts_as_a_crash,
                        Fixture)
{
  send("");
  send("i-1");
  report.set_leaving(true);
  send("i-1");
  report.set_leaving(false);
  send("i-2");
  BOOST_TEST(task().crashes == 0U);
}

// A later server of the same process left in an orderly way.
BOOST_FIXTURE_TEST_CASE(departure_of_a_later_server_counts_as_a_crash, Fixture)
{
  send("");
  send("i-2");
  place("i-2");
  send("i-2");
  report.set_leaving(true);
  send("i-2");
  report.set_leaving(false);
  send("i-3");
  BOOST_TEST(task().crashes == 1U);
}

// Runs are stopped on a server that leaves.
BOOST_FIXTURE_TEST_CASE(run_stopped_for_a_departure_counts_as_crashed, Fixture)
{
  task(0).run->stopping = true;
  send("");
  send("i-2");
  BOOST_TEST(task(0).crashes == 0U);
  BOOST_TEST(task(1).crashes == 1U);
}

// The server runs on, but is cut off while its agent restarts.
BOOST_FIXTURE_TEST_CASE(silent_server_counts_as_crashed, Fixture)
{
  send("i-1");
  history.placed_ms[{ { JOB, 0, 0 }, 0 }] = now_ms;
  lose_server();
  BOOST_TEST(task().early_crashes == 0U);
  BOOST_TEST(task().crashes == 1U);
  send("i-1");
  BOOST_TEST(task().crashes == 0U);
  BOOST_TEST(workflows.front().changed);
}

BOOST_FIXTURE_TEST_CASE(task_fails_by_three_silent_servers, Fixture)
{
  for (std::uint32_t count = 0; count < core::MAX_CRASHES + 1; ++count) {
    send("i-1");
    lose_server();
    BOOST_TEST((workflows.front().progress.outcome == core::Outcome::Open));
    send("i-1");
    place("i-1");
  }
  BOOST_TEST(task().crashes == 0U);
}

// A server may crash and never return.
BOOST_FIXTURE_TEST_CASE(servers_that_stay_away_are_not_counted, Fixture)
{
  for (std::uint32_t count = 1; count <= core::MAX_CRASHES; ++count) {
    std::string server = "i-" + std::to_string(count);
    envelope.set_sender("node-" + std::to_string(count));
    if (count > 1)
      place(server);
    task(0).run->node = envelope.sender();
    task(1).run.reset();
    report.clear_sequence();
    send(server);
    lose_server();
    BOOST_TEST(task().crashes == count);
  }
  BOOST_TEST((workflows.front().progress.outcome == core::Outcome::Failed));
}

BOOST_FIXTURE_TEST_CASE(doubtful_crash_is_withdrawn_for_another_instance,
                        Fixture)
{
  send("i-1");
  lose_server();
  send("i-2");
  send("i-2");
  BOOST_TEST(task().crashes == 1U);
}

BOOST_FIXTURE_TEST_CASE(unseen_server_that_stays_away_is_not_counted, Fixture)
{
  lose_server();
  BOOST_TEST(task().crashes == 1U);
  send("i-1");
  BOOST_TEST(task().crashes == 0U);
}

BOOST_FIXTURE_TEST_CASE(departure_during_a_restart_counts_as_doubtful, Fixture)
{
  report.set_leaving(true);
  send("i-1");
  lose_server();
  BOOST_TEST(task().crashes == 0U);
}
