#define BOOST_TEST_MODULE run_tracker
#include "entry/crash_tracker.h"
#include "entry/run_tracker.h"
#include "entry/work_rows.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

constexpr std::int64_t NOW_MS = 100'000;
constexpr char JOB[] = "5c0e7a21d94b36f8";

/// A gang with one member on each server; the agents of all servers report.
struct Fixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  entry::ServerTable servers{ entry::LeaseBounds{} };
  kernel::Metrics metrics;
  entry::RunTracker tracker{ log, metrics, servers };
  core::Workflow workflow;
  std::vector<core::RoundWorkflow> workflows;
  std::uint64_t sequence = 0;

  explicit Fixture(std::uint32_t members = 3)
  {
    core::Step step;
    step.tasks = members;
    step.gang = true;
    workflow.id = JOB;
    workflow.steps = { step };
    core::RoundWorkflow round_workflow;
    round_workflow.definition = &workflow;
    core::open_due_occurrences(workflow, round_workflow.progress, 0, 0);
    for (std::uint32_t index = 0; index < members; ++index)
      round_workflow.progress.open_occurrences[0][0][index].run =
        core::Run{ 1, instance(index), node(index), false, "" };
    workflows.push_back(round_workflow);
    for (std::uint32_t index = 0; index < members; ++index)
      report(index, NOW_MS - 1'000, std::nullopt);
  }

  static core::ServerInstance instance(std::uint32_t index)
  {
    return { "i-" + std::to_string(index), 1 };
  }
  static std::string node(std::uint32_t index)
  {
    return "node-" + std::to_string(index);
  }

  void report(std::uint32_t index,
              std::int64_t now_ms,
              std::optional<core::RunEndKind> end)
  {
    v1::Envelope envelope;
    envelope.set_sender(node(index));
    envelope.set_sender_incarnation(1);
    v1::ServerReport& report = *envelope.mutable_server_report();
    report.set_sequence(++sequence);
    report.mutable_life()->set_id(instance(index).id);
    report.mutable_life()->set_born_ms(1);
    report.set_listed(true);
    report.set_answering(true);
    if (end) {
      v1::EndReport& ended = *report.add_ended();
      ended.set_number(1);
      ended.set_task(core::task_name(JOB, { 0, 0, index }));
      ended.set_attempt(1);
      ended.set_kind(static_cast<std::uint32_t>(*end));
    }
    BOOST_REQUIRE(servers.apply_report(envelope, now_ms) != nullptr);
  }

  std::size_t runs() const
  {
    std::size_t count = 0;
    core::for_each_run(
      workflows[0].progress,
      [&count](const core::TaskRef&, const core::TaskState&) { ++count; });
    return count;
  }

  bool has_run(std::uint32_t index)
  {
    return workflows[0]
      .progress.open_occurrences.at(0)[0][index]
      .run.has_value();
  }

  /// A new process of agent 0 reports a new instance of its server, which lists
  /// the run that was ordered for the previous one.
  v1::Envelope report_stray_run()
  {
    v1::Envelope envelope;
    envelope.set_sender(node(0));
    envelope.set_sender_incarnation(2);
    v1::ServerReport& report = *envelope.mutable_server_report();
    report.set_sequence(1);
    report.mutable_life()->set_id(instance(0).id);
    report.mutable_life()->set_born_ms(2);
    v1::RunReport& stray = *report.add_running();
    stray.set_task(core::task_name(JOB, { 0, 0, 0 }));
    stray.set_attempt(1);
    BOOST_REQUIRE(servers.apply_report(envelope, NOW_MS) != nullptr);
    return envelope;
  }

  void apply(std::int64_t now_ms)
  {
    tracker.apply_ends(workflows, now_ms);
    tracker.apply_lost_runs(workflows[0], now_ms);
  }
};

/// A task whose first attempt, on server 0, counts as lost. Its second attempt
/// is placed on server 1.
struct SingleTask : Fixture
{
  SingleTask()
    : Fixture(1)
  {
    workflow.steps.front().gang = false;
    task().last_attempt = 2;
    task().lost_attempts = { 1 };
    task().run = core::Run{ 2, instance(1), node(1), false, "" };
  }

  core::TaskState& task()
  {
    return workflows[0].progress.open_occurrences.at(0)[0][0];
  }
};

} // namespace

// Guards against a gang that waits for the lease of a lost server to expire
// although the ends of all other members show that the member there has ended.
BOOST_FIXTURE_TEST_CASE(last_member_of_a_broken_gang_has_ended, Fixture)
{
  report(0, NOW_MS, core::RunEndKind::GangBroken);
  report(1, NOW_MS, core::RunEndKind::GangBroken);
  apply(NOW_MS);
  // The third agent was seen a second ago and may still report the end.
  BOOST_TEST(runs() == 1U);
  apply(NOW_MS + 2'000);
  BOOST_TEST(runs() == 0U);
}

// Guards against a task that is started with a rejected ticket again and again,
// until the ticket counts as expired.
BOOST_FIXTURE_TEST_CASE(rejected_ticket_is_used_again, Fixture)
{
  core::StepKey step{ JOB, 0, 0 };
  core::Pool pool;
  pool.servers[instance(0).id].instance = instance(0);
  core::StepHistory history;
  history.advice.record_response({ step, { instance(0) }, 0 },
                                 { { instance(0).id, "ticket" } },
                                 { NOW_MS, NOW_MS },
                                 core::AdviceSettings{ 0, 0, 60'000 });
  core::TaskState& task = workflows[0].progress.open_occurrences.at(0)[0][0];
  task.run->ticket = "ticket";
  BOOST_TEST(history.advice.tickets(step, pool, NOW_MS).size() == 1U);
  report(0, NOW_MS, core::RunEndKind::TicketRejected);
  apply(NOW_MS);
  BOOST_TEST(!task.run.has_value());
  tracker.update_history(workflows, history, NOW_MS);
  BOOST_TEST(history.advice.tickets(step, pool, NOW_MS).empty());
  BOOST_TEST(history.advice.allowed_servers(step, pool).size() == 1U);
}

// Guards against a task that is started more often than it may fail: the run
// had counted as lost, and its agent reports the failure later.
BOOST_FIXTURE_TEST_CASE(late_failure_is_not_counted, SingleTask)
{
  workflows[0].max_failures = 4;
  report(0, NOW_MS, core::RunEndKind::Failed);
  for (int round = 0; round < 3; ++round) {
    workflows[0].changed = false;
    tracker.apply_ends(workflows, NOW_MS);
    BOOST_TEST(task().failures == 1U);
    BOOST_TEST(task().run.has_value());
    BOOST_TEST(workflows[0].changed == (round == 0));
  }
}

// The same if the attempt after it has failed meanwhile.
BOOST_FIXTURE_TEST_CASE(late_failure_behind_a_later_one_is_not_counted,
                        SingleTask)
{
  workflows[0].max_failures = 4;
  core::apply_run_end(workflow,
                      workflows[0].progress,
                      { 0, 0, 0 },
                      2,
                      core::RunEndKind::Failed,
                      "",
                      4);
  report(0, NOW_MS, core::RunEndKind::Failed);
  for (int round = 0; round < 2; ++round) {
    tracker.apply_ends(workflows, NOW_MS);
    BOOST_TEST(task().failures == 2U);
    // The next owner reads the row.
    std::optional<core::Progress> stored =
      entry::decode_progress(entry::encode_progress(workflows[0].progress));
    workflows[0].progress = stored.value();
  }
}

// The same for the last failure that the task may have.
BOOST_FIXTURE_TEST_CASE(last_failure_is_late_and_the_task_goes_on, SingleTask)
{
  workflows[0].max_failures = 1;
  report(0, NOW_MS, core::RunEndKind::Failed);
  tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST((workflows[0].progress.outcome == core::Outcome::Failed));
  BOOST_TEST(task().run->stopping);
}

// Guards against a gang that fails twice by one attempt.
BOOST_FIXTURE_TEST_CASE(late_failure_of_a_gang_counts_twice, Fixture)
{
  workflows[0].max_failures = 4;
  report(0, NOW_MS, core::RunEndKind::Failed);
  report(1, NOW_MS, core::RunEndKind::GangBroken);
  apply(NOW_MS);
  core::StepState& members = workflows[0].progress.open_occurrences.at(0)[0];
  for (core::TaskState& member : members) {
    member.last_attempt = 2;
    member.run.reset();
  }
  report(2, NOW_MS, core::RunEndKind::Failed);
  apply(NOW_MS);
  BOOST_TEST(members.front().failures == 1U);
}

// Guards against treating a member as ended that may still run: the gang was
// broken for another reason, or the ends of two members are unknown.
BOOST_FIXTURE_TEST_CASE(other_members_may_run_on, Fixture)
{
  report(0, NOW_MS, core::RunEndKind::GangBroken);
  apply(NOW_MS + 3'000);
  BOOST_TEST(runs() == 2U);
  report(1, NOW_MS + 3'000, core::RunEndKind::Failed);
  apply(NOW_MS + 3'000);
  BOOST_TEST(runs() == 1U);
}

// Guards against two runs of a member: the former owner recorded why the gang
// was broken, and the new owner takes the silent member for the cause.
BOOST_FIXTURE_TEST_CASE(new_owner_gives_up_a_member_that_may_run, Fixture)
{
  workflows[0].progress.open_occurrences[0][0][0].run.reset();
  report(1, NOW_MS, core::RunEndKind::GangBroken);
  apply(NOW_MS + 2'000);
  BOOST_TEST(runs() == 1U);
}

// Guards against runs on a silent server that are never treated as lost, or
// before the longest possible lease has expired.
BOOST_FIXTURE_TEST_CASE(silent_server_is_lost_after_its_lease, Fixture)
{
  std::int64_t last_seen_ms = NOW_MS - 1'000;
  std::int64_t expiry_ms = entry::LeaseBounds{}.expiry_ms();
  apply(last_seen_ms + expiry_ms);
  BOOST_TEST(runs() == 3U);
  apply(last_seen_ms + expiry_ms + 1);
  BOOST_TEST(runs() == 0U);
}

// A start that an earlier process of the agent had sent has reached the new
// instance, and the agent still has to stop the run.
BOOST_FIXTURE_TEST_CASE(run_on_a_new_instance_counts_as_lost, Fixture)
{
  v1::Envelope envelope = report_stray_run();
  apply(NOW_MS);
  BOOST_TEST(has_run(0));
  envelope.mutable_server_report()->set_sequence(2);
  envelope.mutable_server_report()->clear_running();
  BOOST_REQUIRE(servers.apply_report(envelope, NOW_MS) != nullptr);
  apply(NOW_MS);
  BOOST_TEST(!has_run(0));
}

// The agent may be lost before it reports that the run has ended.
BOOST_FIXTURE_TEST_CASE(run_on_a_new_instance_is_never_lost, Fixture)
{
  report_stray_run();
  apply(NOW_MS + entry::LeaseBounds{}.expiry_ms());
  BOOST_TEST(has_run(0));
  apply(NOW_MS + entry::LeaseBounds{}.expiry_ms() + 1);
  BOOST_TEST(!has_run(0));
}

// Messages on different connections may overtake each other.
BOOST_FIXTURE_TEST_CASE(run_is_lost_by_an_older_report, Fixture)
{
  v1::Envelope envelope;
  envelope.set_sender(node(0));
  envelope.set_sender_incarnation(1);
  v1::ServerReport& older = *envelope.mutable_server_report();
  older.set_sequence(sequence);
  older.mutable_life()->set_id(instance(0).id);
  older.mutable_life()->set_born_ms(1);
  older.set_lease_over(true);
  sequence += 1;
  report(0, NOW_MS, std::nullopt);
  BOOST_TEST(servers.apply_report(envelope, NOW_MS) == nullptr);
  apply(NOW_MS);
  BOOST_TEST(runs() == 3U);
}

// A restarted agent that does not know its server renews no lease, but the one
// of the process before lasts on.
BOOST_FIXTURE_TEST_CASE(restart_of_an_agent_loses_runs_too_early, Fixture)
{
  v1::Envelope envelope;
  envelope.set_sender(node(0));
  envelope.set_sender_incarnation(2);
  std::int64_t lease_ms = entry::LeaseBounds{}.lease_ms();
  std::uint64_t number = 0;
  for (std::int64_t after_ms : { std::int64_t{ 0 }, lease_ms, lease_ms + 1 }) {
    BOOST_TEST(has_run(0));
    envelope.mutable_server_report()->set_sequence(++number);
    envelope.mutable_server_report()->set_no_lease_ms(after_ms);
    BOOST_REQUIRE(servers.apply_report(envelope, NOW_MS + after_ms) != nullptr);
    apply(NOW_MS + after_ms);
  }
  BOOST_TEST(!has_run(0));
}

// The former owner may have sent orders to an agent that the new owner has not
// heard, for as long as an owner works without the store.
BOOST_FIXTURE_TEST_CASE(new_owner_gives_up_unheard_agents_too_early, Fixture)
{
  servers.reset(NOW_MS);
  entry::LeaseBounds bounds;
  std::int64_t expiry_ms = bounds.owner_send_limit_ms + bounds.expiry_ms();
  apply(NOW_MS + expiry_ms);
  BOOST_TEST(runs() == 3U);
  apply(NOW_MS + expiry_ms + 1);
  BOOST_TEST(runs() == 0U);
}

// Guards against tasks of removed machines that stay without a run for longer
// than a job may after a change of the owner.
BOOST_FIXTURE_TEST_CASE(removed_machine_keeps_its_runs_after_a_takeover,
                        Fixture)
{
  constexpr std::int64_t FINISH_MS = 14'000;
  servers.reset(NOW_MS);
  apply(NOW_MS + FINISH_MS);
  BOOST_TEST(runs() == 0U);
}

// The former owner may reply to reports until it stops for lack of a confirmed
// heartbeat, so the leases of agents that it heard may last beyond a takeover.
BOOST_FIXTURE_TEST_CASE(leases_from_the_former_owner_are_waited_for, Fixture)
{
  entry::LeaseBounds bounds;
  std::int64_t confirmed_ms = NOW_MS - 3'000;
  servers.reset(NOW_MS);
  servers.set_former_owner({ confirmed_ms, {} });
  std::int64_t expiry_ms =
    confirmed_ms + bounds.owner_send_limit_ms + bounds.expiry_ms();
  apply(expiry_ms);
  BOOST_TEST(runs() == 3U);
  apply(expiry_ms + 1);
  BOOST_TEST(runs() == 0U);
}

// Guards against a wait for leases that begins anew at each change of the
// owner.
BOOST_FIXTURE_TEST_CASE(each_takeover_prolongs_the_wait_for_a_removed_machine,
                        Fixture)
{
  constexpr std::int64_t TERM_MS = 5'000;
  entry::LeaseBounds bounds;
  std::int64_t reply_ms = NOW_MS + bounds.owner_send_limit_ms;
  servers.reset(NOW_MS);
  for (std::int64_t now : { NOW_MS + TERM_MS, NOW_MS + 2 * TERM_MS }) {
    std::vector<entry::SilentAgent> silent =
      servers.withhold_silent({ node(0), node(1), node(2) }, now);
    BOOST_TEST(silent.size() == 3U);
    servers.reset(now);
    servers.set_former_owner({ now, silent });
  }
  apply(reply_ms + bounds.expiry_ms());
  BOOST_TEST(runs() == 3U);
  apply(reply_ms + bounds.expiry_ms() + 1);
  BOOST_TEST(runs() == 0U);
}

// An agent that reports again gets no orders, and so no renewal, before the
// next owner can know of them.
BOOST_FIXTURE_TEST_CASE(withheld_agent_is_released_by_a_later_heartbeat,
                        Fixture)
{
  entry::LeaseBounds bounds;
  servers.reset(NOW_MS);
  report(0, NOW_MS, std::nullopt);
  report(1, NOW_MS + bounds.orphan_ms, std::nullopt);
  std::int64_t now = NOW_MS + bounds.orphan_ms;
  std::vector<entry::SilentAgent> silent =
    servers.withhold_silent({ node(0), node(1) }, now);
  BOOST_TEST_REQUIRE(silent.size() == 1U);
  BOOST_TEST(silent[0].node == node(0));
  BOOST_TEST(servers.release_withheld(silent).empty());
  report(0, now, std::nullopt);
  BOOST_TEST(servers.is_withheld(node(0)));
  BOOST_TEST(!servers.is_withheld(node(1)));
  silent = servers.withhold_silent({ node(0), node(1) }, now);
  BOOST_TEST(silent.empty());
  BOOST_TEST(servers.is_withheld(node(0)));
  BOOST_TEST(servers.release_withheld(silent).size() == 1U);
  BOOST_TEST(!servers.is_withheld(node(0)));
}

// Guards against ends of a new server instance that count as stored because
// the previous instance had used the same numbers.
BOOST_FIXTURE_TEST_CASE(applied_ends_name_their_instance, Fixture)
{
  report(0, NOW_MS, core::RunEndKind::Done);
  std::map<std::string, entry::AppliedEnds> applied =
    tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST((applied.at(node(0)).instance == instance(0)));
  BOOST_TEST(applied.at(node(0)).number == 1U);
  BOOST_TEST(applied.at(node(1)).number == 0U);
}

// Guards against running a task again whose success came late: its server was
// silent until the run counted as lost, and has kept the end.
BOOST_FIXTURE_TEST_CASE(late_success_ends_the_task, SingleTask)
{
  report(0, NOW_MS, core::RunEndKind::Done);
  std::map<std::string, entry::AppliedEnds> applied =
    tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST(task().done);
  BOOST_TEST(task().run->stopping);
  BOOST_TEST((workflows[0].progress.outcome == core::Outcome::Completed));
  // The second attempt may still start, so the end stays unacknowledged.
  BOOST_TEST(applied.at(node(0)).number == 0U);
}

// Guards against a success that is never acknowledged, or acknowledged while a
// later attempt may still start.
BOOST_FIXTURE_TEST_CASE(late_success_is_acknowledged_after_the_stop, SingleTask)
{
  report(0, NOW_MS, core::RunEndKind::Done);
  tracker.apply_ends(workflows, NOW_MS);
  task().run.reset();
  std::map<std::string, entry::AppliedEnds> applied =
    tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST(applied.at(node(0)).number == 1U);
}

// The success of one member is that of the whole gang, so no other member may
// start after it is acknowledged.
BOOST_FIXTURE_TEST_CASE(success_is_acknowledged_while_another_member_may_start,
                        Fixture)
{
  core::StepState& members = workflows[0].progress.open_occurrences.at(0)[0];
  for (core::TaskState& member : members)
    member.last_attempt = 2;
  members[0].run.reset();
  members[1].run->attempt = 2;
  members[2].run.reset();
  report(0, NOW_MS, core::RunEndKind::Done);
  std::map<std::string, entry::AppliedEnds> applied =
    tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST(members[1].run->stopping);
  BOOST_TEST(applied.at(node(0)).number == 0U);
  members[1].run.reset();
  applied = tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST(applied.at(node(0)).number == 1U);
}

// Guards against a task that counts as done by an attempt that was never made.
BOOST_FIXTURE_TEST_CASE(success_of_an_unknown_attempt_is_ignored, SingleTask)
{
  task().last_attempt = 0;
  report(0, NOW_MS, core::RunEndKind::Done);
  tracker.apply_ends(workflows, NOW_MS);
  BOOST_TEST(!task().done);
}

BOOST_FIXTURE_TEST_CASE(crash_count_is_not_stored, SingleTask)
{
  v1::Envelope envelope;
  envelope.set_sender(node(0));
  envelope.set_sender_incarnation(1);
  v1::ServerReport& server_report = *envelope.mutable_server_report();
  server_report.set_sequence(++sequence);
  v1::CrashReport& crash = *server_report.add_crashes();
  crash.mutable_life()->set_id(instance(0).id);
  v1::CrashedRun& run = *crash.add_runs();
  run.set_task(core::task_name(JOB, { 0, 0, 0 }));
  run.set_attempt(2);
  BOOST_REQUIRE(servers.apply_report(envelope, NOW_MS) != nullptr);
  entry::CrashTracker crash_tracker{ log, metrics, servers };
  crash_tracker.apply(workflows, {}, NOW_MS);
  crash_tracker.apply(workflows, {}, NOW_MS);
  BOOST_TEST(workflows[0].changed);
  std::optional<core::Progress> stored =
    entry::decode_progress(entry::encode_progress(workflows[0].progress));
  BOOST_REQUIRE(stored.has_value());
  const core::TaskState& state = stored->open_occurrences.at(0)[0][0];
  BOOST_TEST(state.crashes == 1U);
  BOOST_TEST(state.early_crashes == 1U);
  BOOST_TEST(state.crashed_attempt == 2U);
}

// Guards against a gang's newest checkpoint that is taken from one member only,
// and against a repeated report of a checkpoint that counts as a new one.
BOOST_FIXTURE_TEST_CASE(newest_checkpoint_of_a_gang_is_known, Fixture)
{
  struct Report
  {
    std::uint32_t member;
    const char* checkpoint;
    std::int64_t now_ms;
    std::int64_t saved_ms;
  };
  for (const Report& item :
       { Report{ 1, "a", NOW_MS, NOW_MS },
         Report{ 1, "a", NOW_MS + 1'000, NOW_MS },
         Report{ 2, "b", NOW_MS + 2'000, NOW_MS + 2'000 } }) {
    entry::AgentView agent;
    agent.report.set_answering(true);
    v1::RunReport& run = *agent.report.add_running();
    run.set_task(core::task_name(JOB, { 0, 0, item.member }));
    run.set_attempt(1);
    run.set_checkpoint(item.checkpoint);
    tracker.record_progress(agent, item.now_ms);
    core::StepHistory history;
    tracker.update_history(workflows, history, item.now_ms);
    BOOST_TEST(history.saved_ms.size() == 1U);
    BOOST_TEST((history.saved_ms[{ { JOB, 0, 0 }, 0 }]) == item.saved_ms);
  }
}
