#define BOOST_TEST_MODULE late_start
#include "tests/agent/server_agent_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

// A call without a response may be carried out seconds later, after newer
// calls. The owner may have placed the task on another server meanwhile.

namespace {

struct Fixture : ServerAgentFixture
{
  static constexpr int ALL = 1'000;

  /// Orders a run and delays all start requests for it.
  void delay_start()
  {
    announce();
    send_orders_until(orders(),
                      [this] { return listed() && server.has_lease(); });
    server.delayed_starts = ALL;
    v1::ServerOrders ordered = orders();
    add(ordered.mutable_runs(), TASK, 1);
    send_orders_until(ordered, [this] { return !server.delayed.empty(); });
  }

  void restart_agent()
  {
    agent.reset();
    run_until([polls = 0]() mutable { return ++polls > 5; });
    agent = make_agent();
  }
};

} // namespace

// The server was silent until all leases had expired, and the stop is lost.
BOOST_FIXTURE_TEST_CASE(late_start_runs_under_the_next_lease, Fixture)
{
  delay_start();
  server.silent = true;
  send_orders_until(orders(), [this] { return agent->report().lease_over(); });
  server.silent = false;
  server.ignoring_stops = true;
  run_until([this] { return !server.has_lease(); });
  send_orders_until(orders(), [this] { return server.has_lease(); });
  server.carry_out_delayed_starts();
  BOOST_TEST(server.running.empty());
}

// The owner was silent until it counted the agent's runs as lost.
BOOST_FIXTURE_TEST_CASE(late_start_runs_after_the_owner_was_silent, Fixture)
{
  delay_start();
  run_until([this] { return !server.has_lease(); });
  server.ignoring_stops = true;
  send_orders_until(orders(), [this] { return server.has_lease(); });
  server.carry_out_delayed_starts();
  BOOST_TEST(server.running.empty());
}

BOOST_FIXTURE_TEST_CASE(late_start_of_an_earlier_agent_runs, Fixture)
{
  delay_start();
  restart_agent();
  announce();
  send_orders_until(orders(), [this] { return listed(); });
  server.carry_out_delayed_starts();
  BOOST_TEST(server.running.empty());
}

// The agent gives the run up, and reports it as never started.
BOOST_FIXTURE_TEST_CASE(run_that_was_given_up_starts_late, Fixture)
{
  delay_start();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered,
                    [this] { return reports(core::RunEndKind::NeverStarted); });
  server.carry_out_delayed_starts();
  BOOST_TEST(server.running.empty());
}

// The new agent began with a lower token if the time of day had been set back.
BOOST_FIXTURE_TEST_CASE(token_follows_the_time_of_day, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  std::uint64_t token = server.fencing_token;
  BOOST_TEST(token <= static_cast<std::uint64_t>(kernel::boot_ms()));
  restart_agent();
  announce();
  run_until([this, token] { return server.fencing_token > token; });
  BOOST_TEST(server.stale_requests == 0);
}

// An earlier agent has used a token that this one reaches only by raising its
// own.
BOOST_FIXTURE_TEST_CASE(agent_with_a_low_token_is_refused_for_ever, Fixture)
{
  std::uint64_t used =
    static_cast<std::uint64_t>(kernel::unix_ms()) + 3'600'000;
  server.fencing_token = used;
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  BOOST_TEST(server.fencing_token > used);
}
