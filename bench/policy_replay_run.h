#pragma once

#include "bench/policy_replay.h"

#include "core/capacity.h"

namespace geraniumhinge::bench {

constexpr std::int64_t CHECKPOINT_EVERY_MS = 10 * MINUTE;
constexpr std::int64_t RESTORE_MS = 30'000;
constexpr std::int64_t FAILS_AFTER_MS = 5'000;
constexpr std::int64_t VM_REPLACED_AFTER_MS = 10 * MINUTE;
constexpr std::int64_t RACK_REPAIRED_AFTER_MS = HOUR;
constexpr std::int64_t RESERVATION_KEPT_MS = 5 * MINUTE;
constexpr std::int64_t LEFT_ALONE_MS = 10 * MINUTE;
constexpr core::ReclaimTimes RECLAIM_TIMES{ 10'000, 2'000, 6'000 };
constexpr std::int64_t LONGEST_DRAIN_MS = 10 * DAY;
constexpr std::size_t TYPICAL_SHAPES = 8;
constexpr std::uint32_t QUEUE_LIMIT = 100'000;

inline Replay::Replay(const Stream& stream, const Variant& variant)
  : stream(stream)
  , variant(variant)
  , cells(stream.cells)
  , jobs(stream.jobs.size())
  , queue(variant.order)
  , used(stream.deployment->organisations.size(), 0)
{
  this->policy.rule = variant.rule;
  this->policy.typical = stream.shapes;
  std::sort(this->policy.typical.begin(),
            this->policy.typical.end(),
            [](const auto& left, const auto& right) {
              return left.weight > right.weight;
            });
  this->policy.typical.resize(
    std::min(this->policy.typical.size(), TYPICAL_SHAPES));
  for (const core::Cell& cell : this->cells) {
    this->homed.push_back(core::homed_in(cell.zone, stream.guarantees));
  }
  for (std::size_t i = 0; i < this->cells.size(); ++i) {
    this->states.push_back({ &this->cells[i], this->homed[i] });
  }
}

inline Result
Replay::run()
{
  for (const StreamJob& job : this->stream.jobs) {
    this->jobs[job.id].left_ms = job.run_ms;
    this->add_event(job.submit_ms, EventKind::Submit, job.id);
  }
  this->unfinished = static_cast<std::uint32_t>(this->stream.jobs.size());
  for (std::uint32_t i = 0; i < this->stream.faults.size(); ++i) {
    this->add_event(this->stream.faults[i].at_ms, EventKind::Fault, i);
  }
  this->add_event(0, EventKind::Sample, 0);
  if (this->variant.compact_every_ms > 0) {
    this->add_event(0, EventKind::Compact, 0);
  }
  const std::int64_t end = this->stream.deployment->horizon + LONGEST_DRAIN_MS;
  while (!this->events.empty() && this->unfinished > 0 && this->now_ms < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now_ms = event.at_ms;
    this->handle(event);
  }
  return std::move(this->result);
}

inline void
Replay::add_event(std::int64_t at, EventKind kind, std::uint32_t index)
{
  const std::uint32_t generation =
    kind == EventKind::End ? this->jobs[index].generation : 0;
  this->events.push({ at, kind, index, generation });
}

inline void
Replay::handle(const Event& event)
{
  switch (event.kind) {
    case EventKind::Fault:
      this->fault(this->stream.faults[event.index]);
      break;
    case EventKind::Repair:
      this->repair(event.index);
      break;
    case EventKind::End:
      if (this->jobs[event.index].generation != event.generation ||
          this->jobs[event.index].started_ms < 0) {
        return;
      }
      this->end(event.index);
      break;
    case EventKind::Submit:
      this->submit(event.index);
      break;
    case EventKind::Sample: {
      const Deployment& one = *this->stream.deployment;
      const std::int64_t hour = this->now_ms % DAY;
      if (hour >= one.open_from && hour < one.open_to) {
        this->result.fragmentation.push_back(
          core::fragmentation(this->states, this->stream.shapes).share());
      }
      if (this->now_ms < one.horizon) {
        this->add_event(this->now_ms + SAMPLE_EVERY_MS, EventKind::Sample, 0);
      }
      break;
    }
    case EventKind::Compact:
      this->compact();
      this->add_event(
        this->now_ms + this->variant.compact_every_ms, EventKind::Compact, 0);
      break;
  }
  // Events of the same moment are handled before the next decision.
  if (this->events.empty() || this->events.top().at_ms > this->now_ms) {
    this->schedule();
  }
}

inline std::int64_t
Replay::expected_run(const StreamJob& job) const
{
  if (!this->variant.estimate) {
    return job.declared_ms;
  }
  return this->estimator
    .estimate(
      job.organisation, std::to_string(job.kind), { job.declared_ms, 0, 0 })
    .run_ms;
}

inline void
Replay::submit(std::uint32_t id)
{
  if (!core::fits_empty_fleet(this->states, this->stream.jobs[id].shape)) {
    --this->unfinished; // Rejected at submission.
    this->jobs[id].done = true;
    return;
  }
  this->enqueue(id);
}

inline void
Replay::enqueue(std::uint32_t id)
{
  const StreamJob& job = this->stream.jobs[id];
  core::QueueEntry entry;
  entry.job = std::to_string(id);
  entry.organisation = job.organisation;
  entry.shape = job.shape;
  entry.urgent = job.urgent;
  entry.use_guarantee = job.use_guarantee;
  entry.preemptible = job.preemptible;
  entry.submitted_ms = job.submit_ms;
  entry.expected_run_ms = this->expected_run(job);
  (void)this->queue.push(std::move(entry), QUEUE_LIMIT);
}

inline void
Replay::start(std::uint32_t id,
              const core::Demand& demand,
              const core::Placement& placement,
              std::int64_t delay_ms)
{
  JobState& state = this->jobs[id];
  ++state.generation;
  state.started_ms = this->now_ms + delay_ms;
  if (state.first_start_ms < 0) {
    state.first_start_ms = state.started_ms;
  }
  state.guaranteed = placement.guaranteed;
  state.fails = false;
  state.servers.clear();
  for (std::uint32_t i = 0; i < placement.members.size(); ++i) {
    core::Cell& cell = this->cells[placement.members[i].cell];
    cell.allocations.push_back(core::allocation_of(
      demand, placement, i, state.generation, state.started_ms));
    const core::NameId server = cell.servers[placement.members[i].server].name;
    state.servers.push_back(server);
    state.fails = state.fails || this->bad_servers.contains(server);
  }
  if (!state.guaranteed) {
    this->used[demand.organisation] += core::total_accelerators(demand.shape);
  }
  this->running.insert(id);
  const std::int64_t length = state.fails ? FAILS_AFTER_MS : state.left_ms;
  this->add_event(state.started_ms + length, EventKind::End, id);
}

/// Ends the current run. Work since the last checkpoint is lost unless a final
/// checkpoint succeeded.
inline void
Replay::stop(std::uint32_t id, bool checkpoint)
{
  JobState& state = this->jobs[id];
  const StreamJob& job = this->stream.jobs[id];
  const std::int64_t elapsed =
    std::max<std::int64_t>(this->now_ms - state.started_ms, 0);
  const std::int64_t kept =
    checkpoint ? elapsed : elapsed - elapsed % CHECKPOINT_EVERY_MS;
  if (!state.fails) {
    state.left_ms = std::max<std::int64_t>(state.left_ms - kept, 0);
    state.left_ms += state.left_ms > 0 ? RESTORE_MS : 0;
    this->result.lost_work_ms +=
      static_cast<double>(elapsed - kept) * core::total_accelerators(job.shape);
  }
  if (!state.guaranteed) {
    this->used[job.organisation] -= core::total_accelerators(job.shape);
  }
  state.started_ms = -1;
  this->running.erase(id);
  for (core::Cell& cell : this->cells) {
    core::release(cell, { std::to_string(id) });
  }
  this->does_not_fit.clear();
}

inline void
Replay::end(std::uint32_t id)
{
  if (this->jobs[id].fails) {
    this->fail(id);
  } else {
    this->finish(id);
  }
}

inline void
Replay::fail(std::uint32_t id)
{
  for (const core::NameId server : this->jobs[id].servers) {
    if (this->bad_servers.contains(server)) {
      this->failures.record_failure(server, std::to_string(id), this->now_ms);
      this->jobs[id].avoid.push_back(server);
    }
  }
  this->stop(id, false);
  this->enqueue(id);
}

inline void
Replay::finish(std::uint32_t id)
{
  JobState& state = this->jobs[id];
  const StreamJob& job = this->stream.jobs[id];
  this->stop(id, true);
  state.done = true;
  --this->unfinished;
  this->result.useful_work_ms +=
    static_cast<double>(job.run_ms) * core::total_accelerators(job.shape);
  this->result.finished.push_back(
    { id,
      static_cast<double>(state.first_start_ms - job.submit_ms),
      static_cast<double>(this->now_ms - job.submit_ms) });
  this->estimator.observe_run(
    job.organisation, std::to_string(job.kind), job.declared_ms, job.run_ms);
}

inline void
Replay::lose(core::Cell& cell, const std::set<std::uint32_t>& servers)
{
  std::set<std::uint32_t> hit;
  for (const core::Allocation& held : cell.allocations) {
    if (servers.contains(held.server)) {
      hit.insert(static_cast<std::uint32_t>(std::stoul(held.job)));
    }
  }
  for (const std::uint32_t id : hit) {
    this->stop(id, false);
    this->enqueue(id);
  }
  for (const std::uint32_t server : servers) {
    cell.servers[server].state = core::ServerState::Lost;
  }
}

inline void
Replay::fault(const Fault& fault)
{
  core::Cell& cell = this->cells[fault.cell];
  const std::uint32_t index =
    static_cast<std::uint32_t>(&fault - this->stream.faults.data());
  std::set<std::uint32_t> servers = { fault.server };
  switch (fault.kind) {
    case FaultKind::LoseServer:
      this->lose(cell, servers);
      this->add_event(
        this->now_ms + VM_REPLACED_AFTER_MS, EventKind::Repair, index);
      break;
    case FaultKind::LoseRack:
      for (std::uint32_t i = 0; i < cell.servers.size(); ++i) {
        if (cell.servers[i].rack == cell.servers[fault.server].rack) {
          servers.insert(i);
        }
      }
      this->lose(cell, servers);
      this->add_event(
        this->now_ms + RACK_REPAIRED_AFTER_MS, EventKind::Repair, index);
      break;
    case FaultKind::CancelWave:
      this->cancel_wave();
      break;
    case FaultKind::BadServer:
      this->bad_servers.insert(cell.servers[fault.server].name);
      break;
  }
}

inline void
Replay::repair(std::uint32_t index)
{
  const Fault& fault = this->stream.faults[index];
  core::Cell& cell = this->cells[fault.cell];
  const core::NameId rack = cell.servers[fault.server].rack;
  for (std::uint32_t i = 0; i < cell.servers.size(); ++i) {
    const bool hit = i == fault.server || (fault.kind == FaultKind::LoseRack &&
                                           cell.servers[i].rack == rack);
    if (hit && cell.servers[i].state == core::ServerState::Lost) {
      cell.servers[i].state = core::ServerState::Ready;
    }
  }
  this->does_not_fit.clear();
}

/// Cancels every job of organisation 0 that waits or runs.
inline void
Replay::cancel_wave()
{
  std::vector<std::string> names;
  for (const StreamJob& job : this->stream.jobs) {
    if (job.organisation == 0 && job.submit_ms < this->now_ms &&
        !this->jobs[job.id].done) {
      names.push_back(std::to_string(job.id));
      if (this->jobs[job.id].started_ms >= 0) {
        this->stop(job.id, true);
      }
      this->jobs[job.id].done = true;
      --this->unfinished;
      ++this->result.cancelled;
    }
  }
  this->queue.cancel(names);
}

inline void
Replay::update_trust()
{
  for (core::Cell& cell : this->cells) {
    for (core::Server& server : cell.servers) {
      if (this->bad_servers.contains(server.name) &&
          server.state != core::ServerState::Lost) {
        const bool quarantined =
          this->failures.server_trust(server.name, this->now_ms) ==
          core::ServerTrust::Quarantined;
        server.state = quarantined ? core::ServerState::Quarantined
                                   : core::ServerState::Ready;
      }
    }
  }
}

inline std::uint32_t
Replay::accelerators() const
{
  std::uint32_t sum = 0;
  for (const core::Cell& cell : this->cells) {
    for (const core::Server& server : cell.servers) {
      sum += static_cast<std::uint32_t>(std::popcount(server.accelerators));
    }
  }
  return sum;
}

inline std::vector<core::OrganisationShare>
Replay::shares() const
{
  std::vector<core::OrganisationShare> all;
  const std::vector<double>& loads = this->stream.deployment->organisations;
  for (std::uint32_t i = 0; i < this->used.size(); ++i) {
    core::OrganisationShare share;
    share.organisation = i;
    share.weight = std::max(1U, static_cast<std::uint32_t>(loads[i] * 1'000));
    share.used_accelerators = this->used[i];
    if (this->variant.share_limit > 0) {
      // A limit below the largest job would hold it for ever.
      share.max_running_accelerators =
        std::max(this->stream.deployment->large,
                 static_cast<std::uint32_t>(this->variant.share_limit *
                                            loads[i] * this->accelerators()));
    }
    all.push_back(share);
  }
  return all;
}

inline void
Replay::schedule()
{
  this->update_trust();
  if (this->variant.reservation) {
    this->update_reservation();
  }
  const std::vector<core::OrganisationShare> shares = this->shares();
  for (const core::QueueEntry* entry :
       this->queue.order(shares, this->now_ms)) {
    const core::OrganisationShare& share = shares[entry->organisation];
    const bool over =
      share.max_running_accelerators > 0 && !entry->use_guarantee &&
      this->used[entry->organisation] + core::total_accelerators(entry->shape) >
        share.max_running_accelerators;
    if (!over && this->try_start(*entry)) {
      this->started.push_back(entry->job);
    }
  }
  this->take_started();
}

/// Applies the changes of a pass to the queue, which must not change while the
/// order is in use. A job may have been started and preempted in one pass.
inline void
Replay::take_started()
{
  this->queue.cancel(this->started);
  this->started.clear();
  for (const std::uint32_t id : this->requeued) {
    this->enqueue(id);
  }
  this->requeued.clear();
}

inline core::Demand
Replay::demand_of(const core::QueueEntry& entry) const
{
  core::Demand demand;
  demand.job = entry.job;
  demand.organisation = entry.organisation;
  demand.shape = entry.shape;
  demand.preemptible = entry.preemptible;
  demand.avoid = this->jobs[std::stoul(entry.job)].avoid;
  return demand;
}

inline bool
Replay::try_start(const core::QueueEntry& entry)
{
  const std::uint32_t id = static_cast<std::uint32_t>(std::stoul(entry.job));
  core::Demand demand = this->demand_of(entry);
  if (entry.use_guarantee && this->try_guarantee(entry, demand)) {
    return true;
  }
  std::span<const core::PlacedMember> reserved;
  if (this->reservation && this->reservation->job != entry.job &&
      !core::may_backfill(*this->reservation, entry, this->now_ms)) {
    reserved = this->reservation->placement.members;
  }
  const std::pair<std::uint64_t, std::uint32_t> key = {
    core::shape_key(entry.shape),
    (entry.preemptible ? 1U : 0U) | (reserved.empty() ? 2U : 0U)
  };
  const bool same_for_all = demand.avoid.empty();
  if (same_for_all && this->does_not_fit.contains(key)) {
    return false;
  }
  const tl::expected<core::Placement, core::PlaceError> found =
    core::place(this->states, demand, this->policy, reserved);
  if (!found) {
    if (same_for_all) {
      this->does_not_fit.insert(key);
    }
    return false;
  }
  this->start(id, demand, *found, 0);
  return true;
}

inline bool
Replay::try_guarantee(const core::QueueEntry& entry, core::Demand& demand)
{
  const std::uint32_t id = static_cast<std::uint32_t>(std::stoul(entry.job));
  demand.use_guarantee = true;
  const tl::expected<core::Placement, core::PlaceError> found =
    core::place(this->states, demand, this->policy);
  if (found) {
    this->start(id, demand, *found, 0);
    return true;
  }
  if (found.error() != core::PlaceError::NoUnusedGuarantee) {
    this->mark_checkpoints();
    const tl::expected<core::ReclaimPlan, core::PlaceError> plan =
      core::plan_reclaim(
        this->states, demand, this->policy, RECLAIM_TIMES, this->now_ms);
    if (plan) {
      for (const core::Victim& victim : plan->victims) {
        const std::uint32_t job =
          static_cast<std::uint32_t>(std::stoul(victim.job));
        // One final checkpoint in five does not finish in time.
        this->stop(job, (job + this->jobs[job].generation) % 5 != 0);
        this->requeued.push_back(job);
        ++this->result.preemptions;
      }
      this->start(id, demand, plan->placement, plan->bound_ms);
      return true;
    }
    ++this->result.refused_guarantees;
  }
  demand.use_guarantee = false;
  return false;
}

inline void
Replay::mark_checkpoints()
{
  for (core::Cell& cell : this->cells) {
    for (core::Allocation& held : cell.allocations) {
      const std::int64_t ran =
        std::max<std::int64_t>(this->now_ms - held.started_ms, 0);
      held.checkpoint_ms = held.started_ms + ran - ran % CHECKPOINT_EVERY_MS;
    }
  }
}

inline std::vector<core::ExpectedEnd>
Replay::expected_ends() const
{
  std::vector<core::ExpectedEnd> ends;
  for (const std::uint32_t id : this->running) {
    const StreamJob& job = this->stream.jobs[id];
    const JobState& state = this->jobs[id];
    const std::int64_t before = job.run_ms - state.left_ms;
    const std::int64_t elapsed = this->now_ms - state.started_ms + before;
    const std::int64_t run =
      core::Estimator::extended_estimate(this->expected_run(job), elapsed);
    ends.push_back({ std::to_string(id), this->now_ms + run - elapsed });
  }
  return ends;
}

inline void
Replay::update_reservation()
{
  const core::QueueEntry* large =
    this->queue.oldest_large(this->stream.deployment->large);
  if (large == nullptr ||
      this->now_ms - large->submitted_ms < this->variant.reserve_after_ms) {
    this->reservation.reset();
    return;
  }
  if (this->variant.migrate_after_ms > 0 &&
      this->now_ms - large->submitted_ms >= this->variant.migrate_after_ms &&
      this->try_migration(*large)) {
    return;
  }
  const bool current =
    this->reservation && this->reservation->job == large->job &&
    this->now_ms - this->reserved_at_ms < RESERVATION_KEPT_MS;
  if (!current) {
    this->reservation = core::reserve(this->states,
                                      this->demand_of(*large),
                                      this->policy,
                                      this->expected_ends(),
                                      this->now_ms);
    this->reserved_at_ms = this->now_ms;
    this->does_not_fit.clear();
  }
}

/// Moves small jobs out of the way of the large one; they stop with a
/// checkpoint and are queued again with their age, for which there is room.
inline bool
Replay::try_migration(const core::QueueEntry& large)
{
  const std::pair<std::uint64_t, std::uint32_t> key = {
    core::shape_key(large.shape), 4
  };
  if (!this->does_not_fit.insert(key).second) {
    return false;
  }
  const tl::expected<core::ReclaimPlan, core::PlaceError> plan =
    core::plan_migration(this->states,
                         this->demand_of(large),
                         this->policy,
                         RECLAIM_TIMES,
                         this->now_ms);
  if (!plan) {
    return false;
  }
  for (const core::Victim& victim : plan->victims) {
    const std::uint32_t id = static_cast<std::uint32_t>(std::stoul(victim.job));
    this->stop(id, true);
    this->requeued.push_back(id);
    ++this->result.migrations;
  }
  const core::Demand demand = this->demand_of(large);
  const std::uint32_t id = static_cast<std::uint32_t>(std::stoul(large.job));
  this->start(id, demand, plan->placement, plan->bound_ms);
  this->started.push_back(demand.job);
  this->take_started();
  this->reservation.reset();
  return true;
}

inline void
Replay::compact()
{
  const std::optional<core::Move> move =
    core::plan_compaction(this->states,
                          this->stream.shapes,
                          this->policy,
                          this->variant.compact_gain,
                          this->now_ms - LEFT_ALONE_MS);
  if (!move) {
    return;
  }
  const std::uint32_t id = static_cast<std::uint32_t>(std::stoul(move->job));
  const StreamJob& job = this->stream.jobs[id];
  this->stop(id, true);
  core::Demand demand;
  demand.job = move->job;
  demand.organisation = job.organisation;
  demand.shape = job.shape;
  this->start(id, demand, move->placement, 0);
  ++this->result.migrations;
}

} // namespace geraniumhinge::bench
