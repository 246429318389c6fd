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
      stop, [&reply](v1::StopReply answer) { reply = std::move(answer); });
    this->run_until(
      [&reply] { return reply.state() != v1::MEMBER_STATE_UNSPECIFIED; });
    return reply;
  }
};

/// Suspends the process for the loop: timers do not run meanwhile.
void
pause_for(kernel::Milliseconds duration)
{
  std::this_thread::sleep_for(duration);
}

} // namespace

// Guards against messages for the agent's predecessor taking effect.
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

// Guards against a delayed prepare or start of an older generation.
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

// Guards against a refusal that a repeated prepare would undo.
BOOST_FIXTURE_TEST_CASE(rejects_a_generation_refused_before, OneServer)
{
  agent::Resources all;
  all.slots = 8;
  BOOST_TEST(this->server.slots.allocate(all));
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_BUSY);
  this->server.slots.release(all);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
  BOOST_TEST(this->server.prepare(this->server.key(2)) ==
             v1::PREPARE_RESULT_HELD);
}

// Guards against a stop that is overtaken by the messages it was to cancel.
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

// Guards against a prepare that arrives after its release, and against the
// release of a hold that belongs to another driver.
BOOST_FIXTURE_TEST_CASE(releases_only_the_drivers_own_hold, OneServer)
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

// Guards against a NEVER_STARTED answer that a later start would make false.
BOOST_FIXTURE_TEST_CASE(refuses_what_it_called_never_started, OneServer)
{
  BOOST_TEST(this->members.query(this->server.key(1)).state() ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
}

// Guards against held resources that leak when the driver is gone.
BOOST_FIXTURE_TEST_CASE(gives_up_a_hold_after_its_time, OneServer)
{
  constexpr std::uint32_t HOLD_MS = 50;
  this->server.prepare(this->server.key(1), HOLD_MS);
  BOOST_TEST(this->server.slots.slots_used() == 1);
  BOOST_TEST(
    this->run_until([&] { return this->server.slots.slots_used() == 0; }));
  BOOST_TEST(this->start(this->server.key(1)) ==
             v1::MEMBER_STATE_NEVER_STARTED);
}

// Guards against a start right after a pause that outlasted the hold, before
// any timer has run.
BOOST_FIXTURE_TEST_CASE(checks_the_hold_before_acting_after_a_pause, OneServer)
{
  constexpr std::uint32_t HOLD_MS = 20;
  this->server.prepare(this->server.key(1), HOLD_MS);
  pause_for(kernel::Milliseconds(2 * HOLD_MS));
  BOOST_TEST(this->start(this->server.key(1)) ==
             v1::MEMBER_STATE_NEVER_STARTED);
  BOOST_TEST(this->server.backend.tasks.empty());
}

// Guards against a lease that is revived after a pause that outlasted it.
BOOST_FIXTURE_TEST_CASE(does_not_renew_a_lapsed_lease_after_a_pause, OneServer)
{
  this->server.prepare(this->server.key(1));
  this->start(this->server.key(1));
  pause_for(this->server.settings.lease.lease + kernel::Milliseconds(10));
  this->members.extend({ "job-1", 1, 0 }, kernel::boot_ms() + 1'000'000);
  BOOST_TEST(this->run_until([&] { return !this->server.results.empty(); }));
  BOOST_TEST(this->server.backend.running() == 0);
  BOOST_TEST(this->server.results[0].ran());
  BOOST_TEST(this->server.results[0].outcome() == v1::OUTCOME_UNKNOWN);
}

// Guards against a single task that stops although its agent is healthy.
BOOST_FIXTURE_TEST_CASE(renews_a_single_task_until_it_ends, OneServer)
{
  this->server.prepare(this->server.key(1));
  this->start(this->server.key(1));
  kernel::Subscription leases = this->timers.every(
    kernel::Milliseconds(5), [this] { this->server.backend.expire(); });
  std::int64_t end =
    kernel::boot_ms() + 3 * this->server.settings.lease.lease.count();
  this->run_until([end] { return kernel::boot_ms() >= end; });
  BOOST_TEST(this->server.backend.running() == 1);
  this->server.backend.finish({ "job-1", 0 }, platform::TaskState::Succeeded);
  BOOST_TEST(this->run_until([&] { return !this->server.results.empty(); }));
  BOOST_TEST(this->server.results[0].outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->server.results[0].output().inline_() == "output");
  BOOST_TEST(this->members.query(this->server.key(1)).state() ==
             v1::MEMBER_STATE_DONE);
  BOOST_TEST(this->server.slots.slots_used() == 0);
  // A prepare that is late by the whole run must not run the task again.
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_STALE);
}

// Guards against a task that ran but is reported as never started, because the
// answer to its start was lost and the backend server restarted.
BOOST_FIXTURE_TEST_CASE(does_not_deny_a_start_with_a_lost_answer, OneServer)
{
  this->server.backend.lose_start_answers = true;
  this->server.backend.forget_tasks = true;
  this->server.prepare(this->server.key(1));
  this->start(this->server.key(1));
  BOOST_TEST(this->stop(this->server.key(1)).state() ==
             v1::MEMBER_STATE_STOPPED);
}

// Guards against new work on an agent that leaves or is quarantined.
BOOST_FIXTURE_TEST_CASE(takes_no_new_member_while_leaving, OneServer)
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

// Guards against a gang that is placed again and again on a backend server that
// has ended while its agent lives.
BOOST_FIXTURE_TEST_CASE(takes_no_member_while_the_backend_is_silent, OneServer)
{
  this->server.backend_available = false;
  BOOST_TEST(this->server.prepare(this->server.key(1)) ==
             v1::PREPARE_RESULT_BACKEND_UNAVAILABLE);
  this->server.backend_available = true;
  BOOST_TEST(this->server.prepare(this->server.key(2)) ==
             v1::PREPARE_RESULT_HELD);
}
