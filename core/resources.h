#pragma once

#include <algorithm>
#include <cstdint>

namespace geraniumhinge::core {

/// An amount of the three resources of a backend server.
struct Resources
{
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  void add(const Resources& other)
  {
    this->millicores += other.millicores;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
  }

  void subtract(const Resources& other)
  {
    this->millicores -= other.millicores;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
  }

  /// Whether `other` fits in this amount.
  bool covers(const Resources& other) const
  {
    return this->millicores >= other.millicores &&
           this->memory_mb >= other.memory_mb &&
           this->accelerators >= other.accelerators;
  }

  Resources times(std::int64_t count) const
  {
    return { this->millicores * count,
             this->memory_mb * count,
             this->accelerators * count };
  }

  bool operator==(const Resources&) const = default;
};

inline Resources
operator-(Resources left, const Resources& right)
{
  left.subtract(right);
  return left;
}

/// How many times the demand fits at the same time, at most `limit`.
inline std::int64_t
fits(const Resources& free, const Resources& demand, std::int64_t limit)
{
  if (!free.covers({}))
    return 0;
  std::int64_t count = limit;
  if (demand.millicores > 0)
    count = std::min(count, free.millicores / demand.millicores);
  if (demand.memory_mb > 0)
    count = std::min(count, free.memory_mb / demand.memory_mb);
  if (demand.accelerators > 0)
    count = std::min(count, free.accelerators / demand.accelerators);
  return std::max<std::int64_t>(count, 0);
}

} // namespace geraniumhinge::core
