#pragma once

#include "core/cell.h"
#include "core/guarantee.h"

#include <cstdint>
#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::core {

/// VMs of each cell that may be lost at the same time without breaking a
/// guarantee.
struct Spare
{
  std::uint32_t servers = 1;
};

/// A guarantee that does not pack together with the others.
struct AdmitError
{
  std::uint32_t guarantee = 0; ///< Index into the given guarantees.
  NameId organisation = 0;
  Shape shape;
};

/// Assigns a home zone to every guaranteed shape, or to every member of an
/// `Any` shape, such that all of them pack at the same time after the loss of
/// `spare` servers in each cell. Counts all servers that are not lost and
/// ignores allocations. Keeps the given homes if they pack, otherwise assigns
/// all homes again.
tl::expected<std::vector<Guarantee>, AdmitError>
admit_guarantees(std::span<const Cell* const> fleet,
                 std::span<const Guarantee> guarantees,
                 const Spare& spare);

} // namespace geraniumhinge::core
