#include "core/claim.h"

#include "core/witness.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::core {

namespace {

/// Sorts before any excess.
constexpr std::int64_t SAME_SHAPE = -1;

std::int64_t
excess(const Shape& held, const Shape& wanted)
{
  if (same_shape(held, wanted)) {
    return SAME_SHAPE;
  }
  const std::uint32_t members =
    held.adjacency == Adjacency::Any ? wanted.members : held.members;
  return std::int64_t{ members } * held.accelerators -
         total_accelerators(wanted);
}

std::vector<Claim>&
claims_on(std::vector<std::pair<Shape, std::vector<Claim>>>& spread,
          const Shape& shape)
{
  for (auto& [known, claims] : spread) {
    if (known == shape) {
      return claims;
    }
  }
  return spread.emplace_back(shape, std::vector<Claim>{}).second;
}

/// Takes as many wanted members as the places of one witness shape hold.
void
take_places(const WitnessShape& held,
            Capacity& left,
            const Shape& wanted,
            std::uint32_t cell,
            std::vector<PlacedMember>& taken)
{
  Shape unit = wanted;
  unit.members = 1;
  for (const WitnessMember& member : held.members) {
    Available& server = left.servers[member.server];
    const bool available =
      (server.accelerators & member.accelerators) == member.accelerators;
    if (taken.size() < wanted.members && available &&
        members_on(server, unit) > 0) {
      taken.push_back({ cell,
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
claimed_shape(const HomedGuarantee& guarantee, const Shape& wanted)
{
  Shape shape = wanted;
  shape.adjacency = std::min(guarantee.shape.adjacency, wanted.adjacency);
  return shape;
}

std::vector<std::vector<Claim>>
claims_of(std::span<const CellState> cells, const Demand& demand)
{
  std::vector<std::pair<std::int64_t, std::vector<Claim>>> found;
  std::vector<std::pair<Shape, std::vector<Claim>>> spread;
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    const GuaranteeUsage usage =
      guarantee_usage_of(*cells[i].cell, cells[i].guarantees);
    for (std::uint32_t j = 0; j < usage.unused.size(); ++j) {
      const HomedGuarantee& held = cells[i].guarantees[j];
      if (held.organisation != demand.organisation || usage.unused[j] == 0 ||
          !covers(held.shape, demand.shape)) {
        continue;
      }
      const Claim claim{ i, j, usage.unused[j] };
      if (held.shape.adjacency == Adjacency::Any) {
        claims_on(spread, held.shape).push_back(claim);
      } else {
        found.push_back({ excess(held.shape, demand.shape), { claim } });
      }
    }
  }
  for (auto& [shape, claims] : spread) {
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
  for (auto& [waste, group] : found) {
    if (waste == SAME_SHAPE || found.front().first != SAME_SHAPE) {
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
  std::vector<PlacedMember> taken;
  const bool gather = spans_cells(cells, claims);
  for (const Claim& claim : claims) {
    const CellState& state = cells[claim.cell];
    const tl::expected<Witness, WitnessError> witness =
      find_witness(*state.cell, state.guarantees);
    if (!witness) {
      continue;
    }
    Capacity left = capacity[claim.cell];
    for (const WitnessShape& held : witness->shapes) {
      if (held.guarantee != claim.guarantee) {
        continue;
      }
      take_places(held, left, wanted, claim.cell, taken);
      if (taken.size() == wanted.members) {
        return taken;
      }
      if (!gather) {
        taken.clear();
      }
    }
  }
  return {};
}

} // namespace geraniumhinge::core
