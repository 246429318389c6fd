#define BOOST_TEST_MODULE lease_clock
#include "agent/lease_clock.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::agent;

namespace {

constexpr std::int64_t LEASE_MS = 6'000;

} // namespace

// Guards against a task that is started elsewhere while an earlier agent's
// lease may still hold.
BOOST_AUTO_TEST_CASE(unknown_leases_of_an_earlier_agent_are_waited_for)
{
  LeaseClock clock;
  clock.reset(1'000, LEASE_MS);
  BOOST_TEST(!clock.expired(1'000 + LEASE_MS));
  BOOST_TEST(clock.expired(1'000 + LEASE_MS + 400));
}

// Guards against a lease that counts as expired on a clock 2% fast, while the
// server's runs 2% slow.
BOOST_AUTO_TEST_CASE(lease_expires_on_the_slowest_clock)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_answer(10'000, 10'004, 500);
  BOOST_TEST(clock.grant(10'004, LEASE_MS) == 500 + LEASE_MS);
  std::int64_t slow_end = 10'000 + LEASE_MS * 100 / 98;
  BOOST_TEST(!clock.expired(slow_end));
  BOOST_TEST(clock.expired(slow_end + 400));
}

// Guards against an earlier end, since a lease never shortens.
BOOST_AUTO_TEST_CASE(shorter_grant_does_not_move_the_end)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_answer(10'000, 10'000, 0);
  clock.grant(10'000, LEASE_MS);
  clock.grant(10'000, 100);
  BOOST_TEST(!clock.expired(10'000 + LEASE_MS));
}

// Guards against an answer that arrives late and sets the clock back.
BOOST_AUTO_TEST_CASE(older_answers_are_ignored)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_answer(10'000, 10'002, 5'000);
  clock.record_answer(9'000, 10'500, 4'000);
  BOOST_TEST(clock.grant(10'002, 0) == 5'000);
}
