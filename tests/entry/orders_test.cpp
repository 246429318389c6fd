#define BOOST_TEST_MODULE orders
#include "entry/orders.h"

#include "entry/work_rows.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

constexpr char JOB[] = "5c0e7a21d94b36f8";

/// A job of one task, whose second attempt is placed on server i-1.
struct Fixture
{
  entry::WorkView view;
  entry::AgentView agent;

  Fixture()
  {
    core::Workflow workflow;
    workflow.id = JOB;
    workflow.payload = "text";
    workflow.steps = { core::Step{} };
    workflow.steps.front().checkpoints = true;
    core::Progress progress;
    core::open_due_occurrences(workflow, progress, 0, 0);
    core::TaskState& task = progress.open_occurrences[0][0][0];
    task.checkpoint = "saved";
    task.run = core::Run{ 2, { "i-1", 1 }, "node-1", false, "" };
    put(entry::WorkRowKind::Workflow, entry::encode_workflow(workflow), 1);
    put(entry::WorkRowKind::Progress, entry::encode_progress(progress), 2);
    agent.report.mutable_life()->set_id("i-1");
    agent.report.mutable_life()->set_born_ms(1);
  }

  void put(entry::WorkRowKind kind,
           const std::string& value,
           std::uint64_t version)
  {
    view.apply(
      platform::StoredRow{ entry::work_row(kind, JOB), value, version, false });
  }

  void report(std::uint32_t attempt)
  {
    v1::RunReport& run = *agent.report.add_running();
    run.set_task(std::string(JOB) + ".0.0.0");
    run.set_attempt(attempt);
  }

  v1::ServerOrders orders(const std::set<entry::RunName>& ending = {})
  {
    return entry::make_orders(view, agent, { 5, 1 }, ending);
  }

  v1::RunOrder order()
  {
    v1::ServerOrders orders = this->orders();
    BOOST_REQUIRE(orders.runs_size() == 1);
    return orders.runs(0);
  }
};

} // namespace

// Guards against a run that starts without its payload and checkpoint because
// the agent still reports an earlier attempt of the task.
BOOST_FIXTURE_TEST_CASE(earlier_attempt_is_not_the_run, Fixture)
{
  report(1);
  BOOST_TEST(order().payload() == "text");
  BOOST_TEST(order().checkpoint() == "saved");
}

// Guards against orders that repeat the payload of a run that the agent has
// already reported.
BOOST_FIXTURE_TEST_CASE(reported_run_needs_no_payload, Fixture)
{
  report(2);
  BOOST_TEST(order().attempt() == 2U);
  BOOST_TEST(order().payload().empty());
}

// Guards against two runs of one task: the owner has decided that the run is
// lost, and the agent reports again before the decision is stored.
BOOST_FIXTURE_TEST_CASE(run_whose_end_is_being_stored_is_not_ordered, Fixture)
{
  BOOST_TEST(orders({ { std::string(JOB) + ".0.0.0", 2U } }).runs_size() == 0);
  BOOST_TEST(orders({ { std::string(JOB) + ".0.0.0", 1U } }).runs_size() == 1);
}

// Guards against the same through the reply to the report that all leases have
// expired: the next round records the run as lost.
BOOST_FIXTURE_TEST_CASE(no_run_is_ordered_while_the_lease_is_over, Fixture)
{
  agent.report.set_lease_over(true);
  BOOST_TEST(orders().runs_size() == 0);
}

// Guards against orders from which the agent can't tell how old they are.
BOOST_FIXTURE_TEST_CASE(orders_name_the_report_they_reply_to, Fixture)
{
  agent.incarnation = 11;
  agent.report.set_sequence(42);
  BOOST_TEST(orders().agent_incarnation() == 11U);
  BOOST_TEST(orders().report_sequence() == 42U);
}
