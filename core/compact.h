#pragma once

#include "core/place.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace geraniumhinge::core {

/// A move of a job of one member to another placement.
struct Move
{
  std::string job;
  Placement placement;
  double gain = 0; ///< Accelerators that become servable, weighted by shape.
};

/// Finds the move of a preemptible job of one member that makes the most free
/// accelerators servable for `shapes` (see `fragmentation`), with a gain of at
/// least `min_gain`. Jobs started after `started_before_ms` are not moved, so
/// that no job moves repeatedly.
std::optional<Move>
plan_compaction(std::span<const CellState> cells,
                std::span<const WeightedShape> shapes,
                const Policy& policy,
                double min_gain,
                std::int64_t started_before_ms);

} // namespace geraniumhinge::core
