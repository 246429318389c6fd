#include "core/shape.h"

namespace geraniumhinge::core {

bool
covers(const Shape& held, const Shape& wanted)
{
  return held.members >= wanted.members &&
         held.accelerators >= wanted.accelerators &&
         held.cores >= wanted.cores && held.memory_mb >= wanted.memory_mb &&
         held.adjacency <= wanted.adjacency;
}

} // namespace geraniumhinge::core
