#include "core/round.h"

#include "core/round_state.h"

#include <algorithm>
#include <functional>

namespace geraniumhinge::core {

namespace {

/// Longest time that a step of unknown duration waits for a single rack.
constexpr std::int64_t MAX_RACK_WAIT_MS = 4'000;
/// Longest time that a step within a guarantee waits for a single rack.
constexpr std::int64_t MAX_RECLAIM_RACK_WAIT_MS = 1'000;

/// A step counts as on time only if it could take this much longer than
/// expected: the slowest of its tasks decides, tasks differ by about 30%,
/// declared times are off by 20% or more, and learned speeds are inexact.
constexpr double RUN_TIME_MARGIN = 2.5;

const std::string&
workflow_of(const StepKey& key)
{
  return key.workflow;
}

const std::string&
workflow_of(const TaskKey& key)
{
  return key.first.workflow;
}

/// Erases the keys of a workflow, of which `first` is the lowest.
template<typename Key, typename Value>
void
erase_workflow(std::map<Key, Value>& items,
               const Key& first,
               const std::string& workflow)
{
  typename std::map<Key, Value>::iterator item = items.lower_bound(first);
  while (item != items.end() && workflow_of(item->first) == workflow)
    item = items.erase(item);
}

} // namespace

SchedulingRound::SchedulingRound(std::vector<RoundWorkflow>& workflows,
                                 Pool& pool,
                                 StepHistory& history,
                                 const RoundLimits& limits,
                                 std::int64_t now_ms)
  : workflows(workflows)
  , pool(pool)
  , history(history)
  , limits(limits)
  , now_ms(now_ms)
  , idle_pool(pool)
{
  for (std::pair<const std::string, Resources>& item : this->idle_pool.free)
    item.second = this->pool.servers.at(item.first).capacity;
  for (const std::pair<const std::string, PoolServer>& item :
       this->pool.servers)
    this->speeds_differ =
      this->speeds_differ || item.second.run_time_factor != 1;
}

RoundResult
SchedulingRound::run()
{
  this->find_run_groups();
  this->find_probation_servers();
  this->restart_runs();
  std::vector<WaitingStep> steps = this->waiting_steps();
  for (WaitingStep& waiting : steps)
    this->place(waiting);
  this->report_held_steps(steps);
  return std::move(this->result);
}

const Step&
SchedulingRound::step_of(const WaitingStep& waiting) const
{
  return waiting.round_workflow.definition->steps[waiting.key.step];
}

std::int64_t
SchedulingRound::expected_ms_of(const WaitingStep& waiting) const
{
  return expected_ms(*waiting.round_workflow.definition,
                     waiting.round_workflow.expected,
                     waiting.key.step);
}

/// Ready steps, most urgent first.
std::vector<SchedulingRound::WaitingStep>
SchedulingRound::waiting_steps()
{
  std::vector<WaitingStep> waiting;
  for (RoundWorkflow& round_workflow : this->workflows) {
    for (const ReadyStep& ready :
         ready_steps(*round_workflow.definition, round_workflow.progress))
      waiting.push_back(this->make_waiting_step(round_workflow, ready));
  }
  std::vector<WaitingStep> sorted =
    sort_steps(std::move(waiting), comes_before);
  if (this->limits.order_by_value && this->lacks_room(sorted))
    return this->sort_by_value(std::move(sorted));
  return sorted;
}

SchedulingRound::WaitingStep
SchedulingRound::make_waiting_step(RoundWorkflow& round_workflow,
                                   const ReadyStep& ready)
{
  StepKey key{ round_workflow.definition->id, ready.occurrence, ready.step };
  const Step& step = round_workflow.definition->steps[ready.step];
  std::int64_t ready_ms =
    this->history.ready_ms.try_emplace(key, this->now_ms).first->second;
  WaitingStep waiting{ round_workflow, key, {}, this->now_ms - ready_ms };
  if (round_workflow.objective.factor > 0)
    waiting.slack_ms = slack_ms(*round_workflow.definition,
                                round_workflow.objective,
                                ready.occurrence,
                                ready.step,
                                this->now_ms + this->limits.unix_offset_ms,
                                round_workflow.expected);
  AssignRequest& request = waiting.request;
  request.step = &step;
  request.service = round_workflow.service;
  request.max_factor = this->max_run_time_factor(waiting);
  request.rack_penalty = this->limits.rack_penalty;
  for (const TaskState& task : round_workflow.progress.open_occurrences.at(
         ready.occurrence)[ready.step]) {
    if (task.run)
      ++request.running_tasks[task.run->server.id];
    else if (!task.done)
      ++request.tasks;
  }
  request.avoided = round_workflow.avoided;
  request.avoided.insert(this->history.suspects.begin(),
                         this->history.suspects.end());
  if (round_workflow.advice) {
    request.allowed.emplace();
    for (const std::pair<const std::string, std::string>& ticket :
         this->history.advice.tickets(key, this->pool, this->now_ms))
      request.allowed->insert(ticket.first);
  }
  // A step that waits longer for one rack ends later than if it had started
  // immediately outside the rack.
  std::int64_t max_rack_wait_ms = MAX_RACK_WAIT_MS;
  std::int64_t expected_ms = this->expected_ms_of(waiting);
  if (expected_ms > 0)
    max_rack_wait_ms = static_cast<std::int64_t>(
      (this->limits.rack_penalty - 1) * static_cast<double>(expected_ms));
  if (round_workflow.guaranteed)
    max_rack_wait_ms = std::min(max_rack_wait_ms, MAX_RECLAIM_RACK_WAIT_MS);
  request.allow_any_rack =
    !this->limits.settling && (waiting.waited_ms > max_rack_wait_ms ||
                               !fits_one_rack(this->idle_pool, request));
  return waiting;
}

/// Slowest server, as factor on the run time, with which the step still meets
/// its objective. Unlimited without an objective.
double
SchedulingRound::max_run_time_factor(const WaitingStep& waiting) const
{
  if (!waiting.slack_ms)
    return std::numeric_limits<double>::infinity();
  double expected_ms = static_cast<double>(this->expected_ms_of(waiting));
  if (expected_ms <= 0)
    return 0;
  double left_ms = static_cast<double>(*waiting.slack_ms) + expected_ms;
  return left_ms / (expected_ms * RUN_TIME_MARGIN);
}

/// Limits the tasks to place to those that the workflow may run beside its
/// other runs. Returns false if there are none.
bool
SchedulingRound::limit_tasks(WaitingStep& waiting) const
{
  std::size_t runs = 0;
  for_each_run(waiting.round_workflow.progress,
               [&runs](const TaskRef&, const TaskState&) { ++runs; });
  std::size_t limit = waiting.round_workflow.max_runs;
  std::size_t allowed = limit > runs ? limit - runs : 0;
  std::uint32_t& tasks = waiting.request.tasks;
  if (waiting.request.step->gang)
    return tasks <= allowed;
  tasks = static_cast<std::uint32_t>(std::min<std::size_t>(tasks, allowed));
  return tasks > 0;
}

void
SchedulingRound::place(WaitingStep& waiting)
{
  AssignRequest& request = waiting.request;
  if (this->limits.settling && waiting.round_workflow.priority > 0)
    return;
  if (!this->limit_suspects(waiting) || !this->limit_tasks(waiting))
    return;
  this->reserve_for_suspects(waiting);
  std::vector<std::string> servers = this->find_servers(waiting);
  if (servers.size() < request.tasks)
    this->wait_for_servers(waiting);
  else if (this->wait_for_faster(waiting, servers))
    return;
  if (!servers.empty())
    this->commit(waiting, servers);
}

/// Prepares a later placement of the tasks that found no server: stops other
/// runs, reserves servers, or requests tickets. From here on, the request
/// allows all servers that may run the step, with or without a ticket.
void
SchedulingRound::wait_for_servers(WaitingStep& waiting)
{
  bool advised = waiting.round_workflow.advice.has_value();
  if (advised)
    waiting.request.allowed =
      this->history.advice.allowed_servers(waiting.key, this->pool);
  std::vector<std::string> planned;
  if (advised)
    planned = this->servers_with_room(waiting);
  if (!this->limits.settling && !this->must_isolate(waiting)) {
    std::vector<std::string> freed = this->preempt(waiting);
    waiting.without_servers = freed.empty();
    if (freed.empty())
      this->reserve_for_gang(waiting);
    else
      planned = std::move(freed);
  }
  if (advised)
    this->request_advice(waiting, planned);
}

/// Whether the round may place this task of the step.
bool
SchedulingRound::may_place(const WaitingStep& waiting,
                           const StepState& tasks,
                           std::uint32_t index)
{
  const TaskState& task = tasks[index];
  if (task.done || task.run)
    return false;
  return !waiting.only_task || index == *waiting.only_task;
}

void
SchedulingRound::commit(const WaitingStep& waiting,
                        const std::vector<std::string>& servers)
{
  RoundWorkflow& round_workflow = waiting.round_workflow;
  const StepKey& key = waiting.key;
  const Step& step = this->step_of(waiting);
  std::map<std::string, std::string> tickets;
  if (round_workflow.advice)
    tickets = this->history.advice.tickets(key, this->pool, this->now_ms);
  StepState& tasks =
    round_workflow.progress.open_occurrences[key.occurrence][key.step];
  std::uint32_t gang_attempt = 0;
  for (const TaskState& task : tasks)
    gang_attempt = std::max(gang_attempt, task.last_attempt + 1);
  std::size_t next = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    TaskState& task = tasks[index];
    if (!may_place(waiting, tasks, index) || next == servers.size())
      continue;
    const std::string& server = servers[next++];
    task.last_attempt = step.gang ? gang_attempt : task.last_attempt + 1;
    task.run = Run{ task.last_attempt,
                    this->pool.servers.at(server).instance,
                    this->history.nodes[server],
                    false,
                    tickets[server] };
    this->pool.allocate(server, resources_of_run(step));
    if (waiting.isolated)
      this->probation_servers.insert(server);
    this->history.placed_ms[{ key, index }] = this->now_ms;
    this->history.percent.erase({ key, index });
    this->history.stalled.erase({ key, index });
  }
  round_workflow.progress.started = true;
  round_workflow.changed = true;
  this->history.advice.record_placement(key);
  this->history.ready_ms.erase(key);
  this->result.placements.push_back(
    { key, servers, waiting.waited_ms, this->slowest_factor(servers) });
}

void
StepHistory::forget(const std::string& workflow)
{
  StepKey first{ workflow, 0, 0 };
  erase_workflow(this->placed_ms, TaskKey{ first, 0 }, workflow);
  erase_workflow(this->saved_ms, TaskKey{ first, 0 }, workflow);
  erase_workflow(this->stops, first, workflow);
  erase_workflow(this->ready_ms, first, workflow);
  this->advice.forget(workflow);
  for (std::pair<const std::string, std::set<StepKey>>& zone : this->held_steps)
    std::erase_if(zone.second, [&workflow](const StepKey& key) {
      return key.workflow == workflow;
    });
}

std::int64_t
peak_accelerators_of(const Workflow& workflow)
{
  std::int64_t peak = 0;
  for (const Step& step : workflow.steps)
    peak = std::max(peak, step.tasks * step.demand.accelerators);
  return peak;
}

void
mark_guaranteed(std::vector<RoundWorkflow>& workflows,
                const std::map<std::string, std::int64_t>& guarantees)
{
  std::vector<RoundWorkflow*> order;
  for (RoundWorkflow& round_workflow : workflows) {
    if (round_workflow.priority == 0 &&
        round_workflow.progress.outcome == Outcome::Open)
      order.push_back(&round_workflow);
  }
  std::sort(order.begin(),
            order.end(),
            [](const RoundWorkflow* left, const RoundWorkflow* right) {
              return more_urgent(*left, *right);
            });
  std::map<std::string, std::int64_t> used;
  for (RoundWorkflow* round_workflow : order) {
    std::map<std::string, std::int64_t>::const_iterator guarantee =
      guarantees.find(round_workflow->definition->organisation);
    if (guarantee == guarantees.end())
      continue;
    std::int64_t& used_accelerators =
      used[round_workflow->definition->organisation];
    round_workflow->guaranteed =
      used_accelerators + round_workflow->peak_accelerators <=
      guarantee->second;
    if (round_workflow->guaranteed)
      used_accelerators += round_workflow->peak_accelerators;
  }
}

void
allocate_runs(const std::vector<RoundWorkflow>& workflows, Pool& pool)
{
  for (const RoundWorkflow& round_workflow : workflows) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         round_workflow.progress.open_occurrences) {
      for (std::size_t index = 0; index < item.second.size(); ++index) {
        for (const TaskState& task : item.second[index]) {
          if (task.run && pool.free.contains(task.run->server.id))
            pool.allocate(
              task.run->server.id,
              resources_of_run(round_workflow.definition->steps[index]));
        }
      }
    }
  }
}

RoundResult
run_scheduling_round(std::vector<RoundWorkflow>& workflows,
                     Pool& pool,
                     StepHistory& history,
                     const RoundLimits& limits,
                     std::int64_t now_ms)
{
  return SchedulingRound(workflows, pool, history, limits, now_ms).run();
}

} // namespace geraniumhinge::core
