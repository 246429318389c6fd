#include "entry/scheduler.h"

#include "entry/allocations.h"
#include "entry/events.h"

#include <algorithm>
#include <limits>

namespace geraniumhinge::entry {

namespace {

// A waiting job of at least this many accelerators can get a reservation.
constexpr std::uint32_t LARGE_JOB_ACCELERATORS = 8;
// A job that is still not placed gets a new reclaim plan after the bound of the
// last one, but not before this time.
constexpr std::int64_t RECLAIM_REPEAT_MS = 2'000;
// Time from the bound of a reclaim plan to the expiry of its claims, in which
// the job is placed.
constexpr std::int64_t CLAIM_MARGIN_MS = 5'000;

} // namespace

Scheduler::Scheduler(const DriverContext& context,
                     DriverTable& drivers,
                     JobStopper& stopper)
  : Task(context.loop, "scheduler")
  , context(context)
  , drivers(drivers)
  , stopper(stopper)
  , tuning(core::tuning_for(context.settings.weight_completion,
                            context.settings.weight_fragmentation))
  , queue(this->tuning.order)
  , failures(core::QuarantineLimits{})
{
  this->context.cell_cache.on_change([this] { this->schedule_pass(); });
  this->drivers.on_finished(
    [this](const v1::JobRow& row) { this->record_run_time(row.job()); });
}

void
Scheduler::record_run_time(const v1::Job& job)
{
  if (job.outcome() != v1::OUTCOME_SUCCEEDED || job.started_ms() == 0)
    return;
  this->estimator.record_run(this->names.intern(job.organisation()),
                             job.spec().job_class(),
                             std::int64_t{ job.spec().declared_run_time_s() } *
                               1'000,
                             job.finished_ms() - job.started_ms());
}

std::int64_t
Scheduler::expected_run_ms(const v1::Job& job)
{
  core::JobSize declared;
  declared.run_ms = std::int64_t{ job.spec().declared_run_time_s() } * 1'000;
  return this->estimator
    .estimate(
      this->names.intern(job.organisation()), job.spec().job_class(), declared)
    .run_ms;
}

void
Scheduler::start()
{
  this->timer =
    this->context.timers.every(this->context.settings.schedule_period, [this] {
      if (this->queue.size() != 0)
        this->refresh_cells();
    });
}

void
Scheduler::enqueue(Driver& driver)
{
  const v1::Job& job = driver.row().job();
  core::QueueEntry entry;
  entry.job = job.id();
  entry.organisation = this->names.intern(job.organisation());
  entry.shape = to_core(job.spec().shape());
  entry.urgent = job.spec().urgent();
  entry.use_guarantee = job.spec().use_guarantee();
  entry.preemptible = !entry.use_guarantee;
  entry.submitted_ms = job.submitted_ms();
  entry.expected_run_ms = this->expected_run_ms(job);
  // No limit here: submission has checked it, and accepted jobs must be queued.
  static_cast<void>(this->queue.push(
    std::move(entry), std::numeric_limits<std::uint32_t>::max()));
  // Reads the cells first, because a placement on outdated rows costs a refused
  // Prepare.
  this->refresh_cells();
}

void
Scheduler::dequeue(Driver& driver)
{
  this->queue.remove(driver.job());
}

std::size_t
Scheduler::queued(const std::string& organisation)
{
  return this->queue.size(this->names.intern(organisation));
}

void
Scheduler::record_task_end(const std::string& server,
                           const std::string& job,
                           bool ok)
{
  std::int64_t now = kernel::boot_ms();
  if (ok)
    this->failures.record_success(this->names.intern(server), job, now);
  else
    this->failures.record_failure(this->names.intern(server), job, now);
  this->failures.expire(now);
}

bool
Scheduler::excluded(const std::string& server)
{
  const ServerView* view = this->context.fleet.find(server);
  std::int64_t now = kernel::boot_ms();
  bool usable = view != nullptr && this->context.fleet.usable(*view, now);
  return !usable ||
         this->failures.server_trust(this->names.intern(server), now) ==
           core::ServerTrust::Quarantined;
}

Snapshot
Scheduler::snapshot()
{
  return make_snapshot(
    this->names,
    this->context.cell_cache.all(),
    this->context.config(),
    [this](const std::string& server) { return this->excluded(server); });
}

bool
Scheduler::is_impossible(const v1::Shape& shape)
{
  Snapshot snapshot = this->snapshot();
  return !core::fits_empty_fleet(snapshot.states(), to_core(shape));
}

void
Scheduler::schedule_pass()
{
  if (this->pass_scheduled || this->queue.size() == 0)
    return;
  this->pass_scheduled = true;
  this->post([this] { this->run_pass(); });
}

void
Scheduler::refresh_cells()
{
  if (this->refresh_in_flight)
    return;
  // Another entry may have released the resources that queued jobs wait for.
  this->refresh_in_flight = true;
  this->context.cell_cache.refresh(this->guarded([this](bool) {
    this->refresh_in_flight = false;
    this->schedule_pass();
  }));
}

void
Scheduler::run_pass()
{
  this->pass_scheduled = false;
  if (this->context.is_draining())
    return;
  std::int64_t started_us = kernel::boot_us();
  Snapshot snapshot = this->snapshot();
  this->policy.typical_shapes = guaranteed_shapes(this->context.config());
  this->add_uncommitted(snapshot);
  this->reserve_for_large_job(snapshot);
  this->place_queued(snapshot);
  this->context.metrics.gauge("entry_jobs_queued")
    .set(static_cast<double>(this->queue.size()));
  this->context.metrics.summary("entry_schedule_pass_ms")
    .observe(static_cast<double>(kernel::boot_us() - started_us) / 1'000);
}

void
Scheduler::add_uncommitted(Snapshot& snapshot)
{
  for (const auto& [job, driver] : this->drivers.all()) {
    const JobPlacement* placement = driver->uncommitted_placement();
    if (placement == nullptr)
      continue;
    const v1::Job& row = driver->row().job();
    for (const v1::MemberPlacement& member : placement->members) {
      for (std::size_t cell = 0; cell < snapshot.cells.size(); ++cell) {
        const v1::CellRow& cell_row = *snapshot.rows[cell];
        if (cell_row.zone() != member.zone())
          continue;
        for (int server = 0; server < cell_row.members_size(); ++server) {
          if (cell_row.members(server).server() != member.server())
            continue;
          core::Allocation allocation;
          allocation.job = job;
          allocation.server = server;
          allocation.accelerators = member.accelerators();
          allocation.cores = row.spec().shape().cores();
          allocation.memory_mb = row.spec().shape().memory_mb();
          allocation.organisation = this->names.intern(row.organisation());
          allocation.preemptible = !placement->guarantee_use.guaranteed;
          allocation.guaranteed = placement->guarantee_use.guaranteed;
          allocation.claimed_shape_key =
            placement->guarantee_use.claimed_shape_key;
          snapshot.cells[cell].allocations.push_back(std::move(allocation));
        }
      }
    }
  }
}

std::vector<core::OrganisationShare>
Scheduler::organisation_shares(const Snapshot& snapshot)
{
  std::map<core::NameId, std::uint32_t> used;
  for (const core::Cell& cell : snapshot.cells) {
    for (const core::Allocation& allocation : cell.allocations) {
      if (!allocation.guaranteed)
        used[allocation.organisation] +=
          __builtin_popcountll(allocation.accelerators);
    }
  }
  std::vector<core::OrganisationShare> shares;
  for (const v1::Organisation& row : this->context.config().organisations()) {
    core::NameId id = this->names.intern(row.name());
    shares.push_back({ id,
                       std::max(row.limits().weight(), 1U),
                       used[id],
                       row.limits().max_running_accelerators() });
  }
  return shares;
}

core::Demand
Scheduler::demand_of(const core::QueueEntry& entry)
{
  core::Demand demand;
  demand.job = entry.job;
  demand.organisation = entry.organisation;
  demand.shape = entry.shape;
  demand.use_guarantee = entry.use_guarantee;
  demand.preemptible = entry.preemptible;
  Driver* driver = this->drivers.find(entry.job);
  if (driver != nullptr) {
    for (const std::string& server : driver->avoided_servers())
      demand.avoided_servers.push_back(this->names.intern(server));
  }
  return demand;
}

void
Scheduler::reserve_for_large_job(const Snapshot& snapshot)
{
  this->reservation.reset();
  const core::QueueEntry* large =
    this->queue.oldest_large(LARGE_JOB_ACCELERATORS);
  std::int64_t now = kernel::unix_ms();
  if (large == nullptr ||
      now - large->submitted_ms < this->tuning.reserve_after_ms)
    return;
  std::vector<core::ExpectedEnd> expected_ends;
  for (const auto& [job, driver] : this->drivers.all()) {
    const v1::Job& row = driver->row().job();
    std::int64_t run_ms = this->expected_run_ms(row);
    if (row.state() != v1::JOB_STATE_RUNNING || run_ms == 0)
      continue;
    std::int64_t elapsed_ms = now - row.started_ms();
    expected_ends.push_back(
      { job,
        row.started_ms() +
          core::Estimator::extended_estimate(run_ms, elapsed_ms) });
  }
  this->reservation = core::plan_reservation(snapshot.states(),
                                             this->demand_of(*large),
                                             this->policy,
                                             expected_ends,
                                             now);
}

void
Scheduler::place_queued(Snapshot& snapshot)
{
  std::vector<core::QueueEntry> entries;
  for (const core::QueueEntry* entry : this->queue.order(
         this->organisation_shares(snapshot), kernel::unix_ms()))
    entries.push_back(*entry);
  // A shape that could not be placed cannot be placed later in the pass.
  std::vector<core::Shape> blocked;
  for (const core::QueueEntry& entry : entries) {
    bool shape_blocked =
      std::find(blocked.begin(), blocked.end(), entry.shape) != blocked.end();
    if (!entry.use_guarantee && shape_blocked)
      continue;
    if (!this->place_job(snapshot, entry) && !entry.use_guarantee &&
        this->demand_of(entry).avoided_servers.empty())
      blocked.push_back(entry.shape);
  }
}

bool
Scheduler::place_job(Snapshot& snapshot, const core::QueueEntry& entry)
{
  Driver* driver = this->drivers.find(entry.job);
  if (driver == nullptr || driver->state() != DriverState::Queued)
    return true;
  core::Demand demand = this->demand_of(entry);
  if (entry.use_guarantee)
    snapshot.drop_claims(entry.job);
  std::span<const core::PlacedMember> reserved;
  bool must_respect_reservation =
    this->reservation && this->reservation->job != entry.job && !entry.urgent &&
    !entry.use_guarantee &&
    !core::may_backfill(*this->reservation, entry, kernel::unix_ms());
  if (must_respect_reservation)
    reserved = this->reservation->placement.members;
  std::int64_t started_us = kernel::boot_us();
  std::vector<core::CellState> states = snapshot.states();
  tl::expected<core::Placement, core::PlaceError> placement =
    core::place(states, demand, this->policy, reserved);
  // Without an unused guarantee the job is placed as a preemptible one.
  bool guarantee_used_up =
    !placement && placement.error() == core::PlaceError::NoUnusedGuarantee;
  if (guarantee_used_up) {
    demand.use_guarantee = false;
    demand.preemptible = true;
    placement = core::place(states, demand, this->policy, reserved);
  }
  this->context.metrics.summary("entry_place_ms")
    .observe(static_cast<double>(kernel::boot_us() - started_us) / 1'000);
  if (placement) {
    this->assign_to_driver(snapshot, *driver, demand, *placement);
    return true;
  }
  if (demand.use_guarantee)
    this->reclaim(snapshot, *driver, demand);
  return false;
}

void
Scheduler::assign_to_driver(Snapshot& snapshot,
                            Driver& driver,
                            const core::Demand& demand,
                            const core::Placement& placement)
{
  JobPlacement result;
  result.members = member_placements(snapshot, placement);
  result.guarantee_use = { placement.guaranteed, placement.claimed_shape_key };
  snapshot.add_placement(demand, placement);
  this->context.metrics.counter("entry_placements_total").add();
  driver.place(std::move(result));
}

void
Scheduler::reclaim(const Snapshot& snapshot,
                   const Driver& driver,
                   const core::Demand& demand)
{
  const EntrySettings& settings = this->context.settings;
  core::ReclaimTimes times{ settings.checkpoint_limit.count(),
                            settings.stop_grace_period.count(),
                            settings.lease_length.count() };
  std::int64_t now = kernel::unix_ms();
  std::erase_if(this->next_plan_ms,
                [now](const auto& entry) { return entry.second <= now; });
  if (this->next_plan_ms.contains(demand.job))
    return;
  tl::expected<core::ReclaimPlan, core::PlaceError> plan =
    core::plan_reclaim(snapshot.states(), demand, this->policy, times, now);
  if (!plan)
    return;
  this->next_plan_ms[demand.job] =
    now + std::max(plan->max_delay_ms, RECLAIM_REPEAT_MS);
  this->commit_claims(driver,
                      member_placements(snapshot, plan->placement),
                      now + plan->max_delay_ms + CLAIM_MARGIN_MS,
                      std::move(plan->victims));
}

void
Scheduler::commit_claims(const Driver& driver,
                         std::vector<v1::MemberPlacement> members,
                         std::int64_t until_ms,
                         std::vector<core::Victim> victims)
{
  const v1::Job& job = driver.row().job();
  std::set<std::string> zones;
  for (const v1::MemberPlacement& member : members)
    zones.insert(member.zone());
  CellUpdate update;
  update.zones.assign(zones.begin(), zones.end());
  update.change =
    [job, until_ms, members = std::move(members)](CellMap& cells) {
      add_claims(cells, job, members, kernel::unix_ms(), until_ms);
      return true;
    };
  this->context.cell_cache.update(
    std::move(update),
    this->guarded([this, id = job.id(), victims = std::move(victims)](
                    const CellCache::UpdateResult& result) {
      if (result)
        this->stop_victims(id, victims);
      else
        this->next_plan_ms.erase(id);
    }));
}

void
Scheduler::stop_victims(const std::string& job,
                        const std::vector<core::Victim>& victims)
{
  for (const core::Victim& victim : victims) {
    // This victim is only a claim of another guaranteed job, which can't be
    // stopped; a later plan uses other resources.
    if (victim.job.starts_with(CLAIM_PREFIX))
      continue;
    this->context.log.write(RECLAIM_STARTED,
                            { { "job", job }, { "victim", victim.job } });
    this->context.metrics.counter("entry_reclaims_total").add();
    this->stopper.request(victim.job, v1::STOP_PURPOSE_RECLAIM);
  }
}

} // namespace geraniumhinge::entry
