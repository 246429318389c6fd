// Finds the steps that wait only because a zone is evacuated.

#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

void
SchedulingRound::report_held_steps(const std::vector<WaitingStep>& steps)
{
  Pool open_pool;
  for (const std::pair<const std::string, PoolServer>& item :
       this->pool.servers) {
    if (!item.second.evacuated)
      continue;
    open_pool.servers.insert(item);
    open_pool.servers[item.first].accepts_work = true;
  }
  if (open_pool.servers.empty())
    return;
  open_pool.servers.insert(this->pool.servers.begin(),
                           this->pool.servers.end());
  open_pool.free = this->pool.free;
  for (const WaitingStep& waiting : steps) {
    if (waiting.without_servers)
      this->report_held_step(waiting, open_pool);
  }
}

/// Reports the step once for each evacuated zone in which a task would fit now.
void
SchedulingRound::report_held_step(const WaitingStep& waiting,
                                  const Pool& open_pool)
{
  for (const std::string& server : assign(open_pool, waiting.request)) {
    const PoolServer& candidate = open_pool.servers.at(server);
    if (candidate.evacuated &&
        this->history.held_steps[candidate.zone].insert(waiting.key).second)
      this->result.held_steps.push_back({ waiting.key, candidate.zone });
  }
}

} // namespace geraniumhinge::core
