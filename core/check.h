#pragma once

#include "core/place.h"

#include <span>

namespace geraniumhinge::core {

/// Whether every touched cell keeps its witness when the placement commits. In
/// a cell whose witness is broken already (after a loss), the placement must
/// not break more shapes.
bool
keeps_witness(std::span<const CellState> cells,
              const Demand& demand,
              const Placement& placement);

/// The same for a change of one cell that is already made in `after`.
bool
keeps_witness(const CellState& before, const Cell& after);

} // namespace geraniumhinge::core
