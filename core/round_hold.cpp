// Servers kept for gangs that wait, so that smaller steps do not starve them.

#include "core/round_state.h"

#include <algorithm>
#include <functional>

namespace geraniumhinge::core {

namespace {

/// Gangs that servers are kept for in one round.
constexpr std::size_t MAX_HOLDS = 3;

} // namespace

/// Finds the runs whose expected ends make room for the gang soonest, and keeps
/// the servers from steps that would run longer than that.
void
SchedulingRound::reserve_for_gang(const Waiting& waiting)
{
  if (!this->step_of(waiting).gang ||
      this->gang_reservations.size() == MAX_HOLDS)
    return;
  std::vector<const RunGroup*> ends;
  for (const RunGroup& group : this->groups) {
    if (!group.runs_until_cancelled)
      ends.push_back(&group);
  }
  std::sort(
    ends.begin(), ends.end(), [](const RunGroup* left, const RunGroup* right) {
      return left->remaining_ms < right->remaining_ms;
    });
  // The first `count` ends that make it fit, by bisection.
  std::function<std::vector<std::string>(std::size_t)> servers_after =
    [this, &ends, &waiting](std::size_t count) {
      Pool later = this->pool;
      for (std::size_t index = 0; index < count; ++index) {
        for (const std::pair<const std::string, std::uint32_t>& item :
             ends[index]->servers) {
          if (!later.free.contains(item.first))
            continue;
          for (std::uint32_t task = 0; task < item.second; ++task)
            later.release(item.first, ends[index]->demand);
        }
      }
      return assign(later, waiting.request);
    };
  if (servers_after(ends.size()).empty())
    return;
  std::size_t low = 0;
  std::size_t high = ends.size();
  while (low + 1 < high) {
    std::size_t middle = (low + high) / 2;
    if (servers_after(middle).empty())
      low = middle;
    else
      high = middle;
  }
  std::vector<std::string> servers = servers_after(high);
  std::int64_t in_ms = high > 0 ? ends[high - 1]->remaining_ms : 0;
  this->gang_reservations.push_back(
    { std::set<std::string>(servers.begin(), servers.end()), in_ms });
}

} // namespace geraniumhinge::core
