#define BOOST_TEST_MODULE link
#include "peer/link.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::peer;

namespace {

constexpr std::int64_t LATER_MS = 10'000;

/// A link to a loopback port; whether anything listens does not matter here.
Link
unused_link()
{
  return Link(
    "127.0.0.1:9", [](std::uint64_t, std::uint64_t, bool) {}, 0);
}

} // namespace

// Guards against two idle peers that answer each other's heartbeats for ever.
BOOST_AUTO_TEST_CASE(pong_starts_no_heartbeats)
{
  Link link = unused_link();
  BOOST_REQUIRE(link.push({ 1, "pong", 0 }, PushKind::Pong));
  BOOST_TEST((link.check(LATER_MS) == Link::Due::Nothing));
}

// Guards against a silent connection that goes unnoticed behind pongs.
BOOST_AUTO_TEST_CASE(request_starts_heartbeats_also_after_a_pong)
{
  Link link = unused_link();
  BOOST_REQUIRE(link.push({ 1, "pong", 0 }, PushKind::Pong));
  BOOST_REQUIRE(link.push({ 2, "request", 1 }, PushKind::Request));
  BOOST_REQUIRE(link.push({ 3, "pong", 2 }, PushKind::Pong));
  BOOST_TEST((link.check(LATER_MS) == Link::Due::Ping));
}

// Guards against pongs that keep a proven connection unproven.
BOOST_AUTO_TEST_CASE(pong_after_a_proven_request_starts_no_heartbeats)
{
  Link link = unused_link();
  BOOST_REQUIRE(link.push({ 1, "request", 1 }, PushKind::Request));
  BOOST_REQUIRE(link.push({ 2, "pong", 2 }, PushKind::Pong));
  link.confirm_delivery(1);
  BOOST_TEST((link.check(LATER_MS) == Link::Due::Nothing));
}
