#define BOOST_TEST_MODULE work_scheduler
#include "entry/work_scheduler.h"

#include "entry/work_rows.h"
#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr int ALL = 1'000;
const RowStoreStandin::Name CANCEL_ROW{ "work",
                                        "main",
                                        std::string("c/") + JOB };

/// An owner, a store, the agent of one server, and a job of one task.
struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 8 };
  RowStoreStandin standin{ loop, timers };
  platform::Store store{ loop, log, metrics, client, standin.address() };
  entry::WorkView view;
  entry::ServerTable servers{ entry::LeaseBounds{} };
  core::OperatorConfig operator_config;
  std::uint64_t term = 0;
  bool superseded = false;
  bool work_is_current = true;
  bool evacuations_are_current = true;
  bool acknowledged_early = false; ///< Not all ends were stored before.
  v1::ServerOrders sent;           ///< The last orders.
  std::vector<core::AdviceRequest> advice_requests; ///< Of the last round.
  entry::SharedEnds shared_ends;
  entry::Evacuations evacuations{ log, metrics, 0 };
  entry::WorkScheduler scheduler{ loop,        timers,   log,     metrics,
                                  store,       view,     servers, shared_ends,
                                  evacuations, limits(), hooks() };
  v1::Envelope envelope;
  v1::ServerReport& report = *envelope.mutable_server_report();

  Fixture()
  {
    standin.put({ "owner", "main", "owner" }, "this entry");
    term = standin.rows.at({ "owner", "main", "owner" }).version;
    add_job(JOB);
    envelope.set_sender("node-1");
    envelope.set_sender_incarnation(1);
    report.mutable_life()->set_id("i-1");
    report.mutable_life()->set_born_ms(1);
    report.set_service("planner");
    report.mutable_room()->set_millicores(32'000);
    report.mutable_room()->set_memory_mb(131'072);
    report.set_ready(true);
    report.set_listed(true);
    report.set_answering(true);
    scheduler.start_term(term);
    // The first transaction opens the job.
    run_until([this] { return view.find(JOB)->progress_version != 0; });
  }

  static core::Queue less_urgent_queue()
  {
    core::Queue queue;
    queue.host = "less urgent";
    queue.service = "planner";
    queue.priority = 1;
    return queue;
  }

  void add_job(const std::string& id,
               std::uint32_t tasks = 1,
               const std::optional<core::AdviceSettings>& advice = {},
               const std::string& queue = "")
  {
    core::Workflow workflow;
    workflow.queue = queue;
    workflow.advice = advice;
    workflow.id = id;
    workflow.service = "planner";
    workflow.steps = { core::Step{} };
    workflow.steps.front().tasks = tasks;
    std::string value = entry::encode_workflow(workflow);
    RowStoreStandin::Name name{ "work", "main", "j/" + id };
    standin.put(name, value);
    view.apply(
      platform::StoredRow{ entry::work_row(entry::WorkRowKind::Workflow, id),
                           value,
                           standin.rows.at(name).version,
                           false });
  }

  void reload_rows()
  {
    scheduler.end_term();
    store.read_all({ platform::WORK_TABLE, platform::WORK_PART, "", 0 },
                   kernel::Milliseconds(1'000),
                   [this](const platform::Store::ReadResult& page) {
                     view.replace(page.value());
                     scheduler.start_term(term);
                   });
  }

  void evacuate(const std::string& zone, std::int64_t known_until_ms)
  {
    platform::RowPage page;
    page.rows.push_back({ { "op", "", "evacuate/" + zone }, "{}", 1, false });
    evacuations.apply(page, known_until_ms);
  }

  bool has_run() const { return core::has_runs(view.find(JOB)->progress); }

  static entry::WorkSchedulerLimits limits()
  {
    entry::WorkSchedulerLimits limits;
    limits.retention_ms = 1'000'000;
    return limits;
  }

  entry::WorkSchedulerHooks hooks()
  {
    entry::WorkSchedulerHooks hooks;
    hooks.operator_config = [this]() -> const core::OperatorConfig& {
      return operator_config;
    };
    hooks.may_send_orders = [] { return true; };
    hooks.work_is_current = [this] { return work_is_current; };
    hooks.evacuations_are_current = [this] { return evacuations_are_current; };
    hooks.send = [this](const std::string&, v1::ServerOrders orders) {
      bool too_early = orders.stored_ends() > 0 && !all_completed();
      acknowledged_early = acknowledged_early || too_early;
      sent = std::move(orders);
    };
    hooks.term_superseded = [this] { superseded = true; };
    hooks.reload_rows = [this] { reload_rows(); };
    hooks.request_advice =
      [this](const std::vector<core::AdviceRequest>& requests) {
        advice_requests = requests;
      };
    return hooks;
  }

  void send_report()
  {
    report.set_sequence(report.sequence() + 1);
    entry::AgentView* agent = servers.apply_report(envelope, kernel::boot_ms());
    BOOST_TEST_REQUIRE(agent);
    if (agent)
      scheduler.apply_report(*agent);
  }

  void report_until(const std::function<bool()>& condition)
  {
    kernel::Subscription report_timer =
      timers.every(kernel::Milliseconds(20), [this] { send_report(); });
    run_until(condition);
  }

  void add_end(core::RunEndKind kind, const std::string& job = JOB)
  {
    std::uint64_t number = report.ended().size() + 1;
    v1::EndReport& end = *report.add_ended();
    end.set_number(number);
    end.set_task(core::task_name(job, { 0, 0, 0 }));
    end.set_attempt(1);
    end.set_kind(static_cast<std::uint32_t>(kind));
  }

  bool all_completed() const
  {
    for (const std::pair<const std::string, entry::WorkItem>& item :
         view.items()) {
      if (item.second.progress.outcome != core::Outcome::Completed)
        return false;
    }
    return true;
  }
};

} // namespace

// Guards against a run that another owner does not know of.
BOOST_FIXTURE_TEST_CASE(run_is_ordered_before_it_is_stored, Fixture)
{
  standin.delayed_writes = ALL;
  report_until([this] { return standin.delayed_writes < ALL; });
  send_report();
  BOOST_TEST(sent.runs_size() == 0);
  standin.delayed_writes = 0;
  standin.apply_delayed_writes();
  report_until([this] { return sent.runs_size() == 1; });
}

// Guards against a task that runs again under the next owner, which learns
// neither from the store nor from the server that it has ended.
BOOST_FIXTURE_TEST_CASE(end_is_acknowledged_before_it_is_stored, Fixture)
{
  report_until([this] { return sent.runs_size() == 1; });
  standin.delayed_writes = ALL;
  add_end(core::RunEndKind::Done);
  report_until([this] { return standin.delayed_writes < ALL; });
  send_report();
  BOOST_TEST(sent.stored_ends() == 0U);
  BOOST_TEST(sent.runs_size() == 0);
  standin.delayed_writes = 0;
  standin.apply_delayed_writes();
  report_until([this] { return sent.stored_ends() == 1U; });
}

// Guards against a job that starts long after a caller was told that it is
// cancelled: the placement was decided before and stored late.
BOOST_FIXTURE_TEST_CASE(cancelled_job_starts_by_a_late_placement, Fixture)
{
  standin.delayed_writes = ALL;
  report_until([this] { return standin.delayed_writes < ALL; });
  standin.put(CANCEL_ROW, "");
  standin.delayed_writes = 0;
  standin.apply_delayed_writes();
  report_until([this] {
    return has_run() ||
           view.find(JOB)->progress.outcome == core::Outcome::Cancelled;
  });
  BOOST_TEST(!has_run());
  BOOST_TEST(sent.runs_size() == 0);
}

// Guards against an owner whose transactions fail for good: it took the version
// of the cancel row for that of its own write, whose response was lost.
BOOST_FIXTURE_TEST_CASE(cancel_after_a_lost_response_blocks_the_owner, Fixture)
{
  standin.unanswered_writes = 1;
  standin.on_write = [this](const RowStoreStandin::Name&) {
    if (!standin.has(CANCEL_ROW))
      standin.put(CANCEL_ROW, "");
  };
  report_until([this] { return has_run(); });
  reload_rows();
  add_end(core::RunEndKind::Stopped);
  report_until([this] { return !has_run(); });
  BOOST_TEST((view.find(JOB)->progress.outcome == core::Outcome::Cancelled));
}

// Guards against placements that fail for good on a row of a cancel that
// another writer left, or removed.
BOOST_FIXTURE_TEST_CASE(foreign_cancel_row_blocks_all_placements, Fixture)
{
  standin.put_encoded(CANCEL_ROW, "not base64");
  report_until([this] { return sent.runs_size() == 1; });
  standin.remove(CANCEL_ROW);
  add_end(core::RunEndKind::LeaseExpired);
  report_until(
    [this] { return sent.runs_size() == 1 && sent.runs(0).attempt() == 2U; });
}

// Guards against leases that the next owner does not wait for.
BOOST_FIXTURE_TEST_CASE(withheld_agent_gets_orders, Fixture)
{
  report_until([this] { return sent.runs_size() == 1; });
  std::int64_t silent_ms = kernel::boot_ms() + entry::LeaseBounds{}.orphan_ms;
  servers.withhold_silent({ "node-1" }, silent_ms);
  std::uint64_t before = sent.sequence();
  send_report();
  BOOST_TEST(sent.sequence() == before);
  for (entry::AgentView* agent : servers.release_withheld({}))
    scheduler.send_orders(*agent);
  BOOST_TEST(sent.sequence() > before);
}

// Guards against starts by an owner that can't know of a cancel.
BOOST_FIXTURE_TEST_CASE(runs_start_on_outdated_rows, Fixture)
{
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(!sent.no_starts());
  work_is_current = false;
  send_report();
  BOOST_TEST(sent.no_starts());
  BOOST_TEST(sent.runs_size() == 1);
}

// Guards against starts by an owner that can't know of an evacuation.
BOOST_FIXTURE_TEST_CASE(runs_start_on_outdated_evacuations, Fixture)
{
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(!sent.no_starts());
  evacuations_are_current = false;
  send_report();
  BOOST_TEST(sent.no_starts());
  BOOST_TEST(sent.runs_size() == 1);
}

// Guards against a run that starts in an evacuated zone although the owner
// knows of the evacuation, and against one that never starts elsewhere. The
// agent learns of the end of starts without a report of its own.
BOOST_FIXTURE_TEST_CASE(placed_run_starts_in_an_evacuated_zone, Fixture)
{
  report.set_zone("north");
  report_until([this] { return sent.runs_size() == 1; });
  std::uint64_t before = sent.sequence();
  evacuate("north", kernel::boot_ms());
  scheduler.schedule_decision();
  run_until([this, before] { return sent.sequence() > before; });
  BOOST_TEST(sent.no_starts());
  BOOST_TEST(sent.runs_size() == 1);
  report_until([this] { return sent.stops_size() == 1; });
  BOOST_TEST(sent.runs_size() == 0);
  BOOST_TEST(metrics.counter("entry_runs_recalled_total").value() == 1U);
  add_end(core::RunEndKind::NeverStarted);
  report_until([this] { return !has_run(); });
  for (int reports = 0; reports < 5; ++reports)
    send_report();
  BOOST_TEST(!has_run());
  evacuations.replace({}, kernel::boot_ms());
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(!sent.no_starts());
}

// Guards against work in other zones that an evacuation holds up.
BOOST_FIXTURE_TEST_CASE(evacuation_stops_starts_in_other_zones, Fixture)
{
  report.set_zone("south");
  evacuate("north", 0);
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(!sent.no_starts());
}

// Guards against running work that is stopped by an evacuation.
BOOST_FIXTURE_TEST_CASE(evacuation_stops_running_work, Fixture)
{
  report.set_zone("north");
  report_until([this] { return sent.runs_size() == 1; });
  v1::RunReport& run = *report.add_running();
  run.set_task(core::task_name(JOB, { 0, 0, 0 }));
  run.set_attempt(1);
  evacuate("north", 0);
  report_until([this] { return sent.no_starts(); });
  int commits = standin.commits;
  std::uint64_t before = sent.sequence();
  report_until([this, before] { return sent.sequence() > before + 10; });
  BOOST_TEST(sent.runs_size() == 1);
  BOOST_TEST(sent.stops_size() == 0);
  BOOST_TEST(standin.commits == commits);
}

// Guards against the next attempt of a task that no row shows, and against
// orders for the attempt before.
BOOST_FIXTURE_TEST_CASE(task_is_placed_again_before_its_end_is_stored, Fixture)
{
  report_until([this] { return sent.runs_size() == 1; });
  standin.delayed_writes = ALL;
  add_end(core::RunEndKind::LeaseExpired);
  report_until([this] { return standin.delayed_writes < ALL - 1; });
  send_report();
  BOOST_TEST(sent.runs_size() == 0);
  standin.delayed_writes = 0;
  standin.apply_delayed_writes();
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(sent.runs(0).attempt() == 2U);
}

// More ends than one transaction can store.
BOOST_FIXTURE_TEST_CASE(deferred_end_is_acknowledged_before_it_is_stored,
                        Fixture)
{
  constexpr int JOBS = 60;
  std::vector<std::string> jobs{ JOB };
  while (jobs.size() < JOBS) {
    jobs.push_back(fmt::format("5c0e7a21d94b{:04x}", jobs.size()));
    add_job(jobs.back());
  }
  report_until([this] { return sent.runs_size() == JOBS; });
  for (const std::string& job : jobs)
    add_end(core::RunEndKind::Done, job);
  report_until([this] { return sent.stored_ends() > 0; });
  BOOST_TEST(!acknowledged_early);
}

// Guards against a task that runs again and again: its end was acknowledged
// although the row of its job was too long to be stored. The ends of other jobs
// must not wait.
BOOST_FIXTURE_TEST_CASE(end_in_an_oversized_row_is_acknowledged, Fixture)
{
  constexpr char LARGE_JOB[] = "5c0e7a21d94b36f9";
  constexpr std::uint32_t TASKS = 400;
  constexpr std::size_t SMALL_ROW_BYTES = 500;
  add_job(LARGE_JOB, TASKS);
  report_until([this] { return sent.runs_size() > 1; });
  entry::WorkSchedulerLimits changed = limits();
  changed.max_row_bytes = SMALL_ROW_BYTES;
  scheduler.set_limits(changed);
  add_end(core::RunEndKind::Done);
  add_end(core::RunEndKind::Done, LARGE_JOB);
  report_until([this] { return sent.stored_ends() > 0; });
  for (int reports = 0; reports < 5; ++reports) {
    std::uint64_t before = sent.sequence();
    report_until([this, before] { return sent.sequence() > before + 3; });
    BOOST_TEST(sent.stored_ends() == 1U);
  }
  scheduler.set_limits(limits());
  report_until([this] { return sent.stored_ends() == 2U; });
}

// Guards against starts without a ticket, which servers reject, after the queue
// of an accepted job was removed.
BOOST_FIXTURE_TEST_CASE(job_of_a_removed_queue_runs_without_a_ticket, Fixture)
{
  constexpr char ADVISED_JOB[] = "5c0e7a21d94b36f9";
  report_until([this] { return sent.runs_size() == 1; });
  add_job(ADVISED_JOB, 1, core::AdviceSettings{ 20, 2, 20'000 });
  report_until(
    [this] { return !advice_requests.empty() || sent.runs_size() == 2; });
  BOOST_TEST(sent.runs_size() == 1);
  BOOST_REQUIRE(!advice_requests.empty());
  scheduler.record_advice(
    advice_requests.front(), { { "i-1", "ticket" } }, kernel::boot_ms());
  report_until([this] { return sent.runs_size() == 2; });
  const v1::RunOrder& first = sent.runs(0);
  const v1::RunOrder& advised =
    first.task().starts_with(ADVISED_JOB) ? first : sent.runs(1);
  BOOST_TEST(advised.ticket() == "ticket");
}

// Guards against orders of two owners at once.
BOOST_FIXTURE_TEST_CASE(superseded_owner_places_work, Fixture)
{
  standin.put({ "owner", "main", "owner" }, "another entry");
  report_until([this] { return superseded; });
  send_report();
  BOOST_TEST(standin.commits == 1);
  BOOST_TEST(sent.runs_size() == 0);
}

// The transaction is sent again, since it may not have been applied.
BOOST_FIXTURE_TEST_CASE(lost_response_of_the_store_places_a_task_twice, Fixture)
{
  standin.unanswered_writes = 1;
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(standin.commits == 2);
  BOOST_TEST(sent.runs(0).attempt() == 1U);
}

// Guards against agents that ignore all orders after the rows were read again:
// within a term, they carry out only orders with a higher sequence number.
BOOST_FIXTURE_TEST_CASE(orders_after_a_reload_are_ignored, Fixture)
{
  send_report();
  send_report();
  std::uint64_t before = sent.sequence();
  scheduler.end_term();
  scheduler.start_term(term);
  send_report();
  BOOST_TEST(sent.sequence() > before);
}

// Guards against an agent that waits for its next report, and so grants no
// lease meanwhile, because it reported while a new owner read the rows.
BOOST_FIXTURE_TEST_CASE(early_report_gets_no_orders, Fixture)
{
  report_until([this] { return sent.runs_size() == 1; });
  scheduler.end_term();
  servers.reset(kernel::boot_ms());
  sent.Clear();
  send_report();
  BOOST_TEST(sent.term() == 0U);
  scheduler.start_term(term);
  run_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(sent.report_sequence() == report.sequence());
}

// Guards against work that a new owner places on the first servers that report,
// or never places because an agent has ended for good.
BOOST_FIXTURE_TEST_CASE(new_owner_places_work_before_agents_report, Fixture)
{
  constexpr char LESS_URGENT_JOB[] = "5c0e7a21d94b36f9";
  constexpr std::int64_t SETTLE_MS = 1'500;
  entry::WorkSchedulerLimits changed = limits();
  changed.settle_ms = SETTLE_MS;
  scheduler.set_limits(changed);
  std::int64_t since_ms = kernel::boot_ms();
  servers.reset(since_ms);
  servers.add_agent("node-1", "");
  servers.add_agent("ended", "");
  servers.set_agents_listed();
  operator_config.queues.push_back(less_urgent_queue());
  add_job(LESS_URGENT_JOB, 1, {}, "less urgent");
  report_until([this] { return sent.runs_size() == 1; });
  BOOST_TEST(sent.runs(0).task().starts_with(JOB));
  report_until([this] { return sent.runs_size() == 2; });
  BOOST_TEST(kernel::boot_ms() - since_ms >= SETTLE_MS);
}

// Guards against a delay when all agents have reported.
BOOST_FIXTURE_TEST_CASE(new_owner_waits_for_agents_that_it_knows, Fixture)
{
  entry::WorkSchedulerLimits changed = limits();
  changed.settle_ms = 1'000'000;
  scheduler.set_limits(changed);
  servers.reset(kernel::boot_ms());
  servers.add_agent("node-1", "");
  servers.add_agent("silent", "");
  servers.set_former_owner({ kernel::boot_ms(), { { "silent", 1 } } });
  servers.set_agents_listed();
  operator_config.queues.push_back(less_urgent_queue());
  add_job("5c0e7a21d94b36f9", 1, {}, "less urgent");
  report_until([this] { return sent.runs_size() == 2; });
}

// Guards against speeds that are stored and do not reach the placements: work
// without an objective takes slow servers first.
BOOST_FIXTURE_TEST_CASE(stored_speeds_decide_placements, Fixture)
{
  constexpr char SPEEDS[] =
    R"({"nodes":[["node-1",60,20],["node-2",160,20],["a",100,20],
       ["b",100,20],["c",100,20]],"products":100,"squares":1})";
  standin.put({ "estimates", "main", "speeds" }, SPEEDS);
  int reads = standin.reads;
  reload_rows();
  // One page of the work rows, one of the speeds.
  run_until([this, reads] { return standin.reads >= reads + 2; });
  // The responses have arrived once a later read has been answered.
  bool answered = false;
  store.read(
    { "owner", "main", "", 1 },
    kernel::Milliseconds(1'000),
    [&answered](const platform::Store::ReadResult&) { answered = true; });
  run_until([&answered] { return answered; });
  send_report();
  v1::Envelope second = envelope;
  second.set_sender("node-2");
  second.mutable_server_report()->mutable_life()->set_id("i-2");
  scheduler.apply_report(*servers.apply_report(second, kernel::boot_ms()));
  run_until([this] { return has_run(); });
  const core::Progress& progress = view.find(JOB)->progress;
  BOOST_TEST(progress.open_occurrences.at(0)[0][0].run->server.id == "i-2");
}
