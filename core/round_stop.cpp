// What a round stops: runs that must give way to more urgent ones, that stand
// still, or whose server leaves.

#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// One accelerator's work counts as that of this many cores.
constexpr double CORES_PER_ACCELERATOR = 8;
constexpr double MILLICORES_PER_CORE = 1'000;
constexpr double MS_PER_S = 1'000;
constexpr std::int64_t PERCENT = 100;
/// Work between two checkpoints, at most.
constexpr double CHECKPOINT_S = 2;
/// Assumed of runs that an earlier owner placed.
constexpr std::int64_t UNKNOWN_ELAPSED_MS = 5'000;
/// A step with less slack gets its servers now or misses its objective.
constexpr std::int64_t LITTLE_SLACK_MS = 2'500;
/// Servers often stay longer than they promise. Without a checkpoint, work is
/// given up only if it needs more than this beyond the promise.
constexpr std::int64_t STAY_LONGER_MS = 2'000;
/// Until a stopped step runs again, after it has ended.
constexpr std::int64_t REQUEUE_MS = 1'000;

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
           ? UNKNOWN_ELAPSED_MS
           : this->now_ms - placed->second;
}

std::int64_t
SchedulingRound::remaining_ms(const TaskKey& task, const Step& step) const
{
  std::map<TaskKey, std::uint32_t>::const_iterator percent =
    this->history.percent.find(task);
  std::int64_t estimate = step.estimate_ms;
  if (percent != this->history.percent.end())
    return estimate * std::max<std::int64_t>(PERCENT - percent->second, 0) /
           PERCENT;
  return std::max<std::int64_t>(estimate - this->elapsed_ms(task), 0);
}

/// What it is worth that a task of the step is done in time.
double
SchedulingRound::on_time_value(const RoundWorkflow& job, const Step& step) const
{
  std::size_t row =
    std::min<std::size_t>(job.priority, this->limits.on_time_value.size() - 1);
  return this->limits.on_time_value[row] *
         core_seconds(step.demand, step.estimate_ms / MS_PER_S);
}

/// Whether the task would end in time, but not if it were stopped now.
bool
SchedulingRound::stop_makes_late(const RoundWorkflow& job,
                                 const TaskKey& task) const
{
  if (job.objective.factor <= 0)
    return false;
  const StepKey& key = task.first;
  const Step& step = job.workflow->steps[key.step];
  std::int64_t begin_slack =
    slack_ms(*job.workflow,
             job.objective,
             key.occurrence,
             key.step,
             this->now_ms + this->limits.unix_offset_ms);
  std::int64_t done_ms = step.estimate_ms - this->remaining_ms(task, step);
  std::int64_t saved_ms = step.checkpoints ? done_ms : 0;
  std::int64_t away_ms = this->limits.stop_ms + REQUEUE_MS;
  return begin_slack + done_ms >= 0 && begin_slack + saved_ms < away_ms;
}

double
SchedulingRound::loss(const RoundWorkflow& job, const TaskKey& task) const
{
  const Step& step = job.workflow->steps[task.first.step];
  double seconds = static_cast<double>(this->elapsed_ms(task)) / MS_PER_S;
  if (step.checkpoints)
    seconds = std::min(seconds, CHECKPOINT_S);
  seconds += static_cast<double>(this->limits.stop_ms) / MS_PER_S;
  double lost = core_seconds(step.demand, seconds);
  if (this->stop_makes_late(job, task))
    lost += this->on_time_value(job, step);
  return lost;
}

void
SchedulingRound::find_groups()
{
  for (const RoundWorkflow& job : this->jobs) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         job.progress.open_occurrences) {
      for (std::uint32_t step = 0; step < item.second.size(); ++step)
        this->add_groups(
          job, { job.workflow->id, item.first, step }, item.second[step]);
    }
  }
}

void
SchedulingRound::add_groups(const RoundWorkflow& job,
                            const StepKey& key,
                            const StepState& tasks)
{
  const Step& step = job.workflow->steps[key.step];
  bool together = false; // A gang's group has begun.
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const TaskState& task = tasks[index];
    if (!task.run)
      continue;
    if (!together) {
      RunGroup group;
      group.step = key;
      group.priority = job.priority;
      group.guaranteed = job.guaranteed;
      group.runs_until_cancelled = step.runs_until_cancelled;
      group.checkpoints = step.checkpoints;
      group.disruptions_allowed = this->disruptions_allowed(step, key, tasks);
      group.demand = resources_of_run(step);
      this->groups.push_back(std::move(group));
      together = step.gang;
    }
    RunGroup& group = this->groups.back();
    TaskKey named{ key, index };
    group.tasks.push_back(index);
    ++group.servers[task.run->server.id];
    group.stopping = group.stopping || task.run->stopping;
    group.loss_core_s += this->loss(job, named);
    group.remaining_ms =
      std::max(group.remaining_ms, this->remaining_ms(named, step));
  }
}

/// How many more tasks of a long-running step may be unavailable. One that is
/// not known to be at work counts as unavailable.
std::size_t
SchedulingRound::disruptions_allowed(const Step& step,
                                     const StepKey& key,
                                     const StepState& tasks) const
{
  if (!step.runs_until_cancelled || step.max_unavailable == 0)
    return tasks.size();
  std::size_t away = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    std::map<TaskKey, std::uint32_t>::const_iterator percent =
      this->history.percent.find({ key, index });
    bool working = tasks[index].run && !tasks[index].run->stopping &&
                   percent != this->history.percent.end() &&
                   percent->second >= PERCENT;
    away += working ? 0 : 1;
  }
  return away < step.max_unavailable ? step.max_unavailable - away : 0;
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
      server != this->pool.servers.end() && server->second.leaves_in_ms;
    if (leaving && this->may_leave(group, *server->second.leaves_in_ms))
      return RestartReason::ServerLeaves;
  }
  for (std::uint32_t index : group.tasks) {
    if (this->history.stalled.contains({ group.step, index }))
      return RestartReason::NoProgress;
  }
  return std::nullopt;
}

bool
SchedulingRound::may_leave(const RunGroup& group,
                           std::int64_t leaves_in_ms) const
{
  if (group.runs_until_cancelled)
    return group.disruptions_allowed > 0 || leaves_in_ms <= 0;
  std::int64_t stays_ms =
    group.checkpoints ? leaves_in_ms : leaves_in_ms + STAY_LONGER_MS;
  return group.remaining_ms > stays_ms;
}

/// The loss that others may bear for the step.
double
SchedulingRound::allowed_loss(const Waiting& waiting) const
{
  const Step& step = this->step_of(waiting);
  double worth = this->on_time_value(waiting.job, step) *
                 static_cast<double>(waiting.request.tasks);
  bool in_time = waiting.slack_ms &&
                 *waiting.slack_ms >= this->limits.stop_ms &&
                 *waiting.slack_ms < LITTLE_SLACK_MS;
  if (waiting.job.priority > 0)
    return in_time ? worth : 0;
  double allowed = this->limits.max_urgent_loss_core_s +
                   this->limits.urgent_loss_growth_core_s_per_s *
                     static_cast<double>(waiting.waited_ms) / MS_PER_S;
  if (in_time)
    allowed = std::max(allowed, worth);
  return allowed;
}

/// Stops less urgent runs for the step and keeps the capacity for it. Returns
/// whether capacity is on its way.
bool
SchedulingRound::preempt(const Waiting& waiting)
{
  double allowed = this->allowed_loss(waiting);
  if (!waiting.job.guaranteed && allowed <= 0)
    return false;
  PreemptRequest wanted;
  wanted.place = waiting.request;
  wanted.priority = waiting.job.priority;
  wanted.guaranteed = waiting.job.guaranteed;
  std::optional<PreemptPlan> plan =
    plan_preemption(this->pool, this->groups, wanted);
  if (!plan && (waiting.job.guaranteed || !waiting.request.step->gang)) {
    wanted.place.allow_any_rack = true;
    plan = plan_preemption(this->pool, this->groups, wanted);
  }
  if (!plan || (!waiting.job.guaranteed && plan->loss_core_s > allowed))
    return false;
  for (RunGroup* victim : plan->victims) {
    this->result.preemptions.push_back(
      { waiting.key, victim->step, victim->tasks.size(), victim->loss_core_s });
    this->stop(*victim);
  }
  // Keeps the capacity from steps that are less urgent.
  for (const std::string& server : plan->servers)
    this->pool.allocate(server, resources_of_run(this->step_of(waiting)));
  return true;
}

void
SchedulingRound::stop(RunGroup& group)
{
  group.stopping = true;
  for (RoundWorkflow& job : this->jobs) {
    if (job.workflow->id != group.step.workflow)
      continue;
    StepState& tasks =
      job.progress.open_occurrences[group.step.occurrence][group.step.step];
    for (std::uint32_t index : group.tasks)
      tasks[index].run->stopping = true;
    job.changed = true;
  }
  for (RunGroup& other : this->groups) {
    if (other.step == group.step && other.disruptions_allowed > 0)
      --other.disruptions_allowed;
  }
}

} // namespace geraniumhinge::core
