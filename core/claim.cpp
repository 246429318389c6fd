#include "core/claim.h"

#include "core/witness.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::core {

namespace {

/// Excess of an equal shape. Sorts before any other excess.
constexpr std::int64_t SAME_SHAPE = -1;

/// Accelerators of the consumed guaranteed shape that the job does not use.
std::int64_t
excess(const Shape& guaranteed, const Shape& wanted)
{
  if (same_shape(guaranteed, wanted)) {
    return SAME_SHAPE;
  }
  const std::uint32_t members = guaranteed.adjacency == Adjacency::Any
                                  ? wanted.members
                                  : guaranteed.members;
  return std::int64_t{ members } * guaranteed.accelerators -
         total_accelerators(wanted);
}

std::vector<Claim>&
claims_for_shape(std::vector<std::pair<Shape, std::vector<Claim>>>& any_claims,
                 const Shape& shape)
{
  for (auto& [known, claims] : any_claims) {
    if (known == shape) {
      return claims;
    }
  }
  return any_claims.emplace_back(shape, std::vector<Claim>{}).second;
}

/// Allocates as many wanted members as fit the members of one witness shape.
void
allocate_members(const WitnessShape& witness_shape,
                 Capacity& remaining,
                 const Shape& wanted,
                 std::uint32_t cell,
                 std::vector<PlacedMember>& placed)
{
  Shape unit = wanted;
  unit.members = 1;
  for (const WitnessMember& member : witness_shape.members) {
    Available& server = remaining.servers[member.server];
    const bool available =
      (server.accelerators & member.accelerators) == member.accelerators;
    if (placed.size() < wanted.members && available &&
        members_on(server, unit) > 0) {
      placed.push_back({ cell,
                         member.server,
                         allocate_member(server, unit, member.accelerators) });
    }
  }
}

} // namespace

bool
spans_cells(std::span<const CellState> cells, const std::vector<Claim>& claims)
{
  const Claim& first = claims.front();
  return cells[first.cell].guarantees[first.guarantee].shape.adjacency ==
         Adjacency::Any;
}

std::uint64_t
claim_key(std::span<const CellState> cells, const std::vector<Claim>& claims)
{
  const Claim& first = claims.front();
  return shape_key(cells[first.cell].guarantees[first.guarantee].shape);
}

Shape
claimed_shape(const CellGuarantee& guarantee, const Shape& wanted)
{
  Shape shape = wanted;
  shape.adjacency = std::min(guarantee.shape.adjacency, wanted.adjacency);
  return shape;
}

std::vector<std::vector<Claim>>
claims_of(std::span<const CellState> cells, const Demand& demand)
{
  std::vector<std::pair<std::int64_t, std::vector<Claim>>> found;
  std::vector<std::pair<Shape, std::vector<Claim>>> any_claims;
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    const GuaranteeUsage usage =
      guarantee_usage_of(*cells[i].cell, cells[i].guarantees);
    for (std::uint32_t j = 0; j < usage.unused.size(); ++j) {
      const CellGuarantee& guarantee = cells[i].guarantees[j];
      if (guarantee.organisation != demand.organisation ||
          usage.unused[j] == 0 || !covers(guarantee.shape, demand.shape)) {
        continue;
      }
      const Claim claim{ i, j, usage.unused[j] };
      if (guarantee.shape.adjacency == Adjacency::Any) {
        claims_for_shape(any_claims, guarantee.shape).push_back(claim);
      } else {
        found.push_back({ excess(guarantee.shape, demand.shape), { claim } });
      }
    }
  }
  for (auto& [shape, claims] : any_claims) {
    std::uint32_t units = 0;
    for (const Claim& claim : claims) {
      units += claim.unused;
    }
    if (units >= demand.shape.members) {
      found.emplace_back(excess(shape, demand.shape), std::move(claims));
    }
  }
  std::stable_sort(
    found.begin(), found.end(), [](const auto& left, const auto& right) {
      return left.first < right.first;
    });
  std::vector<std::vector<Claim>> claims;
  claims.reserve(found.size());
  for (auto& [unused_accelerators, group] : found) {
    if (unused_accelerators == SAME_SHAPE ||
        found.front().first != SAME_SHAPE) {
      claims.push_back(std::move(group));
    }
  }
  return claims;
}

std::vector<PlacedMember>
witness_places(std::span<const CellState> cells,
               std::span<const Capacity> capacity,
               const Shape& wanted,
               const std::vector<Claim>& claims)
{
  std::vector<PlacedMember> placed;
  const bool over_cells = spans_cells(cells, claims);
  for (const Claim& claim : claims) {
    const CellState& state = cells[claim.cell];
    const tl::expected<Witness, WitnessError> witness =
      find_witness(*state.cell, state.guarantees);
    if (!witness) {
      continue;
    }
    Capacity remaining = capacity[claim.cell];
    for (const WitnessShape& witness_shape : witness->shapes) {
      if (witness_shape.guarantee != claim.guarantee) {
        continue;
      }
      allocate_members(witness_shape, remaining, wanted, claim.cell, placed);
      if (placed.size() == wanted.members) {
        return placed;
      }
      if (!over_cells) {
        placed.clear();
      }
    }
  }
  return {};
}

} // namespace geraniumhinge::core
