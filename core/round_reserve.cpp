// Reserves servers for waiting gangs, so that smaller steps do not starve them.

#include "core/round_state.h"

#include <algorithm>
#include <functional>

namespace geraniumhinge::core {

namespace {

/// Longest time that a step waits for faster servers although others are free.
constexpr std::int64_t MAX_SPEED_WAIT_MS = 1'200;
/// Periods after which it is tried whether the step fits on faster servers.
constexpr std::int64_t SPEED_WAITS_MS[] = { 200, 400, 700, 1'000 };
/// Share of what faster servers gain that the wait may take: expected ends are
/// inexact.
constexpr double MAX_WAIT_SHARE = 0.6;

} // namespace

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
              return left->likely_remaining_ms() < right->likely_remaining_ms();
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
    high > 0 ? ending_groups[high - 1]->likely_remaining_ms() : 0;
  this->gang_reservations.push_back(
    { std::set<std::string>(servers.begin(), servers.end()),
      free_in_ms,
      waiting.waited_ms });
}

double
SchedulingRound::slowest_factor(const std::vector<std::string>& servers) const
{
  double slowest = 0;
  for (const std::string& server : servers)
    slowest = std::max(slowest, this->pool.servers.at(server).run_time_factor);
  return slowest;
}

bool
SchedulingRound::wait_for_faster(const WaitingStep& waiting,
                                 const std::vector<std::string>& servers)
{
  double expected_ms = static_cast<double>(this->expected_ms_of(waiting));
  double factor = this->slowest_factor(servers);
  if (!this->speeds_differ || !waiting.slack_ms || expected_ms == 0 ||
      factor <= waiting.request.max_factor || factor <= 1 ||
      waiting.round_workflow.guaranteed || waiting.round_workflow.advice ||
      waiting.isolated || waiting.request.step->runs_until_cancelled ||
      this->gang_reservations.size() == this->limits.max_gang_reservations)
    return false;
  Pool future_pool = this->pool;
  std::int64_t released_ms = 0;
  for (std::int64_t wait_ms : SPEED_WAITS_MS) {
    if (waiting.waited_ms + wait_ms > MAX_SPEED_WAIT_MS)
      return false;
    for (const RunGroup& group : this->groups) {
      // A run that should have ended already may still take long.
      if (!group.runs_until_cancelled && group.remaining_ms > released_ms &&
          group.remaining_ms <= wait_ms)
        release_runs(future_pool, group);
    }
    released_ms = wait_ms;
    std::vector<std::string> later = assign(future_pool, waiting.request);
    if (later.size() < waiting.request.tasks)
      continue;
    double gain_ms = expected_ms * (factor - this->slowest_factor(later));
    if (static_cast<double>(wait_ms) > MAX_WAIT_SHARE * gain_ms)
      continue;
    this->gang_reservations.push_back(
      { std::set<std::string>(later.begin(), later.end()),
        wait_ms,
        waiting.waited_ms });
    return true;
  }
  return false;
}

} // namespace geraniumhinge::core
