#include "entry/driver.h"
#include "entry/events.h"

// Part of Driver: a running generation.
namespace geraniumhinge::entry {

namespace {

// Time for which the job is not placed on a server where its task failed.
constexpr std::int64_t AVOID_FAILED_MS = 600'000;

const v1::Member*
find_member(const CellMap& cells, const v1::MemberPlacement& placement)
{
  CellMap::const_iterator cell = cells.find(placement.zone());
  if (cell == cells.end())
    return nullptr;
  for (const v1::Member& member : cell->second.row.members()) {
    if (member.server() == placement.server())
      return &member;
  }
  return nullptr;
}

} // namespace

void
Driver::enter_running()
{
  this->enter_state(DriverState::Running);
  if (this->all_done()) {
    this->end_with_results();
    return;
  }
  if (this->reload_pending) {
    this->load();
    return;
  }
  this->poll_timer = this->context.timers.every(
    this->context.settings.member_poll_period,
    this->guarded_by_state([this] { this->poll_member(); }));
  for (std::size_t member = 0; member < this->members.size(); ++member) {
    bool ended = this->members[member].state == v1::MEMBER_STATE_DONE;
    if (ended && !this->members[member].done) {
      this->next_polled_member = member;
      this->poll_member();
    }
  }
}

void
Driver::poll_member()
{
  for (std::size_t polled = 0; polled < this->members.size(); ++polled) {
    std::size_t member = this->next_polled_member++ % this->members.size();
    if (this->members[member].done || this->members[member].call_in_flight)
      continue;
    this->members[member].call_in_flight = true;
    v1::Envelope envelope = this->new_envelope();
    *envelope.mutable_query_member()->mutable_key() = this->member_key(member);
    this->request(member,
                  std::move(envelope),
                  this->context.settings.prepare_timeout,
                  [this, member](const peer::PeerNode::Reply& reply) {
                    this->handle_poll_reply(member, reply);
                  });
    return;
  }
}

void
Driver::handle_poll_reply(std::size_t member,
                          const peer::PeerNode::Reply& reply)
{
  this->members[member].call_in_flight = false;
  if (!reply) {
    this->check_members();
    return;
  }
  const v1::MemberStatus& status = reply->member_status();
  if (status.has_done())
    this->record_done(member, status.done());
  else
    this->record_state(member, status.state());
}

void
Driver::record_state(std::size_t member, v1::MemberState state)
{
  this->members[member].state = state;
  switch (state) {
    case v1::MEMBER_STATE_NEVER_STARTED:
    case v1::MEMBER_STATE_STOPPED:
    case v1::MEMBER_STATE_OTHER_INCARNATION:
      this->commit_stop(v1::STOP_PURPOSE_MEMBER_LOST);
      return;
    case v1::MEMBER_STATE_HELD:
      if (this->current_state == DriverState::Running)
        this->start_member(member);
      return;
    default:
      return;
  }
}

void
Driver::check_members()
{
  bool active = this->current_state == DriverState::Running ||
                this->current_state == DriverState::Starting;
  if (!active)
    return;
  for (int index = 0; index < this->job_row.members_size(); ++index) {
    const v1::MemberPlacement& placed = this->job_row.members(index);
    if (this->members[index].done)
      continue;
    const v1::Member* member =
      find_member(this->context.cell_cache.all(), placed);
    bool lost = member == nullptr || member->state() == v1::SERVER_STATE_LOST ||
                member->incarnation() != placed.incarnation();
    if (lost) {
      this->commit_stop(v1::STOP_PURPOSE_MEMBER_LOST);
      return;
    }
  }
}

void
Driver::handle_member_done(const v1::Envelope& envelope)
{
  const v1::MemberDone& done = envelope.member_done();
  bool older = done.key().generation() < this->job_row.job().generation();
  if (older || this->current_state == DriverState::Done) {
    v1::Envelope reply;
    reply.mutable_ack();
    this->context.transport.reply(envelope, std::move(reply));
    return;
  }
  bool current_generation =
    done.key().generation() == this->job_row.job().generation() &&
    done.key().member() < this->members.size();
  bool accepts_results = this->current_state == DriverState::Running ||
                         this->current_state == DriverState::Starting ||
                         this->current_state == DriverState::Stopping;
  // The agent repeats the result until it is acknowledged.
  if (!current_generation || !accepts_results)
    return;
  this->members[done.key().member()].unacknowledged_result = envelope;
  this->record_done(done.key().member(), done);
}

void
Driver::record_done(std::size_t member, const v1::MemberDone& done)
{
  TrackedMember& tracked = this->members[member];
  if (!done.checkpoint_key().empty())
    tracked.checkpoint_key = done.checkpoint_key();
  if (this->current_state == DriverState::Stopping) {
    v1::MemberState state =
      done.ran() ? v1::MEMBER_STATE_STOPPED : v1::MEMBER_STATE_NEVER_STARTED;
    if (done.outcome() == v1::OUTCOME_SUCCEEDED) {
      tracked.done = done;
      state = v1::MEMBER_STATE_DONE;
    }
    this->confirm_stopped(member, state);
    this->check_all_stopped();
    return;
  }
  if (tracked.done)
    return;
  tracked.state = v1::MEMBER_STATE_DONE;
  bool failed = done.outcome() == v1::OUTCOME_FAILED &&
                (done.reason() == v1::REASON_TASK_FAILED ||
                 done.reason() == v1::REASON_UNSPECIFIED);
  bool succeeded = done.outcome() == v1::OUTCOME_SUCCEEDED;
  if (!failed && !succeeded) {
    this->commit_stop(v1::STOP_PURPOSE_MEMBER_LOST);
    return;
  }
  tracked.done = done;
  const std::string& server =
    this->job_row.members(static_cast<int>(member)).server();
  this->hooks.task_ended(server, this->id, succeeded);
  if (failed) {
    this->avoid_until_ms[server] = kernel::boot_ms() + AVOID_FAILED_MS;
    ++this->task_failures;
  }
  if (this->all_done())
    this->end_with_results();
  else if (failed)
    this->commit_stop(v1::STOP_PURPOSE_TASK_FAILED);
}

bool
Driver::all_done() const
{
  for (const TrackedMember& member : this->members) {
    if (!member.done)
      return false;
  }
  return true;
}

void
Driver::end_with_results()
{
  this->job_row.set_stop_purpose(v1::STOP_PURPOSE_TASK_FAILED);
  for (TrackedMember& member : this->members)
    member.stopped = true;
  this->end_generation();
}

void
Driver::acknowledge_results()
{
  for (TrackedMember& member : this->members) {
    if (!member.unacknowledged_result)
      continue;
    v1::Envelope reply;
    reply.mutable_ack();
    this->context.transport.reply(*member.unacknowledged_result,
                                  std::move(reply));
    member.unacknowledged_result.reset();
  }
}

} // namespace geraniumhinge::entry
