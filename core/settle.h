#pragma once

#include <cstddef>
#include <cstdint>

namespace geraniumhinge::core {

/// What a new owner knows of the agents that report to it for the first time.
struct FirstReports
{
  std::int64_t term_age_ms = 0; ///< Time since ownership began.
  /// Whether `agents` counts all agents, not only those that have reported.
  bool listed = false;
  std::size_t agents = 0;   ///< Except those known to be silent.
  std::size_t reported = 0; ///< Whose servers are known.
};

/// Whether a new owner still lacks reports that it can expect. Until it has
/// them, free servers are unknown: placements use the few that are known, and
/// stop runs there although others are free. `limit_ms` bounds this time, since
/// agents may have ended for good; 0 turns it off.
bool
is_settling(const FirstReports& reports, std::int64_t limit_ms);

} // namespace geraniumhinge::core
