#pragma once

#include <cstdint>
#include <vector>

namespace geraniumhinge::agent {

/// A task with a latency target, as listed by one poll of the server.
struct LatencyTask
{
  double tail_ms = 0; ///< Tail of its response times.
  std::uint32_t target_ms = 0;
};

/// Computes the pace of best-effort tasks, a share of their full speed, beside
/// tasks with a latency target. The pace falls fast when one of these tasks
/// approaches its target, and rises slowly when all are well below.
class Pacer
{
public:
  /// Applies the result of one poll and returns the pace in percent.
  std::uint32_t update(const std::vector<LatencyTask>& latency_tasks,
                       std::int64_t now_ms);

  std::uint32_t pace_percent() const { return this->percent; }

private:
  std::uint32_t percent = 100;
  std::int64_t changed_ms = 0;
};

} // namespace geraniumhinge::agent
