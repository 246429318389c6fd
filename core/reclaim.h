#pragma once

#include "core/place.h"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::core {

/// Bounds of the steps of a preemption, in milliseconds.
struct ReclaimTimes
{
  std::int64_t checkpoint_ms = 0;
  std::int64_t stop_ms = 0;
  std::int64_t lease_expiry_ms = 0;
};

/// A job to be preempted whole, in all its cells.
struct Victim
{
  std::string job;
  /// Accelerator-milliseconds since the start or the last checkpoint, over
  /// the members seen in the cells given.
  std::int64_t lost_work_ms = 0;
};

struct ReclaimPlan
{
  Placement placement; ///< Valid once every victim has stopped.
  std::vector<Victim> victims;
  std::int64_t bound_ms = 0; ///< From now until the placement is free.
};

/// Finds preemptible jobs to stop so that a demand on its guarantee fits with
/// the least lost work, and every touched cell keeps a witness. While the
/// cells have a witness, a demand on an unused guarantee always has a plan.
tl::expected<ReclaimPlan, PlaceError>
plan_reclaim(std::span<const CellState> cells,
             const Demand& demand,
             const Policy& policy,
             const ReclaimTimes& times,
             std::int64_t now_ms);

/// Finds a place for a demand outside guarantees by moving preemptible jobs
/// that fit elsewhere, for a large job that has waited beyond its window.
tl::expected<ReclaimPlan, PlaceError>
plan_migration(std::span<const CellState> cells,
               const Demand& demand,
               const Policy& policy,
               const ReclaimTimes& times,
               std::int64_t now_ms);

} // namespace geraniumhinge::core
