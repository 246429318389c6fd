#pragma once

#include "core/cell.h"
#include "core/guarantee.h"

#include <cstdint>
#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::core {

/// The rest of a guaranteed shape that a smaller job consumes. It is held for
/// the owner, because the whole shape must be available when the job ends.
struct Residual
{
  std::uint32_t guarantee = 0; ///< Index into the homed guarantees.
  std::uint32_t server = 0;    ///< Server of the job, or of its first member.
  Shape shape;                 ///< Members, and resources for each of them.
};

/// Use of the guarantees homed in a cell.
struct GuaranteeUsage
{
  std::vector<std::uint32_t> unused; ///< For each homed guarantee.
  std::vector<Residual> residuals;
};

/// Matches the guaranteed allocations of the cell to the guarantees: by the
/// recorded claim, or else to the smallest shape that covers the job. A job
/// consumes one whole shape, or one unit for each member of an `Any` shape.
GuaranteeUsage
guarantee_usage_of(const Cell& cell,
                   std::span<const HomedGuarantee> guarantees);

/// A place for one member of an unused guaranteed shape.
struct WitnessMember
{
  std::uint32_t server = 0;
  std::uint64_t accelerators = 0;
};

struct WitnessShape
{
  std::uint32_t guarantee = 0; ///< Index into the homed guarantees.
  std::vector<WitnessMember> members;
};

/// A simultaneous packing of all unused guaranteed shapes onto accelerators
/// that are free or hold preemptible work.
struct Witness
{
  std::vector<WitnessShape> shapes;
};

/// The first guarantee that was found not to pack.
struct WitnessError
{
  std::uint32_t guarantee = 0;
  NameId organisation = 0;
  Shape shape;
};

/// Packs greedily, largest shapes first, and searches further within a bound
/// when that fails. An error may thus be wrong on large cells, a witness never.
tl::expected<Witness, WitnessError>
find_witness(const Cell& cell,
             std::span<const HomedGuarantee> guarantees,
             const GuaranteeUsage& usage);

tl::expected<Witness, WitnessError>
find_witness(const Cell& cell, std::span<const HomedGuarantee> guarantees);

/// For each homed guarantee, the number of its unused shapes that no longer
/// pack, for `status` and the event after a loss.
std::vector<std::uint32_t>
broken_guarantees(const Cell& cell, std::span<const HomedGuarantee> guarantees);

} // namespace geraniumhinge::core
