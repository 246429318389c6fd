#pragma once

#include "core/capacity.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// Computes the change in unservable free accelerators of a cell when members
/// are placed on a server. Sums over the racks and the cell are computed once.
class Gradient
{
public:
  Gradient(const Capacity& capacity,
           std::span<const WeightedShape> typical_shapes);

  /// Weighted change for `count` members of `shape` on the server. Negative if
  /// the members use accelerators that served no shape.
  double change(const Capacity& capacity,
                std::uint32_t server,
                const Shape& shape,
                std::uint32_t count) const;

private:
  double change_for(std::size_t index,
                    const Available& before,
                    const Available& after,
                    std::uint32_t rack) const;

  std::vector<WeightedShape> typical_shapes;
  // Members that fit each rack, by shape and rack.
  std::vector<std::vector<std::uint32_t>> rack_fit;
  std::vector<std::uint32_t> cell_fit; // Members that fit the cell, by shape.
};

} // namespace geraniumhinge::core
