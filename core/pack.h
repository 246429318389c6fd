#pragma once

#include "core/capacity.h"
#include "core/witness.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// A shape to be packed into a cell.
struct PackItem
{
  Shape shape;
  std::uint32_t tag = 0; ///< Given back as `WitnessShape::guarantee`.
  /// Domain that the members must be in, by one of its servers.
  std::optional<std::uint32_t> near_server;
};

struct Packing
{
  std::vector<WitnessShape> shapes;
  std::vector<std::uint32_t> failed; ///< Tags of items that did not pack.
};

/// Packs the items into the capacity at the same time: greedily, tightest and
/// largest first, then by a bounded search. What does not pack is skipped.
/// `preferred` gives for each server the accelerators to take first.
Packing
pack(const Capacity& capacity,
     std::vector<PackItem> items,
     std::span<const std::uint64_t> preferred);

/// Servers of the domains in which all members of the shape fit, tightest
/// first. A domain is a server, a rack or the cell.
std::vector<std::vector<std::uint32_t>>
fitting_domains(const Capacity& capacity, const Shape& shape);

/// Places all members on the given servers, on the fullest servers first, and
/// takes the resources. The members must fit.
std::vector<WitnessMember>
fill_domain(Capacity& capacity,
            std::vector<std::uint32_t> servers,
            const Shape& shape,
            std::span<const std::uint64_t> preferred);

} // namespace geraniumhinge::core
