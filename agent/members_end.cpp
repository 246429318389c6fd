#include "agent/events.h"
#include "agent/members.h"

#include <utility>

// The part of Members that ends members: final states, results, and replies to
// stop messages.
namespace geraniumhinge::agent {

Resources
resources_of(const v1::Prepare& spec)
{
  return { 1, spec.accelerators(), spec.cores(), spec.memory_mb() };
}

v1::MemberDone
make_done(const v1::MemberKey& key,
          const FinalState& final_state,
          const std::string& server)
{
  v1::MemberDone done;
  *done.mutable_key() = key;
  done.set_ran(final_state.state != v1::MEMBER_STATE_NEVER_STARTED);
  done.set_outcome(final_state.outcome);
  done.set_reason(final_state.reason);
  done.set_server(server);
  done.set_checkpoint_key(final_state.checkpoint_key);
  return done;
}

void
Members::end_before_running(Active::iterator found,
                            v1::Reason reason,
                            bool announce)
{
  const Member& member = found->second;
  FinalState final_state;
  final_state.reason = reason;
  // After this member has acknowledged a round, its gang may have opened and
  // other members may have run. NEVER_STARTED would be wrong then.
  if (member.acknowledged) {
    final_state.state = v1::MEMBER_STATE_STOPPED;
    final_state.outcome = v1::OUTCOME_UNKNOWN;
  }
  this->end_member(found, std::move(final_state), {}, announce);
}

FinalState
Members::final_state(const Member& member, const TaskEnd& end) const
{
  FinalState state;
  state.checkpoint_key = end.checkpoint_key;
  state.state = v1::MEMBER_STATE_STOPPED;
  state.outcome = v1::OUTCOME_UNKNOWN;
  state.reason = v1::REASON_SERVER_LOST;
  switch (end.kind) {
    case TaskEndKind::Succeeded:
      state.state = v1::MEMBER_STATE_DONE;
      state.outcome = v1::OUTCOME_SUCCEEDED;
      state.reason = v1::REASON_UNSPECIFIED;
      break;
    case TaskEndKind::Failed:
      state.state = v1::MEMBER_STATE_DONE;
      state.outcome = v1::OUTCOME_FAILED;
      state.reason = v1::REASON_TASK_FAILED;
      break;
    case TaskEndKind::NeverStarted:
      // The gang is open, so its other members may have run.
      if (is_gang(member.spec))
        break;
      state.state = v1::MEMBER_STATE_NEVER_STARTED;
      state.outcome = v1::OUTCOME_NOT_RUN;
      break;
    case TaskEndKind::Stopped:
      state.reason = member.stop_reason;
      break;
    case TaskEndKind::LeaseExpired:
    case TaskEndKind::Lost:
      break;
  }
  return state;
}

void
Members::task_ended(const MemberId& id, TaskEnd end)
{
  Active::iterator found = this->members.find(id);
  if (found == this->members.end())
    return;
  if (end.kind == TaskEndKind::LeaseExpired)
    this->log.write(LEASE_EXPIRED,
                    { { "job", id.job }, { "generation", id.generation } });
  this->fences.refuse(id.job, id.generation);
  FinalState state = this->final_state(found->second, end);
  // The sender of the stop message receives the end in the reply.
  bool stopped_on_request = !found->second.stop_callbacks.empty() &&
                            state.state != v1::MEMBER_STATE_DONE;
  this->end_member(
    found, std::move(state), std::move(end.output), !stopped_on_request);
}

void
Members::end_member(Active::iterator found,
                    FinalState final_state,
                    std::string output,
                    bool announce)
{
  MemberId id = found->first;
  Member member = std::move(found->second);
  this->members.erase(found);
  this->allocated.release(resources_of(member.spec));
  this->fences.record(id, final_state);
  this->log.write(MEMBER_ENDED,
                  { { "job", id.job },
                    { "generation", id.generation },
                    { "member", id.member },
                    { "outcome", v1::Outcome_Name(final_state.outcome) },
                    { "reason", v1::Reason_Name(final_state.reason) } });
  member.span.set_attribute("outcome", v1::Outcome_Name(final_state.outcome));
  bool succeeded = final_state.outcome == v1::OUTCOME_SUCCEEDED;
  if (is_gang(member.spec) && member.phase != MemberPhase::Reserved)
    this->hooks.member_ended(id, succeeded);
  if (announce) {
    v1::MemberDone done =
      make_done(member.spec.key(), final_state, this->settings.name);
    done.mutable_output()->set_inline_(std::move(output));
    this->hooks.announce_result(std::move(done), member.driver);
  }
  v1::StopReply reply;
  reply.set_state(final_state.state);
  reply.set_checkpoint_key(final_state.checkpoint_key);
  for (StopDone& stop : member.stop_callbacks)
    stop(reply);
  this->hooks.load_changed();
}

} // namespace geraniumhinge::agent
