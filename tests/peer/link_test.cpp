#define BOOST_TEST_MODULE link
#include "peer/link.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::peer;

namespace {

constexpr std::int64_t LATER_MS = 10'000;

/// A link to a loopback port. The tests need no listener there.
Link
unused_link()
{
  return Link(
    "127.0.0.1:9", [](std::uint64_t, std::uint64_t, bool) {}, 0);
}

} // namespace

// Guards against two idle peers that exchange heartbeats forever, which would
// happen if sending a pong started heartbeats.
BOOST_AUTO_TEST_CASE(pong_starts_no_heartbeats)
{
  Link link = unused_link();
  BOOST_REQUIRE(link.push({ 1, "pong", 0 }, PushKind::Pong));
  BOOST_TEST((link.check(LATER_MS) == Link::Due::Nothing));
}

// Guards against a silent connection that is not detected because pongs are
// sent before and after the unanswered request.
BOOST_AUTO_TEST_CASE(request_starts_heartbeats_also_after_a_pong)
{
  Link link = unused_link();
  BOOST_REQUIRE(link.push({ 1, "pong", 0 }, PushKind::Pong));
  BOOST_REQUIRE(link.push({ 2, "request", 1 }, PushKind::Request));
  BOOST_REQUIRE(link.push({ 3, "pong", 2 }, PushKind::Pong));
  BOOST_TEST((link.check(LATER_MS) == Link::Due::Ping));
}

// Guards against heartbeats on a connection that is already confirmed, if a
// pong is sent between a request and its reply.
BOOST_AUTO_TEST_CASE(pong_after_a_confirmed_request_starts_no_heartbeats)
{
  Link link = unused_link();
  BOOST_REQUIRE(link.push({ 1, "request", 1 }, PushKind::Request));
  BOOST_REQUIRE(link.push({ 2, "pong", 2 }, PushKind::Pong));
  link.confirm_delivery(1);
  BOOST_TEST((link.check(LATER_MS) == Link::Due::Nothing));
}
