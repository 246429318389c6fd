#include "core/retry.h"

#include <algorithm>
#include <xxhash.h>

namespace geraniumhinge::core {

RetryBudget::RetryBudget(const RetryLimits& limits)
  : limits(limits)
  , tokens(limits.burst)
{
}

void
RetryBudget::record_first_attempt()
{
  this->tokens =
    std::min(this->tokens + this->limits.ratio, this->limits.burst);
}

bool
RetryBudget::try_retry()
{
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

std::int64_t
retry_delay_ms(const RetryLimits& limits,
               std::uint32_t attempt,
               std::uint64_t seed)
{
  const std::uint32_t doublings = std::clamp(attempt, 1U, 32U) - 1;
  const std::int64_t ceiling =
    std::min(limits.longest_ms, limits.base_ms << doublings);
  const std::uint64_t draw = XXH64(&attempt, sizeof(attempt), seed);
  return static_cast<std::int64_t>(
    draw % static_cast<std::uint64_t>(std::max<std::int64_t>(ceiling, 1) + 1));
}

} // namespace geraniumhinge::core
