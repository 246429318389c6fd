#pragma once

#include "core/capacity.h"
#include "core/place.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// The servers of a domain (one server, a rack or a cell) in which a whole
/// shape fits.
struct Domain
{
  std::uint32_t cell = 0;
  std::vector<std::uint32_t> servers;
};

/// No limit on the members placed in a cell.
inline constexpr std::uint32_t UNLIMITED = ~0U;

/// Domains in which the shape fits, best first by the rule of the policy, at
/// most `limit`. Not for shapes whose members may be in several cells.
std::vector<Domain>
rank_domains(std::span<const Capacity> cells,
             const Shape& shape,
             const Policy& policy,
             std::size_t limit);

/// Places up to `count` members on the servers of the domain, ordered by the
/// rule of the policy, and allocates their resources.
std::vector<PlacedMember>
place_members(std::span<Capacity> cells,
              const Domain& domain,
              const Shape& shape,
              std::uint32_t count,
              const Policy& policy);

/// Places all members over several cells, in as few cells as possible, at most
/// `limits[i]` in cell i, and allocates their resources. Empty if not all
/// members fit.
std::vector<PlacedMember>
place_over_cells(std::span<Capacity> cells,
                 const Shape& shape,
                 std::span<const std::uint32_t> limits,
                 const Policy& policy);

} // namespace geraniumhinge::core
