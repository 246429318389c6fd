#define BOOST_TEST_MODULE progress_watch
#include "core/progress_watch.h"

#include <boost/test/unit_test.hpp>

using geraniumhinge::core::ProgressWatch;

namespace {

constexpr char TASK[] = "5c0e7a21d94b36f8.0.0.1";
constexpr std::int64_t ESTIMATE_MS = 4'000;

/// Reports a percentage every 500 ms.
struct Fixture
{
  ProgressWatch watch;
  std::int64_t now_ms = 10'000;

  void report(std::uint32_t percent, int times = 1)
  {
    for (int index = 0; index < times; ++index) {
      now_ms += 500;
      watch.record_progress(TASK, 1, percent, now_ms);
    }
  }
};

} // namespace

// Guards against stalled runs that are not detected, and against runs with
// progress that count as stalled.
BOOST_FIXTURE_TEST_CASE(stalled_run_is_detected, Fixture)
{
  for (std::uint32_t percent : { 5U, 10U, 15U, 20U })
    report(percent);
  BOOST_TEST(!watch.lacks_recent_progress(TASK, 1));
  report(20, 5);
  BOOST_TEST(watch.lacks_recent_progress(TASK, 1));
  BOOST_TEST(!watch.stalled(TASK, 1, ESTIMATE_MS));
  report(20, 2);
  BOOST_TEST(watch.stalled(TASK, 1, ESTIMATE_MS));
  BOOST_TEST(!watch.stalled(TASK, 2, ESTIMATE_MS));
  report(21);
  BOOST_TEST(!watch.lacks_recent_progress(TASK, 1));
}

// Guards against long tasks that count as stalled because they gain one percent
// only every few seconds.
BOOST_FIXTURE_TEST_CASE(slow_progress_is_no_stall, Fixture)
{
  for (std::uint32_t percent = 1; percent < 5; ++percent)
    report(percent, 8);
  report(5, 12);
  BOOST_TEST(!watch.lacks_recent_progress(TASK, 1));
  BOOST_TEST(!watch.stalled(TASK, 1, ESTIMATE_MS));
}

// Guards against runs that count as stalled because no reports arrived for a
// while.
BOOST_FIXTURE_TEST_CASE(silence_is_no_stall, Fixture)
{
  for (std::uint32_t percent : { 5U, 10U, 15U })
    report(percent);
  now_ms += 60'000;
  report(15);
  BOOST_TEST(!watch.stalled(TASK, 1, ESTIMATE_MS));
}

// Guards against a task that stalls on every server and is restarted forever.
BOOST_FIXTURE_TEST_CASE(restarts_are_limited, Fixture)
{
  report(5);
  report(10);
  report(10, 10);
  BOOST_TEST(watch.stalled(TASK, 1, ESTIMATE_MS));
  watch.record_restart(TASK);
  watch.record_restart(TASK);
  BOOST_TEST(!watch.stalled(TASK, 1, ESTIMATE_MS));
}
