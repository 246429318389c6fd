#include "core/evict.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace geraniumhinge::core {

namespace {

/// Most jobs on a server for which all subsets are compared.
constexpr std::size_t MAX_EXACT_JOBS = 8;

std::int64_t
lost_work(const Allocation& allocation, std::int64_t now_ms)
{
  const std::int64_t since =
    std::max(allocation.started_ms, allocation.checkpoint_ms);
  const int accelerators = std::max(std::popcount(allocation.accelerators), 1);
  return std::max<std::int64_t>(now_ms - since, 0) * accelerators;
}

void
release(Available& server, const Allocation& allocation)
{
  server.accelerators |= allocation.accelerators;
  server.slots += 1;
  server.cores += allocation.cores;
  server.memory_mb += allocation.memory_mb;
}

} // namespace

/// State of one attempt to place a shape.
struct EvictionPlanner::Trial
{
  std::vector<Capacity> free;
  std::vector<char> stopped;
  std::vector<std::uint32_t> victims;
  std::vector<PlacedMember> members;
};

EvictionPlanner::EvictionPlanner(std::span<const CellState> cells,
                                 std::int64_t now_ms,
                                 bool single_members,
                                 std::span<const NameId> avoided_servers)
{
  for (const CellState& state : cells) {
    std::vector<char>& flags = this->avoided.emplace_back();
    for (const Server& server : state.cell->servers) {
      const auto found =
        std::find(avoided_servers.begin(), avoided_servers.end(), server.name);
      flags.push_back(found == avoided_servers.end() ? 0 : 1);
    }
  }
  std::unordered_map<std::string_view, std::uint32_t> indices;
  for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
    this->free.push_back(capacity_of(*cells[cell].cell, CapacityBasis::Free));
    this->jobs_by_server.emplace_back(cells[cell].cell->servers.size());
    for (const Allocation& allocation : cells[cell].cell->allocations) {
      if (!allocation.preemptible) {
        continue;
      }
      const auto [found, added] = indices.try_emplace(
        allocation.job, static_cast<std::uint32_t>(this->jobs.size()));
      if (added) {
        this->jobs.push_back({ allocation.job, {}, 0 });
      }
      Job& job = this->jobs[found->second];
      job.members.push_back({ cell, &allocation });
      job.lost_work_ms += lost_work(allocation, now_ms);
    }
  }
  for (std::uint32_t i = 0; i < this->jobs.size(); ++i) {
    if (single_members && this->jobs[i].members.size() > 1) {
      continue;
    }
    for (const JobMember& job_member : this->jobs[i].members) {
      std::vector<std::uint32_t>& here =
        this->jobs_by_server[job_member.cell][job_member.allocation->server];
      if (here.empty() || here.back() != i) {
        here.push_back(i);
      }
    }
  }
}

std::vector<std::uint32_t>
EvictionPlanner::jobs_on(const Trial& trial, const ServerRef& at) const
{
  std::vector<std::uint32_t> running;
  for (const std::uint32_t job : this->jobs_by_server[at.cell][at.server]) {
    if (trial.stopped[job] == 0) {
      running.push_back(job);
    }
  }
  std::stable_sort(running.begin(),
                   running.end(),
                   [this](std::uint32_t left, std::uint32_t right) {
                     return this->jobs[left].lost_work_ms <
                            this->jobs[right].lost_work_ms;
                   });
  return running;
}

/// The jobs to stop, with the least lost work, so that `members` fit on the
/// server. Exact for up to `MAX_EXACT_JOBS` jobs; otherwise jobs are added in
/// order of lost work. Nothing if the members do not fit.
std::optional<std::vector<std::uint32_t>>
EvictionPlanner::cheapest_stop_set(const Trial& trial,
                                   const ServerRef& at,
                                   const Shape& shape,
                                   std::uint32_t members) const
{
  const Available& available = trial.free[at.cell].servers[at.server];
  if (this->avoided[at.cell][at.server] != 0) {
    return std::nullopt;
  }
  if (members_on(available, shape) >= members) {
    return std::vector<std::uint32_t>{};
  }
  const std::vector<std::uint32_t> running = this->jobs_on(trial, at);
  const bool exact = running.size() <= MAX_EXACT_JOBS;
  const std::uint64_t sets =
    exact ? std::uint64_t{ 1 } << running.size() : running.size() + 1;
  std::optional<std::vector<std::uint32_t>> best;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  for (std::uint64_t set = 1; set < sets; ++set) {
    const std::uint64_t chosen =
      exact ? set : accelerator_mask(static_cast<std::uint32_t>(set));
    Available after = available;
    std::vector<std::uint32_t> stopped;
    std::int64_t cost = 0;
    for (std::size_t i = 0; i < running.size() && i < 64; ++i) {
      if ((chosen >> i & 1) == 0) {
        continue;
      }
      stopped.push_back(running[i]);
      cost += this->jobs[running[i]].lost_work_ms;
      for (const JobMember& job_member : this->jobs[running[i]].members) {
        if (job_member.cell == at.cell &&
            job_member.allocation->server == at.server) {
          release(after, *job_member.allocation);
        }
      }
    }
    if (cost < best_cost && members_on(after, shape) >= members) {
      best = std::move(stopped);
      best_cost = cost;
    }
  }
  return best;
}

void
EvictionPlanner::stop(Trial& trial, std::uint32_t job) const
{
  trial.stopped[job] = 1;
  trial.victims.push_back(job);
  for (const JobMember& job_member : this->jobs[job].members) {
    Available& server =
      trial.free[job_member.cell].servers[job_member.allocation->server];
    release(server, *job_member.allocation);
  }
}

bool
EvictionPlanner::overlaps(std::uint32_t job, const PlacedMember& member) const
{
  const std::vector<JobMember>& all = this->jobs[job].members;
  return std::any_of(
    all.begin(), all.end(), [&member](const JobMember& job_member) {
      return job_member.cell == member.cell &&
             job_member.allocation->server == member.server &&
             (job_member.allocation->accelerators & member.accelerators) != 0;
    });
}

EvictionPlanner::Candidate
EvictionPlanner::make_candidate(Trial& trial) const
{
  Candidate candidate;
  candidate.members = std::move(trial.members);
  for (const std::uint32_t job : trial.victims) {
    candidate.victims.push_back(
      { std::string(this->jobs[job].name), this->jobs[job].lost_work_ms });
    candidate.lost_work_ms += this->jobs[job].lost_work_ms;
  }
  return candidate;
}

std::optional<EvictionPlanner::Candidate>
EvictionPlanner::find_cheapest(std::span<const ServerRef> servers,
                               std::span<const std::uint32_t> limits,
                               const Shape& shape,
                               bool single_server) const
{
  Trial trial{ this->free, std::vector<char>(this->jobs.size(), 0), {}, {} };
  std::vector<std::uint32_t> remaining(limits.begin(), limits.end());
  const std::uint32_t members_at_once = single_server ? shape.members : 1;
  std::vector<std::optional<std::vector<std::uint32_t>>> stop_sets(
    servers.size());
  const auto cost_of = [this](const std::vector<std::uint32_t>& stop_set) {
    std::int64_t cost = 0;
    for (const std::uint32_t job : stop_set) {
      cost += this->jobs[job].lost_work_ms;
    }
    return cost;
  };
  std::vector<char> stale(servers.size(), 1);
  while (trial.members.size() < shape.members) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (stale[i] != 0) {
        stop_sets[i] =
          this->cheapest_stop_set(trial, servers[i], shape, members_at_once);
        stale[i] = 0;
      }
      if (stop_sets[i] && remaining[servers[i].cell] >= members_at_once &&
          (!best || cost_of(*stop_sets[i]) < cost_of(*stop_sets[*best]))) {
        best = i;
      }
    }
    if (!best) {
      return std::nullopt;
    }
    const ServerRef& at = servers[*best];
    const bool evicts = !stop_sets[*best]->empty();
    for (const std::uint32_t job : *stop_sets[*best]) {
      this->stop(trial, job);
    }
    for (std::uint32_t i = 0; i < members_at_once; ++i) {
      Available& server = trial.free[at.cell].servers[at.server];
      trial.members.push_back(
        { at.cell, at.server, allocate_member(server, shape) });
    }
    remaining[at.cell] -= members_at_once;
    // A stopped gang frees resources on other servers too.
    std::fill(stale.begin(), stale.end(), evicts ? 1 : 0);
    stale[*best] = 1;
  }
  return this->make_candidate(trial);
}

EvictionPlanner::Candidate
EvictionPlanner::place_at(std::vector<PlacedMember> members,
                          const Shape& shape) const
{
  Trial trial{ this->free, std::vector<char>(this->jobs.size(), 0), {}, {} };
  for (const PlacedMember& member : members) {
    Available& server = trial.free[member.cell].servers[member.server];
    const ServerRef at{ member.cell, member.server };
    for (const std::uint32_t job : this->jobs_on(trial, at)) {
      if (this->overlaps(job, member)) {
        this->stop(trial, job);
      }
    }
    for (const std::uint32_t job : this->jobs_on(trial, at)) {
      if (members_on(server, shape) == 0) {
        this->stop(trial, job);
      }
    }
    allocate(server, member.accelerators, shape.cores, shape.memory_mb);
  }
  trial.members = std::move(members);
  return this->make_candidate(trial);
}

} // namespace geraniumhinge::core
