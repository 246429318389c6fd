#pragma once

#include "core/capacity.h"
#include "core/place.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// Unused shapes of one homed guarantee, each of which covers a demand.
struct Claim
{
  std::uint32_t cell = 0;
  std::uint32_t guarantee = 0; ///< Index into that cell's guarantees.
  std::uint32_t unused = 0;    ///< Unused shapes, or members if `Any`.
};

/// Claims that each suffice for the demand, least excess accelerators first. A
/// claim on an `Any` shape has one entry for each home cell. If the
/// organisation has exactly this shape unused, only claims on this shape are
/// returned: consuming a larger one would deprive the owner of it.
std::vector<std::vector<Claim>>
claims_of(std::span<const CellState> cells, const Demand& demand);

/// Whether the claim is on an `Any` shape, whose members may be in several
/// cells.
bool
spans_cells(std::span<const CellState> cells, const std::vector<Claim>& claims);

/// `shape_key` of the claimed guarantee.
std::uint64_t
claim_key(std::span<const CellState> cells, const std::vector<Claim>& claims);

/// `wanted` with the adjacency of the guarantee if that is closer.
Shape
claimed_shape(const CellGuarantee& guarantee, const Shape& wanted);

/// Servers and accelerators that the cells' witnesses have for the claimed
/// shape and that are available in `capacity`. Empty if there are not enough
/// for all members.
std::vector<PlacedMember>
witness_places(std::span<const CellState> cells,
               std::span<const Capacity> capacity,
               const Shape& wanted,
               const std::vector<Claim>& claims);

} // namespace geraniumhinge::core
