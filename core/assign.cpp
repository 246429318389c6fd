#include "core/assign.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

struct Candidate
{
  std::string server;
  std::int64_t count = 0; ///< Tasks of the request that fit.
  Resources free;
};

using Candidates = std::vector<Candidate>;

/// Most tasks of the request that the server may run by `max_per_server`.
std::int64_t
max_tasks_on(const std::string& server, const AssignRequest& request)
{
  std::int64_t limit = request.tasks;
  if (request.step->max_per_server == 0)
    return limit;
  std::map<std::string, std::uint32_t>::const_iterator running =
    request.running_tasks.find(server);
  std::int64_t used =
    running == request.running_tasks.end() ? 0 : running->second;
  return std::clamp<std::int64_t>(
    static_cast<std::int64_t>(request.step->max_per_server) - used, 0, limit);
}

/// Candidates by rack, fullest servers first in each rack.
std::map<std::string, Candidates>
candidates_by_rack(const Pool& pool, const AssignRequest& request)
{
  std::map<std::string, Candidates> racks;
  Resources demand = resources_of_run(*request.step);
  for (const std::pair<const std::string, PoolServer>& item : pool.servers) {
    if (!eligible(item.second, request))
      continue;
    Resources free = pool.free.at(item.first);
    std::int64_t count = fits(free, demand, max_tasks_on(item.first, request));
    if (count > 0)
      racks[item.second.rack].push_back({ item.first, count, free });
  }
  for (std::pair<const std::string, Candidates>& rack : racks)
    std::sort(rack.second.begin(),
              rack.second.end(),
              [](const Candidate& left, const Candidate& right) {
                if (left.free.accelerators != right.free.accelerators)
                  return left.free.accelerators < right.free.accelerators;
                return left.free.millicores < right.free.millicores;
              });
  return racks;
}

std::int64_t
total_tasks(const Candidates& candidates)
{
  std::int64_t sum = 0;
  for (const Candidate& candidate : candidates)
    sum += candidate.count;
  return sum;
}

std::vector<std::string>
choose_servers(const Candidates& candidates, std::uint32_t tasks)
{
  std::vector<std::string> servers;
  for (const Candidate& candidate : candidates) {
    for (std::int64_t index = 0;
         index < candidate.count && servers.size() < tasks;
         ++index)
      servers.push_back(candidate.server);
  }
  return servers;
}

/// The rack in which all tasks fit with the least capacity left over; null if
/// there is none.
const Candidates*
tightest_rack(const std::map<std::string, Candidates>& racks,
              const AssignRequest& request)
{
  const Candidates* best = nullptr;
  for (const std::pair<const std::string, Candidates>& rack : racks) {
    if (!request.step->rack.empty() && !request.allow_any_rack &&
        rack.first != request.step->rack)
      continue;
    if (total_tasks(rack.second) < request.tasks)
      continue;
    if (!best || total_tasks(rack.second) < total_tasks(*best))
      best = &rack.second;
  }
  return best;
}

/// Candidates of all racks in one list, those in the rack `first` in front.
Candidates
merge(const std::map<std::string, Candidates>& racks, const std::string& first)
{
  Candidates merged;
  std::map<std::string, Candidates>::const_iterator in_rack = racks.find(first);
  if (in_rack != racks.end())
    merged = in_rack->second;
  std::vector<const Candidates*> others;
  for (const std::pair<const std::string, Candidates>& rack : racks) {
    if (rack.first != first)
      others.push_back(&rack.second);
  }
  // Racks in which most tasks fit come first, so that few racks are used.
  std::stable_sort(others.begin(),
                   others.end(),
                   [](const Candidates* left, const Candidates* right) {
                     return total_tasks(*left) > total_tasks(*right);
                   });
  for (const Candidates* candidates : others)
    merged.insert(merged.end(), candidates->begin(), candidates->end());
  return merged;
}

} // namespace

Resources
resources_of_run(const Step& step)
{
  Resources used = step.demand;
  if (step.best_effort)
    used.millicores = 0;
  return used;
}

bool
eligible(const PoolServer& server, const AssignRequest& request)
{
  const Step& step = *request.step;
  return server.accepts_work &&
         (!server.quarantined || request.allow_quarantined) &&
         server.service == request.service &&
         (step.label.empty() || server.labels.contains(step.label)) &&
         !request.avoided.contains(server.instance.id) &&
         !request.reserved.contains(server.instance.id) &&
         (!request.allowed || request.allowed->contains(server.instance.id));
}

std::vector<std::string>
assign(const Pool& pool, const AssignRequest& request)
{
  const Step& step = *request.step;
  std::map<std::string, Candidates> racks = candidates_by_rack(pool, request);
  const Candidates* rack = tightest_rack(racks, request);
  if (rack && (step.same_rack || !step.rack.empty() || step.gang))
    return choose_servers(*rack, request.tasks);
  bool rack_required =
    (step.same_rack || !step.rack.empty()) && !request.allow_any_rack;
  if (rack_required && step.gang)
    return {};
  Candidates all;
  if (rack_required && !step.rack.empty()) {
    std::map<std::string, Candidates>::iterator in_rack = racks.find(step.rack);
    if (in_rack != racks.end())
      all = in_rack->second;
  } else {
    all = merge(racks, step.rack);
    if (!step.gang && !step.same_rack && step.rack.empty())
      std::sort(all.begin(),
                all.end(),
                [](const Candidate& left, const Candidate& right) {
                  return left.free.accelerators < right.free.accelerators;
                });
  }
  if (step.gang && total_tasks(all) < request.tasks)
    return {};
  return choose_servers(all, request.tasks);
}

bool
fits_one_rack(const Pool& idle_pool, const AssignRequest& request)
{
  return tightest_rack(candidates_by_rack(idle_pool, request), request) !=
         nullptr;
}

} // namespace geraniumhinge::core
