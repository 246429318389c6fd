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

/// What a replay decides by.
struct Variant
{
  std::string name;
  core::PlacementRule rule = core::PlacementRule::FirstFit;
  core::QueueOrder order = core::QueueOrder::Arrival;
  bool estimate = false;
  bool reservation = false;
  std::int64_t reserve_after_ms = 20 * MINUTE;
  /// Migration for a large job that has waited this long; 0 for none.
  std::int64_t migrate_after_ms = 0;
  /// Period of compaction moves; 0 for none.
  std::int64_t compact_every_ms = 0;
  double compact_gain = 2.0;
  /// Running limit of each organisation over its share of the fleet; 0: none.
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
  std::vector<double> fragmentation; ///< One sample each SAMPLE_EVERY_MS.
  double lost_work_ms = 0;           ///< Accelerator-milliseconds.
  double useful_work_ms = 0;
  std::uint32_t preemptions = 0;
  std::uint32_t migrations = 0;
  std::uint32_t refused_guarantees = 0;
  std::uint32_t cancelled = 0;
};

constexpr std::int64_t SAMPLE_EVERY_MS = 5 * MINUTE;

/// Replays a job stream through the decisions of core. There are no processes
/// and no messages: a placed job runs at once and for its whole run time.
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
    std::int64_t left_ms = 0;
    std::int64_t started_ms = -1; ///< Of the current run; -1 if not running.
    std::int64_t first_start_ms = -1;
    std::uint32_t generation = 0;
    bool fails = false;
    bool done = false;
    bool guaranteed = false;
    std::vector<core::NameId> servers;
    std::vector<core::NameId> avoid; ///< Servers that it failed on.
  };

  void add_event(std::int64_t at, EventKind kind, std::uint32_t index);
  void handle(const Event& event);
  void submit(std::uint32_t id);
  void enqueue(std::uint32_t id);
  void end(std::uint32_t id);
  void fail(std::uint32_t id);
  void finish(std::uint32_t id);
  void start(std::uint32_t id,
             const core::Demand& demand,
             const core::Placement& placement,
             std::int64_t delay_ms);
  void stop(std::uint32_t id, bool checkpoint);
  void fault(const Fault& fault);
  void repair(std::uint32_t index);
  void lose(core::Cell& cell, const std::set<std::uint32_t>& servers);
  void cancel_wave();
  void schedule();
  void take_started();
  bool try_start(const core::QueueEntry& entry);
  bool try_guarantee(const core::QueueEntry& entry, core::Demand& demand);
  void update_reservation();
  bool try_migration(const core::QueueEntry& large);
  void compact();
  void mark_checkpoints();
  void update_trust();
  std::int64_t expected_run(const StreamJob& job) const;
  std::vector<core::OrganisationShare> shares() const;
  std::vector<core::ExpectedEnd> expected_ends() const;
  core::Demand demand_of(const core::QueueEntry& entry) const;
  std::uint32_t accelerators() const;

  const Stream& stream;
  const Variant& variant;
  core::Policy policy;
  std::vector<core::Cell> cells;
  std::vector<std::vector<core::HomedGuarantee>> homed;
  std::vector<core::CellState> states;
  std::vector<JobState> jobs;
  core::JobQueue queue;
  core::Estimator estimator;
  core::FailureTracker failures{ {} };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<std::uint32_t> used; // By organisation, outside guarantees.
  std::set<std::uint32_t> running;
  std::set<std::pair<std::uint64_t, std::uint32_t>> does_not_fit;
  std::optional<core::Reservation> reservation;
  std::int64_t reserved_at_ms = 0;
  std::vector<std::string> started;
  std::vector<std::uint32_t> requeued;
  std::set<core::NameId> bad_servers;
  std::int64_t now_ms = 0;
  std::uint32_t unfinished = 0;
  Result result;
};

} // namespace geraniumhinge::bench
