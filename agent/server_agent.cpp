#include "agent/server_agent.h"

#include "agent/events.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

/// Beyond the wait that a poll asks for.
constexpr kernel::Milliseconds LOOK_SLACK{ 300 };
constexpr kernel::Milliseconds POLL_RETRY{ 200 };
constexpr kernel::Milliseconds UNSTORED_PAUSE{ 100 };
constexpr kernel::Milliseconds TICK{ 100 };
/// Polls a server whose best-effort tasks may disturb others.
constexpr kernel::Milliseconds PACING_WATCH{ 250 };
/// A server at whose address nobody listens so often has ended.
constexpr int GONE_AFTER_REFUSALS = 2;
/// A refused fencing token is raised by this, twice as much each time.
constexpr std::uint64_t FENCE_STEP = 1'000;

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
  return { this->server->address, this->server->instance, this->fencing_token };
}

bool
ServerAgent::usable() const
{
  return this->server && this->listed && !this->replaced;
}

bool
ServerAgent::owner_seen_lately() const
{
  return this->owner_last_seen_ms != 0 &&
         kernel::boot_ms() - this->owner_last_seen_ms <
           this->options.orphan.count();
}

/// A server that does not answer gets no longer lease: when the last one has
/// expired must stay known.
bool
ServerAgent::may_renew_lease() const
{
  return this->answering && this->owner_seen_lately();
}

void
ServerAgent::apply_announcement(const platform::Announcement& announcement)
{
  bool same = this->server && this->server->instance == announcement.instance;
  if (!same) {
    this->begin_instance(announcement);
    return;
  }
  // Announcements may arrive out of order.
  if (announcement.sequence < this->server->sequence)
    return;
  bool changed = announcement.draining != this->server->draining;
  this->server = announcement;
  this->announced_ms = kernel::boot_ms();
  if (changed) {
    this->log.write(SERVER_STATE_CHANGED,
                    { { "server", announcement.instance.id },
                      { "draining", announcement.draining },
                      { "stays_ms", announcement.min_stay_ms },
                      { "sequence", announcement.sequence } });
    this->reconcile();
    this->on_change();
  }
}

void
ServerAgent::apply_departure(const std::string& id)
{
  if (!this->server || this->server->instance.id != id)
    return;
  this->log.write(SERVER_LEFT, { { "server", id } });
  this->leaving = true;
}

void
ServerAgent::begin_instance(const platform::Announcement& announcement)
{
  std::int64_t now = kernel::boot_ms();
  this->log.write(SERVER_INSTANCE_STARTED,
                  { { "server", announcement.instance.id },
                    { "born_ms", announcement.instance.started_ms },
                    { "address", announcement.address } });
  this->server = announcement;
  this->announced_ms = now;
  this->refused_polls = 0;
  this->pacer = {};
  ++this->instance_number;
  // Orders that a late call still carries are refused by the new instance.
  ++this->fencing_token;
  this->lease_clock.reset(now, this->options.max_lease.count());
  this->lists = {};
  this->listed = false;
  this->poll_in_flight = false;
  this->answering = false;
  this->leaving = false;
  this->replaced = false;
  this->lease_over = false;
  this->stored_ends = 0;
  this->have_orders = false;
  this->runs.clear();
  this->poll_server();
}

void
ServerAgent::poll_server()
{
  if (!this->server || this->poll_in_flight || this->replaced)
    return;
  this->poll_in_flight = true;
  std::int64_t now = kernel::boot_ms();
  platform::LeaseRequest order;
  if (this->may_renew_lease())
    order.lease_until_ms =
      this->lease_clock.grant(now, this->options.lease.count());
  order.acknowledged_ends = this->acknowledged_ends();
  // The first poll of an instance and a poll for a stopped run do not wait.
  bool hurry = !this->listed;
  for (const std::pair<const RunKey, RunTrack>& item : this->runs)
    hurry = hurry || item.second.phase == RunPhase::Stopped;
  order.wait = hurry ? kernel::Milliseconds(0)
               : this->pacing()
                 ? std::min(PACING_WATCH, this->options.poll_wait)
                 : this->options.poll_wait;
  this->worker.renew_lease(
    this->target(),
    order,
    order.wait + LOOK_SLACK,
    this->guarded(
      [this, now, instance = this->instance_number](
        tl::expected<platform::WorkerLists, platform::WorkerError> answer) {
        if (instance == this->instance_number)
          this->poll_answered(now, std::move(answer));
      }));
}

/// The newest listed end that is stored. Only these are acknowledged: a server
/// may have started again unnoticed, and then counts from the beginning.
std::uint64_t
ServerAgent::acknowledged_ends() const
{
  std::uint64_t seen = 0;
  if (!this->answering)
    return seen;
  for (const platform::EndedTask& end : this->lists.ended) {
    if (end.number <= this->stored_ends)
      seen = std::max(seen, end.number);
  }
  return seen;
}

void
ServerAgent::poll_answered(
  std::int64_t sent_ms,
  tl::expected<platform::WorkerLists, platform::WorkerError> answer)
{
  this->poll_in_flight = false;
  bool other_instance = answer && answer->started_ms != 0 &&
                        this->server->instance.started_ms != 0 &&
                        answer->started_ms != this->server->instance.started_ms;
  if (answer && !other_instance) {
    this->apply_lists(sent_ms, std::move(*answer));
    // With ends that are not stored yet, the server answers at once.
    if (this->lists.ended.empty())
      this->post([this] { this->poll_server(); });
    else
      this->poll_retry =
        this->timers.after(UNSTORED_PAUSE, [this] { this->poll_server(); });
    return;
  }
  this->poll_failed(other_instance ? platform::WorkerError::OtherInstance
                                   : answer.error());
  this->poll_retry =
    this->timers.after(POLL_RETRY, [this] { this->poll_server(); });
}

void
ServerAgent::apply_lists(std::int64_t sent_ms, platform::WorkerLists lists)
{
  this->lease_clock.record_answer(sent_ms, kernel::boot_ms(), lists.clock_ms);
  bool changed = !this->listed || !this->answering || this->lease_over ||
                 lists.ended.size() != this->lists.ended.size() ||
                 lists.running.size() != this->lists.running.size();
  if (!this->listed)
    this->log.write(SERVER_LISTED,
                    { { "server", this->server->instance.id },
                      { "running", lists.running.size() },
                      { "ended", lists.ended.size() } });
  this->listed = true;
  this->answering = true;
  this->lease_over = false;
  this->refused_polls = 0;
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
    // The poll was sent after the start or stop was confirmed.
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
  this->pace_runs();
  if (changed)
    this->on_change();
}

void
ServerAgent::poll_failed(platform::WorkerError error)
{
  this->metrics.counter("agent_looks_failed_total").add();
  if (error == platform::WorkerError::Fenced)
    this->raise_fencing_token();
  bool first = std::exchange(this->answering, false);
  this->refused_polls = error == platform::WorkerError::ConnectionRefused
                          ? this->refused_polls + 1
                          : 0;
  // Another instance answers at the address: nothing of this one runs any more,
  // and what is known of it must not reach the other.
  if (error == platform::WorkerError::OtherInstance) {
    this->replaced = true;
    this->lists = {};
  }
  bool over = this->leaving || this->replaced ||
              this->refused_polls >= GONE_AFTER_REFUSALS ||
              this->lease_clock.expired(kernel::boot_ms());
  if (over == this->lease_over) {
    if (first)
      this->on_change();
    return;
  }
  this->lease_over = over;
  this->log.write(SERVER_LEASE_OVER,
                  { { "server", this->server->instance.id },
                    { "error", name_of(platform::WORKER_ERROR_NAMES, error) },
                    { "runs", this->lists.running.size() } });
  this->on_change();
}

void
ServerAgent::raise_fencing_token()
{
  this->fencing_token = std::max(this->fencing_token + this->fence_step,
                                 static_cast<std::uint64_t>(kernel::unix_ms()));
  this->fence_step *= 2;
  this->log.write(FENCING_TOKEN_RAISED, { { "token", this->fencing_token } });
}

v1::ServerReport
ServerAgent::report()
{
  v1::ServerReport report;
  report.set_sequence(++this->report_sequence);
  report.set_term(this->term);
  if (!this->usable())
    return report;
  report.mutable_life()->set_id(this->server->instance.id);
  report.mutable_life()->set_born_ms(this->server->instance.started_ms);
  report.mutable_life()->set_node(this->options.node);
  report.set_service(this->server->service);
  report.set_zone(this->server->zone);
  report.set_rack(this->server->rack);
  for (const std::string& label : this->server->labels)
    report.add_labels(label);
  report.mutable_room()->set_millicores(this->server->capacity.millicores);
  report.mutable_room()->set_memory_mb(this->server->capacity.memory_mb);
  report.mutable_room()->set_accelerators(this->server->capacity.accelerators);
  report.set_ready(!this->server->draining && this->answering);
  report.set_lease_over(this->lease_over);
  report.set_listed(this->listed);
  report.set_answering(this->answering);
  report.set_leaving(this->server->draining || this->leaving);
  report.set_stays_ms(std::max<std::int64_t>(
    this->server->min_stay_ms - (kernel::boot_ms() - this->announced_ms), 0));
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
    end.set_kind(static_cast<std::uint32_t>(core::RunEndKind::NeverStarted));
  }
  return report;
}

} // namespace geraniumhinge::agent
