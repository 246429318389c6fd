#include "core/gradient.h"

#include <bit>

namespace geraniumhinge::core {

namespace {

/// Accelerators used by as many whole shapes as `fit` members suffice for.
double
servable(std::uint32_t fit, const Shape& shape)
{
  const std::uint32_t shapes = fit / shape.members;
  return static_cast<double>(shapes) * total_accelerators(shape);
}

bool
needs_one_server(const Shape& shape)
{
  return shape.members <= 1 || shape.adjacency == Adjacency::Server;
}

} // namespace

Gradient::Gradient(const Capacity& capacity,
                   std::span<const WeightedShape> typical_shapes)
  : typical_shapes(typical_shapes.begin(), typical_shapes.end())
{
  for (const WeightedShape& weighted : this->typical_shapes) {
    std::vector<std::uint32_t> racks;
    std::uint32_t total = 0;
    if (!needs_one_server(weighted.shape)) {
      racks.assign(capacity.racks.size(), 0);
      for (std::size_t i = 0; i < capacity.servers.size(); ++i) {
        const std::uint32_t fit =
          members_on(capacity.servers[i], weighted.shape);
        racks[capacity.rack[i]] += fit;
        total += fit;
      }
    }
    this->rack_fit.push_back(std::move(racks));
    this->cell_fit.push_back(total);
  }
}

double
Gradient::change(const Capacity& capacity,
                 std::uint32_t server,
                 const Shape& shape,
                 std::uint32_t count) const
{
  const Available& before = capacity.servers[server];
  Available after = before;
  for (std::uint32_t i = 0; i < count; ++i) {
    allocate_member(after, shape);
  }
  double sum = 0;
  for (std::size_t i = 0; i < this->typical_shapes.size(); ++i) {
    sum += this->typical_shapes[i].weight *
           this->change_for(i, before, after, capacity.rack[server]);
  }
  return sum;
}

double
Gradient::change_for(std::size_t index,
                     const Available& before,
                     const Available& after,
                     std::uint32_t rack) const
{
  const Shape& shape = this->typical_shapes[index].shape;
  const std::uint32_t fit_before = members_on(before, shape);
  const std::uint32_t fit_after = members_on(after, shape);
  const double allocated =
    std::popcount(before.accelerators) - std::popcount(after.accelerators);
  std::uint32_t domain = fit_before;
  if (!needs_one_server(shape)) {
    domain = shape.adjacency == Adjacency::Rack ? this->rack_fit[index][rack]
                                                : this->cell_fit[index];
  }
  const double lost = servable(domain, shape) -
                      servable(domain - (fit_before - fit_after), shape);
  return lost - allocated;
}

} // namespace geraniumhinge::core
