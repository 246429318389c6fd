#include "entry/work_scheduler.h"

#include "entry/events.h"
#include "entry/row_budget.h"
#include "entry/run_recall.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

#include <algorithm>
#include <cmath>

namespace geraniumhinge::entry {

namespace {

/// Occurrences that fall due and agents that become silent cause no event, so
/// rounds also run at this period.
constexpr kernel::Milliseconds ROUND_PERIOD{ 200 };
/// Covers the gangs that wait in a burst (docs/design/scarce-capacity.md). Each
/// costs a search of the fleet.
constexpr std::size_t SCARCE_GANG_RESERVATIONS = 8;
/// Responses without effect before they are logged.
constexpr std::size_t MIN_UNUSED_RESPONSES = 2;
/// A row that is too long may be so in every round.
constexpr std::int64_t OVERSIZED_LOG_PERIOD_MS = 10'000;

} // namespace

WorkScheduler::WorkScheduler(kernel::Loop& loop,
                             kernel::TimerService& timers,
                             const kernel::Log& log,
                             kernel::Metrics& metrics,
                             platform::Store& store,
                             WorkView& view,
                             ServerTable& servers,
                             const SharedEnds& shared_ends,
                             const Evacuations& evacuations,
                             WorkSchedulerLimits limits,
                             WorkSchedulerHooks hooks)
  : Task(loop, "work_scheduler")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , store(store)
  , view(view)
  , servers(servers)
  , shared_ends(shared_ends)
  , evacuations(evacuations)
  , limits(limits)
  , hooks(std::move(hooks))
  , writer(loop,
           timers,
           store,
           { [this](const platform::RowChange& change, std::uint64_t version) {
              this->handle_stored(change, version);
            },
             [this](bool still_owner,
                    const std::vector<platform::StoredRow>& current) {
               this->handle_conflict(still_owner, current);
             } })
  , row_expiry(loop, timers, log, metrics, store, view, limits.retention_ms)
  , tracker(log, metrics, servers)
  , samples(run_times, history, servers)
  , speed_store(loop, timers, log, metrics, store, run_times)
  , crash_tracker(log, metrics, servers)
  , oversized_rows(OVERSIZED_LOG_PERIOD_MS)
{
}

void
WorkScheduler::start_term(std::uint64_t term)
{
  this->term = term;
  this->pending_ends.clear();
  this->writer.start_term(term);
  this->history = {};
  this->zones_without_starts.clear();
  this->was_settling = false;
  this->tracker.reset();
  this->run_times = {};
  this->samples.reset();
  this->speed_store.start_term(term);
  this->crash_tracker.reset();
  this->round_timer =
    this->timers.every(ROUND_PERIOD, [this] { this->schedule_decision(); });
  this->row_expiry.start_term(term);
  // Agents that reported while the rows were read have got no orders yet. Their
  // next report may be a second away, and until then they renew no lease.
  for (std::pair<const std::string, AgentView>& entry : this->servers.all()) {
    AgentView& agent = entry.second;
    if (agent.last_seen_ms != 0 && agent.orders_sequence == 0)
      this->apply_report(agent);
  }
  this->schedule_decision();
}

void
WorkScheduler::end_term()
{
  this->term = 0;
  this->pending_ends.clear();
  this->writer.end_term();
  this->speed_store.end_term();
  this->round_timer.reset();
  this->row_expiry.end_term();
}

std::int64_t
WorkScheduler::store_wait_ms() const
{
  return this->term == 0 ? 0 : this->writer.wait_ms(kernel::boot_ms());
}

void
WorkScheduler::set_limits(const WorkSchedulerLimits& changed)
{
  this->limits = changed;
  this->row_expiry.set_retention_ms(changed.retention_ms);
}

void
WorkScheduler::schedule_decision()
{
  if (this->term == 0 || this->decision_scheduled)
    return;
  this->decision_scheduled = true;
  this->post([this] {
    this->decision_scheduled = false;
    this->run_round();
  });
}

void
WorkScheduler::apply_report(AgentView& agent)
{
  this->tracker.record_progress(agent, kernel::boot_ms());
  this->samples.record_report(agent, kernel::boot_ms());
  this->send_orders(agent);
  // Progress and the passing of time are left to the periodic round.
  if (agent.report_changed)
    this->schedule_decision();
}

void
WorkScheduler::send_orders(AgentView& agent)
{
  if (this->term == 0 || !this->hooks.may_send_orders() ||
      (agent.last_seen_ms != 0 && this->servers.is_withheld(agent.node)))
    return;
  v1::ServerOrders orders = make_orders(this->view,
                                        agent,
                                        { this->term, ++this->orders_sequence },
                                        this->pending_ends);
  orders.set_no_starts(!this->may_start_runs(agent));
  agent.orders_sequence = orders.sequence();
  this->hooks.send(agent.address, std::move(orders));
}

/// Whether orders may let the agent start runs. What an owner does not know of
/// must not start: cancelled jobs, and runs in evacuated zones.
bool
WorkScheduler::may_start_runs(const AgentView& agent) const
{
  return this->hooks.work_is_current() &&
         this->hooks.evacuations_are_current() &&
         this->evacuations.allows_starts(agent.report.zone(),
                                         kernel::boot_ms());
}

/// Tells the agents of evacuated zones once that they may start nothing more.
void
WorkScheduler::end_starts_in_zones(std::int64_t now_ms)
{
  std::set<std::string> before = this->evacuations.zones_without_starts(now_ms);
  std::swap(before, this->zones_without_starts);
  std::erase_if(
    this->history.held_steps,
    [this](const std::pair<const std::string, std::set<core::StepKey>>& item) {
      return !this->evacuations.is_closed(item.first);
    });
  if (before == this->zones_without_starts)
    return;
  for (std::pair<const std::string, AgentView>& entry : this->servers.all()) {
    const std::string& zone = entry.second.report.zone();
    if (this->zones_without_starts.contains(zone) && !before.contains(zone))
      this->send_orders(entry.second);
  }
}

std::uint32_t
WorkScheduler::max_failures_of(const core::Workflow& workflow) const
{
  const core::Queue* queue =
    core::find_queue(this->hooks.operator_config(), workflow.queue);
  return std::max(queue ? queue->max_failures : workflow.max_failures, 1U);
}

/// The advice settings of the workflow's queue, or those at its submission if
/// the queue was removed since. Its servers still reject starts without a
/// ticket.
std::optional<core::AdviceSettings>
WorkScheduler::advice_of(const core::Workflow& workflow) const
{
  const core::Queue* queue =
    core::find_queue(this->hooks.operator_config(), workflow.queue);
  return queue ? queue->advice : workflow.advice;
}

WorkScheduler::RoundInput
WorkScheduler::prepare_round(std::int64_t now_ms)
{
  RoundInput round;
  const core::OperatorConfig& operator_config = this->hooks.operator_config();
  for (const std::pair<const std::string, WorkItem>& entry :
       this->view.items()) {
    const WorkItem& item = entry.second;
    bool ended = item.progress.outcome != core::Outcome::Open;
    if (!item.usable || (ended && !core::has_runs(item.progress)))
      continue;
    core::RoundWorkflow round_workflow;
    round_workflow.definition = &*item.workflow;
    round_workflow.progress = item.progress;
    const core::Queue* queue =
      core::find_queue(operator_config, item.workflow->queue);
    // An accepted workflow runs even if its queue was removed since.
    round_workflow.service = queue ? queue->service : item.workflow->service;
    round_workflow.priority = queue ? queue->priority : item.workflow->priority;
    round_workflow.max_failures = this->max_failures_of(*item.workflow);
    round_workflow.advice = this->advice_of(*item.workflow);
    if (queue)
      round_workflow.objective = { queue->objective_factor,
                                   queue->objective_ms };
    round_workflow.peak_accelerators =
      core::peak_accelerators_of(*item.workflow);
    round_workflow.max_runs =
      max_runs(*item.workflow, item.progress, this->limits.max_row_bytes);
    round_workflow.avoided = this->tracker.failed_on(entry.first);
    round_workflow.expected = expected_times(this->run_times, *item.workflow);
    round.workflows.push_back(std::move(round_workflow));
  }
  this->samples.record_run_times(round.workflows, now_ms);
  round.applied_ends = this->tracker.apply_ends(round.workflows, now_ms);
  this->crash_tracker.apply(round.workflows, this->history, now_ms);
  for (core::RoundWorkflow& round_workflow : round.workflows) {
    this->tracker.apply_shared_ends(round_workflow, this->shared_ends, now_ms);
    this->tracker.apply_lost_runs(round_workflow, now_ms);
    this->apply_caller_changes(round_workflow);
  }
  return round;
}

void
WorkScheduler::apply_caller_changes(core::RoundWorkflow& round_workflow)
{
  const WorkItem* item = this->view.find(round_workflow.definition->id);
  if (item && item->cancelled &&
      round_workflow.progress.outcome == core::Outcome::Open) {
    round_workflow.progress.outcome = core::Outcome::Cancelled;
    core::stop_all_runs(round_workflow.progress);
    round_workflow.changed = true;
    this->log.write(WORKFLOW_CANCELLED,
                    { { "job", round_workflow.definition->id } });
  }
  bool opened = core::open_due_occurrences(
    *round_workflow.definition,
    round_workflow.progress,
    kernel::unix_ms(),
    this->limits.early_ms,
    max_open_occurrences(*round_workflow.definition,
                         this->limits.max_row_bytes));
  round_workflow.changed = round_workflow.changed || opened;
}

core::Pool
WorkScheduler::make_pool(std::int64_t now_ms)
{
  core::Pool pool;
  for (const std::pair<const std::string, AgentView>& entry :
       this->servers.all()) {
    const AgentView& agent = entry.second;
    if (agent.report.life().id().empty())
      continue;
    core::PoolServer server = pool_server(agent.report);
    bool usable = this->servers.accepts_work(agent, now_ms);
    server.evacuated = usable && this->evacuations.is_closed(server.zone);
    server.accepts_work = usable && !server.evacuated;
    server.quarantined = !this->tracker.is_trusted(server.instance.id, now_ms);
    server.min_stay_ms = this->servers.min_stay_ms(agent, now_ms);
    server.run_time_factor = this->run_times.speed(entry.first);
    this->history.nodes[server.instance.id] = entry.first;
    pool.free[server.instance.id] = server.capacity;
    pool.servers[server.instance.id] = std::move(server);
  }
  return pool;
}

/// Whether the reports of agents to this new owner are still incomplete. Logs
/// the end of that time.
bool
WorkScheduler::is_settling(std::int64_t now_ms)
{
  core::FirstReports reports = this->servers.first_reports(now_ms);
  bool settling = core::is_settling(reports, this->limits.settle_ms);
  if (this->was_settling && !settling)
    this->log.write(AGENTS_REPORTED,
                    { { "term", this->term },
                      { "agents", reports.agents },
                      { "reported", reports.reported },
                      { "after_ms", reports.term_age_ms } });
  this->was_settling = settling;
  return settling;
}

void
WorkScheduler::run_round()
{
  if (this->term == 0)
    return;
  std::int64_t now = kernel::boot_ms();
  this->end_starts_in_zones(now);
  if (this->writer.busy())
    return;
  RoundInput round = this->prepare_round(now);
  this->run_times.refresh(now);
  this->speed_store.update(now);
  core::Pool pool = this->make_pool(now);
  core::allocate_runs(round.workflows, pool);
  std::map<std::string, std::int64_t> guarantees;
  for (const core::OrganisationConfig& organisation :
       this->hooks.operator_config().organisations)
    guarantees[organisation.name] = organisation.guaranteed_accelerators;
  core::mark_guaranteed(round.workflows, guarantees);
  this->update_gauges(round, guarantees);
  this->tracker.update_history(round.workflows, this->history, now);
  this->history.recalled =
    runs_to_recall(round.workflows, this->servers, this->evacuations, now);
  core::RoundLimits limits;
  limits.rack_penalty = this->limits.rack_penalty;
  limits.stop_ms = this->limits.stop_ms;
  limits.checkpoint_ms = this->limits.checkpoint_ms;
  limits.weigh_stops = this->limits.scarce_capacity;
  limits.order_by_value = this->limits.scarce_capacity;
  if (this->limits.scarce_capacity)
    limits.max_gang_reservations = SCARCE_GANG_RESERVATIONS;
  limits.unix_offset_ms = kernel::unix_ms() - now;
  limits.settling = this->is_settling(now);
  round.result = core::run_scheduling_round(
    round.workflows, pool, this->history, limits, now);
  this->hooks.request_advice(round.result.advice_requests);
  this->log_denied_steps(round.result.denied_steps);
  this->log_held_steps(round.result.held_steps);
  if (this->store_changes(round))
    return;
  // No row changed, so the reported ends count as stored already.
  for (const std::string& node : this->mark_ends_stored(round.applied_ends))
    this->send_orders(*this->servers.find(node));
}

std::set<std::string>
WorkScheduler::mark_ends_stored(
  const std::map<std::string, AppliedEnds>& applied_ends)
{
  std::set<std::string> nodes;
  for (const std::pair<const std::string, AppliedEnds>& item : applied_ends) {
    AgentView* agent = this->servers.find(item.first);
    // A new instance of the server numbers its ends from the start.
    if (!agent || instance_of(agent->report.life()) != item.second.instance ||
        item.second.number <= agent->stored_ends)
      continue;
    agent->stored_ends = item.second.number;
    nodes.insert(item.first);
  }
  return nodes;
}

/// Updates the gauges of guarantees and of workflows that have not started.
void
WorkScheduler::update_gauges(
  const RoundInput& round,
  const std::map<std::string, std::int64_t>& guarantees)
{
  std::map<std::string, std::int64_t> claimed;
  std::size_t waiting = 0;
  for (const core::RoundWorkflow& round_workflow : round.workflows) {
    if (round_workflow.guaranteed)
      claimed[round_workflow.definition->organisation] +=
        round_workflow.peak_accelerators;
    waiting += round_workflow.progress.started ? 0 : 1;
  }
  for (const std::pair<const std::string, std::int64_t>& guarantee :
       guarantees) {
    std::string label = fmt::format("{{organisation=\"{}\"}}", guarantee.first);
    this->metrics.gauge("entry_guaranteed_accelerators" + label)
      .set(static_cast<double>(guarantee.second));
    this->metrics.gauge("entry_guarantee_claimed_accelerators" + label)
      .set(static_cast<double>(claimed[guarantee.first]));
  }
  this->metrics.gauge("entry_workflows_waiting")
    .set(static_cast<double>(waiting));
}

void
WorkScheduler::count_stops(std::string_view reason,
                           std::size_t runs,
                           double discarded_core_s)
{
  this->metrics
    .counter(fmt::format("entry_runs_stopped_total{{reason=\"{}\"}}", reason))
    .add(runs);
  this->metrics
    .counter(
      fmt::format("entry_discarded_core_s_total{{reason=\"{}\"}}", reason))
    .add(static_cast<std::uint64_t>(std::lround(discarded_core_s)));
}

void
WorkScheduler::log_round(const RoundInput& round)
{
  for (const core::StepPlacement& placement : round.result.placements) {
    std::string servers;
    for (const std::string& server : placement.servers)
      servers += (servers.empty() ? "" : ",") + server;
    this->metrics.histogram("entry_step_wait_ms")
      .observe(static_cast<double>(placement.waited_ms));
    this->log.write(STEP_PLACED,
                    { { "job", placement.step.workflow },
                      { "occurrence", placement.step.occurrence },
                      { "step", placement.step.step },
                      { "servers", servers },
                      { "waited_ms", placement.waited_ms },
                      { "slowest", placement.slowest_factor },
                      { "config", this->hooks.operator_config().version },
                      { "term", this->term } });
  }
  for (const core::StepPreemption& preemption : round.result.preemptions) {
    std::string_view reason =
      name_of(core::STOP_REASON_NAMES, preemption.reason);
    this->metrics.counter("entry_steps_preempted_total").add();
    this->count_stops(
      reason, preemption.stopped_tasks, preemption.discarded_core_s);
    this->log.write(STEP_PREEMPTED,
                    { { "job", preemption.step.workflow },
                      { "victim", preemption.victim.workflow },
                      { "victim_step", preemption.victim.step },
                      { "tasks", preemption.stopped_tasks },
                      { "reason", reason },
                      { "loss_core_s", preemption.loss_core_s },
                      { "discarded_core_s", preemption.discarded_core_s } });
  }
  for (const core::StepRestart& restart : round.result.restarts) {
    if (restart.reason == core::RestartReason::ZoneEvacuated)
      this->metrics.counter("entry_runs_recalled_total")
        .add(restart.tasks.size());
    else
      this->tracker.record_restart(restart);
    this->metrics
      .counter(fmt::format("entry_steps_restarted_total{{reason=\"{}\"}}",
                           name_of(core::RESTART_REASON_NAMES, restart.reason)))
      .add();
    this->count_stops(name_of(core::RESTART_REASON_NAMES, restart.reason),
                      restart.tasks.size(),
                      restart.discarded_core_s);
    this->log.write(
      STEP_RESTARTED,
      { { "job", restart.step.workflow },
        { "occurrence", restart.step.occurrence },
        { "step", restart.step.step },
        { "tasks", restart.tasks.size() },
        { "reason", name_of(core::RESTART_REASON_NAMES, restart.reason) } });
  }
  for (const core::RoundWorkflow& round_workflow : round.workflows) {
    if (round_workflow.changed &&
        round_workflow.progress.outcome != core::Outcome::Open)
      this->log.write(
        WORKFLOW_ENDED,
        { { "job", round_workflow.definition->id },
          { "outcome",
            name_of(core::OUTCOME_NAMES, round_workflow.progress.outcome) },
          { "age_ms",
            kernel::unix_ms() - round_workflow.definition->accepted_ms },
          { "allowed_ms",
            core::allowed_ms(*round_workflow.definition,
                             round_workflow.objective) } });
  }
}

/// Logs that requests for advice on a step repeat without effect.
void
WorkScheduler::log_unused_advice(const core::StepKey& step)
{
  std::size_t responses = this->history.advice.unused_responses(step);
  if (responses < MIN_UNUSED_RESPONSES)
    return;
  this->metrics.counter("entry_advice_unused_total").add();
  this->log.write(ADVICE_UNUSED,
                  { { "job", step.workflow },
                    { "occurrence", step.occurrence },
                    { "step", step.step },
                    { "responses", responses } });
}

void
WorkScheduler::log_denied_steps(const std::vector<core::StepKey>& steps)
{
  for (const core::StepKey& step : steps)
    this->log.write(ADVICE_DENIED,
                    { { "job", step.workflow },
                      { "occurrence", step.occurrence },
                      { "step", step.step } });
}

void
WorkScheduler::log_held_steps(const std::vector<core::HeldStep>& steps)
{
  for (const core::HeldStep& held : steps)
    this->log.write(STEP_HELD,
                    { { "job", held.step.workflow },
                      { "occurrence", held.step.occurrence },
                      { "step", held.step.step },
                      { "zone", held.zone } });
}

void
WorkScheduler::record_advice(const core::AdviceRequest& advice_request,
                             const std::vector<core::AdviceTicket>& tickets,
                             std::int64_t requested_ms)
{
  const WorkItem* item = this->view.find(advice_request.step.workflow);
  std::optional<core::AdviceSettings> advice =
    item ? this->advice_of(*item->workflow) : std::nullopt;
  if (this->term == 0 || !advice)
    return;
  this->history.advice.record_response(
    advice_request, tickets, { requested_ms, kernel::boot_ms() }, *advice);
  this->log_unused_advice(advice_request.step);
  this->schedule_decision();
}

} // namespace geraniumhinge::entry
