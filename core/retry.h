#pragma once

#include <cstdint>

namespace geraniumhinge::core {

struct RetryLimits
{
  double ratio = 0.1; ///< Retries allowed for each first attempt.
  double burst = 10;  ///< Most retries that accumulate.
  std::int64_t base_ms = 50;
  std::int64_t longest_ms = 5'000;
};

/// Bounds retries to a share of the first attempts, so that retries do not
/// multiply the load of an overloaded system.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryLimits& limits);

  void record_first_attempt();
  /// Consumes one retry of the budget; false if none is left.
  bool try_retry();

private:
  RetryLimits limits;
  double tokens;
};

/// Delay before retry `attempt` (from 1) in ms: exponential with full jitter,
/// derived from `seed`.
std::int64_t
retry_delay_ms(const RetryLimits& limits,
               std::uint32_t attempt,
               std::uint64_t seed);

} // namespace geraniumhinge::core
