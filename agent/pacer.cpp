#include "agent/pacer.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

constexpr std::uint32_t FULL_PACE = 100;
/// A share below this disturbs nearly as much as it works.
constexpr std::uint32_t LOWEST_PACE = 8;
constexpr std::uint32_t RAISE_PERCENT = 10;
constexpr double LOWER_FACTOR = 0.4;
/// Parts of the target at which the share is lowered, and may be raised.
constexpr double NEAR_TARGET = 0.85;
constexpr double BELOW_TARGET = 0.65;
/// The tail covers the last half second, and a change takes effect after a
/// tenth: earlier, a poll shows the time before the change.
constexpr std::int64_t SETTLE_MS = 700;
constexpr std::int64_t RAISE_PERIOD_MS = 1'500;

} // namespace

std::uint32_t
Pacer::update(const std::vector<LatencyTask>& serving, std::int64_t now_ms)
{
  double worst = 0;
  for (const LatencyTask& task : serving) {
    if (task.target_ms > 0)
      worst = std::max(worst, task.tail_ms / task.target_ms);
  }
  std::int64_t since_ms = now_ms - this->changed_ms;
  std::uint32_t changed = this->percent;
  if (worst > NEAR_TARGET && since_ms >= SETTLE_MS) {
    changed = static_cast<std::uint32_t>(this->percent * LOWER_FACTOR);
    if (changed < LOWEST_PACE)
      changed = 0;
  } else if (worst < BELOW_TARGET && since_ms >= RAISE_PERIOD_MS) {
    changed = std::min(this->percent + RAISE_PERCENT, FULL_PACE);
  }
  if (changed != this->percent) {
    this->percent = changed;
    this->changed_ms = now_ms;
  }
  return this->percent;
}

} // namespace geraniumhinge::agent
