#pragma once

#include "core/names.h"
#include "core/shape.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumhinge::core {

/// Shapes guaranteed to an organisation, with their home availability zones.
struct Guarantee
{
  NameId organisation = 0;
  Shape shape;
  std::uint32_t count = 1;
  /// One entry for each shape; for `Adjacency::Any` one for each member
  /// (`count * shape.members`). Empty before admission.
  std::vector<NameId> homes;
};

/// The part of a guarantee that is homed in one cell.
struct CellGuarantee
{
  NameId organisation = 0;
  Shape shape;
  /// Whole shapes; for `Adjacency::Any` single members.
  std::uint32_t count = 0;

  friend bool operator==(const CellGuarantee&, const CellGuarantee&) = default;
};

/// The guarantees homed in `zone`, in the order given.
std::vector<CellGuarantee>
guarantees_of_cell(NameId zone, std::span<const Guarantee> guarantees);

} // namespace geraniumhinge::core
