#pragma once

#include <cstdint>
#include <vector>

namespace geraniumhinge::agent {

/// A task that serves users of its own, as one poll of the server shows it.
struct LatencyTask
{
  double tail_ms = 0; ///< Of its response times.
  std::uint32_t target_ms = 0;
};

/// Decides at which share of their pace best-effort tasks may work beside tasks
/// with a latency target: lowered fast when one nears its target, raised
/// slowly when all are well below.
class Pacer
{
public:
  /// Applies one poll and returns the share in percent.
  std::uint32_t update(const std::vector<LatencyTask>& serving,
                       std::int64_t now_ms);

  std::uint32_t share() const { return this->percent; }

private:
  std::uint32_t percent = 100;
  std::int64_t changed_ms = 0;
};

} // namespace geraniumhinge::agent
