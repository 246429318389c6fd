#include "core/assign.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace geraniumhinge::core {

namespace {

/// Servers whose factors on the run time differ by less than this count as
/// equally fast, so that inexact figures do not decide.
constexpr double SPEED_CLASS_RATIO = 1.15;

struct Candidate
{
  std::string server;
  std::int64_t count = 0; ///< Tasks of the request that fit.
  Resources free;
  int server_class = 0; ///< Of the server's speed, higher for slower ones.
  double factor = 1;    ///< On the run time of a task of the request.
  int speed_class = 0;  ///< Of `factor`.
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

/// Classes are compared instead of factors. The logarithm is needed only where
/// speeds differ.
int
speed_class_of(double factor)
{
  return factor == 1 ? 0
                     : static_cast<int>(std::lround(
                         std::log(factor) / std::log(SPEED_CLASS_RATIO)));
}

void
set_factor(Candidate& candidate,
           const PoolServer& server,
           const AssignRequest& request)
{
  const std::string& data_rack = request.step->rack;
  bool outside = !data_rack.empty() && server.rack != data_rack;
  candidate.factor =
    server.run_time_factor * (outside ? request.rack_penalty : 1);
  candidate.server_class = speed_class_of(server.run_time_factor);
  candidate.speed_class =
    outside ? speed_class_of(candidate.factor) : candidate.server_class;
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
    if (count == 0)
      continue;
    Candidate candidate;
    candidate.server = item.first;
    candidate.count = count;
    candidate.free = free;
    set_factor(candidate, item.second, request);
    racks[item.second.rack].push_back(std::move(candidate));
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

/// Class of the slowest server that the tasks need if they use the fastest
/// candidates; the slowest class of all if not all tasks fit.
int
needed_class(const Candidates& candidates, std::uint32_t tasks)
{
  std::map<int, std::int64_t> counts;
  for (const Candidate& candidate : candidates)
    counts[candidate.speed_class] += candidate.count;
  std::int64_t sum = 0;
  int needed = 0;
  for (const std::pair<const int, std::int64_t>& item : counts) {
    needed = item.first;
    sum += item.second;
    if (sum >= tasks)
      break;
  }
  return needed;
}

bool
meets_objective(const Candidates& candidates, const AssignRequest& request)
{
  std::int64_t sum = 0;
  for (const Candidate& candidate : candidates)
    sum += candidate.factor <= request.max_factor ? candidate.count : 0;
  return sum >= request.tasks;
}

/// The rack in which all tasks fit and the step meets its objective with the
/// least capacity left over, else the rack in which it ends soonest. Null if
/// there is none in which all tasks fit.
const Candidates*
best_rack(const std::map<std::string, Candidates>& racks,
          const AssignRequest& request)
{
  const Candidates* best = nullptr;
  std::tuple<bool, int, std::int64_t> best_rank;
  for (const std::pair<const std::string, Candidates>& rack : racks) {
    if (!request.step->rack.empty() && !request.allow_any_rack &&
        rack.first != request.step->rack)
      continue;
    std::int64_t total = total_tasks(rack.second);
    if (total < request.tasks)
      continue;
    bool late = !meets_objective(rack.second, request);
    int slowest = late ? needed_class(rack.second, request.tasks) : 0;
    std::tuple<bool, int, std::int64_t> rank{ late, slowest, total };
    if (best && rank >= best_rank)
      continue;
    best = &rack.second;
    best_rank = rank;
  }
  return best;
}

/// Servers for the tasks: the slowest ones with which the step meets its
/// objective. If it can't, no slower ones than it needs, so that it ends as
/// soon as possible without taking more of the fast ones.
std::vector<std::string>
choose_by_speed(Candidates candidates, const AssignRequest& request)
{
  int needed = needed_class(candidates, request.tasks);
  auto usable = [&request, needed](const Candidate& candidate) {
    return candidate.factor <= request.max_factor ||
           candidate.speed_class <= needed;
  };
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&usable](const Candidate& left, const Candidate& right) {
                     bool left_usable = usable(left);
                     if (left_usable != usable(right))
                       return left_usable;
                     return left_usable ? left.speed_class > right.speed_class
                                        : left.speed_class < right.speed_class;
                   });
  return choose_servers(candidates, request.tasks);
}

bool
speeds_differ(const std::map<std::string, Candidates>& racks)
{
  std::optional<int> first;
  for (const std::pair<const std::string, Candidates>& rack : racks) {
    for (const Candidate& candidate : rack.second) {
      if (candidate.server_class != first.value_or(candidate.server_class))
        return true;
      first = candidate.server_class;
    }
  }
  return false;
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

/// As `assign`, for candidates of different speed. A gang that does not need
/// one rack is spread over several if it meets its objective, or ends sooner,
/// only there.
std::vector<std::string>
assign_by_speed(const std::map<std::string, Candidates>& racks,
                const AssignRequest& request)
{
  const Step& step = *request.step;
  bool prefers_rack = step.same_rack || !step.rack.empty();
  const Candidates* rack = best_rack(racks, request);
  if (rack && (prefers_rack || (step.gang && meets_objective(*rack, request))))
    return choose_by_speed(*rack, request);
  bool rack_required = prefers_rack && !request.allow_any_rack;
  if (rack_required && step.gang)
    return {};
  if (rack_required && !step.rack.empty()) {
    std::map<std::string, Candidates>::const_iterator in_rack =
      racks.find(step.rack);
    return in_rack == racks.end() ? std::vector<std::string>()
                                  : choose_by_speed(in_rack->second, request);
  }
  Candidates all = merge(racks, step.rack);
  if (step.gang && total_tasks(all) < request.tasks)
    return {};
  if (rack && step.gang &&
      needed_class(*rack, request.tasks) <= needed_class(all, request.tasks))
    return choose_by_speed(*rack, request);
  if (!step.gang && !prefers_rack)
    std::stable_sort(all.begin(),
                     all.end(),
                     [](const Candidate& left, const Candidate& right) {
                       return left.free.accelerators < right.free.accelerators;
                     });
  return choose_by_speed(std::move(all), request);
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
  if (speeds_differ(racks))
    return assign_by_speed(racks, request);
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
