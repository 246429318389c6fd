#pragma once

#include "core/cell.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// Resources of one server that are available on a given `CapacityBasis`.
struct Available
{
  std::uint64_t accelerators = 0;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

/// Which servers and resources count as available.
enum class CapacityBasis : std::uint8_t
{
  Free,              ///< Free resources of ready servers.
  FreeOrPreemptible, ///< `Free` plus resources of preemptible jobs.
  NotLost,           ///< Capacity of servers that are not lost.
  Installed,         ///< Capacity of all servers.
};

/// Available resources of a cell, with racks numbered from 0. Servers keep
/// their index in the cell; servers that do not count have nothing available.
struct Capacity
{
  std::vector<Available> servers;
  std::vector<std::uint32_t> rack;               // Rack of each server.
  std::vector<std::vector<std::uint32_t>> racks; // Servers of each rack.
};

Capacity
capacity_of(const Cell& cell, CapacityBasis basis);

/// Members of `shape` that fit on the server at the same time.
std::uint32_t
members_on(const Available& server, const Shape& shape);

std::uint32_t
members_on(const Capacity& capacity,
           std::span<const std::uint32_t> servers,
           const Shape& shape);

/// Allocates the resources of one member, using the lowest accelerators in
/// `preferred` first, then the lowest others. Returns the accelerators used.
std::uint64_t
allocate_member(Available& server,
                const Shape& shape,
                std::uint64_t preferred = ~std::uint64_t{ 0 });

/// Allocates the given resources and one slot, without going below zero.
void
allocate(Available& server,
         std::uint64_t accelerators,
         std::uint32_t cores,
         std::uint32_t memory_mb);

/// Reverses `allocate_member`.
void
release_member(Available& server,
               const Shape& shape,
               std::uint64_t accelerators);

std::uint32_t
free_accelerators(const Capacity& capacity);

} // namespace geraniumhinge::core
