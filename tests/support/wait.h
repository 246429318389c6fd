#pragma once

#include "kernel/clock.h"

#include <functional>
#include <thread>

namespace geraniumhinge::tests {

constexpr kernel::Milliseconds POLL_PERIOD{ 20 };

/// Waits until the condition is true. Returns false if that takes longer than
/// `limit`.
inline bool
wait_until(kernel::Milliseconds limit, const std::function<bool()>& condition)
{
  std::int64_t end = kernel::boot_ms() + limit.count();
  while (!condition()) {
    if (kernel::boot_ms() >= end)
      return false;
    std::this_thread::sleep_for(POLL_PERIOD);
  }
  return true;
}

} // namespace geraniumhinge::tests
