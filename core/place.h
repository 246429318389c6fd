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

/// How one of several fitting places is chosen.
enum class PlacementRule : std::uint8_t
{
  FirstFit,
  BestFitRack,           ///< Fullest rack that fits, then fullest servers.
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
  /// Guaranteed and recently requested shapes, for the gradient.
  std::vector<WeightedShape> typical;
  /// Off only in the tests that show what the check prevents.
  bool witness_check = true;
};

/// A cell with the guarantees homed in it (`homed_in`).
struct CellState
{
  const Cell* cell = nullptr;
  std::span<const HomedGuarantee> guarantees;
};

/// One job to be placed whole.
struct Demand
{
  std::string job;
  NameId organisation = 0;
  Shape shape;
  bool use_guarantee = false;
  bool preemptible = true;
  std::vector<NameId> avoid; ///< Servers that refused this job just now.
};

struct PlacedMember
{
  std::uint32_t cell = 0;   ///< Index into the cells given.
  std::uint32_t server = 0; ///< Index into that cell's servers.
  std::uint64_t accelerators = 0;
};

/// One entry for each member of the job.
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
  WouldBreakGuarantee, ///< Fits, but some unused guarantee would not pack.
  NoUnusedGuarantee,   ///< No unused guaranteed shape covers the demand.
};
inline constexpr std::array<std::string_view, 4> PLACE_ERROR_NAMES = {
  "impossible-shape",
  "no-capacity",
  "would-break-guarantee",
  "no-unused-guarantee"
};

/// Chooses a place for the whole demand on free resources of ready servers,
/// such that every touched cell still has a witness. A demand that uses a
/// guarantee is placed in the home cells of an unused shape that covers it,
/// and consumes that shape; if the same shape is held, no other one is used.
/// `NoCapacity` then means that `plan_reclaim` is needed. `reserved`
/// accelerators are treated as taken.
tl::expected<Placement, PlaceError>
place(std::span<const CellState> cells,
      const Demand& demand,
      const Policy& policy,
      std::span<const PlacedMember> reserved = {});

/// The allocation of member `index`, for the row of its cell.
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
