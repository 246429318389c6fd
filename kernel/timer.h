#pragma once

#include "kernel/clock.h"
#include "kernel/loop.h"
#include "kernel/subscription.h"

#include <functional>

namespace geraniumhinge::kernel {

/// One-shot and periodic timers. Callbacks run on the loop's thread; destroying
/// the subscription cancels the timer.
class TimerService
{
public:
  explicit TimerService(Loop& loop);

  /// Calls `fn` once, after `delay`.
  Subscription after(Milliseconds delay, std::function<void()> fn);

  /// Calls `fn` once per period, for the first time after one period. Calls
  /// missed while the process was paused are skipped.
  Subscription every(Milliseconds period, std::function<void()> fn);

private:
  Subscription start(Milliseconds delay,
                     Milliseconds repeat,
                     std::function<void()> fn);

  Loop& loop;
};

} // namespace geraniumhinge::kernel
