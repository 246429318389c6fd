#pragma once

#include <cstdint>
#include <vector>

namespace geraniumhinge::agent {

/// A task that serves users of its own, as one look at the server shows it.
struct ServingTask
{
  double tail_ms = 0; ///< Of its response times.
  std::uint32_t target_ms = 0;
};

/// Decides at which share of their pace filling tasks may work beside tasks
/// with a latency target: lowered fast when one nears its target, raised
/// slowly when all are well below.
class Pacer
{
public:
  /// Takes one look and returns the share in percent.
  std::uint32_t update(const std::vector<ServingTask>& serving,
                       std::int64_t now_ms);

  std::uint32_t share() const { return this->percent; }

private:
  std::uint32_t percent = 100;
  std::int64_t changed_ms = 0;
};

} // namespace geraniumhinge::agent
