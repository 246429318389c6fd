#include "core/fragmentation.h"

#include "core/capacity.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Accelerators used by as many whole shapes as `members` suffice for.
std::uint32_t
accelerators_of_whole_shapes(std::uint32_t members, const Shape& shape)
{
  return members / shape.members * total_accelerators(shape);
}

/// Accelerators that serve the shape in the servers or racks of a cell.
std::uint32_t
servable_in_cell(const Capacity& capacity, const Shape& shape)
{
  std::uint32_t servable = 0;
  if (shape.members <= 1 || shape.adjacency == Adjacency::Server) {
    for (const Available& server : capacity.servers) {
      servable +=
        accelerators_of_whole_shapes(members_on(server, shape), shape);
    }
    return servable;
  }
  for (const std::vector<std::uint32_t>& rack : capacity.racks) {
    servable +=
      accelerators_of_whole_shapes(members_on(capacity, rack, shape), shape);
  }
  return servable;
}

std::uint32_t
members_in(const Capacity& capacity, const Shape& shape)
{
  std::uint32_t members = 0;
  for (const Available& server : capacity.servers) {
    members += members_on(server, shape);
  }
  return members;
}

/// Accelerators of all cells that serve the shape.
std::uint32_t
servable(std::span<const Capacity> cells, const Shape& shape)
{
  std::uint32_t total = 0;
  if (shape.members > 1 && shape.adjacency == Adjacency::Any) {
    for (const Capacity& capacity : cells) {
      total += members_in(capacity, shape);
    }
    return accelerators_of_whole_shapes(total, shape);
  }
  for (const Capacity& capacity : cells) {
    total +=
      shape.members > 1 && shape.adjacency == Adjacency::Zone
        ? accelerators_of_whole_shapes(members_in(capacity, shape), shape)
        : servable_in_cell(capacity, shape);
  }
  return total;
}

} // namespace

Fragmentation
fragmentation(std::span<const CellState> cells,
              std::span<const WeightedShape> shapes)
{
  std::vector<Capacity> free;
  Fragmentation result;
  for (const CellState& state : cells) {
    free.push_back(capacity_of(*state.cell, CapacityBasis::Free));
    result.free_accelerators += free_accelerators(free.back());
  }
  double weight = 0;
  double unservable = 0;
  for (const WeightedShape& weighted : shapes) {
    if (total_accelerators(weighted.shape) == 0) {
      continue;
    }
    const std::uint32_t served =
      std::min(servable(free, weighted.shape), result.free_accelerators);
    unservable += weighted.weight * (result.free_accelerators - served);
    weight += weighted.weight;
  }
  result.unservable = weight > 0 ? unservable / weight : 0;
  return result;
}

} // namespace geraniumhinge::core
