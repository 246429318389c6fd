#define BOOST_TEST_MODULE lease_clock
#include "agent/lease_clock.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::agent;

namespace {

constexpr std::int64_t LEASE_MS = 6'000;

} // namespace

// Guards against a task that is started elsewhere before a lease granted by an
// earlier agent has expired.
BOOST_AUTO_TEST_CASE(waits_for_leases_of_an_earlier_agent)
{
  LeaseClock clock;
  clock.reset(1'000, LEASE_MS);
  BOOST_TEST(!clock.expired(1'000 + LEASE_MS));
  BOOST_TEST(clock.expired(1'000 + LEASE_MS + 400));
}

// Guards against a lease that expires for the agent while still valid on the
// server, whose clock may run 2% slower than the agent's.
BOOST_AUTO_TEST_CASE(lease_expires_on_the_slowest_clock)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_response(10'000, 10'004, 500);
  BOOST_TEST(clock.grant(10'004, LEASE_MS) == 500 + LEASE_MS);
  std::int64_t slow_end = 10'000 + LEASE_MS * 100 / 98;
  BOOST_TEST(!clock.expired(slow_end));
  // The runs need some time to end after the expiry, on any clock.
  BOOST_TEST(!clock.expired(slow_end + 150));
  BOOST_TEST(clock.expired(slow_end + 400));
}

// Guards against a short grant that ends a longer, earlier lease too soon,
// although the server never shortens a lease.
BOOST_AUTO_TEST_CASE(shorter_grant_does_not_move_the_end)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_response(10'000, 10'000, 0);
  clock.grant(10'000, LEASE_MS);
  clock.grant(10'000, 100);
  BOOST_TEST(!clock.expired(10'000 + LEASE_MS));
}

// Guards against a response to an older call that arrives late and sets the
// estimate of the server's clock back.
BOOST_AUTO_TEST_CASE(older_responses_are_ignored)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_response(10'000, 10'002, 5'000);
  clock.record_response(9'000, 10'500, 4'000);
  BOOST_TEST(clock.grant(10'002, 0) == 5'000);
}

// A poll waits at the server, so its response is much newer than its request.
BOOST_AUTO_TEST_CASE(lease_expires_early_after_a_long_poll)
{
  LeaseClock clock;
  clock.reset(0, 0);
  clock.record_response(10'000, 10'700, 700);
  std::int64_t end = 10'700 + LEASE_MS;
  BOOST_TEST(clock.grant(10'700, LEASE_MS) == 700 + LEASE_MS);
  BOOST_TEST(!clock.expired(end));
  BOOST_TEST(clock.expired(end + LEASE_MS * 2 / 98 + 400));
}
