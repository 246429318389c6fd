#include "core/cell.h"

#include <algorithm>
#include <unordered_set>

namespace geraniumhinge::core {

std::size_t
release(Cell& cell, const std::vector<std::string>& jobs)
{
  const std::unordered_set<std::string_view> gone(jobs.begin(), jobs.end());
  return std::erase_if(cell.allocations, [&gone](const Allocation& held) {
    return gone.contains(held.job);
  });
}

std::size_t
memory_bytes(const Cell& cell)
{
  std::size_t bytes = sizeof(Cell);
  bytes += cell.servers.capacity() * sizeof(Server);
  bytes += cell.allocations.capacity() * sizeof(Allocation);
  const std::size_t inline_chars = std::string().capacity();
  for (const Allocation& held : cell.allocations) {
    if (held.job.capacity() > inline_chars) {
      bytes += held.job.capacity() + 1;
    }
  }
  return bytes;
}

} // namespace geraniumhinge::core
