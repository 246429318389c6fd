#pragma once

#include "bench/policy_stream.h"

#include "core/compact.h"
#include "core/estimate.h"
#include "core/fragmentation.h"
#include "core/quarantine.h"
#include "core/queue.h"
#include "core/reclaim.h"

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::bench {

/// Settings of the scheduling decisions of a replay.
struct Variant
{
  std::string name;
  core::PlacementRule rule = core::PlacementRule::FirstFit;
  core::QueueOrder order = core::QueueOrder::Arrival;
  bool estimate = false;
  bool reservation = false;
  std::int64_t reserve_after_ms = 20 * MINUTE_MS;
  /// Wait of a large job after which other jobs are migrated for it; 0: never.
  std::int64_t migrate_after_ms = 0;
  /// Period of compaction moves; 0: no compaction.
  std::int64_t compaction_period_ms = 0;
  double min_compaction_gain = 2.0;
  /// Limit on the running accelerators of an organisation, as a factor of its
  /// share of the fleet; 0: no limit.
  double share_limit = 0;
};

struct FinishedJob
{
  std::uint32_t id = 0;
  double wait_ms = 0;       ///< Submission to first start.
  double completion_ms = 0; ///< Submission to end.
};

struct Result
{
  std::vector<FinishedJob> finished;
  std::vector<double> fragmentation; ///< One sample per SAMPLE_PERIOD_MS.
  double lost_work_ms = 0;           ///< Accelerator-milliseconds.
  double useful_work_ms = 0;
  std::uint32_t preemptions = 0;
  std::uint32_t migrations = 0;
  std::uint32_t refused_guarantees = 0;
  std::uint32_t cancelled = 0;
};

constexpr std::int64_t SAMPLE_PERIOD_MS = 5 * MINUTE_MS;

/// Replays a job stream with the scheduling decisions of core. Processes and
/// messages are not simulated: a placed job starts at once and runs for its
/// whole run time.
class Replay
{
public:
  Replay(const Stream& stream, const Variant& variant);
  Result run();

private:
  enum class EventKind : std::uint8_t
  {
    Fault,
    Repair,
    End,
    Submit,
    Sample,
    Compact,
  };
  struct Event
  {
    std::int64_t at_ms = 0;
    EventKind kind = EventKind::Submit;
    std::uint32_t index = 0;
    std::uint32_t generation = 0;
    bool operator>(const Event& other) const
    {
      return std::tie(this->at_ms, this->kind, this->index) >
             std::tie(other.at_ms, other.kind, other.index);
    }
  };
  struct JobState
  {
    std::int64_t remaining_ms = 0;
    std::int64_t started_ms = -1; ///< Of the current run; -1 if not running.
    std::int64_t first_start_ms = -1;
    std::uint32_t generation = 0;
    bool fails = false;
    bool done = false;
    bool guaranteed = false;
    std::vector<core::NameId> servers;
    /// Servers on which the job failed.
    std::vector<core::NameId> avoided_servers;
  };

  void add_event(std::int64_t time_ms, EventKind kind, std::uint32_t index);
  void handle_event(const Event& event);
  void submit(std::uint32_t id);
  void enqueue(std::uint32_t id);
  void end_run(std::uint32_t id);
  void fail_run(std::uint32_t id);
  void finish_job(std::uint32_t id);
  void start(std::uint32_t id,
             const core::Demand& demand,
             const core::Placement& placement,
             std::int64_t delay_ms);
  void stop(std::uint32_t id, bool checkpoint);
  void apply_fault(const Fault& fault);
  void repair_fault(std::uint32_t index);
  void mark_lost(core::Cell& cell, const std::set<std::uint32_t>& servers);
  void cancel_first_organisation();
  void run_scheduling_round();
  void apply_queue_changes();
  bool try_start(const core::QueueEntry& entry);
  bool try_guarantee(const core::QueueEntry& entry, core::Demand& demand);
  void update_reservation();
  bool try_migration(const core::QueueEntry& large);
  void compact();
  void update_checkpoints();
  void update_quarantine();
  std::int64_t expected_run(const StreamJob& job) const;
  std::vector<core::OrganisationShare> shares() const;
  std::vector<core::ExpectedEnd> expected_ends() const;
  core::Demand demand_of(const core::QueueEntry& entry) const;
  std::uint32_t accelerators() const;

  const Stream& stream;
  const Variant& variant;
  core::Policy policy;
  std::vector<core::Cell> cells;
  std::vector<std::vector<core::CellGuarantee>> cell_guarantees;
  std::vector<core::CellState> states;
  std::vector<JobState> jobs;
  core::JobQueue queue;
  core::Estimator estimator;
  core::FailureTracker failures{ {} };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  /// Per organisation, without jobs that run on a guarantee.
  std::vector<std::uint32_t> running_accelerators;
  std::set<std::uint32_t> running;
  std::set<std::pair<std::uint64_t, std::uint32_t>> unplaceable_shapes;
  std::optional<core::Reservation> reservation;
  std::int64_t reserved_at_ms = 0;
  std::vector<std::string> started_jobs;
  std::vector<std::uint32_t> requeued_jobs;
  std::set<core::NameId> faulty_servers;
  std::int64_t now_ms = 0;
  std::uint32_t unfinished = 0;
  Result result;
};

} // namespace geraniumhinge::bench
