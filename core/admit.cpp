#include "core/admit.h"

#include "core/capacity.h"
#include "core/pack.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <optional>
#include <tuple>

namespace geraniumhinge::core {

namespace {

using Homes = std::vector<std::vector<NameId>>;

/// One shape, or one member of an `Any` shape, that needs a home.
struct Unit
{
  std::uint32_t guarantee = 0;
  Shape shape;
};

std::uint32_t
units_of(const Guarantee& held)
{
  return held.shape.adjacency == Adjacency::Any
           ? held.count * held.shape.members
           : held.count;
}

Shape
unit_shape(const Guarantee& held)
{
  Shape shape = held.shape;
  if (shape.adjacency == Adjacency::Any) {
    shape.members = 1;
  }
  return shape;
}

/// Withholds the `count` largest of the given servers.
void
withhold(Capacity& capacity,
         std::vector<std::uint32_t> servers,
         std::uint32_t count)
{
  const auto size = [&capacity](std::uint32_t server) {
    const Available& one = capacity.servers[server];
    return std::make_tuple(
      std::popcount(one.accelerators), one.slots, one.cores, one.memory_mb);
  };
  std::stable_sort(servers.begin(),
                   servers.end(),
                   [&size](std::uint32_t left, std::uint32_t right) {
                     return size(left) > size(right);
                   });
  servers.resize(std::min<std::size_t>(servers.size(), count));
  for (const std::uint32_t server : servers) {
    capacity.servers[server] = {};
  }
}

/// The cell with its largest servers lost, and with the largest of each rack
/// lost: the losses that the guarantees must survive.
std::vector<Capacity>
losses(const Cell& cell, const Spare& spare)
{
  const Capacity whole = capacity_of(cell, CapacityBasis::NotLost);
  if (spare.servers == 0) {
    return { whole };
  }
  std::vector<std::uint32_t> all(cell.servers.size());
  std::iota(all.begin(), all.end(), 0U);
  std::vector<Capacity> lost{ whole };
  withhold(lost.front(), all, spare.servers);
  for (const std::vector<std::uint32_t>& rack : whole.racks) {
    lost.push_back(whole);
    withhold(lost.back(), rack, spare.servers);
  }
  return lost;
}

std::vector<PackItem>
items_homed(std::span<const Guarantee> guarantees,
            const Homes& homes,
            NameId zone)
{
  std::vector<PackItem> items;
  for (std::uint32_t i = 0; i < guarantees.size(); ++i) {
    const std::size_t count = static_cast<std::size_t>(
      std::count(homes[i].begin(), homes[i].end(), zone));
    items.insert(
      items.end(), count, PackItem{ unit_shape(guarantees[i]), i, {} });
  }
  return items;
}

/// Tag of an item that does not pack after some loss.
std::optional<std::uint32_t>
first_unpacked(const std::vector<Capacity>& lost,
               const std::vector<PackItem>& items)
{
  for (const Capacity& capacity : lost) {
    const Packing packing = pack(capacity, items, {});
    if (!packing.failed.empty()) {
      return packing.failed.front();
    }
  }
  return std::nullopt;
}

AdmitError
error_of(std::span<const Guarantee> guarantees, std::uint32_t index)
{
  return { index, guarantees[index].organisation, guarantees[index].shape };
}

std::optional<std::uint32_t>
check_homes(std::span<const Cell* const> fleet,
            std::span<const Guarantee> guarantees,
            const Homes& homes,
            const Spare& spare)
{
  for (const Cell* cell : fleet) {
    const std::vector<PackItem> items =
      items_homed(guarantees, homes, cell->zone);
    if (const std::optional<std::uint32_t> failed =
          first_unpacked(losses(*cell, spare), items)) {
      return failed;
    }
  }
  return std::nullopt;
}

/// Hardest units first: most on one server, then closest, then largest.
std::vector<Unit>
all_units(std::span<const Guarantee> guarantees)
{
  std::vector<Unit> units;
  for (std::uint32_t i = 0; i < guarantees.size(); ++i) {
    units.insert(units.end(),
                 units_of(guarantees[i]),
                 Unit{ i, unit_shape(guarantees[i]) });
  }
  const auto key = [](const Unit& unit) {
    const bool server =
      unit.shape.members <= 1 || unit.shape.adjacency == Adjacency::Server;
    const int on_server = static_cast<int>(
      server ? total_accelerators(unit.shape) : unit.shape.accelerators);
    return std::make_tuple(-on_server,
                           unit.shape.adjacency,
                           -static_cast<int>(total_accelerators(unit.shape)));
  };
  std::stable_sort(
    units.begin(), units.end(), [&key](const Unit& left, const Unit& right) {
      return key(left) < key(right);
    });
  return units;
}

bool
take_unit(Capacity& capacity, const Shape& shape)
{
  std::vector<std::vector<std::uint32_t>> domains =
    fitting_domains(capacity, shape);
  if (domains.empty()) {
    return false;
  }
  fill_domain(capacity, std::move(domains.front()), shape, {});
  return true;
}

/// Assigns each unit to the cell with the most room left, on the capacity
/// after the loss of the largest servers.
tl::expected<Homes, AdmitError>
spread(std::span<const Cell* const> fleet,
       std::span<const Guarantee> guarantees,
       const Spare& spare,
       bool most_room_first)
{
  std::vector<Capacity> left;
  for (const Cell* cell : fleet) {
    left.push_back(losses(*cell, spare).front());
  }
  Homes homes(guarantees.size());
  std::vector<std::size_t> order(fleet.size());
  std::iota(order.begin(), order.end(), 0U);
  for (const Unit& unit : all_units(guarantees)) {
    std::stable_sort(
      order.begin(),
      order.end(),
      [&left, most_room_first](std::size_t one, std::size_t other) {
        const std::uint32_t here = free_accelerators(left[one]);
        const std::uint32_t there = free_accelerators(left[other]);
        return most_room_first ? here > there : here < there;
      });
    const auto chosen =
      std::find_if(order.begin(), order.end(), [&](std::size_t cell) {
        return take_unit(left[cell], unit.shape);
      });
    if (chosen == order.end()) {
      return tl::unexpected(error_of(guarantees, unit.guarantee));
    }
    homes[unit.guarantee].push_back(fleet[*chosen]->zone);
  }
  return homes;
}

bool
in_fleet(std::span<const Cell* const> fleet, NameId zone)
{
  return std::any_of(fleet.begin(), fleet.end(), [zone](const Cell* cell) {
    return cell->zone == zone;
  });
}

bool
has_all_homes(std::span<const Cell* const> fleet,
              std::span<const Guarantee> guarantees)
{
  for (const Guarantee& held : guarantees) {
    const bool known =
      std::all_of(held.homes.begin(), held.homes.end(), [fleet](NameId zone) {
        return in_fleet(fleet, zone);
      });
    if (!known || held.homes.size() != units_of(held)) {
      return false;
    }
  }
  return true;
}

std::vector<Guarantee>
with_homes(std::span<const Guarantee> guarantees, Homes homes)
{
  std::vector<Guarantee> admitted(guarantees.begin(), guarantees.end());
  for (std::size_t i = 0; i < admitted.size(); ++i) {
    admitted[i].homes = std::move(homes[i]);
  }
  return admitted;
}

Homes
homes_given(std::span<const Guarantee> guarantees)
{
  Homes homes;
  for (const Guarantee& held : guarantees) {
    homes.push_back(held.homes);
  }
  return homes;
}

} // namespace

tl::expected<std::vector<Guarantee>, AdmitError>
admit_guarantees(std::span<const Cell* const> fleet,
                 std::span<const Guarantee> guarantees,
                 const Spare& spare)
{
  if (has_all_homes(fleet, guarantees)) {
    Homes given = homes_given(guarantees);
    if (!check_homes(fleet, guarantees, given, spare)) {
      return with_homes(guarantees, std::move(given));
    }
  }
  std::optional<AdmitError> error;
  for (const bool most_room_first : { true, false }) {
    tl::expected<Homes, AdmitError> homes =
      spread(fleet, guarantees, spare, most_room_first);
    if (!homes) {
      error = homes.error();
      continue;
    }
    const std::optional<std::uint32_t> failed =
      check_homes(fleet, guarantees, *homes, spare);
    if (!failed) {
      return with_homes(guarantees, std::move(*homes));
    }
    error = error_of(guarantees, *failed);
  }
  return tl::unexpected(*error);
}

} // namespace geraniumhinge::core
