#pragma once

#include <cstdint>

namespace geraniumhinge::core {

/// How long an entry lets others claim ownership first, in milliseconds. The
/// owner needs processor time for each scheduling round: an entry with a small
/// share of a core starts urgent work late, and claims only if no entry with a
/// larger share does.
std::int64_t
claim_delay_ms(double core_share);

} // namespace geraniumhinge::core
