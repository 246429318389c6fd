#pragma once

#include "kernel/clock.h"
#include "kernel/loop.h"
#include "kernel/subscription.h"

#include <functional>

namespace geraniumhinge::kernel {

/// Calls subscribers after a delay or at a period. Callbacks run on the loop's
/// thread; dropping the subscription cancels them.
class TimerService
{
public:
  explicit TimerService(Loop& loop);

  /// Calls `fn` once.
  Subscription after(Milliseconds delay, std::function<void()> fn);

  /// Calls `fn` once in each period, first after one period. Periods missed
  /// during a pause are not made up for.
  Subscription every(Milliseconds period, std::function<void()> fn);

private:
  Subscription start(Milliseconds delay,
                     Milliseconds repeat,
                     std::function<void()> fn);

  Loop& loop;
};

} // namespace geraniumhinge::kernel
