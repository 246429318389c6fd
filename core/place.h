#pragma once

#include "core/cell.h"
#include "core/guarantee.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::core {

/// Rule that chooses among several fitting placements.
enum class PlacementRule : std::uint8_t
{
  FirstFit,
  BestFitRack,           ///< Fullest fitting rack, then fullest servers.
  FragmentationGradient, ///< Least growth of unservable free accelerators.
  BuddyCells,            ///< Aligned power-of-two blocks, smallest that fits.
};
inline constexpr std::array<std::string_view, 4> PLACEMENT_RULE_NAMES = {
  "first-fit",
  "best-fit-rack",
  "fragmentation-gradient",
  "buddy-cells"
};

struct Policy
{
  PlacementRule rule = PlacementRule::FragmentationGradient;
  /// Guaranteed and recently requested shapes, for `FragmentationGradient`.
  std::vector<WeightedShape> typical_shapes;
  /// Rejects placements that break a guarantee. Off only in tests that show
  /// what the check prevents.
  bool witness_check = true;
};

/// A cell and the guarantees homed in the cell (`guarantees_of_cell`).
struct CellState
{
  const Cell* cell = nullptr;
  std::span<const CellGuarantee> guarantees;
};

/// A job to place; all members or none.
struct Demand
{
  std::string job;
  NameId organisation = 0;
  Shape shape;
  bool use_guarantee = false;
  bool preemptible = true;
  std::vector<NameId> avoided_servers; ///< Servers that refused the job lately.
};

struct PlacedMember
{
  std::uint32_t cell = 0;   ///< Index into the given cells.
  std::uint32_t server = 0; ///< Index into that cell's servers.
  std::uint64_t accelerators = 0;
};

/// The servers and accelerators of a job; one entry for each member.
struct Placement
{
  std::vector<PlacedMember> members;
  bool guaranteed = false;             ///< Consumes a guaranteed shape.
  std::uint64_t claimed_shape_key = 0; ///< `shape_key` of that shape.
};

enum class PlaceError : std::uint8_t
{
  ImpossibleShape,     ///< Does not fit even on an empty fleet.
  NoCapacity,          ///< Does not fit now.
  WouldBreakGuarantee, ///< Fits, but an unused guarantee would not pack.
  NoUnusedGuarantee,   ///< No unused guaranteed shape covers the demand.
};
inline constexpr std::array<std::string_view, 4> PLACE_ERROR_NAMES = {
  "impossible-shape",
  "no-capacity",
  "would-break-guarantee",
  "no-unused-guarantee"
};

/// Places the whole demand on free resources of ready servers such that every
/// cell used still has a witness (core/witness.h). A demand on a guarantee is
/// placed in the home cells of an unused guaranteed shape that covers the
/// demand, and consumes that shape. If the organisation has exactly this shape
/// unused, no larger shape is consumed. `NoCapacity` for such a demand means
/// that `plan_reclaim` is needed. Accelerators in `reserved` are not used.
tl::expected<Placement, PlaceError>
place(std::span<const CellState> cells,
      const Demand& demand,
      const Policy& policy,
      std::span<const PlacedMember> reserved = {});

/// The allocation of member `index`, to be stored in the row of the cell.
Allocation
allocation_of(const Demand& demand,
              const Placement& placement,
              std::uint32_t index,
              std::uint32_t generation,
              std::int64_t started_ms);

/// Whether the shape fits the installed servers, whatever runs or is lost.
bool
fits_empty_fleet(std::span<const CellState> cells, const Shape& shape);

} // namespace geraniumhinge::core
