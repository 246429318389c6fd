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
constexpr char TASK[] = "5c0e7a21d94b36f8.0.0.0";
constexpr int ALL = 1'000;

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
  v1::ServerOrders sent; ///< The last orders.
  entry::WorkScheduler scheduler{ loop, timers,  log,      metrics, store,
                                  view, servers, limits(), hooks() };
  v1::Envelope envelope;
  v1::ServerReport& report = *envelope.mutable_server_report();

  Fixture()
  {
    standin.put({ "owner", "main", "owner" }, "this entry");
    term = standin.rows.at({ "owner", "main", "owner" }).version;
    core::Workflow workflow;
    workflow.id = JOB;
    workflow.service = "planner";
    workflow.steps = { core::Step{} };
    view.apply(
      platform::StoredRow{ entry::work_row(entry::WorkRowKind::Workflow, JOB),
                           entry::encode_workflow(workflow),
                           term,
                           false });
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
  }

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
    hooks.send = [this](const std::string&, v1::ServerOrders orders) {
      sent = std::move(orders);
    };
    hooks.term_superseded = [] {};
    hooks.reload_rows = [] {};
    hooks.request_advice = [](const std::vector<core::AdviceRequest>&) {};
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

  void add_end(core::RunEndKind kind)
  {
    v1::EndReport& end = *report.add_ended();
    end.set_number(1);
    end.set_task(TASK);
    end.set_attempt(1);
    end.set_kind(static_cast<std::uint32_t>(kind));
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
