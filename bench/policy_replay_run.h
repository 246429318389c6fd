#pragma once

#include "bench/policy_replay.h"

#include "core/capacity.h"

namespace geraniumhinge::bench {

constexpr std::int64_t CHECKPOINT_PERIOD_MS = 10 * MINUTE_MS;
constexpr std::int64_t RESTORE_MS = 30'000;
// Time from a start on a faulty server to the failure.
constexpr std::int64_t FAILURE_DELAY_MS = 5'000;
constexpr std::int64_t VM_REPLACEMENT_MS = 10 * MINUTE_MS;
constexpr std::int64_t RACK_REPAIR_MS = HOUR_MS;
constexpr std::int64_t RESERVATION_PERIOD_MS = 5 * MINUTE_MS;
constexpr std::int64_t MIN_RUN_BEFORE_MOVE_MS = 10 * MINUTE_MS;
constexpr core::ReclaimTimes RECLAIM_TIMES{ 10'000, 2'000, 6'000 };
constexpr std::int64_t MAX_DRAIN_MS = 10 * DAY_MS;
constexpr std::size_t MAX_TYPICAL_SHAPES = 8;
constexpr std::uint32_t QUEUE_LIMIT = 100'000;

inline Replay::Replay(const Stream& stream, const Variant& variant)
  : stream(stream)
  , variant(variant)
  , cells(stream.cells)
  , jobs(stream.jobs.size())
  , queue(variant.order)
  , running_accelerators(stream.deployment->organisations.size(), 0)
{
  this->policy.rule = variant.rule;
  this->policy.typical_shapes = stream.shapes;
  std::sort(this->policy.typical_shapes.begin(),
            this->policy.typical_shapes.end(),
            [](const auto& left, const auto& right) {
              return left.weight > right.weight;
            });
  this->policy.typical_shapes.resize(
    std::min(this->policy.typical_shapes.size(), MAX_TYPICAL_SHAPES));
  for (const core::Cell& cell : this->cells) {
    this->cell_guarantees.push_back(
      core::guarantees_of_cell(cell.zone, stream.guarantees));
  }
  for (std::size_t i = 0; i < this->cells.size(); ++i) {
    this->states.push_back({ &this->cells[i], this->cell_guarantees[i] });
  }
}

inline Result
Replay::run()
{
  for (const StreamJob& job : this->stream.jobs) {
    this->jobs[job.id].remaining_ms = job.run_ms;
    this->add_event(job.submit_ms, EventKind::Submit, job.id);
  }
  this->unfinished = static_cast<std::uint32_t>(this->stream.jobs.size());
  for (std::uint32_t i = 0; i < this->stream.faults.size(); ++i) {
    this->add_event(this->stream.faults[i].at_ms, EventKind::Fault, i);
  }
  this->add_event(0, EventKind::Sample, 0);
  if (this->variant.compaction_period_ms > 0) {
    this->add_event(0, EventKind::Compact, 0);
  }
  const std::int64_t end = this->stream.deployment->horizon_ms + MAX_DRAIN_MS;
  while (!this->events.empty() && this->unfinished > 0 && this->now_ms < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now_ms = event.at_ms;
    this->handle_event(event);
  }
  return std::move(this->result);
}

inline void
Replay::add_event(std::int64_t time_ms, EventKind kind, std::uint32_t index)
{
  const std::uint32_t generation =
    kind == EventKind::End ? this->jobs[index].generation : 0;
  this->events.push({ time_ms, kind, index, generation });
}

inline void
Replay::handle_event(const Event& event)
{
  switch (event.kind) {
    case EventKind::Fault:
      this->apply_fault(this->stream.faults[event.index]);
      break;
    case EventKind::Repair:
      this->repair_fault(event.index);
      break;
    case EventKind::End:
      if (this->jobs[event.index].generation != event.generation ||
          this->jobs[event.index].started_ms < 0) {
        return;
      }
      this->end_run(event.index);
      break;
    case EventKind::Submit:
      this->submit(event.index);
      break;
    case EventKind::Sample: {
      const Deployment& deployment = *this->stream.deployment;
      const std::int64_t time_of_day = this->now_ms % DAY_MS;
      if (time_of_day >= deployment.arrivals_from_ms &&
          time_of_day < deployment.arrivals_to_ms) {
        this->result.fragmentation.push_back(
          core::fragmentation(this->states, this->stream.shapes).share());
      }
      if (this->now_ms < deployment.horizon_ms) {
        this->add_event(this->now_ms + SAMPLE_PERIOD_MS, EventKind::Sample, 0);
      }
      break;
    }
    case EventKind::Compact:
      this->compact();
      this->add_event(this->now_ms + this->variant.compaction_period_ms,
                      EventKind::Compact,
                      0);
      break;
  }
  // All events of the same time are handled before the next scheduling round.
  if (this->events.empty() || this->events.top().at_ms > this->now_ms) {
    this->run_scheduling_round();
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
    state.fails = state.fails || this->faulty_servers.contains(server);
  }
  if (!state.guaranteed) {
    this->running_accelerators[demand.organisation] +=
      core::total_accelerators(demand.shape);
  }
  this->running.insert(id);
  const std::int64_t duration_ms =
    state.fails ? FAILURE_DELAY_MS : state.remaining_ms;
  this->add_event(state.started_ms + duration_ms, EventKind::End, id);
}

/// Ends the current run. Without a final checkpoint, the work since the last
/// periodic checkpoint is lost.
inline void
Replay::stop(std::uint32_t id, bool checkpoint)
{
  JobState& state = this->jobs[id];
  const StreamJob& job = this->stream.jobs[id];
  const std::int64_t elapsed =
    std::max<std::int64_t>(this->now_ms - state.started_ms, 0);
  const std::int64_t saved_ms =
    checkpoint ? elapsed : elapsed - elapsed % CHECKPOINT_PERIOD_MS;
  if (!state.fails) {
    state.remaining_ms =
      std::max<std::int64_t>(state.remaining_ms - saved_ms, 0);
    state.remaining_ms += state.remaining_ms > 0 ? RESTORE_MS : 0;
    this->result.lost_work_ms += static_cast<double>(elapsed - saved_ms) *
                                 core::total_accelerators(job.shape);
  }
  if (!state.guaranteed) {
    this->running_accelerators[job.organisation] -=
      core::total_accelerators(job.shape);
  }
  state.started_ms = -1;
  this->running.erase(id);
  for (core::Cell& cell : this->cells) {
    core::release(cell, { std::to_string(id) });
  }
  this->unplaceable_shapes.clear();
}

inline void
Replay::end_run(std::uint32_t id)
{
  if (this->jobs[id].fails) {
    this->fail_run(id);
  } else {
    this->finish_job(id);
  }
}

inline void
Replay::fail_run(std::uint32_t id)
{
  for (const core::NameId server : this->jobs[id].servers) {
    if (this->faulty_servers.contains(server)) {
      this->failures.record_failure(server, std::to_string(id), this->now_ms);
      this->jobs[id].avoided_servers.push_back(server);
    }
  }
  this->stop(id, false);
  this->enqueue(id);
}

inline void
Replay::finish_job(std::uint32_t id)
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
  this->estimator.record_run(
    job.organisation, std::to_string(job.kind), job.declared_ms, job.run_ms);
}

inline void
Replay::mark_lost(core::Cell& cell, const std::set<std::uint32_t>& servers)
{
  std::set<std::uint32_t> affected;
  for (const core::Allocation& allocation : cell.allocations) {
    if (servers.contains(allocation.server)) {
      affected.insert(static_cast<std::uint32_t>(std::stoul(allocation.job)));
    }
  }
  for (const std::uint32_t id : affected) {
    this->stop(id, false);
    this->enqueue(id);
  }
  for (const std::uint32_t server : servers) {
    cell.servers[server].state = core::ServerState::Lost;
  }
}

inline void
Replay::apply_fault(const Fault& fault)
{
  core::Cell& cell = this->cells[fault.cell];
  const std::uint32_t index =
    static_cast<std::uint32_t>(&fault - this->stream.faults.data());
  std::set<std::uint32_t> servers = { fault.server };
  switch (fault.kind) {
    case FaultKind::LoseServer:
      this->mark_lost(cell, servers);
      this->add_event(
        this->now_ms + VM_REPLACEMENT_MS, EventKind::Repair, index);
      break;
    case FaultKind::LoseRack:
      for (std::uint32_t i = 0; i < cell.servers.size(); ++i) {
        if (cell.servers[i].rack == cell.servers[fault.server].rack) {
          servers.insert(i);
        }
      }
      this->mark_lost(cell, servers);
      this->add_event(this->now_ms + RACK_REPAIR_MS, EventKind::Repair, index);
      break;
    case FaultKind::MassCancellation:
      this->cancel_first_organisation();
      break;
    case FaultKind::FaultyServer:
      this->faulty_servers.insert(cell.servers[fault.server].name);
      break;
  }
}

inline void
Replay::repair_fault(std::uint32_t index)
{
  const Fault& fault = this->stream.faults[index];
  core::Cell& cell = this->cells[fault.cell];
  const core::NameId rack = cell.servers[fault.server].rack;
  for (std::uint32_t i = 0; i < cell.servers.size(); ++i) {
    const bool affected =
      i == fault.server ||
      (fault.kind == FaultKind::LoseRack && cell.servers[i].rack == rack);
    if (affected && cell.servers[i].state == core::ServerState::Lost) {
      cell.servers[i].state = core::ServerState::Ready;
    }
  }
  this->unplaceable_shapes.clear();
}

/// Cancels all queued and running jobs of organisation 0.
inline void
Replay::cancel_first_organisation()
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
Replay::update_quarantine()
{
  for (core::Cell& cell : this->cells) {
    for (core::Server& server : cell.servers) {
      if (this->faulty_servers.contains(server.name) &&
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
  std::vector<core::OrganisationShare> shares;
  const std::vector<double>& loads = this->stream.deployment->organisations;
  for (std::uint32_t i = 0; i < this->running_accelerators.size(); ++i) {
    core::OrganisationShare share;
    share.organisation = i;
    share.weight = std::max(1U, static_cast<std::uint32_t>(loads[i] * 1'000));
    share.used_accelerators = this->running_accelerators[i];
    if (this->variant.share_limit > 0) {
      // A limit below the largest job would block that job forever.
      share.max_running_accelerators =
        std::max(this->stream.deployment->large_job_accelerators,
                 static_cast<std::uint32_t>(this->variant.share_limit *
                                            loads[i] * this->accelerators()));
    }
    shares.push_back(share);
  }
  return shares;
}

inline void
Replay::run_scheduling_round()
{
  this->update_quarantine();
  if (this->variant.reservation) {
    this->update_reservation();
  }
  const std::vector<core::OrganisationShare> shares = this->shares();
  for (const core::QueueEntry* entry :
       this->queue.order(shares, this->now_ms)) {
    const core::OrganisationShare& share = shares[entry->organisation];
    const bool exceeds_limit = share.max_running_accelerators > 0 &&
                               !entry->use_guarantee &&
                               this->running_accelerators[entry->organisation] +
                                   core::total_accelerators(entry->shape) >
                                 share.max_running_accelerators;
    if (!exceeds_limit && this->try_start(*entry)) {
      this->started_jobs.push_back(entry->job);
    }
  }
  this->apply_queue_changes();
}

/// Applies the changes of a scheduling round to the queue, which must not
/// change while its order is in use. A job can be started and preempted in one
/// round.
inline void
Replay::apply_queue_changes()
{
  this->queue.cancel(this->started_jobs);
  this->started_jobs.clear();
  for (const std::uint32_t id : this->requeued_jobs) {
    this->enqueue(id);
  }
  this->requeued_jobs.clear();
}

inline core::Demand
Replay::demand_of(const core::QueueEntry& entry) const
{
  core::Demand demand;
  demand.job = entry.job;
  demand.organisation = entry.organisation;
  demand.shape = entry.shape;
  demand.preemptible = entry.preemptible;
  demand.avoided_servers = this->jobs[std::stoul(entry.job)].avoided_servers;
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
  const bool cacheable = demand.avoided_servers.empty();
  if (cacheable && this->unplaceable_shapes.contains(key)) {
    return false;
  }
  const tl::expected<core::Placement, core::PlaceError> found =
    core::place(this->states, demand, this->policy, reserved);
  if (!found) {
    if (cacheable) {
      this->unplaceable_shapes.insert(key);
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
    this->update_checkpoints();
    const tl::expected<core::ReclaimPlan, core::PlaceError> plan =
      core::plan_reclaim(
        this->states, demand, this->policy, RECLAIM_TIMES, this->now_ms);
    if (plan) {
      for (const core::Victim& victim : plan->victims) {
        const std::uint32_t job =
          static_cast<std::uint32_t>(std::stoul(victim.job));
        // One of five final checkpoints does not finish in time.
        this->stop(job, (job + this->jobs[job].generation) % 5 != 0);
        this->requeued_jobs.push_back(job);
        ++this->result.preemptions;
      }
      this->start(id, demand, plan->placement, plan->max_delay_ms);
      return true;
    }
    ++this->result.refused_guarantees;
  }
  demand.use_guarantee = false;
  return false;
}

inline void
Replay::update_checkpoints()
{
  for (core::Cell& cell : this->cells) {
    for (core::Allocation& allocation : cell.allocations) {
      const std::int64_t elapsed =
        std::max<std::int64_t>(this->now_ms - allocation.started_ms, 0);
      allocation.checkpoint_ms =
        allocation.started_ms + elapsed - elapsed % CHECKPOINT_PERIOD_MS;
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
    const std::int64_t earlier_runs_ms = job.run_ms - state.remaining_ms;
    const std::int64_t elapsed =
      this->now_ms - state.started_ms + earlier_runs_ms;
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
    this->queue.oldest_large(this->stream.deployment->large_job_accelerators);
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
    this->now_ms - this->reserved_at_ms < RESERVATION_PERIOD_MS;
  if (!current) {
    this->reservation = core::plan_reservation(this->states,
                                               this->demand_of(*large),
                                               this->policy,
                                               this->expected_ends(),
                                               this->now_ms);
    this->reserved_at_ms = this->now_ms;
    this->unplaceable_shapes.clear();
  }
}

/// Migrates small jobs that fit elsewhere to make space for a large job. A
/// migrated job stops with a checkpoint and is queued again with its original
/// submission time.
inline bool
Replay::try_migration(const core::QueueEntry& large)
{
  // 4 stands for a migration attempt; try_start() uses 0 to 3.
  const std::pair<std::uint64_t, std::uint32_t> key = {
    core::shape_key(large.shape), 4
  };
  if (!this->unplaceable_shapes.insert(key).second) {
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
    this->requeued_jobs.push_back(id);
    ++this->result.migrations;
  }
  const core::Demand demand = this->demand_of(large);
  const std::uint32_t id = static_cast<std::uint32_t>(std::stoul(large.job));
  this->start(id, demand, plan->placement, plan->max_delay_ms);
  this->started_jobs.push_back(demand.job);
  this->apply_queue_changes();
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
                          this->variant.min_compaction_gain,
                          this->now_ms - MIN_RUN_BEFORE_MOVE_MS);
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
