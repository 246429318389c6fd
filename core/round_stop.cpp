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

} // namespace

double
core_seconds(const Resources& demand, double seconds)
{
  double cores =
    static_cast<double>(demand.millicores) / MILLICORES_PER_CORE +
    static_cast<double>(demand.accelerators) * CORES_PER_ACCELERATOR;
  return cores * seconds;
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
SchedulingRound::remaining_ms(const RoundWorkflow& round_workflow,
                              const TaskKey& task) const
{
  std::map<TaskKey, std::uint32_t>::const_iterator percent =
    this->history.percent.find(task);
  std::int64_t expected = expected_ms(
    *round_workflow.definition, round_workflow.expected, task.first.step);
  double factor = this->run_time_factor(round_workflow, task);
  if (factor != 1)
    expected =
      static_cast<std::int64_t>(static_cast<double>(expected) * factor);
  if (percent != this->history.percent.end())
    return expected *
           std::max<std::int64_t>(COMPLETE_PERCENT - percent->second, 0) /
           COMPLETE_PERCENT;
  return std::max<std::int64_t>(expected - this->elapsed_ms(task), 0);
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

double
SchedulingRound::stop_loss_core_s(const RoundWorkflow& round_workflow,
                                  const TaskKey& task) const
{
  const Step& step = round_workflow.definition->steps[task.first.step];
  double seconds = static_cast<double>(this->elapsed_ms(task)) / MS_PER_S;
  if (step.checkpoints)
    seconds = std::min(
      seconds, static_cast<double>(this->limits.checkpoint_ms) / MS_PER_S);
  seconds += static_cast<double>(this->limits.stop_ms) / MS_PER_S;
  double loss_core_s = core_seconds(step.demand, seconds);
  if (this->stop_misses_objective(round_workflow, task))
    loss_core_s += this->on_time_value(round_workflow, step);
  return loss_core_s;
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
      group.demand = resources_of_run(step);
      this->groups.push_back(std::move(group));
      gang_group_exists = step.gang;
    }
    RunGroup& group = this->groups.back();
    TaskKey task_key{ key, index };
    group.tasks.push_back(index);
    ++group.servers[task.run->server.id];
    group.stopping = group.stopping || task.run->stopping;
    group.loss_core_s += this->stop_loss_core_s(round_workflow, task_key);
    group.remaining_ms = std::max(group.remaining_ms,
                                  this->remaining_ms(round_workflow, task_key));
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
    this->result.restarts.push_back({ group.step, group.tasks, *reason });
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

/// Loss in core seconds that stops of other runs for this step may cause.
double
SchedulingRound::allowed_loss(const WaitingStep& waiting) const
{
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

/// Stops less urgent runs for the step and reserves their resources. Returns a
/// server for each task; empty if the step gets no resources this way.
std::vector<std::string>
SchedulingRound::preempt(const WaitingStep& waiting)
{
  double allowed = this->allowed_loss(waiting);
  if (!waiting.round_workflow.guaranteed && allowed <= 0)
    return {};
  PreemptRequest request;
  request.assign_request = waiting.request;
  request.priority = waiting.round_workflow.priority;
  request.guaranteed = waiting.round_workflow.guaranteed;
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
  for (RunGroup* victim : plan->victims) {
    this->result.preemptions.push_back(
      { waiting.key, victim->step, victim->tasks.size(), victim->loss_core_s });
    this->stop(*victim);
  }
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
