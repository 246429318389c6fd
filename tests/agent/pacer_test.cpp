#define BOOST_TEST_MODULE pacer
#include "agent/pacer.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::agent;

namespace {

constexpr std::uint32_t TARGET_MS = 100;
constexpr std::int64_t POLL_PERIOD_MS = 250;
/// Best-effort tasks may keep others over their target for less than this.
constexpr std::int64_t MAX_OVER_TARGET_MS = 4'000;

} // namespace

// Guards against best-effort tasks that keep a task over its latency target.
// The tail grows linearly with the pace, the worst case that still depends on
// the pace.
BOOST_AUTO_TEST_CASE(pace_falls_before_targets_are_missed_for_long)
{
  for (double disturbance_ms : { 120.0, 400.0, 2'000.0 }) {
    Pacer pacer;
    std::int64_t over_since_ms = -1;
    for (std::int64_t now = 10'000; now < 40'000; now += POLL_PERIOD_MS) {
      double tail_ms = 20 + disturbance_ms * pacer.pace_percent() / 100;
      if (tail_ms <= TARGET_MS)
        over_since_ms = -1;
      else if (over_since_ms < 0)
        over_since_ms = now;
      BOOST_TEST(
        (over_since_ms < 0 || now - over_since_ms < MAX_OVER_TARGET_MS));
      pacer.update({ { tail_ms, TARGET_MS } }, now);
    }
  }
}

// Guards against best-effort tasks that stay stopped after the targets are met
// again, or that are slowed without a need.
BOOST_AUTO_TEST_CASE(pace_returns_when_targets_are_met)
{
  Pacer pacer;
  BOOST_TEST(pacer.update({}, 10'000) == 100U);
  BOOST_TEST(pacer.update({ { 150, TARGET_MS } }, 11'000) == 40U);
  // The tail still covers the time before the change.
  BOOST_TEST(pacer.update({ { 150, TARGET_MS } }, 11'300) == 40U);
  std::int64_t now = 12'000;
  for (; now < 30'000; now += POLL_PERIOD_MS)
    pacer.update({ { 30, TARGET_MS } }, now);
  BOOST_TEST(pacer.pace_percent() == 100U);
}
