#define BOOST_TEST_MODULE foreign_announcement
#include "tests/agent/server_agent_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char FOREIGN_ID[] = "i-0f0e1a2b";
constexpr std::uint64_t LARGEST_SEQUENCE = 1ULL << 53;
/// Less than the leases of the fixture, so a replacement in this time shows
/// that the agent did not wait for them.
constexpr int PROMPT_MS = 700;

struct Fixture : ServerAgentFixture
{
  ServerStandin foreign{ loop, timers };

  Fixture() { foreign.started_ms = server.started_ms + 1; }

  /// A well-formed announcement of a program that is not the agent's server.
  platform::Announcement foreign_announcement() const
  {
    platform::Announcement other = read(foreign.announcement("ready", 1));
    other.instance = { FOREIGN_ID, foreign.started_ms };
    return other;
  }

  static platform::Announcement read(const nlohmann::json& body)
  {
    std::optional<platform::Announcement> announcement =
      platform::decode_announcement({ SERVER_ID, false, body.dump() });
    BOOST_REQUIRE(announcement.has_value());
    return *announcement;
  }

  void start_task()
  {
    announce();
    run_until([this] { return listed(); });
    v1::ServerOrders ordered = orders();
    add(ordered.mutable_runs(), TASK, 1);
    send_orders_until(ordered,
                      [this] { return agent->report().running_size() == 1; });
  }

  std::uint64_t ignored()
  {
    return metrics.counter("agent_announcements_ignored_total").value();
  }

  /// Repeats an announcement in turns with the true ones.
  void repeat(const platform::Announcement& other)
  {
    kernel::Subscription foreign_timer =
      timers.every(kernel::Milliseconds(100), [this, other] {
        agent->apply_announcement(other);
        announce();
      });
    v1::ServerOrders ordered = orders();
    add(ordered.mutable_runs(), TASK, 1);
    send_orders_until(ordered, after_several_polls());
  }

  void check_server_is_kept()
  {
    v1::ServerReport report = agent->report();
    BOOST_TEST(report.life().id() == SERVER_ID);
    BOOST_TEST(report.life().born_ms() == server.started_ms);
    BOOST_TEST(report.running_size() == 1);
    BOOST_TEST(report.ready());
    BOOST_TEST(report.crashes().empty());
    BOOST_TEST(server.running.size() == 1U);
  }

  /// Whether the agent reports the instance within the time.
  bool reports_instance(const std::string& id, int limit_ms)
  {
    std::int64_t begin_ms = kernel::boot_ms();
    run_until([this, &id, begin_ms, limit_ms] {
      return agent->report().life().id() == id ||
             kernel::boot_ms() - begin_ms > limit_ms;
    });
    return agent->report().life().id() == id;
  }
};

} // namespace

// Guards against a task that is started a second time because another program
// announced itself to the agent (review/11).
BOOST_FIXTURE_TEST_CASE(foreign_server_replaces_the_one_that_runs_a_task,
                        Fixture)
{
  start_task();
  platform::Announcement other = foreign_announcement();
  other.service = "elsewhere";
  agent->apply_announcement(other);
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, after_several_polls());
  announce();
  check_server_is_kept();
  BOOST_TEST(ignored() == 1U);
}

// Guards against the same with the right service, again and again.
BOOST_FIXTURE_TEST_CASE(foreign_server_of_the_same_service_displaces_it,
                        Fixture)
{
  start_task();
  repeat(foreign_announcement());
  check_server_is_kept();
  BOOST_TEST(ignored() > 1U);
}

// Guards against an announcement under the server's own identifier that moves
// the agent's calls to another address.
BOOST_FIXTURE_TEST_CASE(announced_address_diverts_the_polls, Fixture)
{
  start_task();
  platform::Announcement other = foreign_announcement();
  other.instance = { SERVER_ID, server.started_ms };
  other.sequence = 1'000;
  repeat(other);
  check_server_is_kept();
}

// Guards against a start time in the future, or none, that makes the server
// look replaced or its true announcements outdated.
BOOST_FIXTURE_TEST_CASE(announced_start_time_replaces_the_instance, Fixture)
{
  start_task();
  for (std::int64_t started_ms : { std::int64_t{ 0 },
                                   server.started_ms - 1,
                                   std::int64_t{ 7'000'000'000'000 } }) {
    platform::Announcement other = announcement();
    other.instance.started_ms = started_ms;
    repeat(other);
    check_server_is_kept();
  }
}

// Guards against one announcement with the highest number, after which all true
// ones count as overtaken and the server is no longer used.
BOOST_FIXTURE_TEST_CASE(highest_sequence_outdates_true_announcements, Fixture)
{
  heartbeat_period = kernel::Milliseconds(100);
  agent = make_agent();
  start_task();
  platform::Announcement other = announcement();
  other.sequence = LARGEST_SEQUENCE;
  repeat(other);
  check_server_is_kept();
}

// Guards against the same before the first true announcement.
BOOST_FIXTURE_TEST_CASE(highest_sequence_comes_first, Fixture)
{
  heartbeat_period = kernel::Milliseconds(100);
  agent = make_agent();
  platform::Announcement other = announcement();
  other.sequence = LARGEST_SEQUENCE;
  agent->apply_announcement(other);
  run_until([this] { return listed(); });
  repeat(announcement());
  announce();
  BOOST_TEST(agent->report().ready());
}

// Guards against labels of another writer, by which the owner chooses servers.
BOOST_FIXTURE_TEST_CASE(announced_labels_replace_the_true_ones, Fixture)
{
  start_task();
  platform::Announcement other = announcement();
  other.labels = { "b", "r9-9" };
  other.rack = "r9-9";
  other.zone = "zone-9";
  agent->apply_announcement(other);
  BOOST_TEST(agent->report().rack() == server.rack);
  BOOST_TEST(agent->report().zone() == server.zone);
}

// Guards against a paused server whose leases last, and whose tasks are started
// again because another program announced itself meanwhile.
BOOST_FIXTURE_TEST_CASE(foreign_server_replaces_a_paused_one, Fixture)
{
  start_task();
  server.silent = true;
  agent->apply_announcement(foreign_announcement());
  BOOST_TEST(!reports_instance(FOREIGN_ID, 300));
  BOOST_TEST(!agent->report().lease_over());
  server.silent = false;
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(agent->report().life().id() == SERVER_ID);
  BOOST_TEST(agent->report().crashes().empty());
}

// Guards against a server that is gone without a trace and blocks its successor
// for good.
BOOST_FIXTURE_TEST_CASE(silent_server_blocks_its_successor, Fixture)
{
  start_task();
  server.silent = true;
  agent->apply_announcement(foreign_announcement());
  BOOST_TEST(reports_instance(FOREIGN_ID, 5'000));
  BOOST_TEST(agent->report().crashes().empty());
}

// Guards against a successor at another address that has to wait for the leases
// of the instance that crashed.
BOOST_FIXTURE_TEST_CASE(successor_elsewhere_waits_for_leases, Fixture)
{
  start_task();
  server.crash();
  agent->apply_announcement(foreign_announcement());
  BOOST_TEST(reports_instance(FOREIGN_ID, PROMPT_MS));
}

// Guards against a successor under the same identifier and address that has to
// wait.
BOOST_FIXTURE_TEST_CASE(restarted_server_waits_for_leases, Fixture)
{
  start_task();
  server.restart(ServerStandin::Connections::Kept);
  announce();
  std::int64_t begin_ms = kernel::boot_ms();
  run_until([this, begin_ms] {
    return agent->report().life().born_ms() == server.started_ms ||
           kernel::boot_ms() - begin_ms > PROMPT_MS;
  });
  BOOST_TEST(agent->report().life().born_ms() == server.started_ms);
}

// Guards against a program of another service that announced itself first and
// keeps the agent from its server.
BOOST_FIXTURE_TEST_CASE(foreign_service_comes_first, Fixture)
{
  platform::Announcement other = foreign_announcement();
  other.service = "elsewhere";
  agent->apply_announcement(other);
  run_until([this] { return listed(); });
  announce();
  BOOST_TEST(reports_instance(SERVER_ID, PROMPT_MS));
}

// Guards against an announced address without a listener that came first.
BOOST_FIXTURE_TEST_CASE(dead_address_comes_first, Fixture)
{
  platform::Announcement other = foreign_announcement();
  foreign.crash();
  agent->apply_announcement(other);
  announce();
  BOOST_TEST(reports_instance(SERVER_ID, PROMPT_MS));
}
