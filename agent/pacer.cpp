#include "agent/pacer.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

constexpr std::uint32_t FULL_PACE_PERCENT = 100;
/// A lower pace becomes 0, because best-effort tasks would then disturb other
/// tasks nearly as much as they do work.
constexpr std::uint32_t MIN_PACE_PERCENT = 8;
constexpr std::uint32_t RAISE_STEP_PERCENT = 10;
constexpr double LOWER_FACTOR = 0.4;
/// Ratios of tail to target that lower the pace, and that let it rise.
constexpr double LOWER_ABOVE_RATIO = 0.85;
constexpr double RAISE_BELOW_RATIO = 0.65;
/// The tail covers the last 500 ms and a change takes effect after 100 ms, so
/// earlier polls still show the time before the change.
constexpr std::int64_t LOWER_PERIOD_MS = 700;
constexpr std::int64_t RAISE_PERIOD_MS = 1'500;

} // namespace

std::uint32_t
Pacer::update(const std::vector<LatencyTask>& latency_tasks,
              std::int64_t now_ms)
{
  double worst_ratio = 0;
  for (const LatencyTask& task : latency_tasks) {
    if (task.target_ms > 0)
      worst_ratio = std::max(worst_ratio, task.tail_ms / task.target_ms);
  }
  std::int64_t since_ms = now_ms - this->changed_ms;
  std::uint32_t changed = this->percent;
  if (worst_ratio > LOWER_ABOVE_RATIO && since_ms >= LOWER_PERIOD_MS) {
    changed = static_cast<std::uint32_t>(this->percent * LOWER_FACTOR);
    if (changed < MIN_PACE_PERCENT)
      changed = 0;
  } else if (worst_ratio < RAISE_BELOW_RATIO && since_ms >= RAISE_PERIOD_MS) {
    changed = std::min(this->percent + RAISE_STEP_PERCENT, FULL_PACE_PERCENT);
  }
  if (changed != this->percent) {
    this->percent = changed;
    this->changed_ms = now_ms;
  }
  return this->percent;
}

} // namespace geraniumhinge::agent
