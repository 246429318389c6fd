#include "core/pack.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <tuple>

namespace geraniumhinge::core {

namespace {

/// Bound of the search after the greedy packing failed: servers examined in
/// total.
constexpr std::size_t MAX_SEARCHED_SERVERS = 60'000;
/// Largest number of items times servers for which the search is tried. On a
/// cell of the size expected in two years, the search took up to 4.7 ms and
/// found no packing.
constexpr std::size_t MAX_SEARCH_SIZE = 2'000;

std::uint64_t
preferred_on(std::span<const std::uint64_t> preferred, std::uint32_t server)
{
  return preferred.empty() ? ~std::uint64_t{ 0 } : preferred[server];
}

/// Sort key: lower for servers with fewer free resources.
auto
free_resources(const Available& server)
{
  return std::make_tuple(std::popcount(server.accelerators),
                         server.slots,
                         server.cores,
                         server.memory_mb);
}

void
sort_fullest_first(const Capacity& capacity,
                   std::vector<std::uint32_t>& servers)
{
  std::stable_sort(servers.begin(),
                   servers.end(),
                   [&capacity](std::uint32_t left, std::uint32_t right) {
                     return free_resources(capacity.servers[left]) <
                            free_resources(capacity.servers[right]);
                   });
}

std::vector<std::uint32_t>
all_servers(const Capacity& capacity)
{
  std::vector<std::uint32_t> servers(capacity.servers.size());
  std::iota(servers.begin(), servers.end(), 0U);
  return servers;
}

Adjacency
domain_of(const Shape& shape)
{
  return shape.members <= 1 ? Adjacency::Server : shape.adjacency;
}

std::vector<std::uint32_t>
tightest_rack(const Capacity& capacity, const Shape& shape)
{
  const std::vector<std::uint32_t>* best = nullptr;
  std::uint32_t best_fit = 0;
  for (const std::vector<std::uint32_t>& rack : capacity.racks) {
    const std::uint32_t fit = members_on(capacity, rack, shape);
    if (fit >= shape.members && (best == nullptr || fit < best_fit)) {
      best = &rack;
      best_fit = fit;
    }
  }
  return best == nullptr ? std::vector<std::uint32_t>{} : *best;
}

std::vector<std::uint32_t>
whole_cell(const Capacity& capacity, const Shape& shape)
{
  std::vector<std::uint32_t> servers = all_servers(capacity);
  if (members_on(capacity, servers, shape) < shape.members) {
    servers.clear();
  }
  return servers;
}

/// Servers of the tightest rack, or of the cell, in which the shape fits; empty
/// if it does not fit.
std::vector<std::uint32_t>
tightest_domain(const Capacity& capacity, const Shape& shape)
{
  return domain_of(shape) == Adjacency::Rack ? tightest_rack(capacity, shape)
                                             : whole_cell(capacity, shape);
}

/// Servers of the domain around `near_server`; empty if the shape does not fit.
std::vector<std::uint32_t>
domain_near_server(const Capacity& capacity, const PackItem& item)
{
  const std::uint32_t server = *item.near_server;
  std::vector<std::uint32_t> servers;
  switch (item.shape.adjacency) {
    case Adjacency::Server:
      servers = { server };
      break;
    case Adjacency::Rack:
      servers = capacity.racks[capacity.rack[server]];
      break;
    case Adjacency::Zone:
    case Adjacency::Any:
      servers = all_servers(capacity);
      break;
  }
  if (members_on(capacity, servers, item.shape) < item.shape.members) {
    servers.clear();
  }
  return servers;
}

/// Accelerators that the shape needs on one server.
std::uint32_t
accelerators_on_server(const Shape& shape)
{
  return domain_of(shape) == Adjacency::Server ? total_accelerators(shape)
                                               : shape.accelerators;
}

bool
more_on_server(const PackItem& left, const PackItem& right)
{
  const auto key = [](const PackItem& item) {
    return std::make_tuple(
      !item.near_server,
      -static_cast<int>(accelerators_on_server(item.shape)),
      domain_of(item.shape),
      -static_cast<int>(total_accelerators(item.shape)),
      -static_cast<int>(item.shape.cores),
      item.guarantee);
  };
  return key(left) < key(right);
}

bool
more_in_total(const PackItem& left, const PackItem& right)
{
  const auto key = [](const PackItem& item) {
    return std::make_tuple(!item.near_server,
                           domain_of(item.shape) == Adjacency::Zone,
                           -static_cast<int>(total_accelerators(item.shape)),
                           -static_cast<int>(item.shape.memory_mb),
                           item.guarantee);
  };
  return key(left) < key(right);
}

/// Packs up to `count` equal items that need one server each, fullest servers
/// first. Sorts the servers only once for all items. Returns the number packed.
std::uint32_t
pack_equal_items_on_servers(Capacity& capacity,
                            const PackItem& item,
                            std::uint32_t count,
                            std::span<const std::uint64_t> preferred,
                            Packing& packing)
{
  std::vector<std::uint32_t> fitting;
  for (std::uint32_t i = 0; i < capacity.servers.size(); ++i) {
    if (members_on(capacity.servers[i], item.shape) >= item.shape.members) {
      fitting.push_back(i);
    }
  }
  sort_fullest_first(capacity, fitting);
  std::uint32_t packed = 0;
  for (const std::uint32_t server : fitting) {
    while (packed < count && members_on(capacity.servers[server], item.shape) >=
                               item.shape.members) {
      packing.shapes.push_back(
        { item.guarantee,
          fill_domain(capacity, { server }, item.shape, preferred) });
      ++packed;
    }
  }
  return packed;
}

std::uint32_t
pack_equal_items(Capacity& capacity,
                 const PackItem& item,
                 std::uint32_t count,
                 std::span<const std::uint64_t> preferred,
                 Packing& packing)
{
  if (!item.near_server && domain_of(item.shape) == Adjacency::Server) {
    return pack_equal_items_on_servers(
      capacity, item, count, preferred, packing);
  }
  for (std::uint32_t packed = 0; packed < count; ++packed) {
    std::vector<std::uint32_t> domain =
      item.near_server ? domain_near_server(capacity, item)
                       : tightest_domain(capacity, item.shape);
    if (domain.empty()) {
      return packed;
    }
    packing.shapes.push_back(
      { item.guarantee,
        fill_domain(capacity, std::move(domain), item.shape, preferred) });
  }
  return count;
}

Packing
pack_greedily(Capacity capacity,
              const std::vector<PackItem>& items,
              std::span<const std::uint64_t> preferred)
{
  Packing packing;
  packing.shapes.reserve(items.size());
  for (std::size_t start = 0; start < items.size();) {
    std::size_t end = start + 1;
    while (end < items.size() &&
           items[end].guarantee == items[start].guarantee &&
           items[end].near_server == items[start].near_server &&
           items[end].shape == items[start].shape) {
      ++end;
    }
    const std::uint32_t count = static_cast<std::uint32_t>(end - start);
    const std::uint32_t packed =
      pack_equal_items(capacity, items[start], count, preferred, packing);
    packing.failed.insert(
      packing.failed.end(), count - packed, items[start].guarantee);
    start = end;
  }
  return packing;
}

/// Depth-first search over the domains of each item, for packings that both
/// greedy orders miss.
class PackingSearch
{
public:
  PackingSearch(const Capacity& capacity,
                const std::vector<PackItem>& items,
                std::span<const std::uint64_t> preferred)
    : capacity(capacity)
    , items(items)
    , preferred(preferred)
  {
  }

  bool run(std::size_t index)
  {
    if (index == this->items.size()) {
      return true;
    }
    this->searched_servers += this->capacity.servers.size();
    if (this->searched_servers > MAX_SEARCHED_SERVERS) {
      return false;
    }
    const PackItem& item = this->items[index];
    for (std::vector<std::uint32_t>& domain : this->domains(item)) {
      if (this->try_domain(index, std::move(domain))) {
        return true;
      }
    }
    return false;
  }

  std::vector<WitnessShape> shapes;

private:
  std::vector<std::vector<std::uint32_t>> domains(const PackItem& item) const
  {
    if (!item.near_server) {
      return fitting_domains(this->capacity, item.shape);
    }
    std::vector<std::uint32_t> fixed = domain_near_server(this->capacity, item);
    if (fixed.empty()) {
      return {};
    }
    return { std::move(fixed) };
  }

  bool try_domain(std::size_t index, std::vector<std::uint32_t> domain)
  {
    const PackItem& item = this->items[index];
    this->shapes.push_back(
      { item.guarantee,
        fill_domain(
          this->capacity, std::move(domain), item.shape, this->preferred) });
    if (this->run(index + 1)) {
      return true;
    }
    for (const WitnessMember& member : this->shapes.back().members) {
      release_member(
        this->capacity.servers[member.server], item.shape, member.accelerators);
    }
    this->shapes.pop_back();
    return false;
  }

  Capacity capacity;
  const std::vector<PackItem>& items;
  std::span<const std::uint64_t> preferred;
  std::size_t searched_servers = 0;
};

} // namespace

std::vector<WitnessMember>
fill_domain(Capacity& capacity,
            std::vector<std::uint32_t> servers,
            const Shape& shape,
            std::span<const std::uint64_t> preferred)
{
  sort_fullest_first(capacity, servers);
  std::vector<WitnessMember> members;
  members.reserve(shape.members);
  for (const std::uint32_t server : servers) {
    Available& available = capacity.servers[server];
    while (members.size() < shape.members && members_on(available, shape) > 0) {
      members.push_back(
        { server,
          allocate_member(available, shape, preferred_on(preferred, server)) });
    }
  }
  return members;
}

std::vector<std::vector<std::uint32_t>>
fitting_domains(const Capacity& capacity, const Shape& shape)
{
  std::vector<std::vector<std::uint32_t>> domains;
  if (domain_of(shape) == Adjacency::Server) {
    for (const std::uint32_t server : all_servers(capacity)) {
      if (members_on(capacity.servers[server], shape) >= shape.members) {
        domains.push_back({ server });
      }
    }
  } else if (shape.adjacency == Adjacency::Rack) {
    for (const std::vector<std::uint32_t>& rack : capacity.racks) {
      if (members_on(capacity, rack, shape) >= shape.members) {
        domains.push_back(rack);
      }
    }
  } else if (std::vector<std::uint32_t> cell = whole_cell(capacity, shape);
             !cell.empty()) {
    domains.push_back(std::move(cell));
  }
  const auto key = [&capacity, &shape](const std::vector<std::uint32_t>& set) {
    return std::make_pair(members_on(capacity, set, shape),
                          free_resources(capacity.servers[set.front()]));
  };
  std::stable_sort(domains.begin(),
                   domains.end(),
                   [&key](const auto& left, const auto& right) {
                     return key(left) < key(right);
                   });
  return domains;
}

Packing
pack(const Capacity& capacity,
     std::vector<PackItem> items,
     std::span<const std::uint64_t> preferred)
{
  std::sort(items.begin(), items.end(), more_on_server);
  Packing first = pack_greedily(capacity, items, preferred);
  if (first.failed.empty()) {
    return first;
  }
  std::vector<PackItem> reordered = items;
  std::sort(reordered.begin(), reordered.end(), more_in_total);
  Packing second = pack_greedily(capacity, reordered, preferred);
  if (second.failed.empty()) {
    return second;
  }
  if (items.size() * capacity.servers.size() <= MAX_SEARCH_SIZE) {
    PackingSearch search(capacity, items, preferred);
    if (search.run(0)) {
      return { std::move(search.shapes), {} };
    }
  }
  return second.failed.size() < first.failed.size() ? second : first;
}

} // namespace geraniumhinge::core
