#define BOOST_TEST_MODULE server_agent
#include "tests/agent/server_agent_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using Fixture = ServerAgentFixture;

} // namespace

// Guards against a run that is started twice after the response to its start
// request was lost.
BOOST_FIXTURE_TEST_CASE(lost_response_to_a_start_starts_one_run, Fixture)
{
  server.unanswered_starts = 1;
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered,
                    [this] { return agent->report().running_size() == 1; });
  BOOST_TEST(server.running.size() == 1U);
}

// Guards against orders of an earlier term that arrive late and start a run
// that the owner has abandoned.
BOOST_FIXTURE_TEST_CASE(older_orders_are_ignored, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders old = orders(5);
  add(old.mutable_runs(), TASK, 1);
  agent->apply_orders(orders(6));
  agent->apply_orders(old);
  run_until([this, polls = 0]() mutable { return ++polls > 300; });
  BOOST_TEST(server.starts.empty());
  BOOST_TEST(agent->report().term() == 6U);
}

// Guards against a delayed start request that takes effect after its run was
// reported as never started. The agent reports the run only after the server
// has confirmed the stop; from then on the server refuses the start.
BOOST_FIXTURE_TEST_CASE(run_that_never_started_is_reported_as_such, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_stops(), TASK, 1);
  send_orders_until(ordered,
                    [this] { return reports(core::RunEndKind::NeverStarted); });
  // The delayed start request arrives.
  platform::ServerTarget target{ server.address(),
                                 { SERVER_ID, server.started_ms },
                                 server.fencing_token };
  platform::StartRequest delayed_start{
    TASK, 1, "text", "", "", 1'000'000'000
  };
  std::optional<platform::StartResult> result;
  server_client.start(
    target,
    delayed_start,
    kernel::Milliseconds(1'000),
    [&result](platform::StartResult received) { result = received; });
  run_until([&result] { return result.has_value(); });
  BOOST_TEST((*result == platform::StartResult::Ended));
  BOOST_TEST(server.running.empty());
}

// Guards against an owner that uses a rejected ticket again, since it is not
// told why the run never started.
BOOST_FIXTURE_TEST_CASE(rejected_ticket_is_not_reported, Fixture)
{
  server.rejecting_tickets = true;
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(
    ordered, [this] { return reports(core::RunEndKind::TicketRejected); });
  BOOST_TEST(server.starts.empty());
}

// Guards against runs that are stopped or lost when their agent restarts.
BOOST_FIXTURE_TEST_CASE(restarted_agent_adopts_running_runs, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  std::uint64_t token = server.fencing_token;
  agent.reset();
  // The fencing token is the boot time in ms, so the next agent must start
  // later than this one.
  run_until([polls = 0]() mutable { return ++polls > 5; });
  agent = make_agent();
  announce();
  run_until([this] { return agent->report().running_size() == 1; });
  send_orders_until(ordered,
                    [this, token] { return server.fencing_token > token; });
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.running.size() == 1U);
  BOOST_TEST(server.starts.size() == 1U);
  BOOST_TEST(server.stale_requests == 0);
}

// Guards against a lease that expires although the owner has replied: the first
// renewal of a restarted agent waited for a poll that renewed nothing.
BOOST_FIXTURE_TEST_CASE(first_renewal_waits_for_a_poll_in_flight, Fixture)
{
  poll_wait = 3 * BOUND;
  agent = make_agent();
  announce();
  run_until([this] { return listed(); });
  // The next poll is on its way.
  run_until([polls = 0]() mutable { return ++polls > 20; });
  BOOST_TEST(!server.has_lease());
  send_orders_until(orders(), [this] { return server.has_lease(); });
}

// Guards against a start that exceeds the server's capacity because the
// resources of a run that has not ended yet are not counted.
BOOST_FIXTURE_TEST_CASE(start_waits_for_free_resources, Fixture)
{
  announce();
  v1::ServerOrders first = orders();
  add(first.mutable_runs(), TASK, 1, 8);
  send_orders_until(first, [this] { return server.running.size() == 1; });
  v1::ServerOrders both = orders();
  add(both.mutable_runs(), TASK, 1, 8);
  add(both.mutable_runs(), OTHER_TASK, 1, 8);
  send_orders_until(both, [polls = 0]() mutable { return ++polls > 300; });
  BOOST_TEST(server.running.size() == 1U);
  server.finish({ TASK, 1 }, "done");
  send_orders_until(both, [this] {
    return server.running.contains({ OTHER_TASK, 1 });
  });
}

// Guards against an agent that renews leases forever without orders of an
// owner, and against an expiry that is never reported.
BOOST_FIXTURE_TEST_CASE(lease_expires_without_orders_of_the_owner, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  run_until([this] { return server.running.empty(); });
  run_until([this] { return reports(core::RunEndKind::LeaseExpired); });
}

// Guards against runs of a silent server that are never started elsewhere. The
// lease never expired, because the agent granted a longer one with each failed
// poll.
BOOST_FIXTURE_TEST_CASE(lease_of_a_silent_server_expires_in_time, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.silent = true;
  send_orders_until(ordered, [this] { return agent->report().lease_over(); });
  BOOST_TEST(!agent->report().ready());
}

// Guards against runs that count as lost while they hold a lease.
BOOST_FIXTURE_TEST_CASE(granted_lease_is_missing_in_the_report, Fixture)
{
  run_until([this] { return agent->report().no_lease_ms() > 20; });
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.restart();
  send_orders_until(ordered,
                    [this] { return agent->report().life().id().empty(); });
  BOOST_TEST(agent->report().no_lease_ms() == 0);
}

// Guards against runs that stay recorded for good: the next instance of their
// server ended before it had answered a poll.
BOOST_FIXTURE_TEST_CASE(runs_stay_recorded_after_an_instance_without_answer,
                        Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.hang();
  server.restart();
  platform::Announcement next = announcement();
  server.crash();
  std::int64_t announced_ms = kernel::boot_ms();
  agent->apply_announcement(next);
  BOOST_TEST(!agent->report().lease_over());
  send_orders_until(ordered, [this] { return agent->report().lease_over(); });
  BOOST_TEST(agent->report().life().id().empty());
  BOOST_TEST(kernel::boot_ms() - announced_ms >= MAX_LEASE.count());
}

// The announcements of the next instance are lost.
BOOST_FIXTURE_TEST_CASE(runs_stay_recorded_after_an_unannounced_instance,
                        Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.restart();
  send_orders_until(ordered,
                    [this] { return agent->report().life().id().empty(); });
  BOOST_TEST(!agent->report().lease_over());
  send_orders_until(ordered, [this] { return agent->report().lease_over(); });
}

// A third instance announces itself before the second one has answered.
BOOST_FIXTURE_TEST_CASE(second_replacement_hides_the_end_of_the_leases, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.hang();
  for (int restarts = 0; restarts < 2; ++restarts) {
    server.restart();
    platform::Announcement next = announcement();
    server.crash();
    agent->apply_announcement(next);
  }
  send_orders_until(ordered, [this] { return agent->report().lease_over(); });
}

// Guards against orders for an earlier instance that start a run on a server
// which has restarted under the same identifier.
BOOST_FIXTURE_TEST_CASE(new_instance_gets_no_orders_for_the_old_one, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.restart();
  announce();
  send_orders_until(ordered, [this] {
    return agent->report().life().born_ms() == server.started_ms;
  });
  send_orders_until(ordered, [polls = 0]() mutable { return ++polls > 300; });
  BOOST_TEST(server.starts.empty());
}

// Guards against starts of cancelled runs by an owner that can't know of the
// cancel, and against the loss of runs that it goes on ordering.
BOOST_FIXTURE_TEST_CASE(run_starts_by_orders_of_an_outdated_owner, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  add(ordered.mutable_runs(), OTHER_TASK, 1);
  ordered.set_no_starts(true);
  send_orders_until(ordered, [polls = 0]() mutable { return ++polls > 300; });
  BOOST_TEST(server.running.size() == 1U);
  BOOST_TEST(server.starts.size() == 1U);
  ordered.set_no_starts(false);
  send_orders_until(ordered, [this] { return server.running.size() == 2; });
}

// Guards against new runs on a server that has announced that it drains.
BOOST_FIXTURE_TEST_CASE(draining_server_gets_no_new_runs, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  announce("draining");
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered,
                    [this] { return reports(core::RunEndKind::NeverStarted); });
  BOOST_TEST(server.starts.empty());
  BOOST_TEST(!agent->report().ready());
}

// Guards against an agent whose reports are too long to be received: the owner
// would take it for silent and start its runs elsewhere, again and again.
BOOST_FIXTURE_TEST_CASE(long_checkpoints_outgrow_the_report, Fixture)
{
  constexpr std::size_t CHECKPOINT_BYTES = 1'000'000;
  constexpr int ENDS = 10;
  server.silent = true;
  announce();
  for (int end = 0; end < ENDS; ++end) {
    server.add_end({ TASK + std::to_string(end), 1 }, "stopped");
    server.ended.back().checkpoint = std::string(CHECKPOINT_BYTES, 'c');
  }
  server.add_end({ OTHER_TASK, 1 }, "stopped");
  server.ended.back().checkpoint = "saved";
  server.silent = false;
  run_until([this] { return agent->report().ended_size() > ENDS; });
  v1::ServerReport report = agent->report();
  BOOST_TEST(report.ByteSizeLong() < CHECKPOINT_BYTES);
  BOOST_TEST(report.ended(0).checkpoint().empty());
  BOOST_TEST(report.ended(ENDS).checkpoint() == "saved");
}

// Guards against ends that are lost because the agent acknowledges them to the
// server before the owner has stored them.
BOOST_FIXTURE_TEST_CASE(end_is_kept_until_it_is_stored, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.finish({ TASK, 1 }, "done");
  send_orders_until(ordered,
                    [this] { return reports(core::RunEndKind::Done); });
  send_orders_until(ordered, [polls = 0]() mutable { return ++polls > 200; });
  BOOST_TEST(server.acknowledged_ends == 0U);
  ordered.clear_runs();
  ordered.set_stored_ends(1);
  send_orders_until(ordered, [this] { return server.acknowledged_ends == 1U; });
}

// Guards against waiting for the lease of an instance that has certainly ended,
// since the server's address refuses connections.
BOOST_FIXTURE_TEST_CASE(refused_connections_end_an_instance, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.crash();
  std::int64_t begin = kernel::boot_ms();
  send_orders_until(ordered, [this] { return agent->report().lease_over(); });
  // The lease of 900 ms was renewed until the server ended.
  BOOST_TEST(kernel::boot_ms() - begin < 800);
}

// Guards against best-effort tasks that keep disturbing a task with a latency
// target, and against an adopted run that keeps the pace set by an earlier
// agent.
BOOST_FIXTURE_TEST_CASE(best_effort_runs_are_paced, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  ordered.mutable_runs(0)->set_latency_target_ms(100);
  add(ordered.mutable_runs(), OTHER_TASK, 1);
  ordered.mutable_runs(1)->set_fills(true);
  server.loads[TASK] = 180;
  send_orders_until(ordered, [this] { return server.paces[OTHER_TASK] == 40; });
  server.loads[TASK] = 20;
  agent.reset();
  run_until([polls = 0]() mutable { return ++polls > 5; });
  agent = make_agent();
  announce();
  send_orders_until(ordered,
                    [this] { return server.paces[OTHER_TASK] == 100; });
  BOOST_TEST(!server.paces.contains(TASK));
}

// Guards against leaving servers whose remaining time is not reported to the
// owner.
BOOST_FIXTURE_TEST_CASE(leaving_server_reports_its_remaining_time, Fixture)
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

// Guards against ends of a new instance that are acknowledged, and so lost, by
// the numbers of the previous one. A server that restarts under its identifier
// numbers ends from the beginning, also before its first announcement.
BOOST_FIXTURE_TEST_CASE(only_listed_ends_are_acknowledged, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.finish({ TASK, 1 }, "done");
  ordered.clear_runs();
  ordered.set_stored_ends(7);
  send_orders_until(ordered, [this] { return server.acknowledged_ends >= 1U; });
  server.restart();
  server.ended.push_back({ 1, { OTHER_TASK, 1 }, "done", "" });
  std::int64_t begin = kernel::boot_ms(); // Several polls take this time.
  send_orders_until(ordered,
                    [begin] { return kernel::boot_ms() - begin > 800; });
  BOOST_TEST(server.ended.size() == 1U);
}

// Guards against a run that is started by orders from before the report that
// all leases have expired. The owner records the run as lost because of that
// report, and starts the next attempt on another server.
BOOST_FIXTURE_TEST_CASE(orders_before_an_expired_lease_start_nothing, Fixture)
{
  // The report that the old orders reply to is recent enough for a lease.
  orphan_timeout = kernel::Milliseconds(20'000);
  agent = make_agent();
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1, 8);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  v1::ServerOrders old = orders();
  add(old.mutable_runs(), TASK, 1, 8);
  add(old.mutable_runs(), OTHER_TASK, 1, 8); // Waits for free resources.
  agent->apply_orders(old);
  server.silent = true;
  run_until([this] { return agent->report().lease_over(); });
  server.silent = false;
  repeat_old_orders_until(old,
                          [this] { return !agent->report().lease_over(); });
  repeat_old_orders_until(old, after_several_polls());
  BOOST_TEST(server.starts.size() == 1U);
  // Orders that reply to a later report are carried out.
  v1::ServerOrders next = orders();
  add(next.mutable_runs(), OTHER_TASK, 2, 8);
  send_orders_until(next, [this] {
    return server.running.contains({ OTHER_TASK, 2 });
  });
}

// Guards against orders that were delayed for longer than the orphan timeout
// and then keep runs alive, or start some, which the owner has given up
// meanwhile.
BOOST_FIXTURE_TEST_CASE(delayed_orders_do_not_renew_the_lease, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders delayed = orders();
  add(delayed.mutable_runs(), TASK, 1);
  std::int64_t reported_ms = kernel::boot_ms();
  run_until([reported_ms] { return kernel::boot_ms() - reported_ms > 700; });
  repeat_old_orders_until(delayed, after_several_polls());
  BOOST_TEST(server.starts.empty());
}

// The owner may have taken the run for lost because of that report.
BOOST_FIXTURE_TEST_CASE(orders_in_reply_to_an_unknown_server_start_a_run,
                        Fixture)
{
  server.silent = true;
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  agent->apply_orders(ordered);
  server.silent = false;
  run_until([this] { return listed(); });
  repeat_old_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.starts.empty());
}

// Guards against orders for an earlier process of the agent, whose reports had
// other numbers.
BOOST_FIXTURE_TEST_CASE(orders_for_an_earlier_agent_start_nothing, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  v1::ServerOrders earlier = orders();
  earlier.set_agent_incarnation(INCARNATION - 1);
  add(earlier.mutable_runs(), TASK, 1);
  // The owner replies to this process as well, so that the lease is renewed.
  kernel::Subscription reply_timer =
    timers.every(kernel::Milliseconds(50), [this] {
      v1::ServerOrders reply = orders();
      reply.set_sequence(0);
      agent->apply_orders(reply);
    });
  repeat_old_orders_until(earlier, after_several_polls());
  BOOST_TEST(server.starts.empty());
}

// Guards against two runs of one task: a start meant for an instance reaches
// the next one, which has the same identifier, between two polls. The owner
// starts the task on another server as soon as the new instance is reported.
BOOST_FIXTURE_TEST_CASE(start_that_reached_a_new_instance_is_stopped, Fixture)
{
  announce();
  send_orders_until(orders(), [this] { return listed(); });
  server.restart(ServerStandin::Connections::Kept);
  v1::ServerOrders ordered = orders();
  ordered.mutable_life()->set_born_ms(server.started_ms - 1);
  add(ordered.mutable_runs(), TASK, 1);
  agent->apply_orders(ordered);
  run_until([this] { return server.running.size() == 1; });
  announce();
  run_until(
    [this] { return agent->report().life().born_ms() == server.started_ms; });
  BOOST_TEST(server.running.empty());
  BOOST_TEST(agent->report().running_size() == 0);
}

// Guards against a run that counts as ended, and is started elsewhere, because
// its row in the server's list can't be read.
BOOST_FIXTURE_TEST_CASE(run_in_a_malformed_row_is_not_absent, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  server.malformed_rows = true;
  send_orders_until(ordered,
                    [this] { return agent->report().running_size() == 0; });
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.running.size() == 1U);
  BOOST_TEST(!reports(core::RunEndKind::NeverStarted));
}

// Guards against a run that counts as never started, and is started elsewhere,
// because its end is beyond the ends that the server lists at once.
BOOST_FIXTURE_TEST_CASE(run_whose_end_is_not_listed_yet_is_not_absent, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered,
                    [this] { return agent->report().running_size() == 1; });
  for (std::size_t end = 0; end < ServerStandin::MAX_LISTED_ENDS; ++end)
    server.add_end({ OTHER_TASK, end + 1 }, "failed");
  server.finish({ TASK, 1 }, "done");
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(!reports(core::RunEndKind::NeverStarted));
  ordered.set_stored_ends(ServerStandin::MAX_LISTED_ENDS);
  send_orders_until(ordered,
                    [this] { return reports(core::RunEndKind::Done); });
}

// Guards against runs that count as lost while the leaving server still works
// on them and is only slow to respond.
BOOST_FIXTURE_TEST_CASE(slow_response_does_not_end_a_leaving_server, Fixture)
{
  announce();
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered, [this] { return server.running.size() == 1; });
  announce("draining");
  agent->apply_departure(SERVER_ID);
  server.silent = true;
  send_orders_until(ordered, [this] { return !agent->report().answering(); });
  BOOST_TEST(!agent->report().lease_over());
}

// Guards against a server that is taken over by a delayed announcement of its
// previous instance, or excluded by a delayed departure of it.
BOOST_FIXTURE_TEST_CASE(messages_of_the_previous_instance_are_ignored, Fixture)
{
  server.started_ms = 2'000;
  announce();
  send_orders_until(orders(), [this] { return listed(); });
  server.started_ms = 1'000;
  announce();
  server.started_ms = 2'000;
  BOOST_TEST(agent->report().life().born_ms() == 2'000);
  agent->apply_departure(SERVER_ID);
  BOOST_TEST(agent->report().leaving());
  announce();
  BOOST_TEST(!agent->report().leaving());
}

// The owner starts the next attempt elsewhere because of that report.
BOOST_FIXTURE_TEST_CASE(run_starts_after_it_was_reported_as_never_started,
                        Fixture)
{
  announce("draining");
  run_until([this] { return listed(); });
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_runs(), TASK, 1);
  send_orders_until(ordered,
                    [this] { return reports(core::RunEndKind::NeverStarted); });
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(server.starts.empty());
}
