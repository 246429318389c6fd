#include "core/check.h"

#include "core/witness.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// The cell `index` after the placement is committed.
Cell
with_placement(const CellState& state,
               std::uint32_t index,
               const Demand& demand,
               const Placement& placement)
{
  Cell after = *state.cell;
  for (std::uint32_t i = 0; i < placement.members.size(); ++i) {
    if (placement.members[i].cell == index) {
      after.allocations.push_back(allocation_of(demand, placement, i, 0, 0));
    }
  }
  return after;
}

} // namespace

bool
keeps_witness(const CellState& before, const Cell& after)
{
  const std::vector<std::uint32_t> broken_after =
    broken_guarantees(after, before.guarantees);
  if (std::count(broken_after.begin(), broken_after.end(), 0U) ==
      static_cast<std::ptrdiff_t>(broken_after.size())) {
    return true;
  }
  const std::vector<std::uint32_t> broken_before =
    broken_guarantees(*before.cell, before.guarantees);
  for (std::size_t i = 0; i < broken_after.size(); ++i) {
    if (broken_after[i] > broken_before[i]) {
      return false;
    }
  }
  return true;
}

bool
keeps_witness(std::span<const CellState> cells,
              const Demand& demand,
              const Placement& placement)
{
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    const bool used =
      std::any_of(placement.members.begin(),
                  placement.members.end(),
                  [i](const PlacedMember& member) { return member.cell == i; });
    if (!used || cells[i].guarantees.empty()) {
      continue;
    }
    const Cell after = with_placement(cells[i], i, demand, placement);
    if (!keeps_witness(cells[i], after)) {
      return false;
    }
  }
  return true;
}

} // namespace geraniumhinge::core
