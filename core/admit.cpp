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
units_of(const Guarantee& guarantee)
{
  return guarantee.shape.adjacency == Adjacency::Any
           ? guarantee.count * guarantee.shape.members
           : guarantee.count;
}

Shape
unit_shape(const Guarantee& guarantee)
{
  Shape shape = guarantee.shape;
  if (shape.adjacency == Adjacency::Any) {
    shape.members = 1;
  }
  return shape;
}

/// Removes the resources of the `count` largest of the given servers.
void
remove_largest(Capacity& capacity,
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

/// The capacity after each loss that the guarantees must survive: the loss of
/// the largest servers of the cell (first), and of the largest of each rack.
std::vector<Capacity>
capacities_after_loss(const Cell& cell, const Spare& spare)
{
  const Capacity whole = capacity_of(cell, CapacityBasis::NotLost);
  if (spare.servers == 0) {
    return { whole };
  }
  std::vector<std::uint32_t> all(cell.servers.size());
  std::iota(all.begin(), all.end(), 0U);
  std::vector<Capacity> after_loss{ whole };
  remove_largest(after_loss.front(), all, spare.servers);
  for (const std::vector<std::uint32_t>& rack : whole.racks) {
    after_loss.push_back(whole);
    remove_largest(after_loss.back(), rack, spare.servers);
  }
  return after_loss;
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

/// Guarantee of an item that does not pack after one of the losses.
std::optional<std::uint32_t>
first_unpacked(const std::vector<Capacity>& after_loss,
               const std::vector<PackItem>& items)
{
  for (const Capacity& capacity : after_loss) {
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
          first_unpacked(capacities_after_loss(*cell, spare), items)) {
      return failed;
    }
  }
  return std::nullopt;
}

/// All units, hardest first: most accelerators on one server, then closest
/// adjacency, then most accelerators in total.
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
place_unit(Capacity& capacity, const Shape& shape)
{
  std::vector<std::vector<std::uint32_t>> domains =
    fitting_domains(capacity, shape);
  if (domains.empty()) {
    return false;
  }
  fill_domain(capacity, std::move(domains.front()), shape, {});
  return true;
}

/// Assigns each unit to the first cell in which the unit fits, in order of free
/// accelerators, on the capacity after the loss of the largest servers.
tl::expected<Homes, AdmitError>
assign_homes(std::span<const Cell* const> fleet,
             std::span<const Guarantee> guarantees,
             const Spare& spare,
             bool most_free_first)
{
  std::vector<Capacity> remaining;
  for (const Cell* cell : fleet) {
    remaining.push_back(capacities_after_loss(*cell, spare).front());
  }
  Homes homes(guarantees.size());
  std::vector<std::size_t> order(fleet.size());
  std::iota(order.begin(), order.end(), 0U);
  for (const Unit& unit : all_units(guarantees)) {
    std::stable_sort(
      order.begin(),
      order.end(),
      [&remaining, most_free_first](std::size_t one, std::size_t other) {
        const std::uint32_t here = free_accelerators(remaining[one]);
        const std::uint32_t there = free_accelerators(remaining[other]);
        return most_free_first ? here > there : here < there;
      });
    const auto chosen =
      std::find_if(order.begin(), order.end(), [&](std::size_t cell) {
        return place_unit(remaining[cell], unit.shape);
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
  for (const Guarantee& guarantee : guarantees) {
    const bool known =
      std::all_of(guarantee.homes.begin(),
                  guarantee.homes.end(),
                  [fleet](NameId zone) { return in_fleet(fleet, zone); });
    if (!known || guarantee.homes.size() != units_of(guarantee)) {
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
  for (const Guarantee& guarantee : guarantees) {
    homes.push_back(guarantee.homes);
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
  for (const bool most_free_first : { true, false }) {
    tl::expected<Homes, AdmitError> homes =
      assign_homes(fleet, guarantees, spare, most_free_first);
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
