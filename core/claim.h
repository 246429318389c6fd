#pragma once

#include "core/capacity.h"
#include "core/place.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// Unused shapes of one homed guarantee that cover a demand.
struct Claim
{
  std::uint32_t cell = 0;
  std::uint32_t guarantee = 0; ///< Index into that cell's guarantees.
  std::uint32_t unused = 0;    ///< Shapes; for `Any` shapes members.
};

/// Claims that each suffice for the demand, least excess first. A claim on an
/// `Any` shape has one entry for each of its home cells. If the organisation
/// has the same shape unused, only claims on it: a demand that took a larger
/// one would deprive the owner of it.
std::vector<std::vector<Claim>>
claims_of(std::span<const CellState> cells, const Demand& demand);

bool
spans_cells(std::span<const CellState> cells, const std::vector<Claim>& claims);

/// `shape_key` of the claimed guarantee.
std::uint64_t
claim_key(std::span<const CellState> cells, const std::vector<Claim>& claims);

/// The wanted shape with the adjacency of the guarantee if that is closer.
Shape
claimed_shape(const HomedGuarantee& guarantee, const Shape& wanted);

/// The places that the cells' witnesses have for the claimed shape, as far as
/// the given capacity has them. Empty if not all members are covered.
std::vector<PlacedMember>
witness_places(std::span<const CellState> cells,
               std::span<const Capacity> capacity,
               const Shape& wanted,
               const std::vector<Claim>& claims);

} // namespace geraniumhinge::core
