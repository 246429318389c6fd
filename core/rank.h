#pragma once

#include "core/capacity.h"
#include "core/place.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// A server, a rack or a cell in which a whole shape fits.
struct Domain
{
  std::uint32_t cell = 0;
  std::vector<std::uint32_t> servers;
};

/// Limits the members placed in each cell.
inline constexpr std::uint32_t UNLIMITED = ~0U;

/// The best domains for a shape by the rule of the policy, best first, at most
/// `limit`. The shape must not have members in several cells.
std::vector<Domain>
rank_domains(std::span<const Capacity> cells,
             const Shape& shape,
             const Policy& policy,
             std::size_t limit);

/// Places up to `count` members on the servers in the order of the rule and
/// takes the resources.
std::vector<PlacedMember>
fill(std::span<Capacity> cells,
     const Domain& domain,
     const Shape& shape,
     std::uint32_t count,
     const Policy& policy);

/// Places all members over several cells, in as few cells as possible, at most
/// `limits[i]` in cell i. Empty if they do not fit.
std::vector<PlacedMember>
fill_cells(std::span<Capacity> cells,
           const Shape& shape,
           std::span<const std::uint32_t> limits,
           const Policy& policy);

} // namespace geraniumhinge::core
