// The owner's orders, carried out run by run.

#include "agent/server_agent.h"

#include "agent/events.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

constexpr kernel::Milliseconds CALL_TIMEOUT{ 700 };
constexpr std::int64_t CALL_RETRY_MS = 200;
/// Of a run that an earlier agent started.
constexpr std::uint32_t UNKNOWN_PACE = 255;
/// A start that had no effect for this long is given up.
constexpr std::int64_t START_LIMIT_MS = 2'000;

core::Resources
demand_of(const v1::RunOrder& order)
{
  return { order.demand().millicores(),
           order.demand().memory_mb(),
           order.demand().accelerators() };
}

} // namespace

bool
ServerAgent::is_ordered(const RunKey& key) const
{
  return std::any_of(this->orders.runs().begin(),
                     this->orders.runs().end(),
                     [&key](const v1::RunOrder& order) {
                       return order.task() == key.first &&
                              order.attempt() == key.second;
                     });
}

bool
ServerAgent::stop_is_ordered(const RunKey& key) const
{
  return std::any_of(this->orders.stops().begin(),
                     this->orders.stops().end(),
                     [&key](const v1::RunOrder& order) {
                       return order.task() == key.first &&
                              order.attempt() == key.second;
                     });
}

void
ServerAgent::apply(const v1::ServerOrders& orders)
{
  if (orders.term() < this->term)
    return;
  this->owner_last_seen_ms = kernel::boot_ms();
  bool newer =
    orders.term() > this->term || orders.sequence() > this->orders.sequence();
  this->term = orders.term();
  bool ours = this->server && orders.life().id() == this->server->instance.id &&
              orders.life().born_ms() == this->server->instance.started_ms;
  if (!newer)
    return;
  this->orders = orders;
  this->have_orders = ours;
  if (!ours) {
    this->orders.clear_runs();
    this->orders.clear_stops();
    return;
  }
  bool stored = orders.stored_ends() > this->stored_ends;
  this->stored_ends = std::max(this->stored_ends, orders.stored_ends());
  if (stored)
    this->poll_server();
  this->reconcile();
}

void
ServerAgent::track_orders()
{
  std::int64_t now = kernel::boot_ms();
  for (const v1::RunOrder& order : this->orders.runs()) {
    RunKey key{ order.task(), order.attempt() };
    bool known = this->runs.contains(key);
    bool over = std::any_of(this->lists.ended.begin(),
                            this->lists.ended.end(),
                            [&key](const platform::EndedTask& ended) {
                              return ended.task == key.first &&
                                     ended.attempt == key.second;
                            });
    if (!known && !over) {
      RunTrack& run = this->runs[key];
      run.order = order;
      run.since_ms = now;
    } else if (known && (!order.payload().empty() ||
                         !this->runs[key].order.has_demand())) {
      this->runs[key].order = order;
    }
  }
  for (const v1::RunOrder& order : this->orders.stops()) {
    RunKey key{ order.task(), order.attempt() };
    bool over = std::any_of(this->lists.ended.begin(),
                            this->lists.ended.end(),
                            [&key](const platform::EndedTask& ended) {
                              return ended.task == key.first &&
                                     ended.attempt == key.second;
                            });
    if (this->runs.contains(key) || over)
      continue;
    RunTrack& run = this->runs[key];
    run.order = order;
    run.attempted = true;
    this->enter(key, run, RunPhase::Stopping);
  }
}

void
ServerAgent::track_unordered_runs()
{
  for (const platform::RunningTask& task : this->lists.running) {
    RunKey key{ task.task, task.attempt };
    if (this->runs.contains(key))
      continue;
    RunTrack& run = this->runs[key];
    run.order.set_task(task.task);
    run.order.set_attempt(task.attempt);
    run.attempted = true;
    run.listed = true;
    run.percent = UNKNOWN_PACE;
    this->enter(
      key, run, this->is_ordered(key) ? RunPhase::Started : RunPhase::Stopping);
  }
}

void
ServerAgent::reconcile()
{
  if (!this->usable() || !this->have_orders)
    return;
  this->track_unordered_runs();
  this->track_orders();
  for (std::pair<const RunKey, RunTrack>& item : this->runs)
    this->advance(item.first, item.second);
  // The owner waits no longer for these.
  std::erase_if(
    this->runs, [this](const std::pair<const RunKey, RunTrack>& item) {
      return item.second.phase == RunPhase::Absent && !item.second.calling &&
             !this->is_ordered(item.first) &&
             !this->stop_is_ordered(item.first);
    });
}

void
ServerAgent::advance(const RunKey& key, RunTrack& run)
{
  std::int64_t now = kernel::boot_ms();
  bool waiting =
    run.phase == RunPhase::Waiting || run.phase == RunPhase::Starting;
  bool active = waiting || run.phase == RunPhase::Started;
  bool given_up =
    waiting &&
    (this->server->draining || now - run.since_ms > START_LIMIT_MS) &&
    !run.calling;
  if (active && !run.calling && (!this->is_ordered(key) || given_up)) {
    // A run that was never sent can't be there.
    this->enter(
      key, run, run.attempted ? RunPhase::Stopping : RunPhase::Absent);
    if (run.phase == RunPhase::Absent)
      this->on_change();
  }
  if (run.calling || now < run.retry_ms)
    return;
  if ((run.phase == RunPhase::Waiting && this->has_capacity(run.order)) ||
      run.phase == RunPhase::Starting)
    this->start(key, run);
  else if (run.phase == RunPhase::Stopping)
    this->stop(key, run);
}

bool
ServerAgent::has_capacity(const v1::RunOrder& order) const
{
  core::Resources free = this->server->capacity;
  for (const std::pair<const RunKey, RunTrack>& item : this->runs) {
    const RunTrack& run = item.second;
    bool there =
      run.phase != RunPhase::Waiting && run.phase != RunPhase::Absent;
    if (!there)
      continue;
    // The demand of a run that an earlier agent started may not be known.
    if (!run.order.has_demand())
      return false;
    free.subtract(demand_of(run.order));
  }
  return free.covers(demand_of(order));
}

void
ServerAgent::start(const RunKey& key, RunTrack& run)
{
  if (!this->may_renew_lease())
    return;
  if (run.phase == RunPhase::Waiting)
    this->enter(key, run, RunPhase::Starting);
  run.calling = true;
  run.attempted = true;
  platform::StartRequest order;
  order.task = key.first;
  order.attempt = key.second;
  order.payload = run.order.payload();
  order.checkpoint = run.order.checkpoint();
  order.ticket = run.order.ticket();
  order.lease_until_ms =
    this->lease_clock.grant(kernel::boot_ms(), this->options.lease.count());
  this->worker.start(
    this->target(),
    order,
    CALL_TIMEOUT,
    this->guarded([this, key, instance = this->instance_number](
                    platform::StartResult result) {
      if (instance == this->instance_number)
        this->started(key, result);
    }));
}

void
ServerAgent::started(const RunKey& key, platform::StartResult result)
{
  RunTrack& run = this->runs[key];
  run.calling = false;
  this->metrics
    .counter(fmt::format("agent_starts_total{{result=\"{}\"}}",
                         name_of(platform::START_RESULT_NAMES, result)))
    .add();
  this->log.write(RUN_START_ANSWERED,
                  { { "task", key.first },
                    { "attempt", key.second },
                    { "server", this->server->instance.id },
                    { "result", name_of(platform::START_RESULT_NAMES, result) },
                    { "term", this->term },
                    { "orders", this->orders.sequence() } });
  run.retry_ms = kernel::boot_ms() + CALL_RETRY_MS;
  switch (result) {
    case platform::StartResult::Started:
      this->enter(key, run, RunPhase::Started);
      this->on_change();
      break;
    case platform::StartResult::Fenced:
      this->raise_fencing_token();
      break;
    case platform::StartResult::Ended:
    case platform::StartResult::NoCapacity:
    case platform::StartResult::NoTicket:
      this->enter(key, run, RunPhase::Stopping);
      run.retry_ms = 0;
      break;
    default:
      break;
  }
  this->reconcile();
}

void
ServerAgent::stop(const RunKey& key, RunTrack& run)
{
  run.calling = true;
  this->worker.stop(
    this->target(),
    key.first,
    key.second,
    CALL_TIMEOUT,
    this->guarded([this, key, instance = this->instance_number](
                    tl::expected<void, platform::WorkerError> result) {
      if (instance != this->instance_number)
        return;
      RunTrack& stopped = this->runs[key];
      stopped.calling = false;
      stopped.retry_ms = kernel::boot_ms() + CALL_RETRY_MS;
      this->log.write(
        RUN_STOP_ANSWERED,
        { { "task", key.first },
          { "attempt", key.second },
          { "server", this->server->instance.id },
          { "result",
            result ? "stopped"
                   : name_of(platform::WORKER_ERROR_NAMES, result.error()) } });
      if (result)
        this->enter(key, stopped, RunPhase::Stopped);
      else if (result.error() == platform::WorkerError::Fenced)
        this->raise_fencing_token();
    }));
}

void
ServerAgent::enter(const RunKey&, RunTrack& run, RunPhase phase)
{
  run.phase = phase;
  run.since_ms = kernel::boot_ms();
}

/// Whether a best-effort task runs beside one with a latency target.
bool
ServerAgent::pacing() const
{
  bool best_effort = false;
  bool serves = false;
  for (const std::pair<const RunKey, RunTrack>& item : this->runs) {
    best_effort = best_effort || item.second.order.fills();
    serves = serves || item.second.order.latency_target_ms() > 0;
  }
  return best_effort && serves;
}

/// Sets the pace of best-effort tasks by the tails of the tasks beside them.
void
ServerAgent::pace_runs()
{
  std::vector<LatencyTask> serving;
  for (const platform::RunningTask& task : this->lists.running) {
    std::map<RunKey, RunTrack>::const_iterator run =
      this->runs.find({ task.task, task.attempt });
    if (run != this->runs.end() && run->second.order.latency_target_ms() > 0)
      serving.push_back({ task.load, run->second.order.latency_target_ms() });
  }
  std::uint32_t before = this->pacer.share();
  std::uint32_t share = this->pacer.update(serving, kernel::boot_ms());
  if (share != before)
    this->log.write(
      PACE_CHANGED,
      { { "server", this->server->instance.id }, { "percent", share } });
  for (const platform::RunningTask& task : this->lists.running) {
    RunKey key{ task.task, task.attempt };
    std::map<RunKey, RunTrack>::iterator run = this->runs.find(key);
    bool due = run != this->runs.end() && run->second.order.fills() &&
               run->second.phase == RunPhase::Started &&
               run->second.percent != share && !run->second.pacing;
    if (due)
      this->pace(key, run->second, share);
  }
}

void
ServerAgent::pace(const RunKey& key, RunTrack& run, std::uint32_t percent)
{
  run.pacing = true;
  this->worker.pace(
    this->target(),
    key.first,
    key.second,
    percent,
    CALL_TIMEOUT,
    this->guarded([this, key, percent, instance = this->instance_number](
                    tl::expected<void, platform::WorkerError> result) {
      std::map<RunKey, RunTrack>::iterator paced = this->runs.find(key);
      if (instance != this->instance_number || paced == this->runs.end())
        return;
      paced->second.pacing = false;
      if (result)
        paced->second.percent = percent;
      else if (result.error() == platform::WorkerError::Fenced)
        this->raise_fencing_token();
    }));
}

} // namespace geraniumhinge::agent
