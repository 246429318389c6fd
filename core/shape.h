#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace geraniumhinge::core {

/// How close the members of a shape must be to each other, closest first.
enum class Adjacency : std::uint8_t
{
  Server,
  Rack,
  Zone,
  Any,
};
inline constexpr std::array<std::string_view, 4> ADJACENCY_NAMES = { "server",
                                                                     "rack",
                                                                     "zone",
                                                                     "any" };

/// Limits of the request schema.
inline constexpr std::uint32_t MAX_MEMBERS = 128;
inline constexpr std::uint32_t MAX_ACCELERATORS = 64; // Per server.

/// Resources of a job or a guarantee. All amounts are for one member; each
/// member also uses one slot.
struct Shape
{
  std::uint32_t members = 1;
  std::uint32_t accelerators = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  Adjacency adjacency = Adjacency::Any;

  friend bool operator==(const Shape&, const Shape&) = default;
};

inline std::uint32_t
total_accelerators(const Shape& shape)
{
  return shape.members * shape.accelerators;
}

/// Whether a job of shape `wanted` can run on the shape `guaranteed`.
bool
covers(const Shape& guaranteed, const Shape& wanted);

/// Whether a job of shape `wanted` uses `guaranteed` without excess: members
/// have equal resources, adjacency is equal, and the job has all members, or
/// some members of an `Any` shape.
bool
same_shape(const Shape& guaranteed, const Shape& wanted);

/// Identifies a shape in an allocation; never 0.
std::uint64_t
shape_key(const Shape& shape);

/// A shape with its weight among the guaranteed and recently requested ones.
struct WeightedShape
{
  Shape shape;
  double weight = 1.0;
};

} // namespace geraniumhinge::core
