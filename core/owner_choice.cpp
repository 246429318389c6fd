#include "core/owner_choice.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Share of a core with which an entry claims at once.
constexpr double FULL_SHARE = 0.5;
/// Delay without any processor time. Claims of entries whose shares differ by
/// a tenth of a core should not overlap.
constexpr double MAX_CLAIM_DELAY_MS = 400;

} // namespace

std::int64_t
claim_delay_ms(double core_share)
{
  double missing = std::clamp(1 - core_share / FULL_SHARE, 0.0, 1.0);
  return static_cast<std::int64_t>(missing * MAX_CLAIM_DELAY_MS);
}

} // namespace geraniumhinge::core
