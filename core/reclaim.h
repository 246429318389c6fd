#pragma once

#include "core/place.h"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::core {

/// Time limits of the steps of a preemption.
struct ReclaimTimes
{
  std::int64_t checkpoint_ms = 0;
  std::int64_t stop_ms = 0;
  std::int64_t lease_expiry_ms = 0;
};

/// A job to preempt, with all members in all cells.
struct Victim
{
  std::string job;
  /// Accelerator-milliseconds since the start or the last checkpoint, summed
  /// over the members in the given cells.
  std::int64_t lost_work_ms = 0;
};

struct ReclaimPlan
{
  Placement placement; ///< Valid once every victim has stopped.
  std::vector<Victim> victims;
  std::int64_t max_delay_ms = 0; ///< Longest time until the placement is free.
};

/// Finds preemptible jobs to stop so that a demand on a guarantee fits, with
/// the least lost work, and every cell used keeps its witness. A demand on an
/// unused guarantee always has a plan if the cells have a witness.
tl::expected<ReclaimPlan, PlaceError>
plan_reclaim(std::span<const CellState> cells,
             const Demand& demand,
             const Policy& policy,
             const ReclaimTimes& times,
             std::int64_t now_ms);

/// Finds a placement for a large job outside guarantees, which has waited too
/// long, by moving preemptible jobs that fit elsewhere.
tl::expected<ReclaimPlan, PlaceError>
plan_migration(std::span<const CellState> cells,
               const Demand& demand,
               const Policy& policy,
               const ReclaimTimes& times,
               std::int64_t now_ms);

} // namespace geraniumhinge::core
