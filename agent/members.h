#pragma once

#include "agent/backend_task.h"
#include "agent/fences.h"
#include "agent/settings.h"
#include "agent/slots.h"
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
  Held,    ///< Resources are held; nothing was started.
  Started, ///< Start received; waits for the gang to open.
  Running, ///< The task is handed to the backend server.
};

/// What other tasks learn from the members.
struct MemberHooks
{
  /// A member of a gang of two or more got its start message.
  std::function<void(const MemberId&, const v1::Prepare&)> started;
  /// A started member of such a gang has ended.
  std::function<void(const MemberId&, bool succeeded)> ended;
  /// A result to announce to the driver at this address.
  std::function<void(v1::MemberDone, const std::string& driver)> result;
  /// The slots in use have changed.
  std::function<void()> changed;
  /// Whether an entry was seen within the orphan period.
  std::function<bool()> may_renew;
  /// Whether the backend server answers.
  std::function<bool()> backend_available;
};

/// The members of gangs on this backend server, from prepare to their end, and
/// the fencing of messages by incarnation and generation. A single task is a
/// gang of one, which opens at its start message and is renewed here.
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
          Slots& slots,
          MemberHooks hooks);
  ~Members() override;

  /// Holds resources. `driver` is the sender's address.
  v1::PrepareResult prepare(const v1::Prepare& prepare,
                            const std::string& driver,
                            const kernel::TraceContext& trace);
  /// Drops a hold of this driver. A started member is not affected.
  void release(const v1::MemberKey& key, const std::string& driver);
  v1::MemberState start(const v1::MemberKey& key, const std::string& driver);
  /// Calls back when the member is confirmed stopped.
  void stop(const v1::Stop& stop, StopDone done);
  v1::MemberStatus query(const v1::MemberKey& key);
  void checkpoint(const v1::MemberKey& key,
                  std::function<void(std::string)> done);

  /// The gang of a started member is open: runs its task under this lease.
  void open(const MemberId& id, std::int64_t lease_until_ms);
  /// Extends the wait of a started member or the lease of a running one.
  void extend(const MemberId& id, std::int64_t until_ms);
  /// Ends the member if its time is over. Returns whether it is still active.
  bool check_deadline(const MemberId& id);
  /// Calls back once the backend server confirms that a running member's task
  /// runs, at once for a member that waits for its gang to open.
  void confirm_running(const MemberId& id, std::function<void()> confirmed);
  /// The member acknowledged a round, so that its gang may open from now on.
  void record_acknowledged(const MemberId& id);
  bool is_held(const MemberId& id) const;

  /// Refuses prepares with LEAVING from now on.
  void leave() { this->leaving = true; }
  void set_quarantined(bool value) { this->quarantined = value; }
  /// Stops every member, for the given reason.
  void stop_all(v1::Reason reason);

  std::size_t active() const { return this->members.size(); }
  std::vector<std::string> jobs() const;

private:
  struct Member
  {
    v1::Prepare spec;
    MemberPhase phase = MemberPhase::Held;
    std::int64_t deadline_ms = 0; ///< Of the hold or of the wait for opening.
    bool acknowledged = false;
    std::string driver;
    kernel::Span span;
    std::unique_ptr<BackendTask> task;
    std::vector<StopDone> stops;
    v1::Reason stop_reason = v1::REASON_UNSPECIFIED;
    kernel::Subscription timer;
  };
  using Active = std::map<MemberId, Member>;

  v1::PrepareResult refuse(const v1::Prepare& prepare,
                           v1::PrepareResult result);
  v1::PrepareResult hold(const v1::Prepare& prepare,
                         const std::string& driver,
                         const kernel::TraceContext& trace);
  /// The active member of a current key, after its deadline was checked.
  Active::iterator find(const MemberId& id);
  bool has_older(const MemberId& id) const;
  void fence(const std::string& job, std::uint32_t generation);
  void watch_deadline(const MemberId& id, Member& member);
  void end_unopened(Active::iterator found, v1::Reason reason, bool announce);
  void task_ended(const MemberId& id, TaskEnd end);
  FinalState final_state(const Member& member, const TaskEnd& end) const;
  void conclude(Active::iterator found,
                FinalState final_state,
                std::string output,
                bool announce);
  platform::TaskStart task_start(const Member& member,
                                 std::int64_t lease_until_ms) const;
  void renew_singles();

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Backend& backend;
  const AgentSettings& settings;
  std::uint64_t incarnation;
  Slots& slots;
  MemberHooks hooks;
  Fences fences;
  Active members;
  bool leaving = false;
  bool quarantined = false;
  kernel::Subscription renewals;
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
