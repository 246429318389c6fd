#pragma once

#include "core/names.h"
#include "core/place.h"
#include "core/shape.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace geraniumhinge::core {

/// A job that waits for its placement.
struct QueueEntry
{
  std::string job;
  NameId organisation = 0;
  Shape shape;
  bool urgent = false;
  bool use_guarantee = false;
  bool preemptible = true;
  std::int64_t submitted_ms = 0;
  std::int64_t expected_run_ms = 0; ///< Corrected estimate, 0 if unknown.
};

/// Fair share and limit of one organisation.
struct OrganisationShare
{
  NameId organisation = 0;
  std::uint32_t weight = 1;
  /// Accelerators of running jobs outside guarantees.
  std::uint32_t used_accelerators = 0;
  std::uint32_t max_running_accelerators = 0; ///< 0 means no limit.
};

/// Order of the jobs within one organisation.
enum class QueueOrder : std::uint8_t
{
  Arrival,
  /// Highest (waiting + expected run) / expected run first: favours short jobs,
  /// and the priority of each job grows while the job waits.
  ResponseRatio,
  /// The same ratio divided by the job's accelerators: also favours small jobs,
  /// so that most jobs are served early.
  ResponseRatioPerAccelerator,
};

enum class QueueError : std::uint8_t
{
  OrganisationFull,
  AlreadyQueued,
};

/// Queued jobs of all organisations, with a bound for each organisation.
class JobQueue
{
public:
  explicit JobQueue(QueueOrder order);

  /// `limit` is the organisation's largest number of queued jobs.
  tl::expected<void, QueueError> push(QueueEntry entry, std::uint32_t limit);
  bool remove(const std::string& job);
  /// Removes many jobs in one pass and returns those that were queued.
  std::vector<QueueEntry> cancel(std::span<const std::string> jobs);

  const QueueEntry* find(const std::string& job) const;
  std::size_t size() const { return this->entries.size(); }
  std::size_t size(NameId organisation) const;

  /// Jobs in the order of placement: urgent jobs, jobs on a guarantee, then the
  /// others by weighted fair share of accelerators. Jobs beyond the running
  /// limit of their organisation are omitted. The pointers are valid until the
  /// queue changes.
  std::vector<const QueueEntry*> order(
    std::span<const OrganisationShare> shares,
    std::int64_t now_ms) const;

  /// The oldest job with at least `min_accelerators` in total that does not use
  /// a guarantee: the candidate for a reservation. Null if there is none.
  const QueueEntry* oldest_large(std::uint32_t min_accelerators) const;

private:
  QueueOrder queue_order;
  std::vector<QueueEntry> entries;                  // In order of arrival.
  std::unordered_map<NameId, std::uint32_t> counts; // By organisation.
};

/// Expected end of a running job.
struct ExpectedEnd
{
  std::string job;
  std::int64_t end_ms = 0;
};

/// Servers and start time reserved for a large job.
struct Reservation
{
  std::string job;
  std::int64_t start_ms = 0;
  Placement placement;
};

/// The earliest placement of `demand` if the running jobs end as expected.
/// Nothing if the demand does not fit after all of these ends.
std::optional<Reservation>
plan_reservation(std::span<const CellState> cells,
                 const Demand& demand,
                 const Policy& policy,
                 std::span<const ExpectedEnd> ends,
                 std::int64_t now_ms);

/// Whether a job may use the reserved accelerators, because the job is expected
/// to end before the reservation starts. Other jobs are placed with
/// `reservation.placement.members` passed to `place` as `reserved`.
bool
may_backfill(const Reservation& reservation,
             const QueueEntry& entry,
             std::int64_t now_ms);

} // namespace geraniumhinge::core
