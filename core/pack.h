#pragma once

#include "core/capacity.h"
#include "core/witness.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// A shape to pack into a cell.
struct PackItem
{
  Shape shape;
  /// Index of the guarantee, copied to `WitnessShape::guarantee`.
  std::uint32_t guarantee = 0;
  /// Server in whose domain (server, rack or cell) the members must be.
  std::optional<std::uint32_t> near_server;
};

struct Packing
{
  std::vector<WitnessShape> shapes;
  std::vector<std::uint32_t> failed; ///< Guarantees of items that did not pack.
};

/// Packs all items into the capacity at the same time: greedily, items with the
/// closest adjacency and the most accelerators first, then by a bounded search.
/// Items that do not pack are skipped. `preferred` has for each server the
/// accelerators to use first; empty for no preference.
Packing
pack(const Capacity& capacity,
     std::vector<PackItem> items,
     std::span<const std::uint64_t> preferred);

/// Servers of each domain (server, rack or cell) in which all members of the
/// shape fit, tightest domain first.
std::vector<std::vector<std::uint32_t>>
fitting_domains(const Capacity& capacity, const Shape& shape);

/// Places all members on the given servers, fullest servers first, and
/// allocates their resources. The members must fit.
std::vector<WitnessMember>
fill_domain(Capacity& capacity,
            std::vector<std::uint32_t> servers,
            const Shape& shape,
            std::span<const std::uint64_t> preferred);

} // namespace geraniumhinge::core
