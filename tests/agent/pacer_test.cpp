#define BOOST_TEST_MODULE pacer
#include "agent/pacer.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::agent;

namespace {

constexpr std::uint32_t TARGET_MS = 100;
constexpr std::int64_t LOOK_MS = 250;
/// Filling tasks may keep others over their target for less than this.
constexpr std::int64_t HARM_MS = 4'000;

} // namespace

// Guards against best-effort tasks that keep a serving task over its target:
// the tail is proportional to the share, the worst that still depends on it.
BOOST_AUTO_TEST_CASE(share_falls_before_harm_is_done)
{
  for (double disturbance : { 120.0, 400.0, 2'000.0 }) {
    Pacer pacer;
    std::int64_t over_since_ms = -1;
    for (std::int64_t now = 10'000; now < 40'000; now += LOOK_MS) {
      double tail = 20 + disturbance * pacer.share() / 100;
      if (tail <= TARGET_MS)
        over_since_ms = -1;
      else if (over_since_ms < 0)
        over_since_ms = now;
      BOOST_TEST((over_since_ms < 0 || now - over_since_ms < HARM_MS));
      pacer.update({ { tail, TARGET_MS } }, now);
    }
  }
}

// Guards against best-effort tasks that never work again, or without need not
// at full pace.
BOOST_AUTO_TEST_CASE(share_returns_when_targets_are_met)
{
  Pacer pacer;
  BOOST_TEST(pacer.update({}, 10'000) == 100U);
  BOOST_TEST(pacer.update({ { 150, TARGET_MS } }, 11'000) == 40U);
  // The tail still shows the time before.
  BOOST_TEST(pacer.update({ { 150, TARGET_MS } }, 11'300) == 40U);
  std::int64_t now = 12'000;
  for (; now < 30'000; now += LOOK_MS)
    pacer.update({ { 30, TARGET_MS } }, now);
  BOOST_TEST(pacer.share() == 100U);
}
