#define BOOST_TEST_MODULE members
#include "tests/agent/agent_fixture.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

struct OneServer : Fixture
{
  Server server{ *this, INCARNATION };
  agent::Members& members = this->server.members;

  v1::MemberState start(const v1::MemberKey& key)
  {
    return this->members.start(key, "driver");
  }

  /// Stops the member and waits for the confirmation.
  v1::StopReply stop(const v1::MemberKey& key, bool checkpoint = false)
  {
    v1::Stop stop;
    *stop.mutable_key() = key;
    stop.set_checkpoint(checkpoint);
    v1::StopReply reply;
    this->members.stop(
      stop, [&reply](v1::StopReply received) { reply = std::move(received); });
    this->run_until(
      [&reply] { return reply.state() != v1::MEMBER_STATE_UNSPECIFIED; });
    return reply;
  }
};

/// Blocks the loop, so that no timer runs meanwhile.
void
pause_for(kernel::Milliseconds duration)
{
  std::this_thread::sleep_for(duration);
}

} // namespace

// Guards against messages for an earlier incarnation of the agent that take
// effect on this one.
BOOST_FIXTURE_TEST_CASE(rejects_another_incarnation, OneServer)
{
  v1::MemberKey other = this->server.key(1);
  other.set_incarnation(INCARNATION + 1);
  BOOST_TEST(this->server.prepare(other) == v1::PREPARE_RESULT_STALE);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_HELD);
  BOOST_TEST(this->start(other) == v1::MEMBER_STATE_OTHER_INCARNATION);
  BOOST_TEST(this->stop(other).state() == v1::MEMBER_STATE_OTHER_INCARNATION);
  BOOST_TEST(this->members.query(other).state() ==
             v1::MEMBER_STATE_OTHER_INCARNATION);
  this->members.release(other, "driver");
  BOOST_TEST(this->start(this->server.key(1)) == v1::MEMBER_STATE_STARTED);
}

// Guards against a delayed Prepare or Start of an older generation that takes
// effect.
BOOST_FIXTURE_TEST_CASE(rejects_an_older_generation, OneServer)
{
  BOOST_TEST(this->server.prepare(this->server.key(2)) ==
             v1::PREPARE_RESULT_HELD);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
  BOOST_TEST(this->start(this->server.key(1)) ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->start(this->server.key(2)) == v1::MEMBER_STATE_STARTED);
}

// Guards against a repeated Prepare that is accepted after its generation was
// refused.
BOOST_FIXTURE_TEST_CASE(rejects_a_generation_refused_before, OneServer)
{
  agent::Resources all;
  all.slots = 8;
  BOOST_TEST(this->server.allocated.allocate(all));
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_BUSY);
  this->server.allocated.release(all);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
  BOOST_TEST(this->server.prepare(this->server.key(2)) ==
             v1::PREPARE_RESULT_HELD);
}

// Guards against a Prepare or Start that arrives after the Stop of its
// generation and starts the task.
BOOST_FIXTURE_TEST_CASE(rejects_a_generation_stopped_before, OneServer)
{
  BOOST_TEST(this->stop(this->server.key(1)).state() ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);

  this->server.prepare(this->server.key(2));
  BOOST_TEST(this->stop(this->server.key(2)).state() ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->start(this->server.key(2)) ==
             v1::MEMBER_STATE_NEVER_STARTED);

  this->server.prepare(this->server.key(3));
  this->start(this->server.key(3));
  BOOST_TEST(this->server.backend.running() == 1);
  v1::StopReply reply = this->stop(this->server.key(3), true);
  BOOST_TEST(reply.state() == v1::MEMBER_STATE_STOPPED);
  BOOST_TEST(reply.checkpoint_key() == "checkpoint/1");
  BOOST_TEST(this->stop(this->server.key(3)).checkpoint_key() ==
             "checkpoint/1");
  BOOST_TEST(this->start(this->server.key(3)) == v1::MEMBER_STATE_STOPPED);
  BOOST_TEST(this->server.prepare(this->server.key(3)) ==
             v1::PREPARE_RESULT_STALE);
  BOOST_TEST(this->server.backend.running() == 0);
}

// Guards against a Prepare that arrives after its Release and reserves
// resources, and against a Release of another driver's reservation.
BOOST_FIXTURE_TEST_CASE(releases_only_the_drivers_own_reservation, OneServer)
{
  this->members.release(this->server.key(1), "driver");
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
  this->server.prepare(this->server.key(2));
  BOOST_TEST(this->server.prepare(this->server.key(2), 10'000, "other") ==
             v1::PREPARE_RESULT_STALE);
  this->members.release(this->server.key(2), "other");
  BOOST_TEST(this->start(this->server.key(2)) == v1::MEMBER_STATE_STARTED);
  this->members.release(this->server.key(2), "driver");
  BOOST_TEST(this->server.backend.running() == 1);
}

// Guards against a member that starts after a query was answered with
// NEVER_STARTED.
BOOST_FIXTURE_TEST_CASE(refuses_a_member_reported_as_never_started, OneServer)
{
  BOOST_TEST(this->members.query(this->server.key(1)).state() ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
}

// Guards against resources that stay reserved after their driver has ended.
BOOST_FIXTURE_TEST_CASE(releases_a_reservation_after_its_limit, OneServer)
{
  constexpr std::uint32_t RESERVATION_MS = 50;
  this->server.prepare(this->server.key(1), RESERVATION_MS);
  BOOST_TEST(this->server.allocated.slots_used() == 1);
  BOOST_TEST(
    this->run_until([&] { return this->server.allocated.slots_used() == 0; }));
  BOOST_TEST(this->start(this->server.key(1)) ==
             v1::MEMBER_STATE_NEVER_STARTED);
}

// Guards against a Start that is accepted after the reservation has expired.
// The process was paused, so the timer of the reservation has not run yet.
BOOST_FIXTURE_TEST_CASE(checks_the_reservation_after_a_pause, OneServer)
{
  constexpr std::uint32_t RESERVATION_MS = 20;
  this->server.prepare(this->server.key(1), RESERVATION_MS);
  pause_for(kernel::Milliseconds(2 * RESERVATION_MS));
  BOOST_TEST(this->start(this->server.key(1)) ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->server.backend.tasks.empty());
}

// Guards against a lease that is renewed after its expiry. The process was
// paused, so the timer of the lease has not run yet.
BOOST_FIXTURE_TEST_CASE(does_not_renew_an_expired_lease_after_a_pause,
                        OneServer)
{
  this->server.prepare(this->server.key(1));
  this->start(this->server.key(1));
  pause_for(this->server.settings.lease.length + kernel::Milliseconds(10));
  this->members.extend({ "job-1", 1, 0 }, kernel::boot_ms() + 1'000'000);
  BOOST_TEST(this->run_until([&] { return !this->server.results.empty(); }));
  BOOST_TEST(this->server.backend.running() == 0);
  BOOST_TEST(this->server.results[0].ran());
  BOOST_TEST(this->server.results[0].outcome() == v1::OUTCOME_UNKNOWN);
}

// Guards against a single task whose lease is not renewed although its agent
// works.
BOOST_FIXTURE_TEST_CASE(renews_a_single_task_until_it_ends, OneServer)
{
  this->server.prepare(this->server.key(1));
  this->start(this->server.key(1));
  kernel::Subscription leases = this->timers.every(
    kernel::Milliseconds(5), [this] { this->server.backend.expire(); });
  std::int64_t end =
    kernel::boot_ms() + 3 * this->server.settings.lease.length.count();
  this->run_until([end] { return kernel::boot_ms() >= end; });
  BOOST_TEST(this->server.backend.running() == 1);
  this->server.backend.finish({ "job-1", 0 }, platform::TaskState::Succeeded);
  BOOST_TEST(this->run_until([&] { return !this->server.results.empty(); }));
  BOOST_TEST(this->server.results[0].outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->server.results[0].output().inline_() == "output");
  BOOST_TEST(this->members.query(this->server.key(1)).state() ==
             v1::MEMBER_STATE_DONE);
  BOOST_TEST(this->server.allocated.slots_used() == 0);
  // A Prepare that arrives after the run must not run the task again.
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
}

// Guards against a task that ran but is reported as never started. The response
// to its start was lost and the backend server has restarted.
BOOST_FIXTURE_TEST_CASE(does_not_report_never_started_after_a_lost_response,
                        OneServer)
{
  this->server.backend.lose_start_responses = true;
  this->server.backend.forget_tasks = true;
  this->server.prepare(this->server.key(1));
  this->start(this->server.key(1));
  BOOST_TEST(this->stop(this->server.key(1)).state() ==
             v1::MEMBER_STATE_STOPPED);
}

// Guards against new members on an agent that leaves or is quarantined.
BOOST_FIXTURE_TEST_CASE(accepts_no_new_member_while_leaving, OneServer)
{
  this->members.set_quarantined(true);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_QUARANTINED);
  this->members.set_quarantined(false);
  this->server.prepare(this->server.key(2));
  this->members.leave();
  v1::MemberKey other = this->server.key(1);
  other.set_job("job-2");
  BOOST_TEST(this->server.prepare(other) == v1::PREPARE_RESULT_LEAVING);
  BOOST_TEST(this->start(this->server.key(2)) == v1::MEMBER_STATE_STARTED);
}

// Guards against gangs that are placed again and again on a backend server that
// has ended while its agent runs.
BOOST_FIXTURE_TEST_CASE(accepts_no_member_while_the_backend_is_silent,
                        OneServer)
{
  this->server.backend_available = false;
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_BACKEND_UNAVAILABLE);
  this->server.backend_available = true;
  BOOST_TEST(this->server.prepare(this->server.key(2)) ==
             v1::PREPARE_RESULT_HELD);
}
