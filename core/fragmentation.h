#pragma once

#include "core/place.h"
#include "core/shape.h"

#include <cstdint>
#include <span>

namespace geraniumhinge::core {

struct Fragmentation
{
  std::uint32_t free_accelerators = 0;
  /// Free accelerators that cannot serve a shape, as weighted average over the
  /// shapes.
  double unservable = 0;

  double share() const
  {
    return this->free_accelerators == 0
             ? 0.0
             : this->unservable / this->free_accelerators;
  }
};

/// Free accelerators on ready servers that cannot serve the given guaranteed
/// and recently requested shapes. An accelerator serves a shape if it is used
/// when as many whole shapes as possible are placed in its server, rack or
/// zone.
Fragmentation
fragmentation(std::span<const CellState> cells,
              std::span<const WeightedShape> shapes);

} // namespace geraniumhinge::core
