#define BOOST_TEST_MODULE server_table
#include "entry/server_table.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

constexpr std::int64_t NOW_MS = 100'000;

struct Fixture
{
  entry::ServerTable servers{ entry::LeaseBounds{} };
  v1::Envelope envelope;
  v1::ServerReport& report = *envelope.mutable_server_report();

  Fixture()
  {
    envelope.set_sender("node-1");
    envelope.set_sender_incarnation(1);
    report.mutable_life()->set_id("i-1");
    report.mutable_life()->set_born_ms(1);
    report.set_ready(true);
    report.set_listed(true);
  }

  bool changes()
  {
    report.set_sequence(report.sequence() + 1);
    entry::AgentView* agent = servers.apply_report(envelope, NOW_MS);
    BOOST_REQUIRE(agent != nullptr);
    return agent->report_changed;
  }
};

/// An agent process that reported `i-1` and was replaced by another process.
struct RestartedAgent : Fixture
{
  RestartedAgent()
  {
    changes();
    envelope.set_sender_incarnation(2);
  }

  bool crash_is_known()
  {
    return servers.crashed_former_server(*servers.find("node-1"), NOW_MS) !=
           nullptr;
  }
};

} // namespace

// Guards against a scheduling round for each report, which takes most of the
// owner's processor time, and against changes that wait for the next period.
BOOST_FIXTURE_TEST_CASE(only_changes_need_a_round, Fixture)
{
  BOOST_TEST(changes());
  BOOST_TEST(!changes());
  v1::RunReport& run = *report.add_running();
  run.set_task("5c0e7a21d94b36f8.0.0.0");
  run.set_percent(7);
  report.set_orders_sequence(9);
  BOOST_TEST(!changes());
  report.add_ended()->set_number(1);
  BOOST_TEST(changes());
  BOOST_TEST(!changes());
  report.set_lease_over(true);
  BOOST_TEST(changes());
  report.mutable_life()->set_born_ms(2);
  BOOST_TEST(changes());
  envelope.set_sender_incarnation(2);
  BOOST_TEST(changes());
}

// Guards against runs that stay recorded for good: the agent's server was
// replaced by an instance that never answered, and the agent names no server.
BOOST_FIXTURE_TEST_CASE(runs_stay_recorded_without_a_known_server, Fixture)
{
  core::ServerInstance instance{ "i-1", 1 };
  for (bool new_owner : { false, true }) {
    if (new_owner)
      servers.reset(NOW_MS);
    else
      changes();
    report.clear_life();
    report.clear_lease_over();
    changes();
    BOOST_TEST(!servers.loss_cause(instance, "node-1", NOW_MS).has_value());
    report.set_lease_over(true);
    changes();
    BOOST_TEST((servers.loss_cause(instance, "node-1", NOW_MS) ==
                entry::LossCause::LeasesExpired));
  }
}

// Guards against a loss that is taken back before it is stored.
BOOST_FIXTURE_TEST_CASE(expired_leases_last_until_the_next_instance, Fixture)
{
  core::ServerInstance instance{ "i-1", 1 };
  report.set_lease_over(true);
  changes();
  report.clear_life();
  report.clear_lease_over();
  changes();
  BOOST_TEST(servers.loss_cause(instance, "node-1", NOW_MS).has_value());
  report.mutable_life()->set_id("i-1");
  report.mutable_life()->set_born_ms(1);
  changes();
  BOOST_TEST(!servers.loss_cause(instance, "node-1", NOW_MS).has_value());
}

// Messages on different connections may overtake each other.
BOOST_FIXTURE_TEST_CASE(delayed_report_of_an_earlier_agent_loses_runs,
                        RestartedAgent)
{
  report.mutable_life()->set_id("i-2");
  changes();
  envelope.set_sender_incarnation(1);
  report.mutable_life()->set_id("i-1");
  report.set_sequence(report.sequence() + 1);
  BOOST_TEST(servers.apply_report(envelope, NOW_MS) == nullptr);
  BOOST_TEST(!servers.loss_cause({ "i-2", 1 }, "node-1", NOW_MS).has_value());
}

// A new owner has never heard the earlier process.
BOOST_FIXTURE_TEST_CASE(first_report_of_an_earlier_agent_loses_runs, Fixture)
{
  envelope.set_sender_incarnation(2);
  report.set_process_started_ms(200);
  report.mutable_life()->set_born_ms(2);
  changes();
  envelope.set_sender_incarnation(1);
  report.set_process_started_ms(100);
  report.mutable_life()->set_born_ms(1);
  report.set_sequence(report.sequence() + 1);
  BOOST_TEST(servers.apply_report(envelope, NOW_MS) == nullptr);
  BOOST_TEST(!servers.loss_cause({ "i-1", 2 }, "node-1", NOW_MS).has_value());
}

// A new owner may see the reports of two processes in the wrong order.
BOOST_FIXTURE_TEST_CASE(agent_stays_ignored_after_a_delayed_report,
                        RestartedAgent)
{
  changes();
  envelope.set_sender_incarnation(1);
  report.set_sequence(report.sequence() + 1);
  BOOST_TEST(servers.apply_report(envelope, NOW_MS + 1'000) == nullptr);
  BOOST_TEST(servers.apply_report(envelope, NOW_MS + 3'000) != nullptr);
}

// The new process of the agent never saw the instance that crashed.
BOOST_FIXTURE_TEST_CASE(restart_of_the_agent_hides_a_crash, RestartedAgent)
{
  report.mutable_life()->clear_id();
  changes();
  BOOST_TEST(!crash_is_known());
  report.mutable_life()->set_id("i-2");
  changes();
  BOOST_TEST_REQUIRE(crash_is_known());
  BOOST_TEST(servers.find("node-1")->former_server->instance.id == "i-1");
}

BOOST_FIXTURE_TEST_CASE(adopted_server_counts_as_crashed, RestartedAgent)
{
  changes();
  BOOST_TEST(!crash_is_known());
  report.mutable_life()->set_id("i-2");
  changes();
  BOOST_TEST(!crash_is_known());
}

BOOST_FIXTURE_TEST_CASE(departure_during_a_restart_counts_as_a_crash, Fixture)
{
  report.set_leaving(true);
  changes();
  envelope.set_sender_incarnation(2);
  report.mutable_life()->set_id("i-2");
  report.set_leaving(false);
  changes();
  const entry::AgentView& agent = *servers.find("node-1");
  BOOST_TEST(servers.crashed_former_server(agent, NOW_MS) == nullptr);
}

// Orders renew leases only by the report that they reply to.
BOOST_FIXTURE_TEST_CASE(runs_of_a_silent_agent_are_never_lost, Fixture)
{
  changes();
  std::int64_t expiry_ms = NOW_MS + entry::LeaseBounds{}.expiry_ms();
  BOOST_TEST(
    !servers.loss_cause({ "i-1", 1 }, "node-1", expiry_ms).has_value());
  BOOST_TEST((servers.loss_cause({ "i-1", 1 }, "node-1", expiry_ms + 1) ==
              entry::LossCause::AgentSilent));
}

// The agent may have renewed leases after its report that names no server.
BOOST_FIXTURE_TEST_CASE(silence_of_a_restarted_agent_loses_runs, RestartedAgent)
{
  report.mutable_life()->clear_id();
  changes();
  std::int64_t lease_over_ms = NOW_MS + entry::LeaseBounds{}.lease_ms() + 1;
  BOOST_TEST(
    !servers.loss_cause({ "i-1", 1 }, "node-1", lease_over_ms).has_value());
}

BOOST_FIXTURE_TEST_CASE(runs_without_a_lease_are_not_restarted, RestartedAgent)
{
  report.mutable_life()->clear_id();
  report.set_no_lease_ms(entry::LeaseBounds{}.lease_ms());
  changes();
  BOOST_TEST(!servers.loss_cause({ "i-1", 1 }, "node-1", NOW_MS).has_value());
  report.set_no_lease_ms(report.no_lease_ms() + 1);
  changes();
  BOOST_TEST((servers.loss_cause({ "i-1", 1 }, "node-1", NOW_MS) ==
              entry::LossCause::ServerUnknown));
}

// Guards against a new owner that takes an agent for reported although the
// agent has just started or resumed, and can't use its server yet.
BOOST_FIXTURE_TEST_CASE(report_without_a_usable_server_is_complete, Fixture)
{
  servers.add_agent("silent", "");
  servers.set_former_owner({ NOW_MS, { { "silent", 1 } } });
  servers.set_agents_listed();
  v1::ServerLifeRow life = report.life();
  report.clear_life();
  report.set_no_lease_ms(10);
  changes();
  BOOST_TEST(servers.first_reports(NOW_MS).agents == 1U);
  BOOST_TEST(servers.first_reports(NOW_MS).reported == 0U);
  *report.mutable_life() = life;
  report.set_ready(false);
  changes();
  BOOST_TEST(servers.first_reports(NOW_MS).reported == 0U);
  report.set_ready(true);
  changes();
  BOOST_TEST(servers.first_reports(NOW_MS).reported == 1U);
}

// Guards against a new owner that waits for servers which won't be used.
BOOST_FIXTURE_TEST_CASE(server_that_is_not_coming_is_waited_for, Fixture)
{
  report.set_ready(false);
  report.set_leaving(true);
  changes();
  BOOST_TEST(servers.first_reports(NOW_MS).reported == 1U);
  report.set_leaving(false);
  report.clear_life();
  report.set_no_lease_ms(10'000);
  changes();
  BOOST_TEST(servers.first_reports(NOW_MS).reported == 1U);
}
