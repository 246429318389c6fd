#define BOOST_TEST_MODULE start_limit
#include "tests/agent/server_agent_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

// Where zones are evacuated, nothing may start on orders of an owner that may
// not know of the evacuation.

namespace {

constexpr std::int64_t START_LIMIT_MS = 2'000;

struct Fixture : ServerAgentFixture
{
  explicit Fixture(bool limit_order_age = true)
  {
    orphan_timeout = kernel::Milliseconds(60'000);
    agent::ServerAgentOptions options;
    options.node = "node-1";
    options.incarnation = INCARNATION;
    options.lease = kernel::Milliseconds(900);
    options.max_lease = MAX_LEASE;
    options.orphan_timeout = orphan_timeout;
    options.poll_wait = kernel::Milliseconds(100);
    options.heartbeat_period = heartbeat_period;
    options.limit_order_age = limit_order_age;
    agent.reset();
    agent = std::make_unique<agent::ServerAgent>(
      loop, timers, log, metrics, server_client, options, [this] {
        ++changes;
      });
    announcer = timers.every(kernel::Milliseconds(200), [this] { announce(); });
    announce();
    send_orders_until(orders(),
                      [this] { return listed() && server.has_lease(); });
  }

  /// Passes the time until orders that reply to a report of now are too old.
  void outlast_limit()
  {
    std::int64_t end_ms = kernel::boot_ms() + START_LIMIT_MS;
    run_until([end_ms] { return kernel::boot_ms() >= end_ms; });
  }

  v1::ServerOrders orders_with_run()
  {
    v1::ServerOrders ordered = orders();
    add(ordered.mutable_runs(), TASK, 1);
    return ordered;
  }

  kernel::Subscription announcer;
};

struct UnlimitedFixture : Fixture
{
  UnlimitedFixture()
    : Fixture(false)
  {
  }
};

} // namespace

// Guards against starts by an agent that was paused, or whose orders were under
// way for long.
BOOST_FIXTURE_TEST_CASE(delayed_orders_start_a_run, Fixture)
{
  v1::ServerOrders old = orders_with_run();
  outlast_limit();
  repeat_old_orders_until(
    old, [this] { return reports(core::RunEndKind::NeverStarted); });
  BOOST_TEST(server.starts.empty());
  v1::ServerOrders next = orders();
  add(next.mutable_runs(), OTHER_TASK, 1);
  send_orders_until(next, [this] { return server.running.size() == 1; });
}

// Guards against an agent without connection to the owner that starts a run
// once resources are free.
BOOST_FIXTURE_TEST_CASE(waiting_run_starts_on_old_orders, Fixture)
{
  v1::ServerOrders full = orders();
  add(full.mutable_runs(), OTHER_TASK, 1, 8);
  send_orders_until(full, [this] { return server.running.size() == 1; });
  v1::ServerOrders ordered = orders_with_run();
  add(ordered.mutable_runs(), OTHER_TASK, 1, 8);
  std::int64_t end_ms = kernel::boot_ms() + START_LIMIT_MS;
  // The run begins to wait for resources only shortly before the limit.
  run_until([end_ms] { return kernel::boot_ms() >= end_ms - 500; });
  agent->apply_orders(ordered);
  run_until([end_ms] { return kernel::boot_ms() >= end_ms; });
  server.finish({ OTHER_TASK, 1 }, "done");
  run_until([this] { return reports(core::RunEndKind::NeverStarted); });
  BOOST_TEST(server.starts.size() == 1U);
}

// Guards against a start request that an agent without connection to the owner
// repeats because it got no response.
BOOST_FIXTURE_TEST_CASE(start_is_repeated_on_old_orders, Fixture)
{
  constexpr int ALL = 1'000;
  v1::ServerOrders ordered = orders_with_run();
  std::int64_t end_ms = kernel::boot_ms() + START_LIMIT_MS;
  run_until([end_ms] { return kernel::boot_ms() >= end_ms - 500; });
  server.ignored_starts = ALL;
  agent->apply_orders(ordered);
  run_until([this] { return server.ignored_starts < ALL; });
  run_until([end_ms] { return kernel::boot_ms() >= end_ms; });
  server.ignored_starts = 0;
  run_until(after_several_polls());
  BOOST_TEST(server.starts.empty());
}

// Guards against runs that start late where zones are never evacuated, because
// their orders were delayed.
BOOST_FIXTURE_TEST_CASE(unlimited_orders_start_no_run, UnlimitedFixture)
{
  v1::ServerOrders old = orders_with_run();
  outlast_limit();
  repeat_old_orders_until(old, [this] { return server.running.size() == 1; });
}
