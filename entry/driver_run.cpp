#include "entry/driver.h"
#include "entry/events.h"

// Steps of a driver while a generation runs.
namespace geraniumhinge::entry {

namespace {

// A server on which the task failed is avoided by the next generation.
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
Driver::run()
{
  this->enter(DriverState::Running);
  if (this->all_done()) {
    this->answer();
    return;
  }
  if (this->reload_wanted) {
    this->load();
    return;
  }
  this->poll_timer =
    this->context.timers.every(this->context.settings.member_poll,
                               this->in_step([this] { this->poll_member(); }));
  for (std::size_t member = 0; member < this->members.size(); ++member) {
    bool ended = this->members[member].state == v1::MEMBER_STATE_DONE;
    if (ended && !this->members[member].done) {
      this->next_poll = member;
      this->poll_member();
    }
  }
}

void
Driver::poll_member()
{
  for (std::size_t tried = 0; tried < this->members.size(); ++tried) {
    std::size_t member = this->next_poll++ % this->members.size();
    if (this->members[member].done || this->members[member].calling)
      continue;
    this->members[member].calling = true;
    v1::Envelope envelope = this->envelope();
    *envelope.mutable_query_member()->mutable_key() = this->key_of(member);
    this->request(member,
                  std::move(envelope),
                  this->context.settings.prepare_timeout,
                  [this, member](const peer::PeerNode::Reply& reply) {
                    this->poll_replied(member, reply);
                  });
    return;
  }
}

void
Driver::poll_replied(std::size_t member, const peer::PeerNode::Reply& reply)
{
  this->members[member].calling = false;
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
      this->stop(v1::STOP_PURPOSE_MEMBER_LOST);
      return;
    case v1::MEMBER_STATE_HELD:
      if (this->phase == DriverState::Running)
        this->start_member(member);
      return;
    default:
      return;
  }
}

void
Driver::check_members()
{
  bool active =
    this->phase == DriverState::Running || this->phase == DriverState::Starting;
  if (!active)
    return;
  for (int index = 0; index < this->current.members_size(); ++index) {
    const v1::MemberPlacement& placed = this->current.members(index);
    if (this->members[index].done)
      continue;
    const v1::Member* member = find_member(this->context.cells.all(), placed);
    bool lost = member == nullptr || member->state() == v1::SERVER_STATE_LOST ||
                member->incarnation() != placed.incarnation();
    if (lost) {
      this->stop(v1::STOP_PURPOSE_MEMBER_LOST);
      return;
    }
  }
}

void
Driver::handle_member_done(const v1::Envelope& envelope)
{
  const v1::MemberDone& done = envelope.member_done();
  bool older = done.key().generation() < this->current.job().generation();
  if (older || this->phase == DriverState::Done) {
    v1::Envelope answer;
    answer.mutable_ack();
    this->context.transport.reply(envelope, std::move(answer));
    return;
  }
  bool current = done.key().generation() == this->current.job().generation() &&
                 done.key().member() < this->members.size();
  bool takes = this->phase == DriverState::Running ||
               this->phase == DriverState::Starting ||
               this->phase == DriverState::Stopping;
  // The agent announces the result again until it is acknowledged.
  if (!current || !takes)
    return;
  this->members[done.key().member()].unacknowledged = envelope;
  this->record_done(done.key().member(), done);
}

void
Driver::record_done(std::size_t member, const v1::MemberDone& done)
{
  MemberTrack& track = this->members[member];
  if (!done.checkpoint_key().empty())
    track.checkpoint_key = done.checkpoint_key();
  if (this->phase == DriverState::Stopping) {
    v1::MemberState state =
      done.ran() ? v1::MEMBER_STATE_STOPPED : v1::MEMBER_STATE_NEVER_STARTED;
    if (done.outcome() == v1::OUTCOME_SUCCEEDED) {
      track.done = done;
      state = v1::MEMBER_STATE_DONE;
    }
    this->confirm(member, state);
    this->check_stopped();
    return;
  }
  if (track.done)
    return;
  track.state = v1::MEMBER_STATE_DONE;
  bool failed = done.outcome() == v1::OUTCOME_FAILED &&
                (done.reason() == v1::REASON_TASK_FAILED ||
                 done.reason() == v1::REASON_UNSPECIFIED);
  bool succeeded = done.outcome() == v1::OUTCOME_SUCCEEDED;
  if (!failed && !succeeded) {
    this->stop(v1::STOP_PURPOSE_MEMBER_LOST);
    return;
  }
  track.done = done;
  const std::string& server =
    this->current.members(static_cast<int>(member)).server();
  this->hooks.task_ended(server, this->id, succeeded);
  if (failed) {
    this->avoid_until_ms[server] = kernel::boot_ms() + AVOID_FAILED_MS;
    ++this->task_failures;
  }
  if (this->all_done())
    this->answer();
  else if (failed)
    this->stop(v1::STOP_PURPOSE_TASK_FAILED);
}

bool
Driver::all_done() const
{
  for (const MemberTrack& member : this->members) {
    if (!member.done)
      return false;
  }
  return true;
}

void
Driver::answer()
{
  this->current.set_stop_purpose(v1::STOP_PURPOSE_TASK_FAILED);
  for (MemberTrack& member : this->members)
    member.stopped = true;
  this->conclude();
}

void
Driver::acknowledge_results()
{
  for (MemberTrack& member : this->members) {
    if (!member.unacknowledged)
      continue;
    v1::Envelope answer;
    answer.mutable_ack();
    this->context.transport.reply(*member.unacknowledged, std::move(answer));
    member.unacknowledged.reset();
  }
}

} // namespace geraniumhinge::entry
