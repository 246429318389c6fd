#include "entry/driver.h"
#include "entry/events.h"
#include "entry/rows.h"

#include <algorithm>

// Part of Driver: the end of a generation.
namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds STOP_RETRY_PERIOD{ 250 };
// Time for the reply, added to the agent's time limit of a stop.
constexpr kernel::Milliseconds STOP_REPLY_MARGIN{ 500 };
// An idempotent job ends as failed after this many failures of its tasks.
constexpr int MAX_TASK_FAILURES = 3;

} // namespace

void
Driver::commit_stop(v1::StopPurpose purpose)
{
  this->enter_state(DriverState::Ending);
  v1::JobRow next = this->job_row;
  next.mutable_job()->set_state(v1::JOB_STATE_STOPPING);
  next.set_stop_purpose(purpose);
  next.set_stopping_since_ms(kernel::unix_ms());
  platform::Transaction transaction;
  transaction.checks.push_back({ job_key(this->id), this->version });
  transaction.writes.push_back(write_row(job_key(this->id), next));
  this->context.table.commit(
    std::move(transaction),
    this->guarded_by_state([this,
                            next](const platform::Table::CommitResult& result) {
      if (result) {
        this->apply_row(next, result->front());
        return;
      }
      bool conflict = result.error().kind == platform::TableErrorKind::Conflict;
      this->call_after(conflict ? kernel::Milliseconds(0)
                                : this->context.settings.store_retry_delay,
                       [this] { this->load(); });
    }));
}

void
Driver::stop_generation()
{
  this->enter_state(DriverState::Stopping);
  this->first_stop_ms = 0;
  this->context.log.write(
    JOB_STOPPING,
    { { "job", this->id },
      { "purpose", v1::StopPurpose_Name(this->job_row.stop_purpose()) } });
  for (TrackedMember& member : this->members) {
    if (member.done)
      member.stopped = true;
  }
  for (std::size_t member = 0; member < this->members.size(); ++member)
    this->stop_member(member);
  this->poll_timer = this->context.timers.every(
    STOP_RETRY_PERIOD, this->guarded_by_state([this] {
      this->assume_lease_expiry();
      for (std::size_t member = 0; member < this->members.size(); ++member)
        this->stop_member(member);
      this->check_all_stopped();
    }));
  this->check_all_stopped();
}

void
Driver::stop_member(std::size_t member)
{
  TrackedMember& tracked = this->members[member];
  if (tracked.stopped || tracked.call_in_flight)
    return;
  tracked.call_in_flight = true;
  bool checkpoint = this->job_row.stop_purpose() == v1::STOP_PURPOSE_RECLAIM &&
                    this->job_row.job().spec().idempotent();
  kernel::Milliseconds grace = this->context.settings.stop_grace_period;
  v1::Envelope envelope = this->new_envelope();
  v1::Stop& stop = *envelope.mutable_stop();
  *stop.mutable_key() = this->member_key(member);
  stop.set_checkpoint(checkpoint);
  stop.set_grace_ms(grace.count());
  kernel::Milliseconds timeout = grace + STOP_REPLY_MARGIN;
  if (checkpoint)
    timeout += this->context.settings.checkpoint_limit;
  this->request(member,
                std::move(envelope),
                timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->handle_stop_reply(member, reply);
                });
}

void
Driver::handle_stop_reply(std::size_t member,
                          const peer::PeerNode::Reply& reply)
{
  TrackedMember& tracked = this->members[member];
  tracked.call_in_flight = false;
  if (!reply)
    return;
  const v1::StopReply& stop_reply = reply->stop_reply();
  if (!stop_reply.checkpoint_key().empty())
    tracked.checkpoint_key = stop_reply.checkpoint_key();
  switch (stop_reply.state()) {
    case v1::MEMBER_STATE_DONE:
      this->query_ended_member(member);
      return;
    case v1::MEMBER_STATE_NEVER_STARTED:
    case v1::MEMBER_STATE_STOPPED:
      this->confirm_stopped(member, stop_reply.state());
      this->check_all_stopped();
      return;
    case v1::MEMBER_STATE_OTHER_INCARNATION:
      tracked.state = stop_reply.state();
      if (tracked.other_incarnation_since_ms == 0)
        tracked.other_incarnation_since_ms = kernel::boot_ms();
      return;
    default:
      return;
  }
}

void
Driver::query_ended_member(std::size_t member)
{
  this->members[member].call_in_flight = true;
  v1::Envelope envelope = this->new_envelope();
  *envelope.mutable_query_member()->mutable_key() = this->member_key(member);
  this->request(member,
                std::move(envelope),
                this->context.settings.prepare_timeout,
                [this, member](const peer::PeerNode::Reply& reply) {
                  this->members[member].call_in_flight = false;
                  if (reply && reply->member_status().has_done())
                    this->record_done(member, reply->member_status().done());
                });
}

void
Driver::confirm_stopped(std::size_t member, v1::MemberState state)
{
  TrackedMember& tracked = this->members[member];
  tracked.state = state;
  tracked.stopped = true;
  tracked.lease_expired = false;
  if (this->first_stop_ms == 0)
    this->first_stop_ms = kernel::boot_ms();
}

void
Driver::assume_lease_expiry()
{
  std::int64_t now = kernel::boot_ms();
  const EntrySettings& settings = this->context.settings;
  std::int64_t lease_ms = settings.lease_length.count();
  std::int64_t lost_expiry_ms = settings.orphan_timeout.count() + lease_ms;
  for (std::size_t index = 0; index < this->members.size(); ++index) {
    TrackedMember& tracked = this->members[index];
    if (tracked.stopped)
      continue;
    const v1::MemberPlacement& placed =
      this->job_row.members(static_cast<int>(index));
    const ServerView* view = this->context.fleet.find(placed.server());
    bool other_incarnation = view != nullptr &&
                             view->member.incarnation() != 0 &&
                             view->member.incarnation() != placed.incarnation();
    bool lost =
      view == nullptr || view->member.state() == v1::SERVER_STATE_LOST;
    if (other_incarnation && tracked.other_incarnation_since_ms == 0)
      tracked.other_incarnation_since_ms = now;
    if (!lost)
      tracked.lost_since_ms = 0;
    else if (tracked.lost_since_ms == 0)
      tracked.lost_since_ms = now;
    // A renewal round can't complete once a member has stopped or restarted,
    // so all other leases of the gang expire within the lease period.
    bool gang_lease_expired = this->members.size() > 1 &&
                              this->first_stop_ms != 0 &&
                              now - this->first_stop_ms >= lease_ms;
    bool old_lease_expired =
      tracked.other_incarnation_since_ms != 0 &&
      now - tracked.other_incarnation_since_ms >= lease_ms;
    bool lost_lease_expired = tracked.lost_since_ms != 0 &&
                              now - tracked.lost_since_ms >= lost_expiry_ms;
    if (!gang_lease_expired && !old_lease_expired && !lost_lease_expired)
      continue;
    tracked.stopped = true;
    tracked.lease_expired = true;
    this->context.metrics.counter("entry_lease_lapses_total").add();
    this->context.log.write(
      LEASE_EXPIRY_ASSUMED,
      { { "job", this->id }, { "server", placed.server() } });
  }
}

void
Driver::check_all_stopped()
{
  if (this->current_state != DriverState::Stopping)
    return;
  for (const TrackedMember& member : this->members) {
    if (!member.stopped)
      return;
  }
  this->context.metrics.summary("entry_job_stop_ms")
    .observe(static_cast<double>(kernel::boot_ms() - this->state_entered_ms));
  this->end_generation();
}

bool
Driver::may_run_again(bool never_ran) const
{
  if (!never_ran && !this->job_row.job().spec().idempotent())
    return false;
  if (this->job_row.stop_purpose() == v1::STOP_PURPOSE_TASK_FAILED)
    return this->task_failures < MAX_TASK_FAILURES;
  return this->job_row.stop_purpose() == v1::STOP_PURPOSE_RECLAIM ||
         this->job_row.attempts() <
           static_cast<std::uint32_t>(this->context.settings.max_generations);
}

void
Driver::end_generation()
{
  bool succeeded = std::all_of(this->members.begin(),
                               this->members.end(),
                               [](const TrackedMember& member) {
                                 return member.done && member.done->outcome() ==
                                                         v1::OUTCOME_SUCCEEDED;
                               });
  if (succeeded) {
    this->end_job(v1::OUTCOME_SUCCEEDED, v1::REASON_UNSPECIFIED);
    return;
  }
  // A gang opens only after every member has started, so a member that never
  // started proves that no task ran.
  bool never_ran =
    std::any_of(this->members.begin(),
                this->members.end(),
                [](const TrackedMember& member) {
                  return member.state == v1::MEMBER_STATE_NEVER_STARTED;
                });
  bool lease_expired =
    !never_ran && std::any_of(this->members.begin(),
                              this->members.end(),
                              [](const TrackedMember& member) {
                                return member.lease_expired;
                              });
  bool outcome_unknown = lease_expired || this->job_row.unconfirmed();
  bool ran = !never_ran || this->job_row.ran();
  v1::Outcome outcome = outcome_unknown ? v1::OUTCOME_UNKNOWN
                        : ran           ? v1::OUTCOME_FAILED
                                        : v1::OUTCOME_NOT_RUN;
  v1::StopPurpose purpose = this->job_row.stop_purpose();
  if (purpose == v1::STOP_PURPOSE_CANCEL)
    this->end_job(outcome, v1::REASON_CANCELLED);
  else if (this->may_run_again(never_ran))
    this->end_and_requeue(ran, lease_expired);
  else if (purpose == v1::STOP_PURPOSE_TASK_FAILED)
    this->end_job(v1::OUTCOME_FAILED, v1::REASON_TASK_FAILED);
  else if (purpose == v1::STOP_PURPOSE_RECLAIM)
    this->end_job(outcome, v1::REASON_NO_CAPACITY);
  else
    this->end_job(outcome,
                  this->job_row.job().spec().idempotent()
                    ? v1::REASON_RETRIES_EXHAUSTED
                    : v1::REASON_SERVER_LOST);
}

void
Driver::end_job(v1::Outcome outcome, v1::Reason reason)
{
  v1::JobRow next = this->job_row;
  next.mutable_job()->set_state(v1::JOB_STATE_DONE);
  next.mutable_job()->set_outcome(outcome);
  next.mutable_job()->set_reason(reason);
  next.mutable_job()->set_finished_ms(kernel::unix_ms());
  if (outcome == v1::OUTCOME_SUCCEEDED)
    next.clear_stop_purpose();
  if (outcome == v1::OUTCOME_SUCCEEDED || reason == v1::REASON_TASK_FAILED) {
    for (const TrackedMember& member : this->members)
      *next.mutable_job()->add_outputs() =
        member.done ? member.done->output() : v1::Payload();
  }
  this->commit_end(std::move(next));
}

void
Driver::save_checkpoints(v1::JobRow& next) const
{
  // A gang resumes only from checkpoints of all its members; if one is missing,
  // the row keeps the checkpoints of an earlier generation.
  bool complete = std::all_of(
    this->members.begin(),
    this->members.end(),
    [](const TrackedMember& member) { return !member.checkpoint_key.empty(); });
  if (!complete)
    return;
  next.clear_member_checkpoints();
  for (const TrackedMember& member : this->members)
    next.add_member_checkpoints(member.checkpoint_key);
}

void
Driver::end_and_requeue(bool ran, bool lease_expired)
{
  v1::JobRow next = this->job_row;
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
