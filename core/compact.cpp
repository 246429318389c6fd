#include "core/compact.h"

#include "core/fragmentation.h"

#include <bit>
#include <map>
#include <vector>

namespace geraniumhinge::core {

namespace {

std::map<std::string_view, std::uint32_t>
member_counts(std::span<const CellState> cells)
{
  std::map<std::string_view, std::uint32_t> counts;
  for (const CellState& state : cells) {
    for (const Allocation& allocation : state.cell->allocations) {
      ++counts[allocation.job];
    }
  }
  return counts;
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

/// Moves the job to the best other placement and returns the move with its
/// gain; nothing if the job fits nowhere. The cells are unchanged on return.
std::optional<Move>
try_move(std::vector<Cell>& cells,
         std::span<const CellState> states,
         std::size_t cell,
         std::size_t index,
         std::span<const WeightedShape> shapes,
         const Policy& policy)
{
  std::vector<Allocation>& allocations = cells[cell].allocations;
  const double before = fragmentation(states, shapes).unservable;
  const Allocation moved = allocations[index];
  allocations.erase(allocations.begin() + static_cast<std::ptrdiff_t>(index));
  const Demand demand = demand_of(moved);
  std::optional<Move> move;
  if (const tl::expected<Placement, PlaceError> found =
        place(states, demand, policy)) {
    std::vector<Allocation>& target_allocations =
      cells[found->members.front().cell].allocations;
    target_allocations.push_back(allocation_of(demand, *found, 0, 0, 0));
    const double after = fragmentation(states, shapes).unservable;
    target_allocations.pop_back();
    move = Move{ moved.job, *found, before - after };
  }
  allocations.insert(allocations.begin() + static_cast<std::ptrdiff_t>(index),
                     moved);
  return move;
}

} // namespace

std::optional<Move>
plan_compaction(std::span<const CellState> cells,
                std::span<const WeightedShape> shapes,
                const Policy& policy,
                double min_gain,
                std::int64_t started_before_ms)
{
  const std::map<std::string_view, std::uint32_t> counts = member_counts(cells);
  std::vector<Cell> copies;
  for (const CellState& state : cells) {
    copies.push_back(*state.cell);
  }
  std::vector<CellState> states;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    states.push_back({ &copies[i], cells[i].guarantees });
  }
  std::optional<Move> best;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const std::vector<Allocation>& all = cells[i].cell->allocations;
    for (std::size_t j = 0; j < all.size(); ++j) {
      if (!all[j].preemptible || counts.at(all[j].job) > 1 ||
          all[j].started_ms > started_before_ms) {
        continue;
      }
      std::optional<Move> move = try_move(copies, states, i, j, shapes, policy);
      if (move && move->gain >= min_gain &&
          (!best || move->gain > best->gain)) {
        best = std::move(move);
      }
    }
  }
  return best;
}

} // namespace geraniumhinge::core
