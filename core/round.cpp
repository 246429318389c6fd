#include "core/round.h"

#include "core/preempt.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// One accelerator's work counts as that of this many cores.
constexpr double CORES_PER_ACCELERATOR = 8;
constexpr double MILLICORES_PER_CORE = 1'000;
constexpr double MS_PER_S = 1'000;
/// Work between two checkpoints, at most.
constexpr double CHECKPOINT_S = 2;
/// Assumed of runs that an earlier owner placed.
constexpr std::int64_t UNKNOWN_ELAPSED_MS = 5'000;

double
core_seconds(const Resources& demand, double seconds)
{
  double cores =
    static_cast<double>(demand.millicores) / MILLICORES_PER_CORE +
    static_cast<double>(demand.accelerators) * CORES_PER_ACCELERATOR;
  return cores * seconds;
}

Resources
held_by(const Step& step)
{
  Resources held = step.demand;
  if (step.fills)
    held.millicores = 0;
  return held;
}

bool
before(const RoundJob* left, const RoundJob* right)
{
  if (left->priority != right->priority)
    return left->priority < right->priority;
  if (left->guaranteed != right->guaranteed)
    return left->guaranteed;
  if (left->workflow->accepted_ms != right->workflow->accepted_ms)
    return left->workflow->accepted_ms < right->workflow->accepted_ms;
  return left->workflow->id < right->workflow->id;
}

/// The state of one round: what is placed is kept up to date.
class Round
{
public:
  Round(std::vector<RoundJob>& jobs,
        Pool& pool,
        StepMemory& memory,
        const RoundLimits& limits,
        std::int64_t now_ms)
    : jobs(jobs)
    , pool(pool)
    , memory(memory)
    , limits(limits)
    , now_ms(now_ms)
  {
  }

  RoundResult run()
  {
    std::vector<RoundJob*> order;
    for (RoundJob& job : this->jobs)
      order.push_back(&job);
    std::sort(order.begin(), order.end(), before);
    for (RoundJob* job : order) {
      for (const ReadyStep& ready : ready_steps(*job->workflow, job->progress))
        this->place(*job, ready);
    }
    return std::move(this->result);
  }

private:
  void place(RoundJob& job, const ReadyStep& ready);
  AssignRequest request_of(const RoundJob& job, const ReadyStep& ready) const;
  void commit(RoundJob& job,
              const StepKey& key,
              const std::vector<std::string>& servers);
  void preempt(const RoundJob& job,
               const StepKey& key,
               const AssignRequest& request,
               std::int64_t waited_ms);
  std::vector<RunGroup> running_groups() const;
  void add_groups(const RoundJob& job,
                  const StepKey& key,
                  const StepState& tasks,
                  std::vector<RunGroup>& groups) const;
  double unsaved(const StepKey& key,
                 const Step& step,
                 std::uint32_t task) const;
  void stop(const RunGroup& group);

  std::vector<RoundJob>& jobs;
  Pool& pool;
  StepMemory& memory;
  const RoundLimits& limits;
  std::int64_t now_ms;
  RoundResult result;
};

AssignRequest
Round::request_of(const RoundJob& job, const ReadyStep& ready) const
{
  AssignRequest request;
  request.step = &job.workflow->steps[ready.step];
  request.service = job.service;
  for (const TaskState& task :
       job.progress.open.at(ready.occurrence)[ready.step]) {
    if (task.run)
      ++request.present[task.run->server.id];
    else if (!task.done)
      ++request.tasks;
  }
  request.avoided = job.avoided;
  return request;
}

void
Round::place(RoundJob& job, const ReadyStep& ready)
{
  StepKey key{ job.workflow->id, ready.occurrence, ready.step };
  std::int64_t ready_ms =
    this->memory.ready_ms.try_emplace(key, this->now_ms).first->second;
  AssignRequest request = this->request_of(job, ready);
  request.any_rack = this->now_ms - ready_ms > this->limits.rack_patience_ms ||
                     !fits_one_rack(this->pool, request);
  std::vector<std::string> servers = assign(this->pool, request);
  if (servers.empty() && !request.avoided.empty()) {
    request.avoided.clear();
    servers = assign(this->pool, request);
  }
  if (servers.size() < request.tasks && job.priority == 0)
    this->preempt(job, key, request, this->now_ms - ready_ms);
  if (!servers.empty())
    this->commit(job, key, servers);
}

void
Round::commit(RoundJob& job,
              const StepKey& key,
              const std::vector<std::string>& servers)
{
  const Step& step = job.workflow->steps[key.step];
  StepState& tasks = job.progress.open[key.occurrence][key.step];
  std::uint32_t gang_attempt = 0;
  for (const TaskState& task : tasks)
    gang_attempt = std::max(gang_attempt, task.last_attempt + 1);
  std::size_t next = 0;
  for (TaskState& task : tasks) {
    if (task.done || task.run || next == servers.size())
      continue;
    const std::string& server = servers[next++];
    task.last_attempt = step.gang ? gang_attempt : task.last_attempt + 1;
    task.run = Run{ task.last_attempt,
                    this->pool.servers.at(server).life,
                    this->memory.nodes[server],
                    false };
    this->pool.take(server, held_by(step));
    std::uint32_t index = static_cast<std::uint32_t>(&task - tasks.data());
    this->memory.placed_ms[{ key, index }] = this->now_ms;
  }
  job.progress.started = true;
  job.changed = true;
  std::int64_t waited = this->now_ms - this->memory.ready_ms[key];
  this->memory.ready_ms.erase(key);
  this->result.placements.push_back({ key, servers, waited });
}

void
Round::preempt(const RoundJob& job,
               const StepKey& key,
               const AssignRequest& request,
               std::int64_t waited_ms)
{
  PreemptRequest wanted;
  wanted.place = request;
  wanted.priority = job.priority;
  wanted.guaranteed = job.guaranteed;
  std::vector<RunGroup> running = this->running_groups();
  std::optional<PreemptPlan> plan =
    plan_preemption(this->pool, running, wanted);
  if (!plan) {
    wanted.place.any_rack = true;
    plan = plan_preemption(this->pool, running, wanted);
  }
  double allowed = this->limits.urgent_waste_core_s +
                   this->limits.urgent_waste_core_s_per_s *
                     static_cast<double>(waited_ms) / MS_PER_S;
  if (!plan || (!job.guaranteed && plan->unsaved_core_s > allowed))
    return;
  for (const RunGroup& victim : plan->victims) {
    this->result.preemptions.push_back(
      { key, victim.step, victim.tasks.size(), victim.unsaved_core_s });
    this->stop(victim);
  }
  // Keeps the room from steps that are less urgent.
  for (const std::string& server : plan->servers)
    this->pool.take(server, held_by(*request.step));
}

double
Round::unsaved(const StepKey& key, const Step& step, std::uint32_t task) const
{
  std::map<std::pair<StepKey, std::uint32_t>, std::int64_t>::const_iterator
    placed = this->memory.placed_ms.find({ key, task });
  std::int64_t elapsed = placed == this->memory.placed_ms.end()
                           ? UNKNOWN_ELAPSED_MS
                           : this->now_ms - placed->second;
  double seconds = static_cast<double>(elapsed) / MS_PER_S;
  if (step.checkpoints)
    seconds = std::min(seconds, CHECKPOINT_S);
  return core_seconds(step.demand, seconds);
}

void
Round::add_groups(const RoundJob& job,
                  const StepKey& key,
                  const StepState& tasks,
                  std::vector<RunGroup>& groups) const
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
      group.demand = held_by(step);
      groups.push_back(std::move(group));
      together = step.gang;
    }
    RunGroup& group = groups.back();
    group.tasks.push_back(index);
    ++group.servers[task.run->server.id];
    group.stopping = group.stopping || task.run->stopping;
    group.unsaved_core_s += this->unsaved(key, step, index);
  }
}

std::vector<RunGroup>
Round::running_groups() const
{
  std::vector<RunGroup> groups;
  for (const RoundJob& job : this->jobs) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         job.progress.open) {
      for (std::uint32_t step = 0; step < item.second.size(); ++step)
        this->add_groups(job,
                         { job.workflow->id, item.first, step },
                         item.second[step],
                         groups);
    }
  }
  return groups;
}

void
Round::stop(const RunGroup& group)
{
  for (RoundJob& job : this->jobs) {
    if (job.workflow->id != group.step.workflow)
      continue;
    StepState& tasks =
      job.progress.open[group.step.occurrence][group.step.step];
    for (std::uint32_t index : group.tasks)
      tasks[index].run->stopping = true;
    job.changed = true;
  }
}

} // namespace

std::int64_t
accelerators_of(const Workflow& workflow)
{
  std::int64_t most = 0;
  for (const Step& step : workflow.steps)
    most = std::max(most, step.tasks * step.demand.accelerators);
  return most;
}

void
mark_guaranteed(std::vector<RoundJob>& jobs,
                const std::map<std::string, std::int64_t>& guarantees)
{
  std::vector<RoundJob*> order;
  for (RoundJob& job : jobs) {
    if (job.priority == 0 && job.progress.outcome == Outcome::Open)
      order.push_back(&job);
  }
  std::sort(order.begin(), order.end(), before);
  std::map<std::string, std::int64_t> used;
  for (RoundJob* job : order) {
    std::map<std::string, std::int64_t>::const_iterator guarantee =
      guarantees.find(job->workflow->organisation);
    if (guarantee == guarantees.end())
      continue;
    std::int64_t& sum = used[job->workflow->organisation];
    job->guaranteed = sum + job->need_accelerators <= guarantee->second;
    if (job->guaranteed)
      sum += job->need_accelerators;
  }
}

void
take_runs(const std::vector<RoundJob>& jobs, Pool& pool)
{
  for (const RoundJob& job : jobs) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         job.progress.open) {
      for (std::size_t index = 0; index < item.second.size(); ++index) {
        for (const TaskState& task : item.second[index]) {
          if (task.run && pool.free.contains(task.run->server.id))
            pool.take(task.run->server.id, held_by(job.workflow->steps[index]));
        }
      }
    }
  }
}

RoundResult
run_round(std::vector<RoundJob>& jobs,
          Pool& pool,
          StepMemory& memory,
          const RoundLimits& limits,
          std::int64_t now_ms)
{
  return Round(jobs, pool, memory, limits, now_ms).run();
}

} // namespace geraniumhinge::core
