#include "core/rank.h"

#include "core/gradient.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <optional>
#include <tuple>

namespace geraniumhinge::core {

namespace {

/// Score of a server or rack. Compared lexicographically, lower is better.
using Score = std::tuple<double, std::uint32_t, std::uint32_t>;

std::uint32_t
free_on(const Available& server)
{
  return static_cast<std::uint32_t>(std::popcount(server.accelerators));
}

/// Mask of the smallest free aligned power-of-two block with at least `count`
/// accelerators; 0 if no such block is free.
std::uint64_t
buddy_block(std::uint64_t free, std::uint32_t count)
{
  for (std::uint32_t size = std::bit_ceil(std::max(count, 1U)); size <= 64;
       size *= 2) {
    const std::uint64_t block = accelerator_mask(size);
    for (std::uint32_t at = 0; at < 64; at += size) {
      const std::uint64_t placed = block << at;
      // The smallest size is tried first, to split no larger block than needed.
      // Whether the buddy of the block is free too is not checked.
      if ((free & placed) == placed) {
        return placed;
      }
    }
  }
  return 0;
}

/// Size of the smallest free buddy block with at least `count` accelerators;
/// 128 if there is none.
std::uint32_t
smallest_buddy(const Available& server, std::uint32_t count)
{
  std::uint64_t free = server.accelerators;
  std::uint32_t best = 128;
  const std::uint32_t least = std::bit_ceil(std::max(count, 1U));
  for (std::uint32_t size = 64; size >= least; size /= 2) {
    for (std::uint32_t at = 0; at < 64; at += size) {
      const std::uint64_t block = accelerator_mask(size) << at;
      if ((free & block) == block) {
        free &= ~block;
        best = std::min(best, size);
      }
    }
  }
  return best;
}

std::uint32_t
rack_free(const Capacity& capacity, std::uint32_t rack)
{
  std::uint32_t free = 0;
  for (const std::uint32_t server : capacity.racks[rack]) {
    free += free_on(capacity.servers[server]);
  }
  return free;
}

/// Scores servers and racks of one cell by the rule of a policy.
class Scorer
{
public:
  Scorer(const Capacity& capacity, const Policy& policy)
    : capacity(capacity)
    , rule(policy.rule)
  {
    if (this->rule == PlacementRule::FragmentationGradient) {
      this->gradient.emplace(capacity, policy.typical_shapes);
    }
    for (std::uint32_t rack = 0; rack < capacity.racks.size(); ++rack) {
      this->racks.push_back(rack_free(capacity, rack));
    }
  }

  Score server(std::uint32_t index,
               const Shape& shape,
               std::uint32_t count) const
  {
    const Available& available = this->capacity.servers[index];
    const std::uint32_t in_rack = this->racks[this->capacity.rack[index]];
    switch (this->rule) {
      case PlacementRule::FirstFit:
        break;
      case PlacementRule::BestFitRack:
        return { in_rack, free_on(available), index };
      case PlacementRule::FragmentationGradient:
        return { this->gradient->change(this->capacity, index, shape, count),
                 free_on(available),
                 in_rack };
      case PlacementRule::BuddyCells:
        return { smallest_buddy(available, shape.accelerators * count),
                 index,
                 0 };
    }
    return { index, 0, 0 };
  }

  /// Score of a rack for all members of `shape`.
  Score rack(std::uint32_t index, const Shape& shape) const
  {
    switch (this->rule) {
      case PlacementRule::FirstFit:
        break;
      case PlacementRule::BestFitRack:
        return { this->racks[index], index, 0 };
      case PlacementRule::FragmentationGradient:
        return { this->rack_change(index, shape), this->racks[index], index };
      case PlacementRule::BuddyCells:
        return { std::bit_ceil(this->racks[index]), index, 0 };
    }
    return { index, 0, 0 };
  }

private:
  double rack_change(std::uint32_t index, const Shape& shape) const
  {
    double sum = 0;
    std::uint32_t remaining = shape.members;
    for (const std::uint32_t server : this->capacity.racks[index]) {
      const std::uint32_t count =
        std::min(remaining, members_on(this->capacity.servers[server], shape));
      if (count > 0) {
        sum += this->gradient->change(this->capacity, server, shape, count);
        remaining -= count;
      }
    }
    return sum;
  }

  const Capacity& capacity;
  PlacementRule rule;
  std::optional<Gradient> gradient;
  std::vector<std::uint32_t> racks;
};

struct Candidate
{
  Score key;
  std::uint32_t cell = 0;
  std::uint32_t index = 0;
};

void
add_servers(std::vector<Candidate>& found,
            const Capacity& capacity,
            std::uint32_t cell,
            const Shape& shape,
            const Policy& policy)
{
  const Scorer scorer(capacity, policy);
  for (std::uint32_t i = 0; i < capacity.servers.size(); ++i) {
    if (members_on(capacity.servers[i], shape) >= shape.members) {
      found.push_back({ scorer.server(i, shape, shape.members), cell, i });
    }
  }
}

void
add_racks(std::vector<Candidate>& found,
          const Capacity& capacity,
          std::uint32_t cell,
          const Shape& shape,
          const Policy& policy)
{
  const Scorer scorer(capacity, policy);
  for (std::uint32_t i = 0; i < capacity.racks.size(); ++i) {
    if (members_on(capacity, capacity.racks[i], shape) >= shape.members) {
      found.push_back({ scorer.rack(i, shape), cell, i });
    }
  }
}

std::vector<std::uint32_t>
all_servers(const Capacity& capacity)
{
  std::vector<std::uint32_t> servers(capacity.servers.size());
  std::iota(servers.begin(), servers.end(), 0U);
  return servers;
}

void
add_cell(std::vector<Candidate>& found,
         const Capacity& capacity,
         std::uint32_t cell,
         const Shape& shape,
         const Policy& policy)
{
  const std::uint32_t fit = members_on(capacity, all_servers(capacity), shape);
  if (fit >= shape.members) {
    const bool first = policy.rule == PlacementRule::FirstFit;
    found.push_back({ { first ? cell : fit, cell, 0 }, cell, 0 });
  }
}

Adjacency
domain_of(const Shape& shape)
{
  return shape.members <= 1 ? Adjacency::Server : shape.adjacency;
}

Domain
domain_at(const Capacity& capacity, const Candidate& at, Adjacency kind)
{
  switch (kind) {
    case Adjacency::Server:
      return { at.cell, { at.index } };
    case Adjacency::Rack:
      return { at.cell, capacity.racks[at.index] };
    case Adjacency::Zone:
    case Adjacency::Any:
      break;
  }
  return { at.cell, all_servers(capacity) };
}

/// Sorts the servers of a domain by the rule, best first. Removes servers on
/// which no member fits.
void
order_servers(const Capacity& capacity,
              std::vector<std::uint32_t>& servers,
              const Shape& shape,
              std::uint32_t count,
              const Policy& policy)
{
  const Scorer scorer(capacity, policy);
  std::vector<std::pair<Score, std::uint32_t>> scored_servers;
  for (const std::uint32_t server : servers) {
    const std::uint32_t fit =
      std::min(count, members_on(capacity.servers[server], shape));
    if (fit > 0) {
      Score key = scorer.server(server, shape, fit);
      if (policy.rule == PlacementRule::FragmentationGradient) {
        std::get<0>(key) /= fit;
      }
      scored_servers.emplace_back(key, server);
    }
  }
  std::sort(scored_servers.begin(), scored_servers.end());
  servers.clear();
  for (const auto& [key, server] : scored_servers) {
    servers.push_back(server);
  }
}

std::uint64_t
allocate_by_rule(Available& server, const Shape& shape, const Policy& policy)
{
  if (policy.rule != PlacementRule::BuddyCells) {
    return allocate_member(server, shape);
  }
  return allocate_member(
    server, shape, buddy_block(server.accelerators, shape.accelerators));
}

} // namespace

std::vector<Domain>
rank_domains(std::span<const Capacity> cells,
             const Shape& shape,
             const Policy& policy,
             std::size_t limit)
{
  std::vector<Candidate> found;
  const Adjacency kind = domain_of(shape);
  for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
    if (kind == Adjacency::Server) {
      add_servers(found, cells[cell], cell, shape, policy);
    } else if (kind == Adjacency::Rack) {
      add_racks(found, cells[cell], cell, shape, policy);
    } else {
      add_cell(found, cells[cell], cell, shape, policy);
    }
  }
  const std::size_t count = std::min(limit, found.size());
  std::partial_sort(found.begin(),
                    found.begin() + static_cast<std::ptrdiff_t>(count),
                    found.end(),
                    [](const Candidate& left, const Candidate& right) {
                      return std::tie(left.key, left.cell, left.index) <
                             std::tie(right.key, right.cell, right.index);
                    });
  std::vector<Domain> domains;
  domains.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    domains.push_back(domain_at(cells[found[i].cell], found[i], kind));
  }
  return domains;
}

std::vector<PlacedMember>
place_members(std::span<Capacity> cells,
              const Domain& domain,
              const Shape& shape,
              std::uint32_t count,
              const Policy& policy)
{
  Capacity& capacity = cells[domain.cell];
  std::vector<std::uint32_t> servers = domain.servers;
  if (servers.size() > 1) {
    order_servers(capacity, servers, shape, count, policy);
  }
  std::vector<PlacedMember> placed;
  for (const std::uint32_t server : servers) {
    Available& available = capacity.servers[server];
    while (placed.size() < count && members_on(available, shape) > 0) {
      placed.push_back(
        { domain.cell, server, allocate_by_rule(available, shape, policy) });
    }
  }
  return placed;
}

std::vector<PlacedMember>
place_over_cells(std::span<Capacity> cells,
                 const Shape& shape,
                 std::span<const std::uint32_t> limits,
                 const Policy& policy)
{
  std::vector<std::pair<std::uint32_t, std::uint32_t>> order;
  std::uint32_t total = 0;
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    const std::uint32_t fit =
      std::min(limits[i], members_on(cells[i], all_servers(cells[i]), shape));
    order.emplace_back(policy.rule == PlacementRule::FirstFit ? 0 : ~fit, i);
    total += fit;
  }
  std::vector<PlacedMember> placed;
  if (total < shape.members) {
    return placed;
  }
  std::sort(order.begin(), order.end());
  for (const auto& [key, cell] : order) {
    const std::uint32_t remaining =
      shape.members - static_cast<std::uint32_t>(placed.size());
    const std::vector<PlacedMember> here =
      place_members(cells,
                    { cell, all_servers(cells[cell]) },
                    shape,
                    std::min(remaining, limits[cell]),
                    policy);
    placed.insert(placed.end(), here.begin(), here.end());
  }
  return placed;
}

} // namespace geraniumhinge::core
