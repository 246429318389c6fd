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

/// Choices whose witness is checked, cheapest first, before the places of the
/// witness itself are used.
constexpr std::size_t CHECKED_CHOICES = 8;

using Choice = Evictions::Choice;

/// A choice that consumes the claimed shape.
struct Claimed
{
  Choice choice;
  std::uint64_t claimed_shape_key = 0;
};

bool
one_server(const Shape& shape)
{
  return shape.members <= 1 || shape.adjacency == Adjacency::Server;
}

std::vector<ServerRef>
refs(std::uint32_t cell, const std::vector<std::uint32_t>& servers)
{
  std::vector<ServerRef> all;
  all.reserve(servers.size());
  for (const std::uint32_t server : servers) {
    all.push_back({ cell, server });
  }
  return all;
}

/// The cheapest choice in each domain of a cell.
std::vector<Choice>
choices_in_cell(const Evictions& evictions,
                const CellState& state,
                std::uint32_t cell,
                std::size_t cells,
                const Shape& shape)
{
  std::vector<Choice> found;
  const std::vector<std::uint32_t> limits(cells, UNLIMITED);
  const Capacity capacity =
    capacity_of(*state.cell, CapacityBasis::FreeOrPreemptible);
  for (const std::vector<std::uint32_t>& domain :
       fitting_domains(capacity, shape)) {
    std::optional<Choice> choice =
      evictions.choose(refs(cell, domain), limits, shape, one_server(shape));
    if (choice) {
      found.push_back(std::move(*choice));
    }
  }
  return found;
}

std::optional<Choice>
choice_over_cells(const Evictions& evictions,
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
  return evictions.choose(servers, limits, shape, false);
}

void
sort_by_cost(std::vector<Choice>& choices)
{
  std::stable_sort(choices.begin(),
                   choices.end(),
                   [](const Choice& left, const Choice& right) {
                     return left.lost_work_ms < right.lost_work_ms;
                   });
}

std::vector<Choice>
claim_choices(const Evictions& evictions,
              std::span<const CellState> cells,
              const Demand& demand,
              const std::vector<Claim>& claims)
{
  if (!spans_cells(cells, claims)) {
    const Claim& claim = claims.front();
    const CellState& state = cells[claim.cell];
    return choices_in_cell(
      evictions,
      state,
      claim.cell,
      cells.size(),
      claimed_shape(state.guarantees[claim.guarantee], demand.shape));
  }
  std::vector<std::uint32_t> limits(cells.size(), 0);
  for (const Claim& claim : claims) {
    limits[claim.cell] = claim.unused;
  }
  std::optional<Choice> choice =
    choice_over_cells(evictions, cells, limits, demand.shape);
  return choice ? std::vector<Choice>{ std::move(*choice) }
                : std::vector<Choice>{};
}

/// The places of the witness itself: dearer, but never breaks another shape.
std::vector<Choice>
witness_choice(const Evictions& evictions,
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
  return { evictions.evict_at(std::move(members), demand.shape) };
}

ReclaimPlan
plan_of(Choice choice,
        std::uint64_t claimed_shape_key,
        const ReclaimTimes& times)
{
  ReclaimPlan plan;
  plan.placement.members = std::move(choice.members);
  plan.placement.guaranteed = claimed_shape_key != 0;
  plan.placement.claimed_shape_key = claimed_shape_key;
  plan.victims = std::move(choice.victims);
  if (!plan.victims.empty()) {
    plan.bound_ms = times.checkpoint_ms + times.stop_ms + times.lease_expiry_ms;
  }
  return plan;
}

std::optional<ReclaimPlan>
first_kept(std::span<const CellState> cells,
           const Demand& demand,
           const Policy& policy,
           const ReclaimTimes& times,
           std::vector<Claimed> choices)
{
  std::stable_sort(choices.begin(),
                   choices.end(),
                   [](const Claimed& left, const Claimed& right) {
                     return left.choice.lost_work_ms <
                            right.choice.lost_work_ms;
                   });
  const std::size_t count = std::min(choices.size(), CHECKED_CHOICES);
  for (std::size_t i = 0; i < count; ++i) {
    ReclaimPlan plan = plan_of(
      std::move(choices[i].choice), choices[i].claimed_shape_key, times);
    if (!policy.witness_check || keeps_witness(cells, demand, plan.placement)) {
      return plan;
    }
  }
  return std::nullopt;
}

/// Cells as they are once the victims have stopped.
std::vector<Cell>
without(std::span<const CellState> cells, const std::vector<Victim>& victims)
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
demand_of(const Allocation& held)
{
  Demand demand;
  demand.job = held.job;
  demand.organisation = held.organisation;
  demand.shape = { 1,
                   static_cast<std::uint32_t>(std::popcount(held.accelerators)),
                   held.cores,
                   held.memory_mb,
                   Adjacency::Any };
  return demand;
}

const Allocation*
find_job(std::span<const CellState> cells, const std::string& job)
{
  for (const CellState& state : cells) {
    for (const Allocation& held : state.cell->allocations) {
      if (held.job == job) {
        return &held;
      }
    }
  }
  return nullptr;
}

void
add(std::vector<Cell>& cells, const Demand& demand, const Placement& placement)
{
  for (std::uint32_t i = 0; i < placement.members.size(); ++i) {
    cells[placement.members[i].cell].allocations.push_back(
      allocation_of(demand, placement, i, 0, 0));
  }
}

/// Whether every victim fits elsewhere once the plan is carried out.
bool
victims_fit(std::span<const CellState> cells,
            const Demand& demand,
            const ReclaimPlan& plan,
            const Policy& policy)
{
  std::vector<Cell> after = without(cells, plan.victims);
  add(after, demand, plan.placement);
  std::vector<CellState> states;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    states.push_back({ &after[i], cells[i].guarantees });
  }
  for (const Victim& victim : plan.victims) {
    const Demand moved = demand_of(*find_job(cells, victim.job));
    const tl::expected<Placement, PlaceError> found =
      place(states, moved, policy);
    if (!found) {
      return false;
    }
    add(after, moved, *found);
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
  const Evictions evictions(cells, now_ms, false, demand.avoid);
  std::vector<Claimed> choices;
  for (const std::vector<Claim>& claims : groups) {
    for (Choice& choice : claim_choices(evictions, cells, demand, claims)) {
      choices.push_back({ std::move(choice), claim_key(cells, claims) });
    }
  }
  std::optional<ReclaimPlan> plan =
    first_kept(cells, demand, policy, times, std::move(choices));
  for (std::size_t i = 0; !plan && i < groups.size(); ++i) {
    choices.clear();
    for (Choice& choice : witness_choice(evictions, cells, demand, groups[i])) {
      choices.push_back({ std::move(choice), claim_key(cells, groups[i]) });
    }
    plan = first_kept(cells, demand, policy, times, std::move(choices));
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
  const Evictions evictions(cells, now_ms, true, demand.avoid);
  std::vector<Choice> choices;
  if (demand.shape.adjacency == Adjacency::Any && demand.shape.members > 1) {
    return tl::unexpected(PlaceError::NoCapacity); // Moving frees nothing.
  }
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    for (Choice& choice :
         choices_in_cell(evictions, cells[i], i, cells.size(), demand.shape)) {
      choices.push_back(std::move(choice));
    }
  }
  sort_by_cost(choices);
  const std::size_t count = std::min(choices.size(), CHECKED_CHOICES);
  for (std::size_t i = 0; i < count; ++i) {
    ReclaimPlan plan = plan_of(std::move(choices[i]), 0, times);
    const bool kept = demand.preemptible || !policy.witness_check ||
                      keeps_witness(cells, demand, plan.placement);
    if (kept && victims_fit(cells, demand, plan, policy)) {
      return plan;
    }
  }
  return tl::unexpected(PlaceError::NoCapacity);
}

} // namespace geraniumhinge::core
