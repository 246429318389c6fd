// The part of ServerAgent that carries out the owner's orders run by run.

#include "agent/server_agent.h"

#include "agent/events.h"
#include "kernel/clock.h"
#include "platform/start_limits.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

constexpr kernel::Milliseconds CALL_TIMEOUT = platform::SERVER_CALL_TIMEOUT;
constexpr std::int64_t CALL_RETRY_MS = 200;
constexpr int MAX_MISSED_HEARTBEATS = 2;
constexpr kernel::Milliseconds HEARTBEAT_SLACK{ 500 };
/// Pace of a run that an earlier agent started. It differs from each valid
/// percentage, so that the next update sets the pace of the run.
constexpr std::uint32_t UNKNOWN_PACE_PERCENT = 255;
/// After this time without a start the agent gives a run up.
constexpr std::int64_t START_LIMIT_MS = platform::START_LIMIT.count();

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
ServerAgent::apply_orders(const v1::ServerOrders& orders)
{
  if (orders.term() < this->term)
    return;
  this->record_owner_reply(orders);
  bool newer =
    orders.term() > this->term || orders.sequence() > this->orders.sequence();
  this->term = orders.term();
  bool for_this_instance =
    this->server && orders.life().id() == this->server->instance.id &&
    orders.life().born_ms() == this->server->instance.started_ms &&
    orders.agent_incarnation() == this->options.incarnation &&
    orders.report_sequence() >= this->first_valid_report;
  if (!newer)
    return;
  this->orders = orders;
  this->orders_report_ms =
    this->reports.sent_ms(orders.report_sequence()).value_or(0);
  this->orders_are_current = for_this_instance;
  if (!for_this_instance) {
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
    bool has_ended = std::any_of(this->lists.ended.begin(),
                                 this->lists.ended.end(),
                                 [&key](const platform::EndedTask& ended) {
                                   return ended.task == key.first &&
                                          ended.attempt == key.second;
                                 });
    if (!known && !has_ended) {
      TrackedRun& run = this->runs[key];
      run.order = order;
      run.phase_started_ms = now;
    } else if (known && (!order.payload().empty() ||
                         !this->runs[key].order.has_demand())) {
      this->runs[key].order = order;
    }
  }
  for (const v1::RunOrder& order : this->orders.stops()) {
    RunKey key{ order.task(), order.attempt() };
    bool has_ended = std::any_of(this->lists.ended.begin(),
                                 this->lists.ended.end(),
                                 [&key](const platform::EndedTask& ended) {
                                   return ended.task == key.first &&
                                          ended.attempt == key.second;
                                 });
    if (this->runs.contains(key) || has_ended)
      continue;
    TrackedRun& run = this->runs[key];
    run.order = order;
    run.start_sent = true;
    set_phase(run, RunPhase::Stopping);
  }
}

void
ServerAgent::track_unordered_runs()
{
  for (const platform::RunningTask& task : this->lists.running) {
    RunKey key{ task.task, task.attempt };
    if (this->runs.contains(key))
      continue;
    TrackedRun& run = this->runs[key];
    run.order.set_task(task.task);
    run.order.set_attempt(task.attempt);
    run.start_sent = true;
    run.seen_on_server = true;
    run.pace_percent = UNKNOWN_PACE_PERCENT;
    set_phase(run,
              this->is_ordered(key) ? RunPhase::Started : RunPhase::Stopping);
  }
}

/// Stops the stray runs. Returns whether any of them may still run: a run has
/// ended once a poll after its confirmed stop no longer lists it, and from its
/// stop on the server refuses a delayed start.
bool
ServerAgent::stray_runs_remain()
{
  std::erase_if(this->stray_runs, [this](const RunKey& key) {
    std::map<RunKey, TrackedRun>::iterator run = this->runs.find(key);
    if (run == this->runs.end())
      return true;
    if (run->second.phase != RunPhase::NeverStarted)
      return false;
    this->runs.erase(run);
    return true;
  });
  for (const RunKey& key : this->stray_runs)
    this->advance_run(key, this->runs[key]);
  return !this->stray_runs.empty();
}

void
ServerAgent::reconcile()
{
  if (!this->server || !this->lists_known || this->instance_replaced ||
      this->stray_runs_remain() || !this->orders_are_current)
    return;
  this->track_unordered_runs();
  this->track_orders();
  for (std::pair<const RunKey, TrackedRun>& item : this->runs)
    this->advance_run(item.first, item.second);
  // Runs that never started are reported until the owner drops their orders.
  std::erase_if(
    this->runs, [this](const std::pair<const RunKey, TrackedRun>& item) {
      return item.second.phase == RunPhase::NeverStarted &&
             !item.second.call_in_flight && !this->is_ordered(item.first) &&
             !this->stop_is_ordered(item.first);
    });
}

void
ServerAgent::advance_run(const RunKey& key, TrackedRun& run)
{
  std::int64_t now = kernel::boot_ms();
  bool not_started =
    run.phase == RunPhase::Waiting || run.phase == RunPhase::Starting;
  bool active = not_started || run.phase == RunPhase::Started;
  bool given_up =
    not_started &&
    (this->server->draining || now - run.phase_started_ms > START_LIMIT_MS) &&
    !run.call_in_flight;
  if (active && !run.call_in_flight && (!this->is_ordered(key) || given_up)) {
    // Without a start request the run can't be on the server.
    set_phase(run,
              run.start_sent ? RunPhase::Stopping : RunPhase::NeverStarted);
    if (run.phase == RunPhase::NeverStarted)
      this->on_change();
  }
  if (run.call_in_flight || now < run.next_call_ms)
    return;
  bool to_start =
    run.phase == RunPhase::Waiting || run.phase == RunPhase::Starting;
  if (to_start && this->has_capacity(key, run))
    this->start_run(key, run);
  // The polls show when the server no longer refuses connections.
  else if (run.phase == RunPhase::Stopping && this->refused_polls == 0)
    this->stop_run(key, run);
}

/// Time since the server sent its last announcement, which may have been under
/// way for long, or since its arrival if the server's clock is not known.
std::int64_t
ServerAgent::announcement_age_ms() const
{
  std::int64_t now = kernel::boot_ms();
  std::int64_t age_ms = now - this->announced_ms;
  if (!this->server->clock_ms)
    return age_ms;
  std::int64_t server_clock_ms =
    this->lease_clock.state(now).min_server_clock_ms;
  return std::max(age_ms, server_clock_ms - *this->server->clock_ms);
}

/// Whether the announced capacity is recent enough for a start. After a pause
/// of this process, or of the announcements, the server may have shrunk.
bool
ServerAgent::announcement_is_recent() const
{
  kernel::Milliseconds limit =
    this->options.heartbeat_period * MAX_MISSED_HEARTBEATS + HEARTBEAT_SLACK;
  return this->announcement_age_ms() <= limit.count();
}

/// Whether the run fits beside all other runs that were started and have not
/// ended. The capacity may have shrunk since the run's own start request.
bool
ServerAgent::has_capacity(const RunKey& key, const TrackedRun& run) const
{
  if (!this->announcement_is_recent())
    return false;
  core::Resources free = this->server->capacity;
  for (const std::pair<const RunKey, TrackedRun>& item : this->runs) {
    const TrackedRun& other = item.second;
    bool allocated =
      other.phase != RunPhase::Waiting && other.phase != RunPhase::NeverStarted;
    if (!allocated || item.first == key)
      continue;
    // For a run that an earlier agent started, the demand is known only after
    // the owner has ordered the run again.
    if (!other.order.has_demand())
      return false;
    free.subtract(demand_of(other.order));
  }
  return free.covers(demand_of(run.order));
}

/// Whether the present orders may start runs now. Orders are at most as old as
/// the report that they reply to, however late they arrived and however long
/// this process was paused. The limit also holds for a repeated start request
/// and for a run that waits for resources.
bool
ServerAgent::orders_allow_starts() const
{
  if (this->orders.no_starts())
    return false;
  return !this->options.limit_order_age ||
         kernel::boot_ms() - this->orders_report_ms < START_LIMIT_MS;
}

void
ServerAgent::start_run(const RunKey& key, TrackedRun& run)
{
  if (!this->may_renew_lease() || !this->orders_allow_starts())
    return;
  if (run.phase == RunPhase::Waiting)
    set_phase(run, RunPhase::Starting);
  run.call_in_flight = true;
  if (!std::exchange(run.start_sent, true))
    run.first_start_ms = kernel::boot_ms();
  platform::StartRequest request;
  request.task = key.first;
  request.attempt = key.second;
  request.payload = run.order.payload();
  request.checkpoint = run.order.checkpoint();
  request.ticket = run.order.ticket();
  request.lease_until_ms = this->grant_lease(kernel::boot_ms());
  this->server_client.start(this->target(),
                            request,
                            CALL_TIMEOUT,
                            this->guarded([this,
                                           key,
                                           token = this->fencing_token,
                                           instance = this->instance_number](
                                            platform::StartResult result) {
                              if (instance != this->instance_number)
                                return;
                              if (result == platform::StartResult::Fenced)
                                this->handle_refused_token(token);
                              this->handle_start_result(key, result);
                            }));
}

void
ServerAgent::handle_start_result(const RunKey& key,
                                 platform::StartResult result)
{
  TrackedRun& run = this->runs[key];
  run.call_in_flight = false;
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
  run.next_call_ms = kernel::boot_ms() + CALL_RETRY_MS;
  run.ticket_rejected = result == platform::StartResult::NoTicket;
  switch (result) {
    case platform::StartResult::Started:
      set_phase(run, RunPhase::Started);
      this->on_change();
      break;
    case platform::StartResult::Ended:
    case platform::StartResult::NoCapacity:
    case platform::StartResult::NoTicket:
      set_phase(run, RunPhase::Stopping);
      run.next_call_ms = 0;
      break;
    default:
      break;
  }
  this->reconcile();
}

void
ServerAgent::stop_run(const RunKey& key, TrackedRun& run)
{
  run.call_in_flight = true;
  this->server_client.stop(
    this->target(),
    key.first,
    key.second,
    CALL_TIMEOUT,
    this->guarded([this,
                   key,
                   token = this->fencing_token,
                   instance = this->instance_number](
                    tl::expected<void, platform::ServerError> result) {
      if (instance != this->instance_number)
        return;
      TrackedRun& stopped = this->runs[key];
      stopped.call_in_flight = false;
      stopped.next_call_ms = kernel::boot_ms() + CALL_RETRY_MS;
      this->log.write(
        RUN_STOP_ANSWERED,
        { { "task", key.first },
          { "attempt", key.second },
          { "server", this->server->instance.id },
          { "result",
            result ? "stopped"
                   : name_of(platform::SERVER_ERROR_NAMES, result.error()) } });
      if (result)
        set_phase(stopped, RunPhase::Stopped);
      else if (result.error() == platform::ServerError::Fenced)
        this->handle_refused_token(token);
    }));
}

void
ServerAgent::set_phase(TrackedRun& run, RunPhase phase)
{
  run.phase = phase;
  run.phase_started_ms = kernel::boot_ms();
}

/// Whether a best-effort task runs beside a task with a latency target.
bool
ServerAgent::must_pace() const
{
  bool best_effort = false;
  bool has_latency_task = false;
  for (const std::pair<const RunKey, TrackedRun>& item : this->runs) {
    best_effort = best_effort || item.second.order.fills();
    has_latency_task =
      has_latency_task || item.second.order.latency_target_ms() > 0;
  }
  return best_effort && has_latency_task;
}

/// Sets the pace of best-effort tasks by the tail response times of the tasks
/// with a latency target.
void
ServerAgent::update_pace()
{
  std::vector<LatencyTask> latency_tasks;
  for (const platform::RunningTask& task : this->lists.running) {
    std::map<RunKey, TrackedRun>::const_iterator run =
      this->runs.find({ task.task, task.attempt });
    if (run != this->runs.end() && run->second.order.latency_target_ms() > 0)
      latency_tasks.push_back(
        { task.load, run->second.order.latency_target_ms() });
  }
  std::uint32_t before = this->pacer.pace_percent();
  std::uint32_t percent = this->pacer.update(latency_tasks, kernel::boot_ms());
  if (percent != before)
    this->log.write(
      PACE_CHANGED,
      { { "server", this->server->instance.id }, { "percent", percent } });
  for (const platform::RunningTask& task : this->lists.running) {
    RunKey key{ task.task, task.attempt };
    std::map<RunKey, TrackedRun>::iterator run = this->runs.find(key);
    bool due = run != this->runs.end() && run->second.order.fills() &&
               run->second.phase == RunPhase::Started &&
               run->second.pace_percent != percent &&
               !run->second.pace_call_in_flight;
    if (due)
      this->set_pace(key, run->second, percent);
  }
}

void
ServerAgent::set_pace(const RunKey& key, TrackedRun& run, std::uint32_t percent)
{
  run.pace_call_in_flight = true;
  this->server_client.pace(
    this->target(),
    key.first,
    key.second,
    percent,
    CALL_TIMEOUT,
    this->guarded([this,
                   key,
                   percent,
                   token = this->fencing_token,
                   instance = this->instance_number](
                    tl::expected<void, platform::ServerError> result) {
      std::map<RunKey, TrackedRun>::iterator found = this->runs.find(key);
      if (instance != this->instance_number || found == this->runs.end())
        return;
      found->second.pace_call_in_flight = false;
      if (result)
        found->second.pace_percent = percent;
      else if (result.error() == platform::ServerError::Fenced)
        this->handle_refused_token(token);
    }));
}

} // namespace geraniumhinge::agent
