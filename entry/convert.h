#pragma once

#include "core/cell.h"
#include "core/guarantee.h"
#include "core/place.h"
#include "entry/cell_cache.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

core::Shape
to_core(const v1::Shape& shape);

v1::Shape
from_core(const core::Shape& shape);

/// Converts a cell row. Ready servers for which `excluded` is true get no new
/// work: they are converted as quarantined.
core::Cell
to_core(core::Names& names,
        const v1::CellRow& row,
        const std::function<bool(const std::string&)>& excluded);

/// Returns all guarantees of the configuration with their home zones.
std::vector<core::Guarantee>
to_core(core::Names& names, const v1::Configuration& configuration);

/// Cell rows and configuration, converted to the types of `core`.
struct Snapshot
{
  std::vector<core::Cell> cells;
  /// Guarantees whose home is the cell, by index of the cell.
  std::vector<std::vector<core::CellGuarantee>> guarantees_by_cell;
  std::vector<const v1::CellRow*> rows;

  std::vector<core::CellState> states() const;
  /// Removes the claims of a job, so that the job can use these resources.
  void drop_claims(const std::string& job);
  /// Adds the allocations of a placement that is not in the cell rows yet.
  void add_placement(const core::Demand& demand,
                     const core::Placement& placement);
};

Snapshot
make_snapshot(core::Names& names,
              const CellMap& cells,
              const v1::Configuration& configuration,
              const std::function<bool(const std::string&)>& excluded);

/// Converts the members of a placement to the form of the job row.
std::vector<v1::MemberPlacement>
member_placements(const Snapshot& snapshot, const core::Placement& placement);

/// Returns the guaranteed shapes of all organisations, weighted by their
/// accelerators.
std::vector<core::WeightedShape>
guaranteed_shapes(const v1::Configuration& configuration);

} // namespace geraniumhinge::entry
