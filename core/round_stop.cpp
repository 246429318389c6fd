// Stops runs: for more urgent steps, because their progress has stopped,
// because their server leaves, or because they may not start in their zone.

#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Cores whose work counts as much as the work of one accelerator.
constexpr double CORES_PER_ACCELERATOR = 8;
constexpr double MILLICORES_PER_CORE = 1'000;
constexpr double MS_PER_S = 1'000;
/// Share of its value that a late result keeps, by priority
/// (docs/hard-load.md).
constexpr double LATE_SHARES[] = { 0.2, 0.3, 0.3 };
constexpr std::int64_t COMPLETE_PERCENT = 100;
/// Assumed run time so far of runs that an earlier owner placed.
constexpr std::int64_t ASSUMED_ELAPSED_MS = 5'000;
/// With less slack, a step that does not get servers in this round misses its
/// objective.
constexpr std::int64_t URGENT_SLACK_MS = 2'500;
/// Leaving servers often stay longer than the announced minimum. A run without
/// checkpoints is stopped only if it needs more than this beyond the minimum.
constexpr std::int64_t EXTRA_STAY_MS = 2'000;
/// Time from the end of a stopped run until the step runs again.
constexpr std::int64_t RESTART_DELAY_MS = 1'000;
/// Time for the order to an agent, its report and the next round, in addition
/// to the time until a stopped run has ended.
constexpr std::int64_t ORDER_LATENCY_MS = 300;
/// A step within a guarantee must get its resources within 2.7 s of its
/// acceptance. It waits for expected ends of runs at most until a stop can
/// still free its resources by then, less a round and a repeated order.
constexpr std::int64_t GUARANTEE_MS = 2'700;
constexpr std::int64_t GUARANTEE_MARGIN_MS = 500;
/// Error of declared run times, as at customer A (docs/hard-load.md).
constexpr double RUN_TIME_ERROR = 0.2;
/// A run is awaited if it is expected to end within the time that a stop needs,
/// divided by this. Ends come late as often as early, and a step that waits in
/// vain for the whole of this time misses its objective.
constexpr std::int64_t AWAIT_DIVISOR = 2;
/// A run that is late by more than this share of its expected time is not just
/// one of the slower tasks: these differ by about 30%.
constexpr double LATE_SHARE = 0.5;
/// Time between two reports of an agent.
constexpr std::int64_t REPORT_PERIOD_MS = 1'000;

} // namespace

double
core_seconds(const Resources& demand, double seconds)
{
  double cores =
    static_cast<double>(demand.millicores) / MILLICORES_PER_CORE +
    static_cast<double>(demand.accelerators) * CORES_PER_ACCELERATOR;
  return cores * seconds;
}

/// Time from the decision to stop a run until its resources are free.
std::int64_t
SchedulingRound::stop_delay_ms() const
{
  return this->limits.stop_ms + ORDER_LATENCY_MS;
}

std::int64_t
SchedulingRound::elapsed_ms(const TaskKey& task) const
{
  std::map<TaskKey, std::int64_t>::const_iterator placed =
    this->history.placed_ms.find(task);
  return placed == this->history.placed_ms.end()
           ? ASSUMED_ELAPSED_MS
           : this->now_ms - placed->second;
}

double
SchedulingRound::run_time_factor(const RoundWorkflow& round_workflow,
                                 const TaskKey& task) const
{
  if (!this->speeds_differ)
    return 1;
  const StepKey& key = task.first;
  const std::optional<Run>& run = round_workflow.progress.open_occurrences
                                    .at(key.occurrence)[key.step][task.second]
                                    .run;
  if (!run)
    return 1;
  std::map<std::string, PoolServer>::const_iterator server =
    this->pool.servers.find(run->server.id);
  return server == this->pool.servers.end() ? 1
                                            : server->second.run_time_factor;
}

std::int64_t
SchedulingRound::expected_run_ms(const RoundWorkflow& round_workflow,
                                 const TaskKey& task) const
{
  std::int64_t expected = expected_ms(
    *round_workflow.definition, round_workflow.expected, task.first.step);
  double factor = this->run_time_factor(round_workflow, task);
  if (factor == 1)
    return expected;
  return static_cast<std::int64_t>(static_cast<double>(expected) * factor);
}

/// Remaining run time if the run takes as long as expected.
std::int64_t
SchedulingRound::remaining_ms(const RoundWorkflow& round_workflow,
                              const TaskKey& task) const
{
  std::map<TaskKey, std::uint32_t>::const_iterator percent =
    this->history.percent.find(task);
  std::int64_t expected = this->expected_run_ms(round_workflow, task);
  if (percent != this->history.percent.end())
    return expected *
           std::max<std::int64_t>(COMPLETE_PERCENT - percent->second, 0) /
           COMPLETE_PERCENT;
  return std::max<std::int64_t>(expected - this->elapsed_ms(task), 0);
}

/// Time until the run will have ended by its progress, if it has taken much
/// longer than expected already, else 0. Without any progress, it may last as
/// long again as it is late.
std::int64_t
SchedulingRound::late_remaining_ms(const RoundWorkflow& round_workflow,
                                   const TaskKey& task) const
{
  std::int64_t expected = this->expected_run_ms(round_workflow, task);
  std::int64_t late_ms = this->elapsed_ms(task) - expected;
  if (static_cast<double>(late_ms) <=
      LATE_SHARE * static_cast<double>(expected))
    return 0;
  std::map<TaskKey, std::uint32_t>::const_iterator percent =
    this->history.percent.find(task);
  if (percent == this->history.percent.end() || percent->second == 0)
    return late_ms;
  return this->elapsed_ms(task) *
         std::max<std::int64_t>(COMPLETE_PERCENT - percent->second, 0) /
         percent->second;
}

/// Value of meeting the objective with one task of the step, in core seconds.
double
SchedulingRound::on_time_value(const RoundWorkflow& round_workflow,
                               const Step& step) const
{
  std::size_t priority = std::min<std::size_t>(
    round_workflow.priority, this->limits.on_time_value.size() - 1);
  return this->limits.on_time_value[priority] *
         core_seconds(step.demand, step.estimate_ms / MS_PER_S);
}

/// Whether the task meets its objective now, but misses it if stopped.
bool
SchedulingRound::stop_misses_objective(const RoundWorkflow& round_workflow,
                                       const TaskKey& task) const
{
  if (round_workflow.objective.factor <= 0)
    return false;
  const StepKey& key = task.first;
  const Step& step = round_workflow.definition->steps[key.step];
  std::int64_t start_slack_ms =
    slack_ms(*round_workflow.definition,
             round_workflow.objective,
             key.occurrence,
             key.step,
             this->now_ms + this->limits.unix_offset_ms,
             round_workflow.expected);
  std::int64_t expected =
    expected_ms(*round_workflow.definition, round_workflow.expected, key.step);
  std::int64_t remaining = this->remaining_ms(round_workflow, task);
  std::int64_t done_ms = expected - remaining;
  // The rest may run on a server of another speed.
  double factor = this->run_time_factor(round_workflow, task);
  if (factor != 1)
    remaining =
      static_cast<std::int64_t>(static_cast<double>(remaining) / factor);
  std::int64_t saved_ms = step.checkpoints ? expected - remaining : 0;
  std::int64_t interruption_ms = this->limits.stop_ms + RESTART_DELAY_MS;
  return start_slack_ms + done_ms >= 0 &&
         start_slack_ms + saved_ms < interruption_ms;
}

/// Run time since the run's newest checkpoint. Reports are less frequent than
/// checkpoints may be, so a run whose last report showed a new one is taken to
/// have saved since.
std::int64_t
SchedulingRound::unsaved_ms(const TaskKey& task, const Step& step) const
{
  std::int64_t elapsed = this->elapsed_ms(task);
  if (!step.checkpoints)
    return elapsed;
  std::int64_t period = this->limits.checkpoint_ms;
  // A gang keeps the checkpoint of all its members in its first task.
  std::map<TaskKey, std::int64_t>::const_iterator saved =
    this->history.saved_ms.find({ task.first, step.gang ? 0 : task.second });
  if (!this->limits.weigh_stops || saved == this->history.saved_ms.end())
    return std::min(elapsed, period);
  std::int64_t since = std::min(elapsed, this->now_ms - saved->second);
  return since <= period + REPORT_PERIOD_MS ? std::min(since, period) : since;
}

double
SchedulingRound::discarded_core_s(const Step& step, const TaskKey& task) const
{
  std::int64_t ms = this->unsaved_ms(task, step) + this->limits.stop_ms;
  return core_seconds(step.demand, static_cast<double>(ms) / MS_PER_S);
}

/// Adds the cost of stopping a task. One late task makes its step late, so a
/// step loses the value of its objective as a whole.
void
SchedulingRound::add_stop_loss(const RoundWorkflow& round_workflow,
                               const TaskKey& task,
                               RunGroup& group) const
{
  const Step& step = round_workflow.definition->steps[task.first.step];
  double discarded = this->discarded_core_s(step, task);
  group.discarded_core_s += discarded;
  bool misses = this->stop_misses_objective(round_workflow, task);
  double value = misses ? this->on_time_value(round_workflow, step) : 0;
  if (!this->limits.weigh_stops) {
    group.loss_core_s += discarded + value;
    return;
  }
  group.loss_core_s += discarded * (1 + group.earlier_stops);
  group.step_loss_core_s = std::max(group.step_loss_core_s, value * step.tasks);
}

void
SchedulingRound::find_run_groups()
{
  for (const RoundWorkflow& round_workflow : this->workflows) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         round_workflow.progress.open_occurrences) {
      for (std::uint32_t step = 0; step < item.second.size(); ++step)
        this->add_run_groups(
          round_workflow,
          { round_workflow.definition->id, item.first, step },
          item.second[step]);
    }
  }
}

void
SchedulingRound::add_run_groups(const RoundWorkflow& round_workflow,
                                const StepKey& key,
                                const StepState& tasks)
{
  const Step& step = round_workflow.definition->steps[key.step];
  bool gang_group_exists = false;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const TaskState& task = tasks[index];
    if (!task.run)
      continue;
    if (!gang_group_exists) {
      RunGroup group;
      group.step = key;
      group.priority = round_workflow.priority;
      group.guaranteed = round_workflow.guaranteed;
      group.runs_until_cancelled = step.runs_until_cancelled;
      group.checkpoints = step.checkpoints;
      group.disruptions_allowed = this->disruptions_allowed(step, key, tasks);
      std::map<StepKey, std::uint32_t>::const_iterator stops =
        this->history.stops.find(key);
      if (stops != this->history.stops.end())
        group.earlier_stops = stops->second;
      group.demand = resources_of_run(step);
      this->groups.push_back(std::move(group));
      gang_group_exists = step.gang;
    }
    RunGroup& group = this->groups.back();
    TaskKey task_key{ key, index };
    group.tasks.push_back(index);
    ++group.servers[task.run->server.id];
    group.stopping = group.stopping || task.run->stopping;
    this->add_stop_loss(round_workflow, task_key, group);
    std::map<TaskKey, std::int64_t>::const_iterator placed =
      this->history.placed_ms.find(task_key);
    if (placed != this->history.placed_ms.end())
      group.placed_ms = std::max(group.placed_ms, placed->second);
    // The end of a run that exceeds its expected time can't be predicted.
    group.overdue =
      group.overdue || this->elapsed_ms(task_key) >
                         this->expected_run_ms(round_workflow, task_key);
    group.remaining_ms = std::max(group.remaining_ms,
                                  this->remaining_ms(round_workflow, task_key));
    group.late_remaining_ms =
      std::max(group.late_remaining_ms,
               this->late_remaining_ms(round_workflow, task_key));
  }
}

/// How many more tasks of a long-running step may become unavailable. A task
/// counts as available only after it has reported 100 percent.
std::size_t
SchedulingRound::disruptions_allowed(const Step& step,
                                     const StepKey& key,
                                     const StepState& tasks) const
{
  if (!step.runs_until_cancelled || step.max_unavailable == 0)
    return tasks.size();
  std::size_t unavailable = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    std::map<TaskKey, std::uint32_t>::const_iterator percent =
      this->history.percent.find({ key, index });
    bool available = tasks[index].run && !tasks[index].run->stopping &&
                     percent != this->history.percent.end() &&
                     percent->second >= COMPLETE_PERCENT;
    unavailable += available ? 0 : 1;
  }
  return unavailable < step.max_unavailable ? step.max_unavailable - unavailable
                                            : 0;
}

void
SchedulingRound::restart_runs()
{
  for (RunGroup& group : this->groups) {
    if (group.stopping)
      continue;
    std::optional<RestartReason> reason = this->restart_reason(group);
    if (!reason)
      continue;
    this->result.restarts.push_back(
      { group.step, group.tasks, *reason, group.discarded_core_s });
    this->stop(group);
  }
}

std::optional<RestartReason>
SchedulingRound::restart_reason(const RunGroup& group) const
{
  for (const std::pair<const std::string, std::uint32_t>& item :
       group.servers) {
    std::map<std::string, PoolServer>::const_iterator server =
      this->pool.servers.find(item.first);
    bool leaving =
      server != this->pool.servers.end() && server->second.min_stay_ms;
    if (leaving && this->must_leave_server(group, *server->second.min_stay_ms))
      return RestartReason::ServerLeaves;
  }
  for (std::uint32_t index : group.tasks) {
    if (this->history.stalled.contains({ group.step, index }))
      return RestartReason::NoProgress;
    if (this->history.recalled.contains({ group.step, index }))
      return RestartReason::ZoneEvacuated;
  }
  return std::nullopt;
}

bool
SchedulingRound::must_leave_server(const RunGroup& group,
                                   std::int64_t min_stay_ms) const
{
  if (group.runs_until_cancelled)
    return group.disruptions_allowed > 0 || min_stay_ms <= 0;
  std::int64_t expected_stay_ms =
    group.checkpoints ? min_stay_ms : min_stay_ms + EXTRA_STAY_MS;
  return group.remaining_ms > expected_stay_ms;
}

/// How much longer the step may wait until its result is of no value.
std::int64_t
SchedulingRound::late_slack_ms(const WaitingStep& waiting) const
{
  return *waiting.slack_ms +
         (LATE_FACTOR - 1) * allowed_ms(*waiting.round_workflow.definition,
                                        waiting.round_workflow.objective);
}

/// Value that the step gains if it starts as soon as a stop frees resources for
/// it, in core seconds, by the chance that it is on time then. None if it can
/// still wait, or has no value by then.
double
SchedulingRound::gain_of_start_now(const WaitingStep& waiting) const
{
  const RoundWorkflow& round_workflow = waiting.round_workflow;
  if (*waiting.slack_ms >= URGENT_SLACK_MS)
    return 0;
  const Step& step = this->step_of(waiting);
  double value = this->on_time_value(round_workflow, step) * step.tasks;
  double late_share = LATE_SHARES[std::min<std::size_t>(
    round_workflow.priority, std::size(LATE_SHARES) - 1)];
  std::int64_t start_ms = this->stop_delay_ms();
  double error_ms = RUN_TIME_ERROR * static_cast<double>(std::max<std::int64_t>(
                                       this->expected_ms_of(waiting), 1));
  double margin_ms = static_cast<double>(*waiting.slack_ms - start_ms);
  double chance = std::clamp(0.5 + margin_ms / (2 * error_ms), 0.0, 1.0);
  bool of_value = this->late_slack_ms(waiting) >= start_ms;
  return value * std::max(chance * (1 - late_share), of_value ? late_share : 0);
}

/// Loss in core seconds that stops of other runs for this step may cause.
double
SchedulingRound::allowed_loss(const WaitingStep& waiting) const
{
  if (this->limits.weigh_stops && waiting.slack_ms)
    return this->gain_of_start_now(waiting);
  const Step& step = this->step_of(waiting);
  double value = this->on_time_value(waiting.round_workflow, step) *
                 static_cast<double>(waiting.request.tasks);
  bool must_start_now = waiting.slack_ms &&
                        *waiting.slack_ms >= this->limits.stop_ms &&
                        *waiting.slack_ms < URGENT_SLACK_MS;
  if (waiting.round_workflow.priority > 0)
    return must_start_now ? value : 0;
  double allowed = this->limits.max_urgent_loss_core_s +
                   this->limits.urgent_loss_growth_core_s_per_s *
                     static_cast<double>(waiting.waited_ms) / MS_PER_S;
  if (must_start_now)
    allowed = std::max(allowed, value);
  return allowed;
}

std::int64_t
SchedulingRound::age_ms(const WaitingStep& waiting) const
{
  return this->now_ms + this->limits.unix_offset_ms -
         waiting.round_workflow.definition->accepted_ms;
}

/// Sets which runs the step waits for, and which it may not stop.
void
SchedulingRound::limit_stops(const WaitingStep& waiting,
                             PreemptRequest& request) const
{
  if (!this->limits.weigh_stops)
    return;
  std::int64_t stop_delay = this->stop_delay_ms();
  if (request.guaranteed) {
    bool may_wait =
      this->age_ms(waiting) + stop_delay + GUARANTEE_MARGIN_MS <= GUARANTEE_MS;
    request.await_ms = may_wait ? stop_delay / AWAIT_DIVISOR : -1;
    return;
  }
  request.await_ms = stop_delay / AWAIT_DIVISOR;
  // Runs placed since lack the same room as this step.
  request.placed_before_ms = this->now_ms - waiting.waited_ms;
}

StopReason
SchedulingRound::stop_reason(const WaitingStep& waiting) const
{
  if (waiting.round_workflow.guaranteed)
    return StopReason::Guarantee;
  bool on_time = waiting.slack_ms && *waiting.slack_ms >= this->limits.stop_ms;
  return on_time ? StopReason::Objective : StopReason::Waiting;
}

/// Stops less urgent runs for the step and reserves their resources. Returns a
/// server for each task; empty if the step gets no resources this way.
std::vector<std::string>
SchedulingRound::preempt(const WaitingStep& waiting)
{
  double allowed = this->allowed_loss(waiting);
  bool may_stop = waiting.round_workflow.guaranteed || allowed > 0;
  if (!may_stop && !this->limits.weigh_stops)
    return {};
  PreemptRequest request;
  request.may_stop = may_stop;
  request.assign_request = waiting.request;
  request.priority = waiting.round_workflow.priority;
  request.guaranteed = waiting.round_workflow.guaranteed;
  this->limit_stops(waiting, request);
  std::optional<PreemptPlan> plan =
    plan_preemption(this->pool, this->groups, request);
  if (!plan &&
      (waiting.round_workflow.guaranteed || !waiting.request.step->gang)) {
    request.assign_request.allow_any_rack = true;
    plan = plan_preemption(this->pool, this->groups, request);
  }
  if (!plan ||
      (!waiting.round_workflow.guaranteed && plan->loss_core_s > allowed))
    return {};
  std::set<StepKey> stopped_steps;
  for (RunGroup* victim : plan->victims) {
    this->result.preemptions.push_back({ waiting.key,
                                         victim->step,
                                         victim->tasks.size(),
                                         victim->loss_core_s,
                                         victim->discarded_core_s,
                                         this->stop_reason(waiting) });
    this->stop(*victim);
    stopped_steps.insert(victim->step);
  }
  for (const StepKey& step : stopped_steps)
    ++this->history.stops[step];
  // Reserves the resources against less urgent steps.
  for (const std::string& server : plan->servers)
    this->pool.allocate(server, resources_of_run(this->step_of(waiting)));
  return plan->servers;
}

void
SchedulingRound::stop(RunGroup& group)
{
  group.stopping = true;
  for (RoundWorkflow& round_workflow : this->workflows) {
    if (round_workflow.definition->id != group.step.workflow)
      continue;
    StepState& tasks =
      round_workflow.progress
        .open_occurrences[group.step.occurrence][group.step.step];
    for (std::uint32_t index : group.tasks)
      tasks[index].run->stopping = true;
    round_workflow.changed = true;
  }
  for (RunGroup& other : this->groups) {
    if (other.step == group.step && other.disruptions_allowed > 0)
      --other.disruptions_allowed;
  }
}

} // namespace geraniumhinge::core
