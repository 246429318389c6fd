#include "core/reclaim.h"

#include "core/check.h"
#include "core/claim.h"
#include "core/evict.h"
#include "core/pack.h"
#include "core/rank.h"

#include <algorithm>
#include <bit>

namespace geraniumhinge::core {

namespace {

/// Candidates whose witness is checked, cheapest first, before the servers of
/// the witness itself are used.
constexpr std::size_t MAX_CHECKED_CANDIDATES = 8;

using Candidate = EvictionPlanner::Candidate;

/// A candidate and the guaranteed shape that it consumes.
struct ClaimCandidate
{
  Candidate candidate;
  std::uint64_t claimed_shape_key = 0;
};

bool
needs_one_server(const Shape& shape)
{
  return shape.members <= 1 || shape.adjacency == Adjacency::Server;
}

std::vector<ServerRef>
server_refs(std::uint32_t cell, const std::vector<std::uint32_t>& servers)
{
  std::vector<ServerRef> all;
  all.reserve(servers.size());
  for (const std::uint32_t server : servers) {
    all.push_back({ cell, server });
  }
  return all;
}

/// The cheapest candidate in each domain of a cell.
std::vector<Candidate>
candidates_in_cell(const EvictionPlanner& planner,
                   const CellState& state,
                   std::uint32_t cell,
                   std::size_t cells,
                   const Shape& shape)
{
  std::vector<Candidate> found;
  const std::vector<std::uint32_t> limits(cells, UNLIMITED);
  const Capacity capacity =
    capacity_of(*state.cell, CapacityBasis::FreeOrPreemptible);
  for (const std::vector<std::uint32_t>& domain :
       fitting_domains(capacity, shape)) {
    std::optional<Candidate> candidate = planner.find_cheapest(
      server_refs(cell, domain), limits, shape, needs_one_server(shape));
    if (candidate) {
      found.push_back(std::move(*candidate));
    }
  }
  return found;
}

std::optional<Candidate>
candidate_over_cells(const EvictionPlanner& planner,
                     std::span<const CellState> cells,
                     std::span<const std::uint32_t> limits,
                     const Shape& shape)
{
  std::vector<ServerRef> servers;
  for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
    if (limits[cell] == 0) {
      continue;
    }
    const std::uint32_t count =
      static_cast<std::uint32_t>(cells[cell].cell->servers.size());
    for (std::uint32_t server = 0; server < count; ++server) {
      servers.push_back({ cell, server });
    }
  }
  return planner.find_cheapest(servers, limits, shape, false);
}

void
sort_by_cost(std::vector<Candidate>& candidates)
{
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.lost_work_ms < right.lost_work_ms;
                   });
}

std::vector<Candidate>
claim_candidates(const EvictionPlanner& planner,
                 std::span<const CellState> cells,
                 const Demand& demand,
                 const std::vector<Claim>& claims)
{
  if (!spans_cells(cells, claims)) {
    const Claim& claim = claims.front();
    const CellState& state = cells[claim.cell];
    return candidates_in_cell(
      planner,
      state,
      claim.cell,
      cells.size(),
      claimed_shape(state.guarantees[claim.guarantee], demand.shape));
  }
  std::vector<std::uint32_t> limits(cells.size(), 0);
  for (const Claim& claim : claims) {
    limits[claim.cell] = claim.unused;
  }
  std::optional<Candidate> candidate =
    candidate_over_cells(planner, cells, limits, demand.shape);
  return candidate ? std::vector<Candidate>{ std::move(*candidate) }
                   : std::vector<Candidate>{};
}

/// The candidate on the servers and accelerators of the witness itself: more
/// expensive, but never breaks another shape. Empty if there is none.
std::vector<Candidate>
witness_candidate(const EvictionPlanner& planner,
                  std::span<const CellState> cells,
                  const Demand& demand,
                  const std::vector<Claim>& claims)
{
  std::vector<Capacity> capacity;
  for (const CellState& state : cells) {
    capacity.push_back(
      capacity_of(*state.cell, CapacityBasis::FreeOrPreemptible));
  }
  std::vector<PlacedMember> members =
    witness_places(cells, capacity, demand.shape, claims);
  if (members.empty()) {
    return {};
  }
  return { planner.place_at(std::move(members), demand.shape) };
}

ReclaimPlan
plan_of(Candidate candidate,
        std::uint64_t claimed_shape_key,
        const ReclaimTimes& times)
{
  ReclaimPlan plan;
  plan.placement.members = std::move(candidate.members);
  plan.placement.guaranteed = claimed_shape_key != 0;
  plan.placement.claimed_shape_key = claimed_shape_key;
  plan.victims = std::move(candidate.victims);
  if (!plan.victims.empty()) {
    plan.max_delay_ms =
      times.checkpoint_ms + times.stop_ms + times.lease_expiry_ms;
  }
  return plan;
}

/// The plan of the cheapest candidate that keeps the witnesses, if there is one
/// among the first `MAX_CHECKED_CANDIDATES`.
std::optional<ReclaimPlan>
first_valid_plan(std::span<const CellState> cells,
                 const Demand& demand,
                 const Policy& policy,
                 const ReclaimTimes& times,
                 std::vector<ClaimCandidate> candidates)
{
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const ClaimCandidate& left, const ClaimCandidate& right) {
                     return left.candidate.lost_work_ms <
                            right.candidate.lost_work_ms;
                   });
  const std::size_t count = std::min(candidates.size(), MAX_CHECKED_CANDIDATES);
  for (std::size_t i = 0; i < count; ++i) {
    ReclaimPlan plan = plan_of(std::move(candidates[i].candidate),
                               candidates[i].claimed_shape_key,
                               times);
    if (!policy.witness_check || keeps_witness(cells, demand, plan.placement)) {
      return plan;
    }
  }
  return std::nullopt;
}

/// The cells after the victims have stopped.
std::vector<Cell>
cells_without(std::span<const CellState> cells,
              const std::vector<Victim>& victims)
{
  std::vector<std::string> names;
  names.reserve(victims.size());
  for (const Victim& victim : victims) {
    names.push_back(victim.job);
  }
  std::vector<Cell> after;
  for (const CellState& state : cells) {
    after.push_back(*state.cell);
    release(after.back(), names);
  }
  return after;
}

Demand
demand_of(const Allocation& allocation)
{
  Demand demand;
  demand.job = allocation.job;
  demand.organisation = allocation.organisation;
  demand.shape = { 1,
                   static_cast<std::uint32_t>(
                     std::popcount(allocation.accelerators)),
                   allocation.cores,
                   allocation.memory_mb,
                   Adjacency::Any };
  return demand;
}

const Allocation*
find_job(std::span<const CellState> cells, const std::string& job)
{
  for (const CellState& state : cells) {
    for (const Allocation& allocation : state.cell->allocations) {
      if (allocation.job == job) {
        return &allocation;
      }
    }
  }
  return nullptr;
}

void
add_allocations(std::vector<Cell>& cells,
                const Demand& demand,
                const Placement& placement)
{
  for (std::uint32_t i = 0; i < placement.members.size(); ++i) {
    cells[placement.members[i].cell].allocations.push_back(
      allocation_of(demand, placement, i, 0, 0));
  }
}

/// Whether every victim fits elsewhere after the plan was carried out.
bool
victims_fit_elsewhere(std::span<const CellState> cells,
                      const Demand& demand,
                      const ReclaimPlan& plan,
                      const Policy& policy)
{
  std::vector<Cell> after = cells_without(cells, plan.victims);
  add_allocations(after, demand, plan.placement);
  std::vector<CellState> states;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    states.push_back({ &after[i], cells[i].guarantees });
  }
  for (const Victim& victim : plan.victims) {
    const Demand victim_demand = demand_of(*find_job(cells, victim.job));
    const tl::expected<Placement, PlaceError> found =
      place(states, victim_demand, policy);
    if (!found) {
      return false;
    }
    add_allocations(after, victim_demand, *found);
  }
  return true;
}

} // namespace

tl::expected<ReclaimPlan, PlaceError>
plan_reclaim(std::span<const CellState> cells,
             const Demand& demand,
             const Policy& policy,
             const ReclaimTimes& times,
             std::int64_t now_ms)
{
  const std::vector<std::vector<Claim>> groups = claims_of(cells, demand);
  if (groups.empty()) {
    return tl::unexpected(PlaceError::NoUnusedGuarantee);
  }
  const EvictionPlanner planner(cells, now_ms, false, demand.avoided_servers);
  std::vector<ClaimCandidate> candidates;
  for (const std::vector<Claim>& claims : groups) {
    for (Candidate& candidate :
         claim_candidates(planner, cells, demand, claims)) {
      candidates.push_back({ std::move(candidate), claim_key(cells, claims) });
    }
  }
  std::optional<ReclaimPlan> plan =
    first_valid_plan(cells, demand, policy, times, std::move(candidates));
  for (std::size_t i = 0; !plan && i < groups.size(); ++i) {
    candidates.clear();
    for (Candidate& candidate :
         witness_candidate(planner, cells, demand, groups[i])) {
      candidates.push_back(
        { std::move(candidate), claim_key(cells, groups[i]) });
    }
    plan =
      first_valid_plan(cells, demand, policy, times, std::move(candidates));
  }
  if (!plan) {
    return tl::unexpected(PlaceError::WouldBreakGuarantee);
  }
  return std::move(*plan);
}

tl::expected<ReclaimPlan, PlaceError>
plan_migration(std::span<const CellState> cells,
               const Demand& demand,
               const Policy& policy,
               const ReclaimTimes& times,
               std::int64_t now_ms)
{
  const EvictionPlanner planner(cells, now_ms, true, demand.avoided_servers);
  std::vector<Candidate> candidates;
  if (demand.shape.adjacency == Adjacency::Any && demand.shape.members > 1) {
    // The members may be on any servers, so moving jobs frees nothing.
    return tl::unexpected(PlaceError::NoCapacity);
  }
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    for (Candidate& candidate :
         candidates_in_cell(planner, cells[i], i, cells.size(), demand.shape)) {
      candidates.push_back(std::move(candidate));
    }
  }
  sort_by_cost(candidates);
  const std::size_t count = std::min(candidates.size(), MAX_CHECKED_CANDIDATES);
  for (std::size_t i = 0; i < count; ++i) {
    ReclaimPlan plan = plan_of(std::move(candidates[i]), 0, times);
    const bool keeps_guarantees = demand.preemptible || !policy.witness_check ||
                                  keeps_witness(cells, demand, plan.placement);
    if (keeps_guarantees &&
        victims_fit_elsewhere(cells, demand, plan, policy)) {
      return plan;
    }
  }
  return tl::unexpected(PlaceError::NoCapacity);
}

} // namespace geraniumhinge::core
