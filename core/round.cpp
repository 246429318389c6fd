#include "core/round.h"

#include "core/round_state.h"

#include <algorithm>
#include <functional>

namespace geraniumhinge::core {

namespace {

/// Waited for one rack by a step whose duration is unknown.
constexpr std::int64_t RACK_PATIENCE_MS = 4'000;
/// Waited for one rack by a step that reclaims a guarantee.
constexpr std::int64_t RECLAIM_RACK_PATIENCE_MS = 1'000;
/// Servers in one question to the advice service.
constexpr std::size_t MAX_ADVISED_SERVERS = 30;
/// Beyond the time that the advice service takes by its terms.
constexpr std::int64_t ADVICE_SLACK_MS = 1'000;

bool
before(const RoundWorkflow& left, const RoundWorkflow& right)
{
  if (left.priority != right.priority)
    return left.priority < right.priority;
  if (left.guaranteed != right.guaranteed)
    return left.guaranteed;
  if (left.workflow->accepted_ms != right.workflow->accepted_ms)
    return left.workflow->accepted_ms < right.workflow->accepted_ms;
  return left.workflow->id < right.workflow->id;
}

} // namespace

SchedulingRound::SchedulingRound(std::vector<RoundWorkflow>& jobs,
                                 Pool& pool,
                                 StepHistory& history,
                                 const RoundLimits& limits,
                                 std::int64_t now_ms)
  : jobs(jobs)
  , pool(pool)
  , history(history)
  , limits(limits)
  , now_ms(now_ms)
{
}

RoundResult
SchedulingRound::run()
{
  this->find_groups();
  this->restart_runs();
  for (Waiting& waiting : this->waiting_steps())
    this->place(waiting);
  return std::move(this->result);
}

const Step&
SchedulingRound::step_of(const Waiting& waiting) const
{
  return waiting.job.workflow->steps[waiting.key.step];
}

/// The most urgent first; of these, steps that can meet their objective come
/// before those that can't, and then the oldest.
std::vector<SchedulingRound::Waiting>
SchedulingRound::waiting_steps()
{
  std::vector<Waiting> waiting;
  for (RoundWorkflow& job : this->jobs) {
    for (const ReadyStep& ready : ready_steps(*job.workflow, job.progress))
      waiting.push_back(this->make_waiting(job, ready));
  }
  std::vector<std::size_t> order(waiting.size());
  for (std::size_t index = 0; index < order.size(); ++index)
    order[index] = index;
  std::stable_sort(order.begin(),
                   order.end(),
                   [&waiting](std::size_t left_index, std::size_t right_index) {
                     const Waiting& left = waiting[left_index];
                     const Waiting& right = waiting[right_index];
                     bool same_rank =
                       left.job.priority == right.job.priority &&
                       left.job.guaranteed == right.job.guaranteed;
                     bool left_late = left.slack_ms && *left.slack_ms < 0;
                     bool right_late = right.slack_ms && *right.slack_ms < 0;
                     if (same_rank && left_late != right_late)
                       return right_late;
                     return before(left.job, right.job);
                   });
  std::vector<Waiting> sorted;
  sorted.reserve(order.size());
  for (std::size_t index : order)
    sorted.push_back(std::move(waiting[index]));
  return sorted;
}

SchedulingRound::Waiting
SchedulingRound::make_waiting(RoundWorkflow& job, const ReadyStep& ready)
{
  StepKey key{ job.workflow->id, ready.occurrence, ready.step };
  const Step& step = job.workflow->steps[ready.step];
  std::int64_t ready_ms =
    this->history.ready_ms.try_emplace(key, this->now_ms).first->second;
  Waiting waiting{ job, key, {}, this->now_ms - ready_ms, std::nullopt };
  if (job.objective.factor > 0)
    waiting.slack_ms = slack_ms(*job.workflow,
                                job.objective,
                                ready.occurrence,
                                ready.step,
                                this->now_ms + this->limits.unix_offset_ms);
  AssignRequest& request = waiting.request;
  request.step = &step;
  request.service = job.service;
  for (const TaskState& task :
       job.progress.open_occurrences.at(ready.occurrence)[ready.step]) {
    if (task.run)
      ++request.running_tasks[task.run->server.id];
    else if (!task.done)
      ++request.tasks;
  }
  request.avoided = job.avoided;
  request.avoided.insert(this->history.suspects.begin(),
                         this->history.suspects.end());
  if (job.advice) {
    request.allowed.emplace();
    for (const std::pair<const std::string, std::string>& ticket :
         this->history.advice.tickets(key, this->pool, this->now_ms))
      request.allowed->insert(ticket.first);
  }
  // Longer than this, running far from the rack is the faster way.
  std::int64_t patience = RACK_PATIENCE_MS;
  if (step.estimate_ms > 0)
    patience = static_cast<std::int64_t>((this->limits.rack_penalty - 1) *
                                         step.estimate_ms);
  if (job.guaranteed)
    patience = std::min(patience, RECLAIM_RACK_PATIENCE_MS);
  request.allow_any_rack =
    waiting.waited_ms > patience || !fits_one_rack(this->pool, request);
  return waiting;
}

void
SchedulingRound::place(Waiting& waiting)
{
  AssignRequest& request = waiting.request;
  for (const GangReservation& hold : this->gang_reservations) {
    if (request.step->estimate_ms == 0 ||
        hold.in_ms < static_cast<std::int64_t>(request.step->estimate_ms))
      request.reserved.insert(hold.servers.begin(), hold.servers.end());
  }
  std::vector<std::string> servers = assign(this->pool, request);
  if (servers.empty() && !request.avoided.empty()) {
    request.avoided.clear();
    servers = assign(this->pool, request);
  }
  bool short_of = servers.size() < request.tasks;
  if (short_of && waiting.job.advice)
    this->request_advice(waiting);
  if (short_of && !this->preempt(waiting))
    this->reserve_for_gang(waiting);
  if (!servers.empty())
    this->commit(waiting, servers);
}

/// Asks for tickets, first of the servers that would be chosen without advice.
void
SchedulingRound::request_advice(const Waiting& waiting)
{
  AssignRequest request = waiting.request;
  request.allowed.reset();
  AdviceRequest advice_request;
  advice_request.step = waiting.key;
  std::function<void(const std::string&)> add =
    [this, &advice_request, &waiting](const std::string& server) {
      std::vector<std::string>& named = advice_request.servers;
      bool known = std::find(named.begin(), named.end(), server) != named.end();
      if (named.size() < MAX_ADVISED_SERVERS && !known &&
          this->history.advice.should_request(
            waiting.key, this->pool.servers.at(server), this->now_ms))
        named.push_back(server);
    };
  for (const std::string& server : assign(this->pool, request))
    add(server);
  std::vector<std::pair<std::int64_t, std::string>> others;
  for (const std::pair<const std::string, PoolServer>& item :
       this->pool.servers) {
    if (eligible(item.second, request))
      others.emplace_back(-this->pool.free.at(item.first).accelerators,
                          item.first);
  }
  std::sort(others.begin(), others.end());
  for (const std::pair<std::int64_t, std::string>& other : others)
    add(other.second);
  if (advice_request.servers.empty())
    return;
  const AdviceSettings& terms = *waiting.job.advice;
  advice_request.timeout_ms =
    terms.decide_ms +
    terms.per_server_ms *
      static_cast<std::int64_t>(advice_request.servers.size()) +
    ADVICE_SLACK_MS;
  this->result.advice_requests.push_back(std::move(advice_request));
}

void
SchedulingRound::commit(const Waiting& waiting,
                        const std::vector<std::string>& servers)
{
  RoundWorkflow& job = waiting.job;
  const StepKey& key = waiting.key;
  const Step& step = this->step_of(waiting);
  std::map<std::string, std::string> tickets;
  if (job.advice)
    tickets = this->history.advice.tickets(key, this->pool, this->now_ms);
  StepState& tasks = job.progress.open_occurrences[key.occurrence][key.step];
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
                    this->pool.servers.at(server).instance,
                    this->history.nodes[server],
                    false,
                    tickets[server] };
    this->pool.allocate(server, resources_of_run(step));
    std::uint32_t index = static_cast<std::uint32_t>(&task - tasks.data());
    this->history.placed_ms[{ key, index }] = this->now_ms;
    this->history.percent.erase({ key, index });
    this->history.stalled.erase({ key, index });
  }
  job.progress.started = true;
  job.changed = true;
  this->history.ready_ms.erase(key);
  this->result.placements.push_back({ key, servers, waiting.waited_ms });
}

std::int64_t
peak_accelerators_of(const Workflow& workflow)
{
  std::int64_t most = 0;
  for (const Step& step : workflow.steps)
    most = std::max(most, step.tasks * step.demand.accelerators);
  return most;
}

void
mark_guaranteed(std::vector<RoundWorkflow>& jobs,
                const std::map<std::string, std::int64_t>& guarantees)
{
  std::vector<RoundWorkflow*> order;
  for (RoundWorkflow& job : jobs) {
    if (job.priority == 0 && job.progress.outcome == Outcome::Open)
      order.push_back(&job);
  }
  std::sort(order.begin(),
            order.end(),
            [](const RoundWorkflow* left, const RoundWorkflow* right) {
              return before(*left, *right);
            });
  std::map<std::string, std::int64_t> used;
  for (RoundWorkflow* job : order) {
    std::map<std::string, std::int64_t>::const_iterator guarantee =
      guarantees.find(job->workflow->organisation);
    if (guarantee == guarantees.end())
      continue;
    std::int64_t& sum = used[job->workflow->organisation];
    job->guaranteed = sum + job->peak_accelerators <= guarantee->second;
    if (job->guaranteed)
      sum += job->peak_accelerators;
  }
}

void
allocate_runs(const std::vector<RoundWorkflow>& jobs, Pool& pool)
{
  for (const RoundWorkflow& job : jobs) {
    for (const std::pair<const std::uint32_t, OccurrenceState>& item :
         job.progress.open_occurrences) {
      for (std::size_t index = 0; index < item.second.size(); ++index) {
        for (const TaskState& task : item.second[index]) {
          if (task.run && pool.free.contains(task.run->server.id))
            pool.allocate(task.run->server.id,
                          resources_of_run(job.workflow->steps[index]));
        }
      }
    }
  }
}

RoundResult
run_scheduling_round(std::vector<RoundWorkflow>& jobs,
                     Pool& pool,
                     StepHistory& history,
                     const RoundLimits& limits,
                     std::int64_t now_ms)
{
  return SchedulingRound(jobs, pool, history, limits, now_ms).run();
}

} // namespace geraniumhinge::core
