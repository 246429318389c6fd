#pragma once

#include "core/cell.h"
#include "core/guarantee.h"

#include <cstdint>
#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::core {

/// The unused part of a guaranteed shape that a smaller job consumes. Reserved
/// for the owner, because the whole shape must be available when the job ends.
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

/// Matches the guaranteed jobs of the cell to the guarantees: by the recorded
/// shape key, otherwise to the smallest shape that covers the job. A job
/// consumes one whole shape, or one unit of an `Any` shape for each member.
GuaranteeUsage
guarantee_usage_of(const Cell& cell, std::span<const CellGuarantee> guarantees);

/// Server and accelerators for one member of an unused guaranteed shape.
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

/// Proof that all guarantees can be met: a simultaneous packing of all unused
/// guaranteed shapes onto accelerators that are free or run preemptible jobs.
struct Witness
{
  std::vector<WitnessShape> shapes;
};

/// The first guarantee found that does not pack.
struct WitnessError
{
  std::uint32_t guarantee = 0;
  NameId organisation = 0;
  Shape shape;
};

/// Packs greedily, largest shapes first, then by a bounded search. On large
/// cells an existing witness may be missed; a witness returned is always valid.
tl::expected<Witness, WitnessError>
find_witness(const Cell& cell,
             std::span<const CellGuarantee> guarantees,
             const GuaranteeUsage& usage);

tl::expected<Witness, WitnessError>
find_witness(const Cell& cell, std::span<const CellGuarantee> guarantees);

/// For each homed guarantee, the number of unused shapes that do not pack.
/// Reported by `status` and by the event after the loss of a server.
std::vector<std::uint32_t>
broken_guarantees(const Cell& cell, std::span<const CellGuarantee> guarantees);

} // namespace geraniumhinge::core
