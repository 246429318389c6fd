#pragma once

#include "core/place.h"

#include <span>

namespace geraniumhinge::core {

/// Whether every cell used by the placement keeps its witness when the
/// placement is committed. In a cell that has no witness already (after the
/// loss of a server), the placement must not break more shapes.
bool
keeps_witness(std::span<const CellState> cells,
              const Demand& demand,
              const Placement& placement);

/// The same for one cell that changes from `before` to `after`.
bool
keeps_witness(const CellState& before, const Cell& after);

} // namespace geraniumhinge::core
