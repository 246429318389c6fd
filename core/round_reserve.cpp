// Reserves servers for waiting gangs, so that smaller steps do not starve them.

#include "core/round_state.h"

#include <algorithm>
#include <functional>

namespace geraniumhinge::core {

/// Reserves the servers on which the gang fits after the fewest expected ends
/// of runs. Until the gang fits, only steps that end sooner may use these
/// servers.
void
SchedulingRound::reserve_for_gang(const WaitingStep& waiting)
{
  if (!this->step_of(waiting).gang ||
      this->gang_reservations.size() == this->limits.max_gang_reservations)
    return;
  std::vector<const RunGroup*> ending_groups;
  for (const RunGroup& group : this->groups) {
    if (!group.runs_until_cancelled)
      ending_groups.push_back(&group);
  }
  std::sort(ending_groups.begin(),
            ending_groups.end(),
            [](const RunGroup* left, const RunGroup* right) {
              return left->remaining_ms < right->remaining_ms;
            });
  // The pool after the first `ended` ends. The smallest number of ends after
  // which the gang fits is found by bisection.
  Pool future_pool = this->pool;
  std::size_t ended = 0;
  std::function<std::vector<std::string>(std::size_t)> servers_after_ends =
    [&future_pool, &ended, &ending_groups, &waiting](std::size_t count) {
      for (; ended < count; ++ended)
        release_runs(future_pool, *ending_groups[ended]);
      for (; ended > count; --ended)
        allocate_runs(future_pool, *ending_groups[ended - 1]);
      return assign(future_pool, waiting.request);
    };
  if (servers_after_ends(ending_groups.size()).empty())
    return;
  std::size_t low = 0;
  std::size_t high = ending_groups.size();
  while (low + 1 < high) {
    std::size_t middle = (low + high) / 2;
    if (servers_after_ends(middle).empty())
      low = middle;
    else
      high = middle;
  }
  std::vector<std::string> servers = servers_after_ends(high);
  std::int64_t free_in_ms =
    high > 0 ? ending_groups[high - 1]->remaining_ms : 0;
  this->gang_reservations.push_back(
    { std::set<std::string>(servers.begin(), servers.end()), free_in_ms });
}

} // namespace geraniumhinge::core
