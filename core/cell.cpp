#include "core/cell.h"

#include <algorithm>
#include <unordered_set>

namespace geraniumhinge::core {

std::size_t
release(Cell& cell, const std::vector<std::string>& jobs)
{
  const std::unordered_set<std::string_view> released(jobs.begin(), jobs.end());
  return std::erase_if(cell.allocations,
                       [&released](const Allocation& allocation) {
                         return released.contains(allocation.job);
                       });
}

std::size_t
memory_bytes(const Cell& cell)
{
  std::size_t bytes = sizeof(Cell);
  bytes += cell.servers.capacity() * sizeof(Server);
  bytes += cell.allocations.capacity() * sizeof(Allocation);
  const std::size_t inline_chars = std::string().capacity();
  for (const Allocation& allocation : cell.allocations) {
    if (allocation.job.capacity() > inline_chars) {
      bytes += allocation.job.capacity() + 1;
    }
  }
  return bytes;
}

} // namespace geraniumhinge::core
