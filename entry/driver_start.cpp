#include "entry/allocations.h"
#include "entry/driver.h"
#include "entry/events.h"
#include "entry/rows.h"

// Steps of a driver from a placement to a started generation.
namespace geraniumhinge::entry {

namespace {

constexpr std::int64_t AVOID_MS = 5'000;
// A busy server mostly means that the cell row was read too early.
constexpr std::int64_t AVOID_BUSY_MS = 250;
// An agent has seen a newer generation than the row has, from a driver that
// did not commit.
constexpr std::uint32_t STALE_GENERATION_STEP = 16;
constexpr kernel::Milliseconds START_RETRY{ 100 };

} // namespace

void
Driver::place(JobPlacement placement)
{
  this->enter(DriverState::Preparing);
  ++this->generation;
  this->placement = std::move(placement);
  this->members.assign(this->placement.members.size(), MemberTrack{});
  this->waiting = this->members.size();
  for (std::size_t member = 0; member < this->members.size(); ++member)
    this->prepare_member(member);
}

void
Driver::prepare_member(std::size_t member)
{
  const v1::JobSpec& spec = this->current.job().spec();
  v1::Envelope envelope = this->envelope();
  v1::Prepare& prepare = *envelope.mutable_prepare();
  *prepare.mutable_key() = this->key_of(member);
  prepare.set_accelerators(this->placement.members[member].accelerators());
  prepare.set_cores(spec.shape().cores());
  prepare.set_memory_mb(spec.shape().memory_mb());
  *prepare.mutable_input() = spec.input();
  if (this->current.member_checkpoints_size() > static_cast<int>(member))
    prepare.set_checkpoint_key(
      this->current.member_checkpoints(static_cast<int>(member)));
  prepare.set_hold_ms(this->context.settings.hold.count());
  for (const v1::MemberPlacement& placed : this->placement.members)
    *prepare.add_gang() = placed;
  this->request(member,
                std::move(envelope),
                this->context.settings.prepare_timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->prepared(member, reply);
                });
}

void
Driver::prepared(std::size_t member, const peer::PeerNode::Reply& reply)
{
  v1::PrepareResult result =
    reply ? reply->prepare_reply().result() : v1::PREPARE_RESULT_UNSPECIFIED;
  const std::string& server = this->placement.members[member].server();
  if (result == v1::PREPARE_RESULT_HELD)
    this->members[member].state = v1::MEMBER_STATE_HELD;
  else if (result == v1::PREPARE_RESULT_BUSY)
    this->avoid_until_ms[server] = kernel::boot_ms() + AVOID_BUSY_MS;
  else
    this->avoid_until_ms[server] = kernel::boot_ms() + AVOID_MS;
  if (result == v1::PREPARE_RESULT_STALE)
    this->generation += STALE_GENERATION_STEP;
  if (!reply)
    this->context.fleet.suspect(server);
  if (--this->waiting == 0)
    this->prepare_ended();
}

void
Driver::prepare_ended()
{
  bool held = true;
  for (const MemberTrack& member : this->members)
    held = held && member.state == v1::MEMBER_STATE_HELD;
  if (held && !this->reload_wanted) {
    this->commit_start();
    return;
  }
  this->context.metrics.counter("entry_prepare_failures_total").add();
  this->release_all();
  this->requeue(kernel::Milliseconds(0));
}

void
Driver::release_all()
{
  for (std::size_t member = 0; member < this->members.size(); ++member) {
    v1::Envelope envelope = this->envelope();
    *envelope.mutable_release()->mutable_key() = this->key_of(member);
    this->context.transport.send(
      this->placement.members[member].agent_address(), std::move(envelope));
  }
}

void
Driver::requeue(kernel::Milliseconds delay)
{
  this->placement = {};
  this->members.clear();
  if (this->reload_wanted || delay.count() != 0) {
    this->later(delay, [this] { this->load(); });
    return;
  }
  this->enter(DriverState::Queued);
  this->hooks.queue(*this);
}

v1::JobRow
Driver::placed_row() const
{
  v1::JobRow next = this->current;
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
  this->enter(DriverState::Committing);
  v1::JobRow next = this->placed_row();
  CellUpdate update;
  update.zones = zones_of(next);
  update.change = [this, next, use = this->placement.use](CellMap& cells) {
    return add_allocations(cells, next, use, this->context.config());
  };
  update.other_rows.checks.push_back({ job_key(this->id), this->version });
  update.other_rows.checks.push_back(
    { CONFIG_KEY, this->context.config_row_version() });
  update.other_rows.writes.push_back(write_row(job_key(this->id), next));
  this->context.cells.update(
    std::move(update),
    this->in_step(
      [this, next = std::move(next)](const Cells::UpdateResult& result) {
        this->start_committed(result, next);
      }));
}

void
Driver::start_committed(const Cells::UpdateResult& result, v1::JobRow next)
{
  if (result) {
    this->committed_here = true;
    this->adopt(std::move(next), result->front());
    return;
  }
  const UpdateError& error = result.error();
  // The transaction may have been, or may still be, applied: the row decides,
  // and holds that are not started expire.
  if (error.kind == UpdateErrorKind::Ambiguous) {
    this->later(this->context.settings.store_retry, [this] { this->load(); });
    return;
  }
  this->release_all();
  // The placement does not hold on the rows as they are; tried again at once,
  // its holds would keep other jobs from the same servers.
  if (error.kind == UpdateErrorKind::Refused) {
    this->requeue(this->context.settings.schedule_period);
    return;
  }
  if (error.kind == UpdateErrorKind::Conflict && error.key == CONFIG_KEY) {
    this->context.config_stale();
    this->requeue(this->context.settings.schedule_period);
    return;
  }
  this->requeue(error.kind == UpdateErrorKind::Conflict
                  ? kernel::Milliseconds(1)
                  : this->context.settings.store_retry);
}

void
Driver::start_all()
{
  this->enter(DriverState::Starting);
  this->start_missing();
  this->check_started();
}

void
Driver::start_missing()
{
  for (std::size_t member = 0; member < this->members.size(); ++member)
    this->start_member(member);
}

void
Driver::start_member(std::size_t member)
{
  MemberTrack& track = this->members[member];
  if (track.calling || track.done || track.state == v1::MEMBER_STATE_STARTED)
    return;
  track.calling = true;
  v1::Envelope envelope = this->envelope();
  *envelope.mutable_start()->mutable_key() = this->key_of(member);
  this->request(member,
                std::move(envelope),
                this->context.settings.prepare_timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->start_replied(member, reply);
                });
}

void
Driver::start_replied(std::size_t member, const peer::PeerNode::Reply& reply)
{
  this->members[member].calling = false;
  if (reply) {
    this->record_state(member, reply->start_reply().state());
    if (this->phase == DriverState::Starting)
      this->check_started();
    return;
  }
  this->check_members();
  if (this->phase != DriverState::Starting)
    return;
  // A gang that has not opened by now never opens. A single task may run, so
  // its agent is asked until the cell row shows it as lost.
  bool late = kernel::boot_ms() - this->step_started_ms >=
              this->context.settings.hold.count();
  if (late && this->members.size() > 1)
    this->stop(v1::STOP_PURPOSE_MEMBER_LOST);
  else
    this->later(START_RETRY, [this] { this->start_missing(); });
}

void
Driver::check_started()
{
  for (const MemberTrack& member : this->members) {
    bool started = member.done || member.state == v1::MEMBER_STATE_STARTED ||
                   member.state == v1::MEMBER_STATE_DONE;
    if (!started)
      return;
  }
  if (this->committed_here) {
    this->context.log.write(
      JOB_STARTED,
      { { "job", this->id },
        { "generation", this->current.job().generation() } });
    this->context.metrics.summary("entry_job_wait_ms")
      .observe(static_cast<double>(kernel::unix_ms() -
                                   this->current.job().submitted_ms()));
    this->committed_here = false;
  }
  this->run();
}

} // namespace geraniumhinge::entry
