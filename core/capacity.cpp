#include "core/capacity.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <unordered_map>

namespace geraniumhinge::core {

namespace {

bool
counts_on_basis(const Server& server, CapacityBasis basis)
{
  switch (basis) {
    case CapacityBasis::Installed:
      return true;
    case CapacityBasis::NotLost:
      return server.state != ServerState::Lost;
    case CapacityBasis::Free:
    case CapacityBasis::FreeOrPreemptible:
      break;
  }
  return server.state == ServerState::Ready;
}

void
add_servers(Capacity& capacity, const Cell& cell, CapacityBasis basis)
{
  std::unordered_map<NameId, std::uint32_t> rack_indices;
  capacity.servers.reserve(cell.servers.size());
  capacity.rack.reserve(cell.servers.size());
  for (const Server& server : cell.servers) {
    const auto [found, added] = rack_indices.try_emplace(
      server.rack, static_cast<std::uint32_t>(capacity.racks.size()));
    if (added) {
      capacity.racks.emplace_back();
    }
    const std::uint32_t index =
      static_cast<std::uint32_t>(capacity.servers.size());
    capacity.racks[found->second].push_back(index);
    capacity.rack.push_back(found->second);
    capacity.servers.push_back(counts_on_basis(server, basis)
                                 ? Available{ server.accelerators,
                                              server.slots,
                                              server.cores,
                                              server.memory_mb }
                                 : Available{});
  }
}

/// Moves up to `wanted` lowest bits from `from` to `taken`; returns how many.
std::uint32_t
take_lowest_bits(std::uint64_t& from,
                 std::uint32_t wanted,
                 std::uint64_t& taken)
{
  std::uint32_t count = 0;
  while (count < wanted && from != 0) {
    const std::uint64_t bit = from & (~from + 1);
    taken |= bit;
    from &= ~bit;
    ++count;
  }
  return count;
}

} // namespace

Capacity
capacity_of(const Cell& cell, CapacityBasis basis)
{
  Capacity capacity;
  add_servers(capacity, cell, basis);
  if (basis >= CapacityBasis::NotLost) {
    return capacity;
  }
  for (const Allocation& allocation : cell.allocations) {
    if (basis == CapacityBasis::FreeOrPreemptible && allocation.preemptible) {
      continue;
    }
    allocate(capacity.servers[allocation.server],
             allocation.accelerators,
             allocation.cores,
             allocation.memory_mb);
  }
  return capacity;
}

std::uint32_t
members_on(const Available& server, const Shape& shape)
{
  std::uint32_t fit = server.slots;
  if (shape.accelerators > 0) {
    const std::uint32_t free =
      static_cast<std::uint32_t>(std::popcount(server.accelerators));
    fit = std::min(fit, free / shape.accelerators);
  }
  if (shape.cores > 0) {
    fit = std::min(fit, server.cores / shape.cores);
  }
  if (shape.memory_mb > 0) {
    fit = std::min(fit, server.memory_mb / shape.memory_mb);
  }
  return fit;
}

std::uint32_t
members_on(const Capacity& capacity,
           std::span<const std::uint32_t> servers,
           const Shape& shape)
{
  std::uint32_t fit = 0;
  for (const std::uint32_t server : servers) {
    fit += members_on(capacity.servers[server], shape);
  }
  return fit;
}

std::uint64_t
allocate_member(Available& server, const Shape& shape, std::uint64_t preferred)
{
  std::uint64_t taken = 0;
  std::uint64_t first = server.accelerators & preferred;
  std::uint64_t rest = server.accelerators & ~preferred;
  const std::uint32_t count =
    take_lowest_bits(first, shape.accelerators, taken);
  take_lowest_bits(rest, shape.accelerators - count, taken);
  allocate(server, taken, shape.cores, shape.memory_mb);
  return taken;
}

void
allocate(Available& server,
         std::uint64_t accelerators,
         std::uint32_t cores,
         std::uint32_t memory_mb)
{
  server.accelerators &= ~accelerators;
  server.slots -= std::min(server.slots, 1U);
  server.cores -= std::min(server.cores, cores);
  server.memory_mb -= std::min(server.memory_mb, memory_mb);
}

void
release_member(Available& server,
               const Shape& shape,
               std::uint64_t accelerators)
{
  server.accelerators |= accelerators;
  server.slots += 1;
  server.cores += shape.cores;
  server.memory_mb += shape.memory_mb;
}

std::uint32_t
free_accelerators(const Capacity& capacity)
{
  int count = 0;
  for (const Available& server : capacity.servers) {
    count += std::popcount(server.accelerators);
  }
  return static_cast<std::uint32_t>(count);
}

} // namespace geraniumhinge::core
