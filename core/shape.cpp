#include "core/shape.h"

#include <xxhash.h>

namespace geraniumhinge::core {

bool
covers(const Shape& guaranteed, const Shape& wanted)
{
  return guaranteed.members >= wanted.members &&
         guaranteed.accelerators >= wanted.accelerators &&
         guaranteed.cores >= wanted.cores &&
         guaranteed.memory_mb >= wanted.memory_mb &&
         guaranteed.adjacency <= wanted.adjacency;
}

bool
same_shape(const Shape& guaranteed, const Shape& wanted)
{
  return guaranteed.accelerators == wanted.accelerators &&
         guaranteed.cores == wanted.cores &&
         guaranteed.memory_mb == wanted.memory_mb &&
         guaranteed.adjacency == wanted.adjacency &&
         (guaranteed.members == wanted.members ||
          (guaranteed.adjacency == Adjacency::Any &&
           guaranteed.members > wanted.members));
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
