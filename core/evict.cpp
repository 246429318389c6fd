#include "core/evict.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace geraniumhinge::core {

namespace {

/// All subsets of the jobs on a server are compared up to this number.
constexpr std::size_t EXACT_JOBS = 8;

std::int64_t
lost_work(const Allocation& held, std::int64_t now_ms)
{
  const std::int64_t since = std::max(held.started_ms, held.checkpoint_ms);
  const int accelerators = std::max(std::popcount(held.accelerators), 1);
  return std::max<std::int64_t>(now_ms - since, 0) * accelerators;
}

void
release(Available& server, const Allocation& held)
{
  server.accelerators |= held.accelerators;
  server.slots += 1;
  server.cores += held.cores;
  server.memory_mb += held.memory_mb;
}

} // namespace

/// State of one attempt to place a shape.
struct Evictions::Trial
{
  std::vector<Capacity> free;
  std::vector<char> stopped;
  std::vector<std::uint32_t> victims;
  std::vector<PlacedMember> members;
};

Evictions::Evictions(std::span<const CellState> cells,
                     std::int64_t now_ms,
                     bool single_members,
                     std::span<const NameId> avoid)
{
  for (const CellState& state : cells) {
    std::vector<char>& flags = this->avoided.emplace_back();
    for (const Server& server : state.cell->servers) {
      const auto found = std::find(avoid.begin(), avoid.end(), server.name);
      flags.push_back(found == avoid.end() ? 0 : 1);
    }
  }
  std::unordered_map<std::string_view, std::uint32_t> numbers;
  for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
    this->free.push_back(capacity_of(*cells[cell].cell, CapacityBasis::Free));
    this->on_server.emplace_back(cells[cell].cell->servers.size());
    for (const Allocation& held : cells[cell].cell->allocations) {
      if (!held.preemptible) {
        continue;
      }
      const auto [found, added] = numbers.try_emplace(
        held.job, static_cast<std::uint32_t>(this->jobs.size()));
      if (added) {
        this->jobs.push_back({ held.job, {}, 0 });
      }
      Job& job = this->jobs[found->second];
      job.held.push_back({ cell, &held });
      job.lost_work_ms += lost_work(held, now_ms);
    }
  }
  for (std::uint32_t i = 0; i < this->jobs.size(); ++i) {
    if (single_members && this->jobs[i].held.size() > 1) {
      continue;
    }
    for (const Held& held : this->jobs[i].held) {
      std::vector<std::uint32_t>& here =
        this->on_server[held.cell][held.allocation->server];
      if (here.empty() || here.back() != i) {
        here.push_back(i);
      }
    }
  }
}

std::vector<std::uint32_t>
Evictions::jobs_on(const Trial& trial, const ServerRef& at) const
{
  std::vector<std::uint32_t> running;
  for (const std::uint32_t job : this->on_server[at.cell][at.server]) {
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

/// The cheapest jobs to stop so that `members` fit on the server: exact for few
/// jobs, otherwise the cheapest jobs one after the other.
std::optional<std::vector<std::uint32_t>>
Evictions::cheapest(const Trial& trial,
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
  const bool exact = running.size() <= EXACT_JOBS;
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
      for (const Held& held : this->jobs[running[i]].held) {
        if (held.cell == at.cell && held.allocation->server == at.server) {
          release(after, *held.allocation);
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
Evictions::stop(Trial& trial, std::uint32_t job) const
{
  trial.stopped[job] = 1;
  trial.victims.push_back(job);
  for (const Held& held : this->jobs[job].held) {
    Available& server = trial.free[held.cell].servers[held.allocation->server];
    release(server, *held.allocation);
  }
}

bool
Evictions::overlaps(std::uint32_t job, const PlacedMember& member) const
{
  const std::vector<Held>& all = this->jobs[job].held;
  return std::any_of(all.begin(), all.end(), [&member](const Held& held) {
    return held.cell == member.cell &&
           held.allocation->server == member.server &&
           (held.allocation->accelerators & member.accelerators) != 0;
  });
}

Evictions::Choice
Evictions::finish(Trial& trial) const
{
  Choice choice;
  choice.members = std::move(trial.members);
  for (const std::uint32_t job : trial.victims) {
    choice.victims.push_back(
      { std::string(this->jobs[job].name), this->jobs[job].lost_work_ms });
    choice.lost_work_ms += this->jobs[job].lost_work_ms;
  }
  return choice;
}

std::optional<Evictions::Choice>
Evictions::choose(std::span<const ServerRef> servers,
                  std::span<const std::uint32_t> limits,
                  const Shape& shape,
                  bool together) const
{
  Trial trial{ this->free, std::vector<char>(this->jobs.size(), 0), {}, {} };
  std::vector<std::uint32_t> left(limits.begin(), limits.end());
  const std::uint32_t step = together ? shape.members : 1;
  std::vector<std::optional<std::vector<std::uint32_t>>> plans(servers.size());
  const auto cost_of = [this](const std::vector<std::uint32_t>& plan) {
    std::int64_t cost = 0;
    for (const std::uint32_t job : plan) {
      cost += this->jobs[job].lost_work_ms;
    }
    return cost;
  };
  std::vector<char> stale(servers.size(), 1);
  while (trial.members.size() < shape.members) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (stale[i] != 0) {
        plans[i] = this->cheapest(trial, servers[i], shape, step);
        stale[i] = 0;
      }
      if (plans[i] && left[servers[i].cell] >= step &&
          (!best || cost_of(*plans[i]) < cost_of(*plans[*best]))) {
        best = i;
      }
    }
    if (!best) {
      return std::nullopt;
    }
    const ServerRef& at = servers[*best];
    const bool evicts = !plans[*best]->empty();
    for (const std::uint32_t job : *plans[*best]) {
      this->stop(trial, job);
    }
    for (std::uint32_t i = 0; i < step; ++i) {
      Available& server = trial.free[at.cell].servers[at.server];
      trial.members.push_back(
        { at.cell, at.server, allocate_member(server, shape) });
    }
    left[at.cell] -= step;
    // A stopped gang frees resources on other servers as well.
    std::fill(stale.begin(), stale.end(), evicts ? 1 : 0);
    stale[*best] = 1;
  }
  return this->finish(trial);
}

Evictions::Choice
Evictions::evict_at(std::vector<PlacedMember> members, const Shape& shape) const
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
  return this->finish(trial);
}

} // namespace geraniumhinge::core
