#include "core/place.h"

#include "core/capacity.h"
#include "core/check.h"
#include "core/claim.h"
#include "core/rank.h"
#include "core/witness.h"

#include <algorithm>
#include <bit>

namespace geraniumhinge::core {

namespace {

/// Domains tried before a placement that avoids the witness. Each try may need
/// a packing.
constexpr std::size_t MAX_TRIED_DOMAINS = 4;

using Capacities = std::vector<Capacity>;
using Result = tl::expected<Placement, PlaceError>;

/// Removes reserved accelerators and the servers to avoid from `free`.
void
exclude_unavailable(Capacities& free,
                    std::span<const CellState> cells,
                    const Demand& demand,
                    std::span<const PlacedMember> reserved)
{
  for (const PlacedMember& member : reserved) {
    free[member.cell].servers[member.server].accelerators &=
      ~member.accelerators;
  }
  if (demand.avoided_servers.empty()) {
    return;
  }
  for (std::size_t i = 0; i < cells.size(); ++i) {
    for (std::size_t j = 0; j < cells[i].cell->servers.size(); ++j) {
      if (std::count(demand.avoided_servers.begin(),
                     demand.avoided_servers.end(),
                     cells[i].cell->servers[j].name) > 0) {
        free[i].servers[j] = {};
      }
    }
  }
}

Capacities
free_capacity(std::span<const CellState> cells,
              const Demand& demand,
              std::span<const PlacedMember> reserved)
{
  Capacities free;
  free.reserve(cells.size());
  for (const CellState& state : cells) {
    free.push_back(capacity_of(*state.cell, CapacityBasis::Free));
  }
  exclude_unavailable(free, cells, demand, reserved);
  return free;
}

bool
acceptable(std::span<const CellState> cells,
           const Demand& demand,
           const Placement& placement,
           const Policy& policy)
{
  if (!policy.witness_check || (demand.preemptible && !placement.guaranteed)) {
    return true; // A witness may use accelerators of preemptible jobs.
  }
  return keeps_witness(cells, demand, placement);
}

void
release_members(Capacities& free,
                const std::vector<PlacedMember>& members,
                const Shape& shape)
{
  for (const PlacedMember& member : members) {
    release_member(
      free[member.cell].servers[member.server], shape, member.accelerators);
  }
}

bool
spans_cells(const Shape& shape)
{
  return shape.members > 1 && shape.adjacency == Adjacency::Any;
}

/// Places the shape by the rule of the policy. `free` is unchanged on return.
Result
place_by_rule(std::span<const CellState> cells,
              Capacities& free,
              const Demand& demand,
              const Shape& shape,
              std::uint64_t claimed_shape_key,
              const Policy& policy)
{
  Placement placement;
  PlaceError error = PlaceError::NoCapacity;
  const auto try_members = [&](std::vector<PlacedMember> members) {
    release_members(free, members, shape);
    placement.members = std::move(members);
    placement.guaranteed = demand.use_guarantee;
    placement.claimed_shape_key = claimed_shape_key;
    error = PlaceError::WouldBreakGuarantee;
    return acceptable(cells, demand, placement, policy);
  };
  if (spans_cells(shape)) {
    const std::vector<std::uint32_t> limits(free.size(), UNLIMITED);
    std::vector<PlacedMember> members =
      place_over_cells(free, shape, limits, policy);
    if (!members.empty() && try_members(std::move(members))) {
      return placement;
    }
    return tl::unexpected(error);
  }
  for (const Domain& domain :
       rank_domains(free, shape, policy, MAX_TRIED_DOMAINS)) {
    if (try_members(
          place_members(free, domain, shape, shape.members, policy))) {
      return placement;
    }
  }
  return tl::unexpected(error);
}

/// Removes the resources of the cell's witness from `free`.
void
exclude_witness(Capacity& free, const CellState& state)
{
  const tl::expected<Witness, WitnessError> witness =
    find_witness(*state.cell, state.guarantees);
  if (!witness) {
    return;
  }
  for (const WitnessShape& witness_shape : witness->shapes) {
    const Shape& shape = state.guarantees[witness_shape.guarantee].shape;
    for (const WitnessMember& member : witness_shape.members) {
      allocate(free.servers[member.server],
               member.accelerators,
               shape.cores,
               shape.memory_mb);
    }
  }
}

/// Places a demand outside guarantees by the rule. If this placement breaks a
/// guarantee, uses only resources outside the witnesses.
Result
place_unguaranteed(std::span<const CellState> cells,
                   Capacities& free,
                   const Demand& demand,
                   const Policy& policy)
{
  Result found = place_by_rule(cells, free, demand, demand.shape, 0, policy);
  if (found || found.error() != PlaceError::WouldBreakGuarantee) {
    return found;
  }
  for (std::size_t i = 0; i < cells.size(); ++i) {
    exclude_witness(free[i], cells[i]);
  }
  Result without_witness =
    place_by_rule(cells, free, demand, demand.shape, 0, policy);
  return without_witness ? without_witness : found;
}

/// Places the demand where the witness has the claimed shape, if the resources
/// are free for all members.
Result
place_on_witness(std::span<const CellState> cells,
                 const Capacities& free,
                 const Demand& demand,
                 const std::vector<Claim>& claims,
                 const Policy& policy)
{
  Placement placement;
  placement.guaranteed = true;
  placement.claimed_shape_key = claim_key(cells, claims);
  placement.members = witness_places(cells, free, demand.shape, claims);
  if (placement.members.empty()) {
    return tl::unexpected(PlaceError::NoCapacity);
  }
  if (!acceptable(cells, demand, placement, policy)) {
    return tl::unexpected(PlaceError::WouldBreakGuarantee);
  }
  return placement;
}

/// Places a demand on an `Any` guarantee in all home cells of the shape.
Result
place_claim_over_cells(std::span<const CellState> cells,
                       Capacities& free,
                       const Demand& demand,
                       const std::vector<Claim>& claims,
                       const Policy& policy)
{
  std::vector<std::uint32_t> limits(cells.size(), 0);
  for (const Claim& claim : claims) {
    limits[claim.cell] = claim.unused;
  }
  Placement placement;
  placement.guaranteed = true;
  placement.claimed_shape_key = claim_key(cells, claims);
  placement.members = place_over_cells(free, demand.shape, limits, policy);
  release_members(free, placement.members, demand.shape);
  if (placement.members.empty()) {
    return tl::unexpected(PlaceError::NoCapacity);
  }
  if (!acceptable(cells, demand, placement, policy)) {
    return tl::unexpected(PlaceError::WouldBreakGuarantee);
  }
  return placement;
}

Result
place_claim(std::span<const CellState> cells,
            Capacities& free,
            const Demand& demand,
            const std::vector<Claim>& claims,
            const Policy& policy)
{
  const Claim& first = claims.front();
  const CellGuarantee& guarantee =
    cells[first.cell].guarantees[first.guarantee];
  if (guarantee.shape.adjacency == Adjacency::Any) {
    return place_claim_over_cells(cells, free, demand, claims, policy);
  }
  Capacities home(free.size());
  home[first.cell] = free[first.cell];
  const Shape shape = claimed_shape(guarantee, demand.shape);
  return place_by_rule(
    cells, home, demand, shape, claim_key(cells, claims), policy);
}

Result
place_guaranteed(std::span<const CellState> cells,
                 Capacities& free,
                 const Demand& demand,
                 const Policy& policy)
{
  const std::vector<std::vector<Claim>> groups = claims_of(cells, demand);
  if (groups.empty()) {
    return tl::unexpected(PlaceError::NoUnusedGuarantee);
  }
  PlaceError error = PlaceError::NoCapacity;
  for (const std::vector<Claim>& claims : groups) {
    Result found = place_claim(cells, free, demand, claims, policy);
    if (!found && found.error() == PlaceError::WouldBreakGuarantee) {
      found = place_on_witness(cells, free, demand, claims, policy);
    }
    if (found) {
      return found;
    }
    error = found.error();
  }
  return tl::unexpected(error);
}

std::uint32_t
members_in_cell(const Capacity& capacity, const Shape& shape)
{
  std::uint32_t fit = 0;
  for (const Available& server : capacity.servers) {
    fit += members_on(server, shape);
  }
  return fit;
}

/// Most members that fit a single domain of the shape's adjacency.
std::uint32_t
largest_domain(const Capacity& capacity, const Shape& shape)
{
  if (shape.members > 1 && shape.adjacency >= Adjacency::Zone) {
    return members_in_cell(capacity, shape);
  }
  std::uint32_t largest = 0;
  if (shape.members > 1 && shape.adjacency == Adjacency::Rack) {
    for (const std::vector<std::uint32_t>& rack : capacity.racks) {
      largest = std::max(largest, members_on(capacity, rack, shape));
    }
    return largest;
  }
  for (const Available& server : capacity.servers) {
    largest = std::max(largest, members_on(server, shape));
  }
  return largest;
}

} // namespace

Result
place(std::span<const CellState> cells,
      const Demand& demand,
      const Policy& policy,
      std::span<const PlacedMember> reserved)
{
  Capacities free = free_capacity(cells, demand, reserved);
  Result found = demand.use_guarantee
                   ? place_guaranteed(cells, free, demand, policy)
                   : place_unguaranteed(cells, free, demand, policy);
  if (!found && found.error() == PlaceError::NoCapacity &&
      !fits_empty_fleet(cells, demand.shape)) {
    return tl::unexpected(PlaceError::ImpossibleShape);
  }
  return found;
}

Allocation
allocation_of(const Demand& demand,
              const Placement& placement,
              std::uint32_t index,
              std::uint32_t generation,
              std::int64_t started_ms)
{
  const PlacedMember& member = placement.members[index];
  Allocation allocation;
  allocation.job = demand.job;
  allocation.generation = generation;
  allocation.member = index;
  allocation.server = member.server;
  allocation.accelerators = member.accelerators;
  allocation.cores = demand.shape.cores;
  allocation.memory_mb = demand.shape.memory_mb;
  allocation.organisation = demand.organisation;
  allocation.preemptible = demand.preemptible && !placement.guaranteed;
  allocation.guaranteed = placement.guaranteed;
  allocation.claimed_shape_key = placement.claimed_shape_key;
  allocation.started_ms = started_ms;
  return allocation;
}

bool
fits_empty_fleet(std::span<const CellState> cells, const Shape& shape)
{
  std::uint32_t total = 0;
  for (const CellState& state : cells) {
    const Capacity installed =
      capacity_of(*state.cell, CapacityBasis::Installed);
    if (largest_domain(installed, shape) >= shape.members) {
      return true;
    }
    total += members_in_cell(installed, shape);
  }
  return spans_cells(shape) && total >= shape.members;
}

} // namespace geraniumhinge::core
