// The part of ServerAgent that decides which instance of the backend server the
// agent serves, from announcements and from the server's own responses.

#include "agent/server_agent.h"

#include "agent/events.h"
#include "agent/instance_change.h"
#include "kernel/clock.h"

#include <utility>

namespace geraniumhinge::agent {

namespace {

/// Time limit of a check whether the current instance answers.
constexpr kernel::Milliseconds CHECK_TIMEOUT{ 300 };
constexpr std::int64_t CHECK_PERIOD_MS = 200;

} // namespace

/// Whether the lists come from another instance than the one that is served.
bool
ServerAgent::is_other_instance(const platform::ServerTaskLists& lists) const
{
  std::int64_t started_ms = this->server->instance.started_ms;
  return lists.started_ms != 0 && started_ms != 0 &&
         lists.started_ms != started_ms;
}

void
ServerAgent::apply_announcement(const platform::Announcement& announcement)
{
  if (!this->server) {
    this->begin_instance(announcement);
    return;
  }
  bool same = this->server->instance == announcement.instance &&
              this->server->address == announcement.address;
  if (same)
    this->update_instance(announcement);
  else
    this->check_announced_instance(announcement);
}

void
ServerAgent::update_instance(const platform::Announcement& announcement)
{
  if (is_overtaken(this->server->sequence, announcement.sequence))
    return;
  bool implausible =
    !same_description(*this->server, announcement) ||
    is_sequence_jump(this->server->sequence, announcement.sequence);
  if (implausible && this->announcement_is_recent()) {
    this->ignore_announcement(announcement, IgnoreReason::Description);
    return;
  }
  bool changed = announcement.draining != this->server->draining ||
                 announcement.capacity != this->server->capacity;
  this->server = announcement;
  this->announced_ms = kernel::boot_ms();
  // A departure of the previous instance, which had the same identifier, may
  // be delayed.
  changed = changed || (this->leaving && !announcement.draining);
  this->leaving = this->leaving && announcement.draining;
  if (changed) {
    this->log.write(SERVER_STATE_CHANGED,
                    { { "server", announcement.instance.id },
                      { "draining", announcement.draining },
                      { "stays_ms", announcement.min_stay_ms },
                      { "millicores", announcement.capacity.millicores },
                      { "memory_mb", announcement.capacity.memory_mb },
                      { "accelerators", announcement.capacity.accelerators },
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

/// Asks the current instance whether it lives, before the announced one may
/// replace it. Announcements that arrive meanwhile cause no further check.
void
ServerAgent::check_announced_instance(
  const platform::Announcement& announcement)
{
  this->announced = announcement;
  if (this->check_in_flight || this->check_retry.active())
    return;
  std::int64_t since_ms = kernel::boot_ms() - this->checked_ms;
  if (since_ms >= CHECK_PERIOD_MS)
    this->check_current_instance();
  else
    this->schedule_check(CHECK_PERIOD_MS - since_ms);
}

void
ServerAgent::schedule_check(std::int64_t delay_ms)
{
  this->check_retry =
    this->timers.after(kernel::Milliseconds(delay_ms), [this] {
      this->check_retry.reset();
      this->check_current_instance();
    });
}

void
ServerAgent::check_current_instance()
{
  if (this->instance_replaced || this->refused_polls > 0) {
    this->judge_announced(InstanceState::Ended);
    return;
  }
  this->check_in_flight = true;
  platform::LeaseRequest request;
  request.wait = kernel::Milliseconds(0);
  this->server_client.renew_lease(
    this->target(),
    request,
    CHECK_TIMEOUT,
    this->guarded([this, instance = this->instance_number](
                    const tl::expected<platform::ServerTaskLists,
                                       platform::ServerError>& result) {
      if (instance == this->instance_number)
        this->judge_announced(this->state_shown_by(result));
    }));
}

InstanceState
ServerAgent::state_shown_by(
  const tl::expected<platform::ServerTaskLists, platform::ServerError>& result)
  const
{
  if (result)
    return this->is_other_instance(*result) ? InstanceState::Ended
                                            : InstanceState::Alive;
  switch (result.error()) {
    case platform::ServerError::ConnectionRefused:
    case platform::ServerError::OtherInstance:
      return InstanceState::Ended;
    case platform::ServerError::NoAnswer:
      return InstanceState::Silent;
    case platform::ServerError::Fenced:
    case platform::ServerError::Refused:
    case platform::ServerError::Malformed:
      break;
  }
  return InstanceState::Alive;
}

void
ServerAgent::judge_announced(InstanceState state)
{
  this->check_in_flight = false;
  this->checked_ms = kernel::boot_ms();
  if (!this->announced)
    return;
  InstanceFacts facts;
  facts.current = state;
  facts.leases_expired = this->lease_clock.expired(this->checked_ms);
  facts.is_unconfirmed = this->instance_number > 1 && !this->lists_known;
  facts.has_runs = !this->lists.running.empty() || !this->runs.empty();
  facts.current_is_own_service = this->is_own_service(*this->server);
  facts.announced_is_own_service = this->is_own_service(*this->announced);
  switch (judge_announced_instance(facts)) {
    case InstanceVerdict::Keep:
      this->ignore_announcement(*this->announced, IgnoreReason::Instance);
      this->announced.reset();
      break;
    case InstanceVerdict::Wait:
      this->schedule_check(CHECK_PERIOD_MS);
      break;
    case InstanceVerdict::Replace:
      // Only the server itself shows that it crashed.
      if (state == InstanceState::Ended)
        this->record_crash();
      this->begin_instance(*std::exchange(this->announced, std::nullopt));
      break;
  }
}

bool
ServerAgent::is_own_service(const platform::Announcement& announcement) const
{
  return this->options.service.empty() ||
         announcement.service == this->options.service;
}

/// Counts the announcement, and logs it at a limited rate.
void
ServerAgent::ignore_announcement(const platform::Announcement& announcement,
                                 IgnoreReason reason)
{
  this->metrics.counter("agent_announcements_ignored_total").add();
  std::uint64_t ignored = this->ignored_announcements.record(kernel::boot_ms());
  if (ignored == 0)
    return;
  this->log.write(ANNOUNCEMENT_IGNORED,
                  { { "reason", name_of(IGNORE_REASON_NAMES, reason) },
                    { "server", announcement.instance.id },
                    { "born_ms", announcement.instance.started_ms },
                    { "address", announcement.address },
                    { "service", announcement.service },
                    { "sequence", announcement.sequence },
                    { "current", this->server->instance.id },
                    { "current_address", this->server->address },
                    { "announcements", ignored } });
}

void
ServerAgent::begin_instance(const platform::Announcement& announcement)
{
  std::int64_t now = kernel::boot_ms();
  this->stray_runs = this->unconfirmed_starts();
  this->log.write(SERVER_INSTANCE_STARTED,
                  { { "server", announcement.instance.id },
                    { "born_ms", announcement.instance.started_ms },
                    { "address", announcement.address },
                    { "stray_runs", this->stray_runs.size() } });
  this->server = announcement;
  this->announced_ms = now;
  this->check_in_flight = false;
  this->check_retry.reset();
  this->refused_polls = 0;
  this->pacer = {};
  ++this->instance_number;
  // The new instance refuses delayed calls, which carry the old token.
  ++this->fencing_token;
  this->lease_clock.reset(now, this->options.max_lease.count());
  this->lists = {};
  this->lists_known = false;
  this->poll_in_flight = false;
  this->answering = false;
  this->leaving = false;
  this->instance_replaced = false;
  this->leases_expired = false;
  this->stored_ends = 0;
  this->last_acknowledged_end = 0;
  this->discard_orders();
  this->runs.clear();
  for (const RunKey& key : this->stray_runs) {
    this->runs[key].start_sent = true;
    set_phase(this->runs[key], RunPhase::Stopping);
  }
  this->poll_server();
}

} // namespace geraniumhinge::agent
