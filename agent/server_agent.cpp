#include "agent/server_agent.h"

#include "agent/events.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

constexpr kernel::Milliseconds CALL_TIMEOUT{ 700 };
/// Beyond the wait that a look asks for.
constexpr kernel::Milliseconds LOOK_SLACK{ 700 };
constexpr kernel::Milliseconds LOOK_RETRY{ 200 };
constexpr std::int64_t CALL_RETRY_MS = 200;
constexpr kernel::Milliseconds TICK{ 100 };
/// A start that had no effect for this long is given up.
constexpr std::int64_t START_LIMIT_MS = 2'000;
/// A refused fencing token is raised by this, twice as much each time.
constexpr std::uint64_t FENCE_STEP = 1'000;

core::Resources
demand_of(const v1::RunOrder& order)
{
  return { order.demand().millicores(),
           order.demand().memory_mb(),
           order.demand().accelerators() };
}

} // namespace

ServerAgent::ServerAgent(kernel::Loop& loop,
                         kernel::TimerService& timers,
                         const kernel::Log& log,
                         kernel::Metrics& metrics,
                         platform::WorkerClient& worker,
                         ServerAgentOptions options,
                         std::function<void()> on_change)
  : Task(loop, "server_agent")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , worker(worker)
  , options(std::move(options))
  , on_change(std::move(on_change))
  // The agent before this one on the same VM used the time of its own start.
  , fencing_token(static_cast<std::uint64_t>(kernel::unix_ms()))
  , fence_step(FENCE_STEP)
{
  this->tick = this->timers.every(TICK, [this] { this->reconcile(); });
}

platform::WorkerTarget
ServerAgent::target() const
{
  return { this->server->address, this->server->life, this->fencing_token };
}

bool
ServerAgent::usable() const
{
  return this->server && this->listed;
}

bool
ServerAgent::owner_heard() const
{
  return this->owner_heard_ms != 0 && kernel::boot_ms() - this->owner_heard_ms <
                                        this->options.orphan.count();
}

/// A server that does not answer gets no longer lease: when the last one has
/// expired must stay known.
bool
ServerAgent::may_grant() const
{
  return this->answering && this->owner_heard();
}

void
ServerAgent::announced(const platform::Announcement& announcement)
{
  bool same = this->server && this->server->life == announcement.life;
  if (!same) {
    this->begin_life(announcement);
    return;
  }
  // Announcements may arrive out of order.
  if (announcement.sequence < this->server->sequence)
    return;
  bool changed = announcement.draining != this->server->draining;
  this->server = announcement;
  if (changed) {
    this->log.write(SERVER_STATE_CHANGED,
                    { { "server", announcement.life.id },
                      { "draining", announcement.draining },
                      { "sequence", announcement.sequence } });
    this->reconcile();
    this->on_change();
  }
}

void
ServerAgent::departed(const std::string& id)
{
  if (!this->server || this->server->life.id != id)
    return;
  this->log.write(SERVER_LEFT, { { "server", id } });
  this->leaving = true;
}

void
ServerAgent::begin_life(const platform::Announcement& announcement)
{
  std::int64_t now = kernel::boot_ms();
  this->log.write(SERVER_LIFE_BEGAN,
                  { { "server", announcement.life.id },
                    { "born_ms", announcement.life.born_ms },
                    { "address", announcement.address } });
  this->server = announcement;
  ++this->life_number;
  // Orders that a late call still carries are refused by the new life.
  ++this->fencing_token;
  this->lease_clock.reset(now, this->options.max_lease.count());
  this->lists = {};
  this->listed = false;
  this->looking = false;
  this->answering = false;
  this->leaving = false;
  this->lease_over = false;
  this->stored_ends = 0;
  this->have_orders = false;
  this->runs.clear();
  this->look();
}

void
ServerAgent::look()
{
  if (!this->server || this->looking)
    return;
  this->looking = true;
  std::int64_t now = kernel::boot_ms();
  platform::LeaseOrder order;
  if (this->may_grant())
    order.lease_until_ms =
      this->lease_clock.grant(now, this->options.lease.count());
  order.seen_ends = this->stored_ends;
  // The first look of a life and a look for a stopped run do not wait.
  bool hurry = !this->listed;
  for (const std::pair<const RunKey, RunTrack>& item : this->runs)
    hurry = hurry || item.second.phase == RunPhase::Stopped;
  order.wait = hurry ? kernel::Milliseconds(0) : this->options.watch;
  this->worker.hold(
    this->target(),
    order,
    order.wait + LOOK_SLACK,
    this->guarded(
      [this, now, life = this->life_number](
        tl::expected<platform::WorkerLists, platform::WorkerError> answer) {
        if (life == this->life_number)
          this->looked(now, std::move(answer));
      }));
}

void
ServerAgent::looked(
  std::int64_t sent_ms,
  tl::expected<platform::WorkerLists, platform::WorkerError> answer)
{
  this->looking = false;
  bool other_life = answer && answer->born_ms != 0 &&
                    this->server->life.born_ms != 0 &&
                    answer->born_ms != this->server->life.born_ms;
  if (answer && !other_life) {
    this->take_lists(sent_ms, std::move(*answer));
    this->post([this] { this->look(); });
    return;
  }
  this->look_failed(other_life ? platform::WorkerError::OtherLife
                               : answer.error());
  this->look_retry = this->timers.after(LOOK_RETRY, [this] { this->look(); });
}

void
ServerAgent::take_lists(std::int64_t sent_ms, platform::WorkerLists lists)
{
  this->lease_clock.answered(sent_ms, kernel::boot_ms(), lists.clock_ms);
  bool changed = !this->listed || !this->answering || this->lease_over ||
                 lists.ended.size() != this->lists.ended.size() ||
                 lists.running.size() != this->lists.running.size();
  if (!this->listed)
    this->log.write(SERVER_LISTED,
                    { { "server", this->server->life.id },
                      { "running", lists.running.size() },
                      { "ended", lists.ended.size() } });
  this->listed = true;
  this->answering = true;
  this->lease_over = false;
  std::set<RunKey> running;
  for (const platform::RunningTask& task : lists.running)
    running.insert({ task.task, task.attempt });
  std::set<RunKey> ended;
  for (const platform::EndedTask& task : lists.ended)
    ended.insert({ task.task, task.attempt });
  for (std::pair<const RunKey, RunTrack>& item : this->runs) {
    RunTrack& run = item.second;
    bool there = running.contains(item.first);
    run.listed = run.listed || there;
    if (run.phase == RunPhase::Starting && there)
      this->enter(item.first, run, RunPhase::Started);
    // The look was sent after the start or stop was confirmed.
    bool settled = sent_ms > run.since_ms && !there &&
                   !ended.contains(item.first) && !run.calling;
    if (settled && run.phase == RunPhase::Stopped) {
      this->enter(item.first, run, RunPhase::Absent);
      changed = true;
    } else if (settled && run.phase == RunPhase::Started) {
      this->enter(item.first, run, RunPhase::Stopping);
    }
  }
  std::erase_if(this->runs,
                [&ended](const std::pair<const RunKey, RunTrack>& item) {
                  return ended.contains(item.first) && !item.second.calling;
                });
  this->lists = std::move(lists);
  this->reconcile();
  if (changed)
    this->on_change();
}

void
ServerAgent::look_failed(platform::WorkerError error)
{
  this->metrics.counter("agent_looks_failed_total").add();
  if (error == platform::WorkerError::Fenced)
    this->fenced();
  bool first = std::exchange(this->answering, false);
  bool over = this->leaving || this->lease_clock.expired(kernel::boot_ms());
  if (over == this->lease_over) {
    if (first)
      this->on_change();
    return;
  }
  this->lease_over = over;
  this->log.write(SERVER_LEASE_OVER,
                  { { "server", this->server->life.id },
                    { "error", name_of(platform::WORKER_ERROR_NAMES, error) },
                    { "runs", this->lists.running.size() } });
  this->on_change();
}

void
ServerAgent::fenced()
{
  this->fencing_token = std::max(this->fencing_token + this->fence_step,
                                 static_cast<std::uint64_t>(kernel::unix_ms()));
  this->fence_step *= 2;
  this->log.write(FENCING_TOKEN_RAISED, { { "token", this->fencing_token } });
}

bool
ServerAgent::wanted(const RunKey& key) const
{
  return std::any_of(this->orders.runs().begin(),
                     this->orders.runs().end(),
                     [&key](const v1::RunOrder& order) {
                       return order.task() == key.first &&
                              order.attempt() == key.second;
                     });
}

bool
ServerAgent::asked_to_stop(const RunKey& key) const
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
  this->owner_heard_ms = kernel::boot_ms();
  bool newer =
    orders.term() > this->term || orders.sequence() > this->orders.sequence();
  this->term = orders.term();
  bool ours = this->server && orders.life().id() == this->server->life.id &&
              orders.life().born_ms() == this->server->life.born_ms;
  if (!newer)
    return;
  this->orders = orders;
  this->have_orders = ours;
  if (!ours) {
    this->orders.clear_runs();
    this->orders.clear_stops();
    return;
  }
  this->stored_ends = std::max(this->stored_ends, orders.stored_ends());
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
ServerAgent::track_strays()
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
    this->enter(
      key, run, this->wanted(key) ? RunPhase::Started : RunPhase::Stopping);
  }
}

void
ServerAgent::reconcile()
{
  if (!this->usable() || !this->have_orders)
    return;
  this->track_strays();
  this->track_orders();
  for (std::pair<const RunKey, RunTrack>& item : this->runs)
    this->advance(item.first, item.second);
  // The owner waits no longer for these.
  std::erase_if(
    this->runs, [this](const std::pair<const RunKey, RunTrack>& item) {
      return item.second.phase == RunPhase::Absent && !item.second.calling &&
             !this->wanted(item.first) && !this->asked_to_stop(item.first);
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
  if (active && !run.calling && (!this->wanted(key) || given_up)) {
    // A run that was never sent can't be there.
    this->enter(
      key, run, run.attempted ? RunPhase::Stopping : RunPhase::Absent);
    if (run.phase == RunPhase::Absent)
      this->on_change();
  }
  if (run.calling || now < run.retry_ms)
    return;
  if ((run.phase == RunPhase::Waiting && this->has_room(run.order)) ||
      run.phase == RunPhase::Starting)
    this->start(key, run);
  else if (run.phase == RunPhase::Stopping)
    this->stop(key, run);
}

bool
ServerAgent::has_room(const v1::RunOrder& order) const
{
  core::Resources free = this->server->room;
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
  if (!this->may_grant())
    return;
  if (run.phase == RunPhase::Waiting)
    this->enter(key, run, RunPhase::Starting);
  run.calling = true;
  run.attempted = true;
  platform::StartOrder order;
  order.task = key.first;
  order.attempt = key.second;
  order.payload = run.order.payload();
  order.checkpoint = run.order.checkpoint();
  order.lease_until_ms =
    this->lease_clock.grant(kernel::boot_ms(), this->options.lease.count());
  this->worker.start(this->target(),
                     order,
                     CALL_TIMEOUT,
                     this->guarded([this, key, life = this->life_number](
                                     platform::StartResult result) {
                       if (life == this->life_number)
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
                    { "server", this->server->life.id },
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
      this->fenced();
      break;
    case platform::StartResult::Ended:
    case platform::StartResult::NoRoom:
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
    this->guarded([this, key, life = this->life_number](
                    tl::expected<void, platform::WorkerError> result) {
      if (life != this->life_number)
        return;
      RunTrack& stopped = this->runs[key];
      stopped.calling = false;
      stopped.retry_ms = kernel::boot_ms() + CALL_RETRY_MS;
      this->log.write(
        RUN_STOP_ANSWERED,
        { { "task", key.first },
          { "attempt", key.second },
          { "server", this->server->life.id },
          { "result",
            result ? "stopped"
                   : name_of(platform::WORKER_ERROR_NAMES, result.error()) } });
      if (result)
        this->enter(key, stopped, RunPhase::Stopped);
      else if (result.error() == platform::WorkerError::Fenced)
        this->fenced();
    }));
}

void
ServerAgent::enter(const RunKey&, RunTrack& run, RunPhase phase)
{
  run.phase = phase;
  run.since_ms = kernel::boot_ms();
}

v1::ServerReport
ServerAgent::report()
{
  v1::ServerReport report;
  report.set_sequence(++this->report_sequence);
  report.set_term(this->term);
  if (!this->usable())
    return report;
  report.mutable_life()->set_id(this->server->life.id);
  report.mutable_life()->set_born_ms(this->server->life.born_ms);
  report.mutable_life()->set_node(this->options.node);
  report.set_service(this->server->service);
  report.set_zone(this->server->zone);
  report.set_rack(this->server->rack);
  for (const std::string& label : this->server->labels)
    report.add_labels(label);
  report.mutable_room()->set_millicores(this->server->room.millicores);
  report.mutable_room()->set_memory_mb(this->server->room.memory_mb);
  report.mutable_room()->set_accelerators(this->server->room.accelerators);
  report.set_ready(!this->server->draining && this->answering);
  report.set_lease_over(this->lease_over);
  report.set_listed(this->listed);
  report.set_orders_sequence(this->orders.sequence());
  for (const platform::RunningTask& task : this->lists.running) {
    v1::RunReport& run = *report.add_running();
    run.set_task(task.task);
    run.set_attempt(task.attempt);
    run.set_checkpoint(task.checkpoint);
    run.set_percent(task.percent);
  }
  for (const platform::EndedTask& task : this->lists.ended) {
    v1::EndReport& end = *report.add_ended();
    end.set_number(task.number);
    end.set_task(task.task);
    end.set_attempt(task.attempt);
    end.set_kind(static_cast<std::uint32_t>(task.kind));
    end.set_checkpoint(task.checkpoint);
  }
  for (const std::pair<const RunKey, RunTrack>& item : this->runs) {
    if (item.second.phase != RunPhase::Absent)
      continue;
    v1::EndReport& end = *report.add_ended();
    end.set_task(item.first.first);
    end.set_attempt(item.first.second);
    end.set_kind(static_cast<std::uint32_t>(core::EndKind::Absent));
  }
  return report;
}

} // namespace geraniumhinge::agent
