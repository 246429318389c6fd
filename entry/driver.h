#pragma once

#include "entry/allocations.h"
#include "entry/cell_cache.h"
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

/// Services shared by all drivers.
struct DriverContext
{
  kernel::Loop& loop;
  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Table& table;
  CellCache& cell_cache;
  Fleet& fleet;
  Transport transport;
  const EntrySettings& settings;
  std::function<const v1::Configuration&()> config;
  std::function<std::uint64_t()> config_row_version;
  /// Called when a commit finds a newer row of the configuration.
  std::function<void()> refresh_config;
  std::function<bool()> is_draining; ///< No job is placed.
};

struct DriverHooks
{
  std::function<void(Driver&)> enqueue;  ///< The job waits for a placement.
  std::function<void(Driver&)> dequeue;  ///< The job no longer waits.
  std::function<void(Driver&)> finished; ///< The row is final or deleted.
  /// A member's task ended on a server; failures count for its quarantine.
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
  Ending,
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
  { DriverState::Ending, "concluding" },
  { DriverState::Done, "done" },
};

/// The servers and accelerators of a generation of a job, by member.
struct JobPlacement
{
  std::vector<v1::MemberPlacement> members;
  GuaranteeUse guarantee_use;
};

/// Drives one job through the states of its row. Each change of the row is a
/// compare-and-set, so the table rejects a second driver of the same job.
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
  /// Reads the row again after another task or entry has changed it. A busy
  /// driver defers the read.
  void reload();

  /// Starts the next generation on this placement.
  void place(JobPlacement placement);

  /// Handles MemberDone, the result of one member.
  void handle_member_done(const v1::Envelope& envelope);
  /// Stops the generation if the cell rows show a member as lost or restarted.
  void check_members();

  const std::string& job() const { return this->id; }
  const v1::JobRow& row() const { return this->job_row; }
  DriverState state() const { return this->current_state; }
  /// Whether the driver must not be deleted before its current state ends.
  bool busy() const;
  /// Servers that the next placement must avoid.
  std::vector<std::string> avoided_servers() const;
  /// The placement that is not in the cell rows yet, or null.
  const JobPlacement* uncommitted_placement() const;

private:
  /// State of one member of the current generation.
  struct TrackedMember
  {
    v1::MemberState state = v1::MEMBER_STATE_UNSPECIFIED;
    bool call_in_flight = false;
    bool stopped = false;       ///< Confirmed, or its lease expired.
    bool lease_expired = false; ///< Stopped without confirmation.
    /// Since when its backend server is known as lost, 0 if it is not.
    std::int64_t lost_since_ms = 0;
    /// Since when its agent is known to have restarted, 0 if it has not.
    std::int64_t other_incarnation_since_ms = 0;
    std::string checkpoint_key;
    std::optional<v1::MemberDone> done;
    std::optional<v1::Envelope> unacknowledged_result;
  };

  /// Wraps a callback so that it is dropped after the next change of state.
  template<typename Function>
  auto guarded_by_state(Function fn)
  {
    return this->guarded([this,
                          state_changes = this->state_changes,
                          fn = std::move(fn)](auto&&... args) mutable {
      if (state_changes == this->state_changes)
        fn(std::forward<decltype(args)>(args)...);
    });
  }
  void enter_state(DriverState state);
  void call_after(kernel::Milliseconds delay, std::function<void()> fn);
  void apply_row(v1::JobRow row, std::uint64_t version);
  void finish();
  v1::MemberKey member_key(std::size_t member) const;
  v1::Envelope new_envelope() const;
  void request(std::size_t member,
               v1::Envelope envelope,
               kernel::Milliseconds timeout,
               std::function<void(const peer::PeerNode::Reply&)> done);
  /// Commits the row and cell changes that end a generation.
  void commit_end(v1::JobRow next);
  void handle_end_committed(v1::JobRow next, std::uint64_t version);

  // Prepare, commit, start: driver_start.cpp.
  void prepare_member(std::size_t member);
  void handle_prepare_reply(std::size_t member,
                            const peer::PeerNode::Reply& reply);
  void finish_prepare();
  void release_members();
  void requeue(kernel::Milliseconds delay);
  v1::JobRow make_running_row() const;
  void commit_start();
  void handle_start_commit(const CellCache::UpdateResult& result,
                           v1::JobRow next);
  void start_generation();
  void start_members();
  void start_member(std::size_t member);
  void handle_start_reply(std::size_t member,
                          const peer::PeerNode::Reply& reply);
  void check_all_started();

  // Run and collect the results: driver_run.cpp.
  void enter_running();
  void poll_member();
  void handle_poll_reply(std::size_t member,
                         const peer::PeerNode::Reply& reply);
  void record_state(std::size_t member, v1::MemberState state);
  void record_done(std::size_t member, const v1::MemberDone& done);
  bool all_done() const;
  void end_with_results();
  void acknowledge_results();

  // Stop: driver_stop.cpp.
  void commit_stop(v1::StopPurpose purpose);
  void stop_generation();
  void stop_member(std::size_t member);
  void handle_stop_reply(std::size_t member,
                         const peer::PeerNode::Reply& reply);
  void query_ended_member(std::size_t member);
  void confirm_stopped(std::size_t member, v1::MemberState state);
  void assume_lease_expiry();
  void check_all_stopped();
  void end_generation();
  void end_job(v1::Outcome outcome, v1::Reason reason);
  void end_and_requeue(bool ran, bool lease_expired);
  void save_checkpoints(v1::JobRow& next) const;
  bool may_run_again(bool never_ran) const;

  const DriverContext& context;
  DriverHooks hooks;
  std::string id;
  DriverState current_state = DriverState::Loading;
  std::uint64_t state_changes = 0; ///< Number of states entered.
  v1::JobRow job_row;
  std::uint64_t version = 0;
  std::uint32_t generation = 0; ///< Last one placed, committed or not.
  bool committed_here = false;  ///< This driver committed the generation.
  JobPlacement placement;
  std::vector<TrackedMember> members;
  std::size_t missing_replies = 0; ///< To Prepare.
  std::size_t next_polled_member = 0;
  std::int64_t state_entered_ms = 0;
  std::int64_t first_stop_ms = 0; ///< First confirmation of a stop.
  int task_failures = 0;
  bool reload_pending = false;
  std::map<std::string, std::int64_t> avoid_until_ms;
  kernel::TraceContext trace;
  kernel::Span span;
  kernel::Subscription timer;
  kernel::Subscription poll_timer;
};

} // namespace geraniumhinge::entry
