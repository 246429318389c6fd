#pragma once

#include "core/cell.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// Resources of one server that are available for some purpose.
struct Available
{
  std::uint64_t accelerators = 0;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

enum class CapacityBasis : std::uint8_t
{
  Free,              ///< Of ready servers.
  FreeOrPreemptible, ///< Of ready servers.
  NotLost,           ///< Of servers that are not lost, whatever runs.
  Installed,         ///< Of all servers, whatever runs.
};

/// Available resources of a cell, with racks numbered densely. Servers keep
/// their index; those that do not count have nothing available.
struct Capacity
{
  std::vector<Available> servers;
  std::vector<std::uint32_t> rack;               // For each server.
  std::vector<std::vector<std::uint32_t>> racks; // Servers of each rack.
};

Capacity
capacity_of(const Cell& cell, CapacityBasis counted);

/// Members of `shape` that fit on the server at the same time.
std::uint32_t
members_on(const Available& server, const Shape& shape);

std::uint32_t
members_on(const Capacity& capacity,
           std::span<const std::uint32_t> servers,
           const Shape& shape);

/// Allocates one member's resources with the lowest accelerators in
/// `preferred`, then any others. Returns the accelerators taken.
std::uint64_t
allocate_member(Available& server,
                const Shape& shape,
                std::uint64_t preferred = ~std::uint64_t{ 0 });

/// Allocates given resources, without going below zero.
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
