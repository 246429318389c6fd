#define BOOST_TEST_MODULE server_capacity
#include "tests/agent/server_agent_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

// A backend server's capacity may shrink while it runs.

using Fixture = ServerAgentFixture;

// The capacity may have shrunk during the pause.
BOOST_FIXTURE_TEST_CASE(paused_agent_starts_runs_by_an_outdated_capacity,
                        Fixture)
{
  agent.reset();
  heartbeat_period = kernel::Milliseconds(50);
  agent = make_agent();
  announce();
  run_until([this] { return listed(); });
  run_until(after_several_polls());
  BOOST_TEST(!agent->report().ready());
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.starts.empty());
  announce();
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
}

// The capacity may have shrunk while the announcement was under way.
BOOST_FIXTURE_TEST_CASE(delayed_announcement_counts_as_recent, Fixture)
{
  agent.reset();
  heartbeat_period = kernel::Milliseconds(50);
  agent = make_agent();
  announce();
  run_until([this] { return listed(); });
  platform::Announcement delayed = announcement();
  run_until(after_several_polls());
  agent->apply_announcement(delayed);
  BOOST_TEST(!agent->report().ready());
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.starts.empty());
  announce();
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
}

BOOST_FIXTURE_TEST_CASE(owner_learns_late_that_a_server_shrank, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  changes = 0;
  server.accelerators = 2;
  announce();
  BOOST_TEST(changes == 1);
  BOOST_TEST(agent->report().room().accelerators() == 2);
}

BOOST_FIXTURE_TEST_CASE(start_is_repeated_after_its_server_shrank, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  server.ignored_starts = 1'000;
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1, 4);
  send_orders_until(ordered, [this] { return server.ignored_starts < 1'000; });
  server.accelerators = 2;
  announce();
  server.ignored_starts = 0;
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.starts.empty());
}

// What still runs or stops is more than the shrunken capacity.
BOOST_FIXTURE_TEST_CASE(overfull_server_gets_another_run, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1, 4);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.accelerators = 3;
  announce();
  add(ordered.mutable_runs(), OTHER_TASK, 1, 0);
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.running.size() == 1U);
  server.accelerators = 8;
  announce();
  send_orders_until(ordered, [this] { return server.running.size() == 2; });
}
