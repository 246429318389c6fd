#pragma once

#include "kernel/loop.h"
#include "kernel/timer.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

namespace geraniumhinge::tests {

/// An event loop that a test runs until a condition holds.
struct LoopFixture
{
  // Long enough for a busy machine.
  static constexpr kernel::Milliseconds BOUND{ 20'000 };
  static constexpr kernel::Milliseconds POLL_PERIOD{ 1 };

  kernel::Loop loop;
  kernel::TimerService timers{ loop };

  void run_until(const std::function<bool()>& condition,
                 kernel::Milliseconds limit = BOUND)
  {
    bool expired = false;
    kernel::Subscription bound = this->timers.after(limit, [&] {
      expired = true;
      this->loop.stop();
    });
    kernel::Subscription poll = this->timers.every(POLL_PERIOD, [&] {
      if (condition())
        this->loop.stop();
    });
    if (!condition())
      this->loop.run();
    BOOST_REQUIRE_MESSAGE(!expired, "timed out before the condition held");
  }
};

inline std::string
url_of(int port, const std::string& path)
{
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

} // namespace geraniumhinge::tests
