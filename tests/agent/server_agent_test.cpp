#define BOOST_TEST_MODULE server_agent
#include "agent/server_agent.h"

#include "tests/gateway/loop_fixture.h"
#include "tests/platform/worker_standin.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char SERVER_ID[] = "i-7f3a91c2";
constexpr char TASK[] = "5c0e7a21d94b36f8.0.0.0";
constexpr char OTHER_TASK[] = "5c0e7a21d94b36f8.0.0.1";

struct Fixture : LoopFixture
{
  kernel::Log log{ "agent", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 16 };
  platform::WorkerClient worker{ client };
  WorkerStandin server{ loop, timers };
  std::uint64_t sequence = 0;
  std::uint64_t announcements = 0;
  std::unique_ptr<agent::ServerAgent> agent = make_agent();

  std::unique_ptr<agent::ServerAgent> make_agent()
  {
    agent::ServerAgentOptions options;
    options.node = "node-1";
    options.lease = kernel::Milliseconds(900);
    options.max_lease = kernel::Milliseconds(1'000);
    options.orphan = kernel::Milliseconds(600);
    options.poll_wait = kernel::Milliseconds(100);
    return std::make_unique<agent::ServerAgent>(
      loop, timers, log, metrics, worker, options, [] {});
  }

  void announce(const std::string& state = "ready")
  {
    platform::AnnouncementRequest request{
      SERVER_ID, false, server.announcement(state, ++announcements).dump()
    };
    std::optional<platform::Announcement> read =
      platform::decode_announcement(request);
    BOOST_REQUIRE(read.has_value());
    agent->apply_announcement(*read);
  }

  v1::ServerOrders orders(std::uint64_t term = 5)
  {
    v1::ServerOrders made;
    made.set_term(term);
    made.set_sequence(++sequence);
    made.mutable_life()->set_id(SERVER_ID);
    made.mutable_life()->set_born_ms(server.started_ms);
    return made;
  }

  static void add(google::protobuf::RepeatedPtrField<v1::RunOrder>* runs,
                  const std::string& task,
                  std::uint32_t attempt,
                  std::int64_t accelerators = 1)
  {
    v1::RunOrder& run = *runs->Add();
    run.set_task(task);
    run.set_attempt(attempt);
    run.set_payload("text");
    run.mutable_demand()->set_accelerators(accelerators);
    run.mutable_demand()->set_millicores(100);
  }

  /// Repeats the owner's word until a condition holds.
  void obey(const v1::ServerOrders& wanted,
            const std::function<bool()>& condition)
  {
    kernel::Subscription word =
      timers.every(kernel::Milliseconds(50), [this, wanted] {
        v1::ServerOrders again = wanted;
        again.set_sequence(++sequence);
        agent->apply(again);
      });
    run_until(condition);
  }

  bool reports(core::RunEndKind kind)
  {
    v1::ServerReport report = agent->report();
    for (const v1::EndReport& end : report.ended()) {
      if (end.kind() == static_cast<std::uint32_t>(kind))
        return true;
    }
    return false;
  }

  bool listed() { return agent->report().listed(); }
};

} // namespace

// Guards against a run that is started twice when the answer to its start is
// lost.
BOOST_FIXTURE_TEST_CASE(lost_answer_of_a_start_starts_one_run, Fixture)
{
  server.lost_starts = 1;
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return agent->report().running_size() == 1; });
  BOOST_TEST(server.running.size() == 1U);
}

// Guards against orders whose late arrival starts what was given up.
BOOST_FIXTURE_TEST_CASE(older_orders_change_nothing, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders old = orders(5);
  add(old.mutable_runs(), TASK, 1);
  agent->apply(orders(6));
  agent->apply(old);
  run_until([this, rounds = 0]() mutable { return ++rounds > 300; });
  BOOST_TEST(server.starts.empty());
  BOOST_TEST(agent->report().term() == 6U);
}

// Guards against a stopped run whose delayed start still takes effect: it is
// reported as absent only after the server has promised to refuse it.
BOOST_FIXTURE_TEST_CASE(run_that_never_started_is_reported_as_absent, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_stops(), TASK, 1);
  obey(wanted, [this] { return reports(core::RunEndKind::NeverStarted); });
  // The delayed start arrives now.
  platform::WorkerTarget target{ server.address(),
                                 { SERVER_ID, server.started_ms },
                                 server.fencing_token };
  platform::StartRequest late{ TASK, 1, "text", "", "", 1'000'000'000 };
  std::optional<platform::StartResult> result;
  worker.start(target,
               late,
               kernel::Milliseconds(1'000),
               [&result](platform::StartResult answer) { result = answer; });
  run_until([&result] { return result.has_value(); });
  BOOST_TEST((*result == platform::StartResult::Ended));
  BOOST_TEST(server.running.empty());
}

// Guards against work that a restarted agent stops or forgets.
BOOST_FIXTURE_TEST_CASE(restarted_agent_adopts_what_runs, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  std::uint64_t token = server.fencing_token;
  agent.reset();
  // The next agent starts later than this one by the clock.
  run_until([rounds = 0]() mutable { return ++rounds > 5; });
  agent = make_agent();
  announce();
  run_until([this] { return agent->report().running_size() == 1; });
  obey(wanted, [this, token] { return server.fencing_token > token; });
  BOOST_TEST(server.running.size() == 1U);
  BOOST_TEST(server.starts.size() == 1U);
  BOOST_TEST(server.stale_orders == 0);
}

// Guards against a start that brings the server over its capacity while what is
// being stopped still counts.
BOOST_FIXTURE_TEST_CASE(start_waits_for_room, Fixture)
{
  announce();
  v1::ServerOrders first = orders();
  add(first.mutable_runs(), TASK, 1, 8);
  obey(first, [this] { return server.running.size() == 1; });
  v1::ServerOrders both = orders();
  add(both.mutable_runs(), TASK, 1, 8);
  add(both.mutable_runs(), OTHER_TASK, 1, 8);
  obey(both, [rounds = 0]() mutable { return ++rounds > 300; });
  BOOST_TEST(server.running.size() == 1U);
  server.finish({ TASK, 1 }, "done");
  obey(both, [this] { return server.running.contains({ OTHER_TASK, 1 }); });
}

// Guards against leases that are renewed for ever by an agent that no owner
// reaches, and against an expiry that is never certain.
BOOST_FIXTURE_TEST_CASE(lease_lapses_without_the_owners_word, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  run_until([this] { return server.running.empty(); });
  run_until([this] { return reports(core::RunEndKind::LeaseExpired); });
}

// Guards against a gone server whose runs are never started elsewhere: with
// each poll that failed, an agent granted a longer lease.
BOOST_FIXTURE_TEST_CASE(lease_of_a_silent_server_is_over_in_time, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  server.silent = true;
  obey(wanted, [this] { return agent->report().lease_over(); });
  BOOST_TEST(!agent->report().ready());
}

// Guards against orders for an earlier instance that reach a server which
// started again under its identifier.
BOOST_FIXTURE_TEST_CASE(new_life_gets_no_orders_of_the_old_one, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  server.restart();
  announce();
  obey(wanted, [this] {
    return agent->report().life().born_ms() == server.started_ms;
  });
  obey(wanted, [rounds = 0]() mutable { return ++rounds > 300; });
  BOOST_TEST(server.starts.empty());
}

// Guards against new work on a server that has said that it drains.
BOOST_FIXTURE_TEST_CASE(draining_server_gets_no_new_runs, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  announce("draining");
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return reports(core::RunEndKind::NeverStarted); });
  BOOST_TEST(server.starts.empty());
  BOOST_TEST(!agent->report().ready());
}

// Guards against ends that are forgotten before they are stored.
BOOST_FIXTURE_TEST_CASE(end_is_kept_until_it_is_stored, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  server.finish({ TASK, 1 }, "done");
  obey(wanted, [this] { return reports(core::RunEndKind::Done); });
  obey(wanted, [rounds = 0]() mutable { return ++rounds > 200; });
  BOOST_TEST(server.acknowledged_ends == 0U);
  wanted.clear_runs();
  wanted.set_stored_ends(1);
  obey(wanted, [this] { return server.acknowledged_ends == 1U; });
}

// Guards against waiting for the lease of a server that has certainly ended:
// nobody listens at its address any more.
BOOST_FIXTURE_TEST_CASE(refused_connections_end_a_life, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  server.shut();
  std::int64_t begin = kernel::boot_ms();
  obey(wanted, [this] { return agent->report().lease_over(); });
  // Its lease of 900 ms was renewed until the end.
  BOOST_TEST(kernel::boot_ms() - begin < 800);
}

// Guards against best-effort tasks that disturb a serving task for good, and
// against a pace that an adopted run keeps from an earlier agent.
BOOST_FIXTURE_TEST_CASE(filling_runs_are_paced, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  wanted.mutable_runs(0)->set_latency_target_ms(100);
  add(wanted.mutable_runs(), OTHER_TASK, 1);
  wanted.mutable_runs(1)->set_fills(true);
  server.loads[TASK] = 180;
  obey(wanted, [this] { return server.paces[OTHER_TASK] == 40; });
  server.loads[TASK] = 20;
  agent.reset();
  run_until([rounds = 0]() mutable { return ++rounds > 5; });
  agent = make_agent();
  announce();
  obey(wanted, [this] { return server.paces[OTHER_TASK] == 100; });
  BOOST_TEST(!server.paces.contains(TASK));
}

// Guards against leaving servers whose remaining time the owner does not know.
BOOST_FIXTURE_TEST_CASE(leaving_server_reports_how_long_it_stays, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  BOOST_TEST(!agent->report().leaving());
  server.min_stay_ms = 2'000;
  announce("draining");
  v1::ServerReport report = agent->report();
  BOOST_TEST(report.leaving());
  BOOST_TEST(report.stays_ms() > 1'000);
  BOOST_TEST(report.stays_ms() <= 2'000);
}

// Guards against ends of a new instance that are acknowledged unseen, with the
// numbers of the instance before: a server that has started again under its
// identifier counts from the beginning, and nobody has told the agent yet.
BOOST_FIXTURE_TEST_CASE(only_listed_ends_are_acknowledged, Fixture)
{
  announce();
  v1::ServerOrders wanted = orders();
  add(wanted.mutable_runs(), TASK, 1);
  obey(wanted, [this] { return server.running.size() == 1; });
  server.finish({ TASK, 1 }, "done");
  wanted.clear_runs();
  wanted.set_stored_ends(7);
  obey(wanted, [this] { return server.acknowledged_ends >= 1U; });
  server.restart();
  server.ended.push_back({ 1, { OTHER_TASK, 1 }, "done", "" });
  std::int64_t begin = kernel::boot_ms(); // Several polls take this time.
  obey(wanted, [begin] { return kernel::boot_ms() - begin > 800; });
  BOOST_TEST(server.ended.size() == 1U);
}
