#pragma once

#include "entry/allocations.h"
#include "entry/cells.h"
#include "entry/fleet.h"
#include "entry/settings.h"
#include "entry/transport.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/names.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "kernel/trace.h"
#include "platform/table.h"

#include "geraniumhinge/v1/state.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

class Driver;

/// Services that every driver uses.
struct DriverContext
{
  kernel::Loop& loop;
  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Table& table;
  Cells& cells;
  Fleet& fleet;
  Transport transport;
  const EntrySettings& settings;
  std::function<const v1::Configuration&()> config;
  std::function<std::uint64_t()> config_row_version;
  std::function<void()> config_stale; ///< A commit found a newer version.
  std::function<bool()> draining;     ///< No new step may begin.
};

struct DriverHooks
{
  std::function<void(Driver&)> queue;    ///< The job waits for a place.
  std::function<void(Driver&)> dequeue;  ///< It does no longer.
  std::function<void(Driver&)> finished; ///< Its row is final or gone.
  /// A member's task ended on a server, for quarantine.
  std::function<
    void(const std::string& server, const std::string& job, bool ok)>
    task_ended;
};

enum class DriverState
{
  Loading,
  Queued,
  Preparing,
  Committing,
  Starting,
  Running,
  Stopping,
  Concluding,
  Done,
};

inline constexpr NamedValue<DriverState> DRIVER_STATE_NAMES[] = {
  { DriverState::Loading, "loading" },
  { DriverState::Queued, "queued" },
  { DriverState::Preparing, "preparing" },
  { DriverState::Committing, "committing" },
  { DriverState::Starting, "starting" },
  { DriverState::Running, "running" },
  { DriverState::Stopping, "stopping" },
  { DriverState::Concluding, "concluding" },
  { DriverState::Done, "done" },
};

/// Where a generation of a job is to run.
struct JobPlacement
{
  std::vector<v1::MemberPlacement> members;
  GuaranteeUse use;
};

/// Drives one job by the state in its row: every step is a compare-and-set on
/// that row, so that a second driver of the same job is refused by the table.
class Driver : public kernel::Task
{
public:
  Driver(const DriverContext& context, DriverHooks hooks, std::string job);

  /// Reads the row and continues from its state.
  void load();
  /// Continues from a row that was just written.
  void start(v1::JobRow row,
             std::uint64_t version,
             const kernel::TraceContext& trace);
  /// Reads the row again, because another task or entry has changed it.
  void reload();

  /// Runs the next generation there.
  void place(JobPlacement placement);

  /// Handles a result that an agent announces.
  void handle_member_done(const v1::Envelope& envelope);
  /// Looks for members that their cell rows show as lost.
  void check_members();

  const std::string& job() const { return this->id; }
  const v1::JobRow& row() const { return this->current; }
  DriverState state() const { return this->phase; }
  /// Whether a step is under way that must not be abandoned.
  bool busy() const;
  /// Servers that this job avoids now.
  std::vector<std::string> avoided() const;
  /// A placement that is not in the cell rows yet, or null.
  const JobPlacement* uncommitted() const;

private:
  /// What is known of a member of the current generation.
  struct MemberTrack
  {
    v1::MemberState state = v1::MEMBER_STATE_UNSPECIFIED;
    bool calling = false;
    bool stopped = false;           ///< Confirmed, or its lease has expired.
    bool lease_expired = false;     ///< Stopped by the expiry alone.
    std::int64_t lost_since_ms = 0; ///< Its cell row shows it as lost.
    std::int64_t gone_since_ms = 0; ///< Its incarnation is gone.
    std::string checkpoint_key;
    std::optional<v1::MemberDone> done;
    std::optional<v1::Envelope> unacknowledged;
  };

  template<typename Function>
  auto in_step(Function fn)
  {
    return this->guarded(
      [this, step = this->step, fn = std::move(fn)](auto&&... args) mutable {
        if (step == this->step)
          fn(std::forward<decltype(args)>(args)...);
      });
  }
  void enter(DriverState state);
  void later(kernel::Milliseconds delay, std::function<void()> fn);
  void adopt(v1::JobRow row, std::uint64_t version);
  void finish();
  v1::MemberKey key_of(std::size_t member) const;
  v1::Envelope envelope() const;
  void request(std::size_t member,
               v1::Envelope envelope,
               kernel::Milliseconds timeout,
               std::function<void(const peer::PeerNode::Reply&)> done);
  /// Commits the row and cell changes that end a generation.
  void commit_end(v1::JobRow next);
  void end_committed(v1::JobRow next, std::uint64_t version);

  // Prepare, commit, start: driver_start.cpp.
  void prepare_member(std::size_t member);
  void prepared(std::size_t member, const peer::PeerNode::Reply& reply);
  void prepare_ended();
  void release_all();
  void requeue(kernel::Milliseconds delay);
  v1::JobRow placed_row() const;
  void commit_start();
  void start_committed(const Cells::UpdateResult& result, v1::JobRow next);
  void start_all();
  void start_missing();
  void start_member(std::size_t member);
  void start_replied(std::size_t member, const peer::PeerNode::Reply& reply);
  void check_started();

  // Run and answer: driver_run.cpp.
  void run();
  void poll_member();
  void poll_replied(std::size_t member, const peer::PeerNode::Reply& reply);
  void record_state(std::size_t member, v1::MemberState state);
  void record_done(std::size_t member, const v1::MemberDone& done);
  bool all_done() const;
  void answer();
  void acknowledge_results();

  // Stop: driver_stop.cpp.
  void stop(v1::StopPurpose purpose);
  void stop_all();
  void stop_member(std::size_t member);
  void stop_replied(std::size_t member, const peer::PeerNode::Reply& reply);
  void query_stopped(std::size_t member);
  void confirm(std::size_t member, v1::MemberState state);
  void assume_lease_expiry();
  void check_stopped();
  void conclude();
  void conclude_outcome(v1::Outcome outcome, v1::Reason reason);
  void conclude_requeue(bool ran, bool lease_expired);
  void save_checkpoints(v1::JobRow& next) const;
  bool may_run_again(bool never_ran) const;

  const DriverContext& context;
  DriverHooks hooks;
  std::string id;
  DriverState phase = DriverState::Loading;
  std::uint64_t step = 0; ///< Replies of earlier steps are dropped.
  v1::JobRow current;
  std::uint64_t version = 0;
  std::uint32_t generation = 0; ///< Last one tried, committed or not.
  bool committed_here = false;  ///< This driver committed the generation.
  JobPlacement placement;
  std::vector<MemberTrack> members;
  std::size_t waiting = 0; ///< Replies of the step that are missing.
  std::size_t next_poll = 0;
  std::int64_t step_started_ms = 0;
  std::int64_t first_stop_ms = 0; ///< First member confirmed as stopped.
  int task_failures = 0;
  bool reload_wanted = false;
  std::map<std::string, std::int64_t> avoid_until_ms;
  kernel::TraceContext trace;
  kernel::Span span;
  kernel::Subscription timer;
  kernel::Subscription poll_timer;
};

} // namespace geraniumhinge::entry
