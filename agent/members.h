#pragma once

#include "agent/allocated_resources.h"
#include "agent/backend_task.h"
#include "agent/fences.h"
#include "agent/settings.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "kernel/trace.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::agent {

enum class MemberPhase
{
  Reserved, ///< Resources are reserved until the start message or the
            ///< reservation limit.
  Started,  ///< The start message has arrived; the gang is not open yet.
  Running,  ///< A BackendTask runs the member's task.
};

/// Calls of Members to the other tasks of the agent.
struct MemberHooks
{
  /// A member of a gang of two or more has received its start message.
  std::function<void(const MemberId&, const v1::Prepare&)> member_started;
  /// A started member of such a gang has ended.
  std::function<void(const MemberId&, bool succeeded)> member_ended;
  /// Announces a result to the driver at this address.
  std::function<void(v1::MemberDone, const std::string& driver)>
    announce_result;
  /// The allocated resources have changed.
  std::function<void()> load_changed;
  /// Whether leases may be renewed: an entry was seen within the orphan
  /// timeout.
  std::function<bool()> may_renew;
  /// Whether the backend server answered the last probe.
  std::function<bool()> backend_available;
};

/// Manages the members of gangs on this backend server from Prepare to their
/// end, and fences messages by incarnation and generation. A single task is a
/// gang of one member: it opens at its start message, and this class renews its
/// lease.
class Members : public kernel::Task
{
public:
  using StopDone = std::function<void(v1::StopReply)>;

  Members(kernel::Loop& loop,
          kernel::TimerService& timers,
          const kernel::Log& log,
          kernel::Metrics& metrics,
          kernel::Tracer& tracer,
          platform::Backend& backend,
          const AgentSettings& settings,
          std::uint64_t incarnation,
          AllocatedResources& allocated,
          MemberHooks hooks);
  ~Members() override;

  /// Reserves the resources of a member. `driver` is the sender's address.
  v1::PrepareResult prepare(const v1::Prepare& prepare,
                            const std::string& driver,
                            const kernel::TraceContext& trace);
  /// Releases the resources that this driver reserved. A started member is not
  /// affected.
  void release(const v1::MemberKey& key, const std::string& driver);
  /// Starts a reserved member and returns its state. The sender is its driver
  /// from now on.
  v1::MemberState start(const v1::MemberKey& key, const std::string& driver);
  /// Stops a member and refuses its generation. Calls back when the member has
  /// certainly ended.
  void stop(const v1::Stop& stop, StopDone done);
  /// Returns the state of a member. An unknown member is never started after
  /// this call.
  v1::MemberStatus query(const v1::MemberKey& key);
  /// Calls back with the key of a new checkpoint, empty if there is none.
  void checkpoint(const v1::MemberKey& key,
                  std::function<void(std::string)> done);

  /// Runs the task of a started member under this lease; its gang is open.
  void open(const MemberId& id, std::int64_t lease_until_ms);
  /// Extends the deadline of a started member or the lease of a running one.
  void extend(const MemberId& id, std::int64_t until_ms);
  /// Ends a member whose deadline has passed before its task runs. Returns
  /// whether the member is active and its deadline or lease has not passed.
  bool check_deadline(const MemberId& id);
  /// Calls back when the backend server confirms that a running member's task
  /// runs; at once for a member whose gang is not open yet.
  void confirm_running(const MemberId& id, std::function<void()> confirmed);
  /// Records that the member acknowledged a renewal round, so that its gang may
  /// open from now on.
  void record_acknowledged(const MemberId& id);
  bool is_reserved(const MemberId& id) const;

  /// Answers each new Prepare with LEAVING from now on.
  void leave() { this->leaving = true; }
  void set_quarantined(bool value) { this->quarantined = value; }
  /// Stops every member for the given reason.
  void stop_all(v1::Reason reason);

  std::size_t active() const { return this->members.size(); }
  std::vector<std::string> jobs() const;

private:
  struct Member
  {
    v1::Prepare spec;
    MemberPhase phase = MemberPhase::Reserved;
    /// End of the reservation, then of the wait for the gang to open.
    std::int64_t deadline_ms = 0;
    bool acknowledged = false; ///< At least one renewal round.
    std::string driver;
    kernel::Span span;
    std::unique_ptr<BackendTask> task;
    std::vector<StopDone> stop_callbacks;
    v1::Reason stop_reason = v1::REASON_UNSPECIFIED;
    kernel::Subscription deadline_timer;
  };
  using Active = std::map<MemberId, Member>;

  v1::PrepareResult refuse(const v1::Prepare& prepare,
                           v1::PrepareResult result);
  v1::PrepareResult reserve(const v1::Prepare& prepare,
                            const std::string& driver,
                            const kernel::TraceContext& trace);
  /// Checks the deadline of a member and finds the member if it is still
  /// active.
  Active::iterator find_active(const MemberId& id);
  bool has_older_generation(const MemberId& id) const;
  void fence(const std::string& job, std::uint32_t generation);
  void watch_deadline(const MemberId& id, Member& member);
  void end_before_running(Active::iterator found,
                          v1::Reason reason,
                          bool announce);
  void task_ended(const MemberId& id, TaskEnd end);
  FinalState final_state(const Member& member, const TaskEnd& end) const;
  void end_member(Active::iterator found,
                  FinalState final_state,
                  std::string output,
                  bool announce);
  platform::TaskStart task_start(const Member& member,
                                 std::int64_t lease_until_ms) const;
  void renew_single_tasks();

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Backend& backend;
  const AgentSettings& settings;
  std::uint64_t incarnation;
  AllocatedResources& allocated;
  MemberHooks hooks;
  Fences fences;
  Active members;
  bool leaving = false;
  bool quarantined = false;
  kernel::Subscription renewal_timer;
};

/// Whether the member belongs to a gang of two or more.
bool
is_gang(const v1::Prepare& spec);

Resources
resources_of(const v1::Prepare& spec);

/// The announcement of a member's end, without its output.
v1::MemberDone
make_done(const v1::MemberKey& key,
          const FinalState& final_state,
          const std::string& server);

} // namespace geraniumhinge::agent
