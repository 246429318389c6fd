#include "entry/allocations.h"
#include "entry/driver.h"
#include "entry/events.h"
#include "entry/rows.h"

// Part of Driver: from a placement to a started generation.
namespace geraniumhinge::entry {

namespace {

// Time for which a server is avoided after it refused or did not reply to
// Prepare.
constexpr std::int64_t AVOID_REFUSED_MS = 5'000;
// The same for a busy server. Shorter, because the usual cause is an outdated
// copy of the cell row in this entry.
constexpr std::int64_t AVOID_BUSY_MS = 250;
// Generations skipped after an agent has seen a newer one than the row has,
// from a driver that did not commit.
constexpr std::uint32_t STALE_GENERATION_STEP = 16;
constexpr kernel::Milliseconds START_RETRY_DELAY{ 100 };

} // namespace

void
Driver::place(JobPlacement placement)
{
  this->enter_state(DriverState::Preparing);
  ++this->generation;
  this->placement = std::move(placement);
  this->members.assign(this->placement.members.size(), TrackedMember{});
  this->missing_replies = this->members.size();
  for (std::size_t member = 0; member < this->members.size(); ++member)
    this->prepare_member(member);
}

void
Driver::prepare_member(std::size_t member)
{
  const v1::JobSpec& spec = this->job_row.job().spec();
  v1::Envelope envelope = this->new_envelope();
  v1::Prepare& prepare = *envelope.mutable_prepare();
  *prepare.mutable_key() = this->member_key(member);
  prepare.set_accelerators(this->placement.members[member].accelerators());
  prepare.set_cores(spec.shape().cores());
  prepare.set_memory_mb(spec.shape().memory_mb());
  *prepare.mutable_input() = spec.input();
  if (this->job_row.member_checkpoints_size() > static_cast<int>(member))
    prepare.set_checkpoint_key(
      this->job_row.member_checkpoints(static_cast<int>(member)));
  prepare.set_hold_ms(this->context.settings.reservation_period.count());
  for (const v1::MemberPlacement& placed : this->placement.members)
    *prepare.add_gang() = placed;
  this->request(member,
                std::move(envelope),
                this->context.settings.prepare_timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->handle_prepare_reply(member, reply);
                });
}

void
Driver::handle_prepare_reply(std::size_t member,
                             const peer::PeerNode::Reply& reply)
{
  v1::PrepareResult result =
    reply ? reply->prepare_reply().result() : v1::PREPARE_RESULT_UNSPECIFIED;
  const std::string& server = this->placement.members[member].server();
  if (result == v1::PREPARE_RESULT_HELD)
    this->members[member].state = v1::MEMBER_STATE_HELD;
  else if (result == v1::PREPARE_RESULT_BUSY)
    this->avoid_until_ms[server] = kernel::boot_ms() + AVOID_BUSY_MS;
  else
    this->avoid_until_ms[server] = kernel::boot_ms() + AVOID_REFUSED_MS;
  if (result == v1::PREPARE_RESULT_STALE)
    this->generation += STALE_GENERATION_STEP;
  if (!reply)
    this->context.fleet.mark_suspect(server);
  if (--this->missing_replies == 0)
    this->finish_prepare();
}

void
Driver::finish_prepare()
{
  bool all_reserved = true;
  for (const TrackedMember& member : this->members)
    all_reserved = all_reserved && member.state == v1::MEMBER_STATE_HELD;
  if (all_reserved && !this->reload_pending) {
    this->commit_start();
    return;
  }
  this->context.metrics.counter("entry_prepare_failures_total").add();
  this->release_members();
  this->requeue(kernel::Milliseconds(0));
}

void
Driver::release_members()
{
  for (std::size_t member = 0; member < this->members.size(); ++member) {
    v1::Envelope envelope = this->new_envelope();
    *envelope.mutable_release()->mutable_key() = this->member_key(member);
    this->context.transport.send(
      this->placement.members[member].agent_address(), std::move(envelope));
  }
}

void
Driver::requeue(kernel::Milliseconds delay)
{
  this->placement = {};
  this->members.clear();
  if (this->reload_pending || delay.count() != 0) {
    this->call_after(delay, [this] { this->load(); });
    return;
  }
  this->enter_state(DriverState::Queued);
  this->hooks.enqueue(*this);
}

v1::JobRow
Driver::make_running_row() const
{
  v1::JobRow next = this->job_row;
  next.mutable_job()->set_state(v1::JOB_STATE_RUNNING);
  next.mutable_job()->set_generation(this->generation);
  next.mutable_job()->set_started_ms(kernel::unix_ms());
  next.mutable_job()->clear_servers();
  next.clear_members();
  for (const v1::MemberPlacement& placed : this->placement.members) {
    next.mutable_job()->add_servers(placed.server());
    *next.add_members() = placed;
  }
  next.set_attempts(next.attempts() + 1);
  next.set_started(true);
  return next;
}

void
Driver::commit_start()
{
  this->enter_state(DriverState::Committing);
  v1::JobRow next = this->make_running_row();
  CellUpdate update;
  update.zones = zones_of(next);
  update.change =
    [this, next, use = this->placement.guarantee_use](CellMap& cells) {
      return add_allocations(cells, next, use, this->context.config());
    };
  update.other_rows.checks.push_back({ job_key(this->id), this->version });
  update.other_rows.checks.push_back(
    { CONFIG_KEY, this->context.config_row_version() });
  update.other_rows.writes.push_back(write_row(job_key(this->id), next));
  this->context.cell_cache.update(
    std::move(update),
    this->guarded_by_state(
      [this, next = std::move(next)](const CellCache::UpdateResult& result) {
        this->handle_start_commit(result, next);
      }));
}

void
Driver::handle_start_commit(const CellCache::UpdateResult& result,
                            v1::JobRow next)
{
  if (result) {
    this->committed_here = true;
    this->apply_row(std::move(next), result->front());
    return;
  }
  const UpdateError& error = result.error();
  // The transaction may be applied already or later, so the row is read again.
  // Agents release each reservation that expires before its start.
  if (error.kind == UpdateErrorKind::Ambiguous) {
    this->call_after(this->context.settings.store_retry_delay,
                     [this] { this->load(); });
    return;
  }
  this->release_members();
  // The placement does not fit the current rows. If it were retried at once,
  // its reservations would block other jobs on the same servers.
  if (error.kind == UpdateErrorKind::Refused) {
    this->requeue(this->context.settings.schedule_period);
    return;
  }
  if (error.kind == UpdateErrorKind::Conflict && error.key == CONFIG_KEY) {
    this->context.refresh_config();
    this->requeue(this->context.settings.schedule_period);
    return;
  }
  this->requeue(error.kind == UpdateErrorKind::Conflict
                  ? kernel::Milliseconds(1)
                  : this->context.settings.store_retry_delay);
}

void
Driver::start_generation()
{
  this->enter_state(DriverState::Starting);
  this->start_members();
  this->check_all_started();
}

void
Driver::start_members()
{
  for (std::size_t member = 0; member < this->members.size(); ++member)
    this->start_member(member);
}

void
Driver::start_member(std::size_t member)
{
  TrackedMember& tracked = this->members[member];
  if (tracked.call_in_flight || tracked.done ||
      tracked.state == v1::MEMBER_STATE_STARTED)
    return;
  tracked.call_in_flight = true;
  v1::Envelope envelope = this->new_envelope();
  *envelope.mutable_start()->mutable_key() = this->member_key(member);
  this->request(member,
                std::move(envelope),
                this->context.settings.prepare_timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->handle_start_reply(member, reply);
                });
}

void
Driver::handle_start_reply(std::size_t member,
                           const peer::PeerNode::Reply& reply)
{
  this->members[member].call_in_flight = false;
  if (reply) {
    this->record_state(member, reply->start_reply().state());
    if (this->current_state == DriverState::Starting)
      this->check_all_started();
    return;
  }
  this->check_members();
  if (this->current_state != DriverState::Starting)
    return;
  // A gang that has not opened within the reservation period never opens. A
  // single task may run, so Start is repeated until the cell row shows its
  // server as lost.
  bool reservation_expired = kernel::boot_ms() - this->state_entered_ms >=
                             this->context.settings.reservation_period.count();
  if (reservation_expired && this->members.size() > 1)
    this->commit_stop(v1::STOP_PURPOSE_MEMBER_LOST);
  else
    this->call_after(START_RETRY_DELAY, [this] { this->start_members(); });
}

void
Driver::check_all_started()
{
  for (const TrackedMember& member : this->members) {
    bool started = member.done || member.state == v1::MEMBER_STATE_STARTED ||
                   member.state == v1::MEMBER_STATE_DONE;
    if (!started)
      return;
  }
  if (this->committed_here) {
    this->context.log.write(
      JOB_STARTED,
      { { "job", this->id },
        { "generation", this->job_row.job().generation() } });
    this->context.metrics.summary("entry_job_wait_ms")
      .observe(static_cast<double>(kernel::unix_ms() -
                                   this->job_row.job().submitted_ms()));
    this->committed_here = false;
  }
  this->enter_running();
}

} // namespace geraniumhinge::entry
