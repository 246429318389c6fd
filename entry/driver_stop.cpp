#include "entry/driver.h"
#include "entry/events.h"
#include "entry/rows.h"

#include <algorithm>

// Steps of a driver that end a generation.
namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds STOP_RETRY{ 250 };
// What a reply needs beyond the time that the agent may take to stop.
constexpr kernel::Milliseconds STOP_MARGIN{ 500 };
// An idempotent task is given up after it failed this often.
constexpr int MAX_TASK_FAILURES = 3;

} // namespace

void
Driver::stop(v1::StopPurpose purpose)
{
  this->enter(DriverState::Concluding);
  v1::JobRow next = this->current;
  next.mutable_job()->set_state(v1::JOB_STATE_STOPPING);
  next.set_stop_purpose(purpose);
  next.set_stopping_since_ms(kernel::unix_ms());
  platform::Transaction transaction;
  transaction.checks.push_back({ job_key(this->id), this->version });
  transaction.writes.push_back(write_row(job_key(this->id), next));
  this->context.table.commit(
    std::move(transaction),
    this->in_step([this, next](const platform::Table::CommitResult& result) {
      if (result) {
        this->adopt(next, result->front());
        return;
      }
      bool conflict = result.error().kind == platform::TableErrorKind::Conflict;
      this->later(conflict ? kernel::Milliseconds(0)
                           : this->context.settings.store_retry,
                  [this] { this->load(); });
    }));
}

void
Driver::stop_all()
{
  this->enter(DriverState::Stopping);
  this->first_stop_ms = 0;
  this->context.log.write(
    JOB_STOPPING,
    { { "job", this->id },
      { "purpose", v1::StopPurpose_Name(this->current.stop_purpose()) } });
  for (MemberTrack& member : this->members) {
    if (member.done)
      member.stopped = true;
  }
  for (std::size_t member = 0; member < this->members.size(); ++member)
    this->stop_member(member);
  this->poll_timer =
    this->context.timers.every(STOP_RETRY, this->in_step([this] {
      this->assume_lease_expiry();
      for (std::size_t member = 0; member < this->members.size(); ++member)
        this->stop_member(member);
      this->check_stopped();
    }));
  this->check_stopped();
}

void
Driver::stop_member(std::size_t member)
{
  MemberTrack& track = this->members[member];
  if (track.stopped || track.calling)
    return;
  track.calling = true;
  bool checkpoint = this->current.stop_purpose() == v1::STOP_PURPOSE_RECLAIM &&
                    this->current.job().spec().idempotent();
  kernel::Milliseconds grace = this->context.settings.stop_grace;
  v1::Envelope envelope = this->envelope();
  v1::Stop& stop = *envelope.mutable_stop();
  *stop.mutable_key() = this->key_of(member);
  stop.set_checkpoint(checkpoint);
  stop.set_grace_ms(grace.count());
  kernel::Milliseconds timeout = grace + STOP_MARGIN;
  if (checkpoint)
    timeout += this->context.settings.checkpoint_limit;
  this->request(member,
                std::move(envelope),
                timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->stop_replied(member, reply);
                });
}

void
Driver::stop_replied(std::size_t member, const peer::PeerNode::Reply& reply)
{
  MemberTrack& track = this->members[member];
  track.calling = false;
  if (!reply)
    return;
  const v1::StopReply& answer = reply->stop_reply();
  if (!answer.checkpoint_key().empty())
    track.checkpoint_key = answer.checkpoint_key();
  switch (answer.state()) {
    case v1::MEMBER_STATE_DONE:
      this->query_stopped(member);
      return;
    case v1::MEMBER_STATE_NEVER_STARTED:
    case v1::MEMBER_STATE_STOPPED:
      this->confirm(member, answer.state());
      this->check_stopped();
      return;
    case v1::MEMBER_STATE_OTHER_INCARNATION:
      track.state = answer.state();
      if (track.gone_since_ms == 0)
        track.gone_since_ms = kernel::boot_ms();
      return;
    default:
      return;
  }
}

void
Driver::query_stopped(std::size_t member)
{
  this->members[member].calling = true;
  v1::Envelope envelope = this->envelope();
  *envelope.mutable_query_member()->mutable_key() = this->key_of(member);
  this->request(member,
                std::move(envelope),
                this->context.settings.prepare_timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->members[member].calling = false;
                  if (reply && reply->member_status().has_done())
                    this->record_done(member, reply->member_status().done());
                });
}

void
Driver::confirm(std::size_t member, v1::MemberState state)
{
  MemberTrack& track = this->members[member];
  track.state = state;
  track.stopped = true;
  track.lease_expired = false;
  if (this->first_stop_ms == 0)
    this->first_stop_ms = kernel::boot_ms();
}

void
Driver::assume_lease_expiry()
{
  std::int64_t now = kernel::boot_ms();
  const EntrySettings& settings = this->context.settings;
  std::int64_t lease = settings.lease_period.count();
  std::int64_t orphan = settings.orphan_period.count() + lease;
  for (std::size_t index = 0; index < this->members.size(); ++index) {
    MemberTrack& track = this->members[index];
    if (track.stopped)
      continue;
    const v1::MemberPlacement& placed =
      this->current.members(static_cast<int>(index));
    const ServerView* view = this->context.fleet.find(placed.server());
    bool gone = view != nullptr && view->member.incarnation() != 0 &&
                view->member.incarnation() != placed.incarnation();
    bool lost =
      view == nullptr || view->member.state() == v1::SERVER_STATE_LOST;
    if (gone && track.gone_since_ms == 0)
      track.gone_since_ms = now;
    if (!lost)
      track.lost_since_ms = 0;
    else if (track.lost_since_ms == 0)
      track.lost_since_ms = now;
    // A round can't complete once a member has stopped or is gone, so every
    // other lease of the gang ends within the lease period.
    bool round_ended = this->members.size() > 1 && this->first_stop_ms != 0 &&
                       now - this->first_stop_ms >= lease;
    bool gone_ended =
      track.gone_since_ms != 0 && now - track.gone_since_ms >= lease;
    bool lost_ended =
      track.lost_since_ms != 0 && now - track.lost_since_ms >= orphan;
    if (!round_ended && !gone_ended && !lost_ended)
      continue;
    track.stopped = true;
    track.lease_expired = true;
    this->context.metrics.counter("entry_lease_lapses_total").add();
    this->context.log.write(
      LEASE_EXPIRY_ASSUMED,
      { { "job", this->id }, { "server", placed.server() } });
  }
}

void
Driver::check_stopped()
{
  if (this->phase != DriverState::Stopping)
    return;
  for (const MemberTrack& member : this->members) {
    if (!member.stopped)
      return;
  }
  this->context.metrics.summary("entry_job_stop_ms")
    .observe(static_cast<double>(kernel::boot_ms() - this->step_started_ms));
  this->conclude();
}

bool
Driver::may_run_again(bool never_ran) const
{
  if (!never_ran && !this->current.job().spec().idempotent())
    return false;
  if (this->current.stop_purpose() == v1::STOP_PURPOSE_TASK_FAILED)
    return this->task_failures < MAX_TASK_FAILURES;
  return this->current.stop_purpose() == v1::STOP_PURPOSE_RECLAIM ||
         this->current.attempts() <
           static_cast<std::uint32_t>(this->context.settings.max_generations);
}

void
Driver::conclude()
{
  bool succeeded = std::all_of(
    this->members.begin(), this->members.end(), [](const MemberTrack& member) {
      return member.done && member.done->outcome() == v1::OUTCOME_SUCCEEDED;
    });
  if (succeeded) {
    this->conclude_outcome(v1::OUTCOME_SUCCEEDED, v1::REASON_UNSPECIFIED);
    return;
  }
  // A gang opens only when every member has started, so one that never did
  // proves that no task ran.
  bool never_ran = std::any_of(
    this->members.begin(), this->members.end(), [](const MemberTrack& member) {
      return member.state == v1::MEMBER_STATE_NEVER_STARTED;
    });
  bool lease_expired = !never_ran && std::any_of(this->members.begin(),
                                                 this->members.end(),
                                                 [](const MemberTrack& member) {
                                                   return member.lease_expired;
                                                 });
  bool uncertain = lease_expired || this->current.unconfirmed();
  bool ran = !never_ran || this->current.ran();
  v1::Outcome ended = uncertain ? v1::OUTCOME_UNKNOWN
                      : ran     ? v1::OUTCOME_FAILED
                                : v1::OUTCOME_NOT_RUN;
  v1::StopPurpose purpose = this->current.stop_purpose();
  if (purpose == v1::STOP_PURPOSE_CANCEL)
    this->conclude_outcome(ended, v1::REASON_CANCELLED);
  else if (this->may_run_again(never_ran))
    this->conclude_requeue(ran, lease_expired);
  else if (purpose == v1::STOP_PURPOSE_TASK_FAILED)
    this->conclude_outcome(v1::OUTCOME_FAILED, v1::REASON_TASK_FAILED);
  else if (purpose == v1::STOP_PURPOSE_RECLAIM)
    this->conclude_outcome(ended, v1::REASON_NO_CAPACITY);
  else
    this->conclude_outcome(ended,
                           this->current.job().spec().idempotent()
                             ? v1::REASON_RETRIES_EXHAUSTED
                             : v1::REASON_SERVER_LOST);
}

void
Driver::conclude_outcome(v1::Outcome outcome, v1::Reason reason)
{
  v1::JobRow next = this->current;
  next.mutable_job()->set_state(v1::JOB_STATE_DONE);
  next.mutable_job()->set_outcome(outcome);
  next.mutable_job()->set_reason(reason);
  next.mutable_job()->set_finished_ms(kernel::unix_ms());
  if (outcome == v1::OUTCOME_SUCCEEDED)
    next.clear_stop_purpose();
  if (outcome == v1::OUTCOME_SUCCEEDED || reason == v1::REASON_TASK_FAILED) {
    for (const MemberTrack& member : this->members)
      *next.mutable_job()->add_outputs() =
        member.done ? member.done->output() : v1::Payload();
  }
  this->commit_end(std::move(next));
}

void
Driver::save_checkpoints(v1::JobRow& next) const
{
  // A gang continues only if every member has a checkpoint; otherwise it keeps
  // those of an earlier generation.
  bool complete = std::all_of(
    this->members.begin(), this->members.end(), [](const MemberTrack& member) {
      return !member.checkpoint_key.empty();
    });
  if (!complete)
    return;
  next.clear_member_checkpoints();
  for (const MemberTrack& member : this->members)
    next.add_member_checkpoints(member.checkpoint_key);
}

void
Driver::conclude_requeue(bool ran, bool lease_expired)
{
  v1::JobRow next = this->current;
  next.mutable_job()->set_state(v1::JOB_STATE_QUEUED);
  next.mutable_job()->set_generation(this->generation);
  next.mutable_job()->clear_servers();
  next.mutable_job()->clear_started_ms();
  next.clear_members();
  this->save_checkpoints(next);
  next.clear_stop_purpose();
  next.clear_stopping_since_ms();
  next.set_started(false);
  next.set_ran(ran);
  next.set_unconfirmed(next.unconfirmed() || lease_expired);
  this->commit_end(std::move(next));
}

} // namespace geraniumhinge::entry
