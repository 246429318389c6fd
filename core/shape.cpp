#include "core/shape.h"

#include <xxhash.h>

namespace geraniumhinge::core {

bool
covers(const Shape& held, const Shape& wanted)
{
  return held.members >= wanted.members &&
         held.accelerators >= wanted.accelerators &&
         held.cores >= wanted.cores && held.memory_mb >= wanted.memory_mb &&
         held.adjacency <= wanted.adjacency;
}

bool
same_shape(const Shape& held, const Shape& wanted)
{
  return held.accelerators == wanted.accelerators &&
         held.cores == wanted.cores && held.memory_mb == wanted.memory_mb &&
         held.adjacency == wanted.adjacency &&
         (held.members == wanted.members ||
          (held.adjacency == Adjacency::Any && held.members > wanted.members));
}

std::uint64_t
shape_key(const Shape& shape)
{
  const std::array<std::uint32_t, 5> fields = { shape.members,
                                                shape.accelerators,
                                                shape.cores,
                                                shape.memory_mb,
                                                static_cast<std::uint32_t>(
                                                  shape.adjacency) };
  return XXH64(fields.data(), sizeof(fields), 0) | 1;
}

} // namespace geraniumhinge::core
