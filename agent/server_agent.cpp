#include "agent/server_agent.h"

#include "agent/events.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

/// Time limit of a poll beyond its requested wait.
constexpr kernel::Milliseconds POLL_TIMEOUT_SLACK{ 300 };
constexpr kernel::Milliseconds POLL_RETRY{ 200 };
constexpr std::int64_t IGNORED_LOG_PERIOD_MS = 10'000;
constexpr kernel::Milliseconds UNSTORED_ENDS_POLL_DELAY{ 100 };
constexpr kernel::Milliseconds RECONCILE_PERIOD{ 100 };
/// Wait of one poll while best-effort tasks run beside latency tasks, so that
/// their pace follows the response times.
constexpr kernel::Milliseconds PACING_POLL_WAIT{ 250 };
/// Wait of one poll while no owner has been seen lately. A poll renews the
/// lease only if it is sent after the owner's reply, so a long one would delay
/// that.
constexpr kernel::Milliseconds OWNERLESS_POLL_WAIT{ 200 };
/// Consecutive refused connections after which the instance counts as ended.
constexpr int MAX_REFUSED_POLLS = 2;
/// A server lists at most this many ends at once, the oldest ones.
constexpr std::size_t MAX_LISTED_ENDS = 500;
/// First increment of a refused fencing token; doubled at each refusal.
constexpr std::uint64_t FENCING_TOKEN_STEP = 1'000;

} // namespace

ServerAgent::ServerAgent(kernel::Loop& loop,
                         kernel::TimerService& timers,
                         const kernel::Log& log,
                         kernel::Metrics& metrics,
                         platform::ServerClient& server_client,
                         ServerAgentOptions options,
                         std::function<void()> on_change)
  : Task(loop, "server_agent")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , server_client(server_client)
  , options(std::move(options))
  , on_change(std::move(on_change))
  , ignored_announcements(IGNORED_LOG_PERIOD_MS)
  // The boot time exceeds the tokens of earlier agents, which began with it as
  // well: the server runs on this VM and ends at its reboot. The time of day
  // may be set back.
  , fencing_token(static_cast<std::uint64_t>(kernel::boot_ms()))
  , fencing_token_step(FENCING_TOKEN_STEP)
  , started_ms(kernel::boot_ms())
{
  this->reconcile_timer =
    this->timers.every(RECONCILE_PERIOD, [this] { this->reconcile(); });
}

platform::ServerTarget
ServerAgent::target() const
{
  return { this->server->address, this->server->instance, this->fencing_token };
}

bool
ServerAgent::state_is_known() const
{
  return this->server && this->lists_known && !this->instance_replaced &&
         this->stray_runs.empty();
}

bool
ServerAgent::unknown_leases_expired() const
{
  return this->server && this->lease_clock.expired(kernel::boot_ms());
}

bool
ServerAgent::owner_seen_lately() const
{
  return this->owner_last_seen_ms != 0 &&
         kernel::boot_ms() - this->owner_last_seen_ms <
           this->options.orphan_timeout.count();
}

/// Whether a poll or a start may extend the lease. A server that does not
/// answer gets no extension, so that the expiry of its last lease stays known.
bool
ServerAgent::may_renew_lease() const
{
  return this->answering && this->owner_seen_lately();
}

/// Returns the end, on the server's clock, of a lease that begins now. If the
/// lease may have expired before, the owner may have placed the runs on other
/// servers: the lease then comes with a higher token, so that the server
/// refuses delayed starts from before.
std::int64_t
ServerAgent::grant_lease(std::int64_t now_ms)
{
  this->has_granted_lease = true;
  if (std::exchange(this->renewal_interrupted, false))
    ++this->fencing_token;
  return this->lease_clock.grant(now_ms, this->options.lease.count());
}

/// For how long this process has run without granting a lease; 0 if it has
/// granted one.
std::int64_t
ServerAgent::no_lease_ms(std::int64_t now_ms) const
{
  return this->has_granted_lease ? 0 : now_ms - this->started_ms;
}

/// Records that the owner has replied to a report. The time of the report
/// counts: the reply may have been under way for long, or this process paused.
void
ServerAgent::record_owner_reply(const v1::ServerOrders& orders)
{
  if (orders.agent_incarnation() != this->options.incarnation)
    return;
  std::optional<std::int64_t> sent_ms =
    this->reports.sent_ms(orders.report_sequence());
  if (sent_ms)
    this->owner_last_seen_ms = std::max(this->owner_last_seen_ms, *sent_ms);
}

/// Discards all orders from before the next report. The owner may start the
/// tasks on other servers because of that report.
void
ServerAgent::discard_orders()
{
  this->orders_are_current = false;
  this->first_valid_report = this->reports.last() + 1;
}

/// Runs that may have started on the server without being listed by it.
std::set<ServerAgent::RunKey>
ServerAgent::unconfirmed_starts() const
{
  std::set<RunKey> unconfirmed;
  for (const std::pair<const RunKey, TrackedRun>& item : this->runs) {
    const TrackedRun& run = item.second;
    bool ended =
      run.phase == RunPhase::Stopped || run.phase == RunPhase::NeverStarted;
    if (run.start_sent && !run.seen_on_server && !ended)
      unconfirmed.insert(item.first);
  }
  return unconfirmed;
}

kernel::Milliseconds
ServerAgent::longest_poll_wait() const
{
  kernel::Milliseconds wait = this->options.poll_wait;
  if (this->must_pace())
    wait = std::min(wait, PACING_POLL_WAIT);
  if (this->answering && !this->owner_seen_lately())
    wait = std::min(wait, OWNERLESS_POLL_WAIT);
  return wait;
}

void
ServerAgent::poll_server()
{
  if (!this->server || this->poll_in_flight || this->instance_replaced)
    return;
  this->poll_in_flight = true;
  std::int64_t now = kernel::boot_ms();
  platform::LeaseRequest request;
  if (this->may_renew_lease())
    request.lease_until_ms = this->grant_lease(now);
  else
    this->renewal_interrupted = true;
  request.acknowledged_ends = this->acknowledged_ends();
  this->log_acknowledgement(request.acknowledged_ends);
  // The first poll of an instance and a poll after a confirmed stop return at
  // once.
  bool no_wait = !this->lists_known;
  for (const std::pair<const RunKey, TrackedRun>& item : this->runs)
    no_wait = no_wait || item.second.phase == RunPhase::Stopped;
  request.wait = no_wait ? kernel::Milliseconds(0) : this->longest_poll_wait();
  this->poll_timeout = request.wait + POLL_TIMEOUT_SLACK;
  this->server_client.renew_lease(
    this->target(),
    request,
    this->poll_timeout,
    this->guarded(
      [this,
       now,
       token = this->fencing_token,
       instance = this->instance_number](
        tl::expected<platform::ServerTaskLists, platform::ServerError> result) {
        if (instance != this->instance_number)
          return;
        if (!result && result.error() == platform::ServerError::Fenced)
          this->handle_refused_token(token);
        this->poll_answered(now, std::move(result));
      }));
}

/// Number of the newest listed end that the owner has stored. Ends that were
/// not listed are not acknowledged: the server may have restarted unnoticed,
/// and its new instance numbers ends from the beginning.
std::uint64_t
ServerAgent::acknowledged_ends() const
{
  std::uint64_t acknowledged = 0;
  if (!this->answering || this->lists.malformed_rows > 0)
    return acknowledged;
  for (const platform::EndedTask& end : this->lists.ended) {
    if (end.number <= this->stored_ends)
      acknowledged = std::max(acknowledged, end.number);
  }
  return acknowledged;
}

void
ServerAgent::log_acknowledgement(std::uint64_t number)
{
  if (number <= this->last_acknowledged_end)
    return;
  this->last_acknowledged_end = number;
  this->log.write(ENDS_ACKNOWLEDGED,
                  { { "server", this->server->instance.id },
                    { "number", number },
                    { "term", this->term },
                    { "orders", this->orders.sequence() } });
}

void
ServerAgent::poll_answered(
  std::int64_t sent_ms,
  tl::expected<platform::ServerTaskLists, platform::ServerError> result)
{
  this->poll_in_flight = false;
  bool replaced = result && this->is_other_instance(*result);
  if (result && !replaced) {
    this->apply_lists(sent_ms, std::move(*result));
    // A server with unacknowledged ends answers at once, so a delay limits the
    // polls until these ends are stored.
    if (this->lists.ended.empty())
      this->post([this] { this->poll_server(); });
    else
      this->poll_retry = this->timers.after(UNSTORED_ENDS_POLL_DELAY,
                                            [this] { this->poll_server(); });
    return;
  }
  this->poll_failed(
    replaced ? platform::ServerError::OtherInstance : result.error(), sent_ms);
  this->poll_retry =
    this->timers.after(POLL_RETRY, [this] { this->poll_server(); });
}

void
ServerAgent::apply_lists(std::int64_t sent_ms, platform::ServerTaskLists lists)
{
  this->lease_clock.record_response(sent_ms, kernel::boot_ms(), lists.clock_ms);
  bool changed = !this->lists_known || !this->answering ||
                 this->leases_expired ||
                 lists.ended.size() != this->lists.ended.size() ||
                 lists.running.size() != this->lists.running.size();
  if (lists.malformed_rows > 0)
    this->metrics.counter("agent_malformed_rows_total")
      .add(lists.malformed_rows);
  if (lists.malformed_rows != this->lists.malformed_rows)
    this->log.write(SERVER_ROWS_MALFORMED,
                    { { "server", this->server->instance.id },
                      { "rows", lists.malformed_rows } });
  if (!this->lists_known)
    this->log.write(SERVER_LISTED,
                    { { "server", this->server->instance.id },
                      { "running", lists.running.size() },
                      { "ended", lists.ended.size() } });
  this->lists_known = true;
  this->answering = true;
  this->leases_expired = false;
  this->refused_polls = 0;
  std::set<RunKey> running;
  for (const platform::RunningTask& task : lists.running)
    running.insert({ task.task, task.attempt });
  std::set<RunKey> ended;
  for (const platform::EndedTask& task : lists.ended)
    ended.insert({ task.task, task.attempt });
  bool complete =
    lists.malformed_rows == 0 && lists.ended.size() < MAX_LISTED_ENDS;
  for (std::pair<const RunKey, TrackedRun>& item : this->runs) {
    TrackedRun& run = item.second;
    bool on_server = running.contains(item.first);
    run.seen_on_server = run.seen_on_server || on_server;
    if (run.phase == RunPhase::Starting && on_server)
      set_phase(run, RunPhase::Started);
    // The poll was sent after the server confirmed the start or stop, so a run
    // that is in neither list is not on the server.
    bool certainly_absent = complete && sent_ms > run.phase_started_ms &&
                            !on_server && !ended.contains(item.first) &&
                            !run.call_in_flight;
    if (certainly_absent && run.phase == RunPhase::Stopped) {
      set_phase(run, RunPhase::NeverStarted);
      changed = true;
    } else if (certainly_absent && run.phase == RunPhase::Started) {
      set_phase(run, RunPhase::Stopping);
    }
  }
  std::erase_if(
    this->runs, [&ended](const std::pair<const RunKey, TrackedRun>& item) {
      return ended.contains(item.first) && !item.second.call_in_flight;
    });
  this->lists = std::move(lists);
  bool was_known = this->state_is_known();
  this->reconcile();
  changed = changed || this->state_is_known() != was_known;
  this->update_pace();
  if (changed)
    this->on_change();
}

void
ServerAgent::poll_failed(platform::ServerError error, std::int64_t sent_ms)
{
  std::int64_t now = kernel::boot_ms();
  this->metrics.counter("agent_looks_failed_total").add();
  bool was_answering = std::exchange(this->answering, false);
  if (was_answering) {
    // A server that hangs may have crashed as soon as the poll was sent.
    bool timed_out = now - sent_ms >= this->poll_timeout.count();
    this->silent_since_ms = timed_out ? sent_ms : now;
  }
  this->refused_polls = error == platform::ServerError::ConnectionRefused
                          ? this->refused_polls + 1
                          : 0;
  // Another instance answers at the address: the runs of this instance have
  // ended, and its lists must not be reported for the other instance.
  if (error == platform::ServerError::OtherInstance) {
    this->instance_replaced = true;
    this->lists = {};
    this->lease_clock.reset(now, this->options.max_lease.count());
  }
  int refusals_needed = this->leaving ? 1 : MAX_REFUSED_POLLS;
  bool instance_ended =
    this->instance_replaced || this->refused_polls >= refusals_needed;
  if (instance_ended)
    this->record_crash();
  bool expired = instance_ended || this->lease_clock.expired(kernel::boot_ms());
  if (expired == this->leases_expired) {
    if (was_answering)
      this->on_change();
    return;
  }
  this->leases_expired = expired;
  if (expired)
    this->discard_orders();
  LeaseState lease = this->lease_clock.state(kernel::boot_ms());
  this->log.write(SERVER_LEASE_OVER,
                  { { "server", this->server->instance.id },
                    { "over", expired },
                    { "instance_ended", instance_ended },
                    { "error", name_of(platform::SERVER_ERROR_NAMES, error) },
                    { "runs", this->lists.running.size() },
                    { "granted_until_ms", lease.granted_until_ms },
                    { "min_server_clock_ms", lease.min_server_clock_ms },
                    { "response_age_ms", lease.response_age_ms },
                    { "response_took_ms", lease.response_took_ms } });
  this->on_change();
}

/// Whether the run was on the server, or its start request may have reached it.
bool
ServerAgent::may_be_on_server(const TrackedRun& run) const
{
  if (run.phase == RunPhase::Waiting || run.phase == RunPhase::NeverStarted)
    return false;
  return run.seen_on_server || run.start_sent;
}

/// Records that the instance has ended, unless it had announced its departure.
void
ServerAgent::record_crash()
{
  if (this->leaving || this->server->draining)
    return;
  std::int64_t now = kernel::boot_ms();
  core::ServerCrash crash{ this->server->instance, {} };
  std::int64_t last_alive_ms = this->answering ? now : this->silent_since_ms;
  std::string tasks;
  for (const std::pair<const RunKey, TrackedRun>& item : this->runs) {
    if (!this->may_be_on_server(item.second))
      continue;
    std::int64_t ran_ms = last_alive_ms - item.second.first_start_ms;
    crash.runs.push_back({ item.first.first,
                           item.first.second,
                           std::max<std::int64_t>(ran_ms, 0) });
    tasks += fmt::format("{}{}:{}ms",
                         tasks.empty() ? "" : ",",
                         item.first.first,
                         crash.runs.back().ran_ms);
  }
  if (!this->crash_log.record(std::move(crash), now))
    return;
  this->metrics.counter("agent_server_crashes_total").add();
  this->log.write(SERVER_CRASHED,
                  { { "server", this->server->instance.id },
                    { "silent_ms", now - last_alive_ms },
                    { "runs", tasks } });
}

/// Raises the fencing token after a refusal. Calls that were overtaken by one
/// with a higher token of this process are refused as well.
void
ServerAgent::handle_refused_token(std::uint64_t token)
{
  if (token != this->fencing_token)
    return;
  this->fencing_token = std::max(this->fencing_token + this->fencing_token_step,
                                 static_cast<std::uint64_t>(kernel::unix_ms()));
  this->fencing_token_step *= 2;
  this->log.write(FENCING_TOKEN_RAISED, { { "token", this->fencing_token } });
}

} // namespace geraniumhinge::agent
