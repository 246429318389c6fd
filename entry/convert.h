#pragma once

#include "core/cell.h"
#include "core/guarantee.h"
#include "core/place.h"
#include "entry/cells.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

core::Shape
to_core(const v1::Shape& shape);

v1::Shape
from_core(const core::Shape& shape);

/// Converts a cell row. `withheld` names servers that get no new work besides
/// those whose state says so.
core::Cell
to_core(core::Names& names,
        const v1::CellRow& row,
        const std::function<bool(const std::string&)>& withheld);

/// All guarantees of the configuration with their home zones.
std::vector<core::Guarantee>
to_core(core::Names& names, const v1::Configuration& configuration);

/// Rows and configuration in the form that `core` decides on.
struct Snapshot
{
  std::vector<core::Cell> cells;
  std::vector<std::vector<core::HomedGuarantee>> homed; ///< Of each cell.
  std::vector<const v1::CellRow*> rows;

  std::vector<core::CellState> states() const;
  /// Removes the claims of a job, which may use them itself.
  void drop_claims(const std::string& job);
  /// Adds the allocations of a placement that is not committed yet.
  void add_placement(const core::Demand& demand,
                     const core::Placement& placement);
};

Snapshot
make_snapshot(core::Names& names,
              const CellMap& cells,
              const v1::Configuration& configuration,
              const std::function<bool(const std::string&)>& withheld);

/// Members of a placement as the job row holds them.
std::vector<v1::MemberPlacement>
member_placements(const Snapshot& snapshot, const core::Placement& placement);

/// Guaranteed shapes of all organisations, weighted by their accelerators.
std::vector<core::WeightedShape>
guaranteed_shapes(const v1::Configuration& configuration);

} // namespace geraniumhinge::entry
