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

/// A job that waits for its place.
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

/// Limits of the schema for one organisation.
struct OrganisationShare
{
  NameId organisation = 0;
  std::uint32_t weight = 1;
  /// Accelerators of its running jobs outside guarantees.
  std::uint32_t used_accelerators = 0;
  std::uint32_t max_running_accelerators = 0; ///< 0 means no limit.
};

/// Order of an organisation's own jobs.
enum class QueueOrder : std::uint8_t
{
  Arrival,
  /// Highest (waiting + expected run) / expected run first: short jobs go
  /// ahead, and every job's priority grows while it waits.
  ResponseRatio,
  /// The same ratio divided by the job's accelerators: the order that serves
  /// most jobs early.
  ResponseRatioPerAccelerator,
};

enum class QueueError : std::uint8_t
{
  OrganisationFull,
  AlreadyQueued,
};

/// Bounded queues of the organisations.
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

  /// All jobs in the order in which to try them: urgent ones, those on a
  /// guarantee, then the others by weighted fair share of accelerators.
  /// Jobs beyond an organisation's running limit are left out. Pointers are
  /// valid until the queue changes.
  std::vector<const QueueEntry*> order(
    std::span<const OrganisationShare> shares,
    std::int64_t now_ms) const;

  /// The oldest job with at least `min_accelerators` in all that does not use
  /// a guarantee; a reservation is made for it.
  const QueueEntry* oldest_large(std::uint32_t min_accelerators) const;

private:
  QueueOrder rule;
  std::vector<QueueEntry> entries; // By arrival.
  std::unordered_map<NameId, std::uint32_t> counts;
};

/// Expected end of a running job.
struct ExpectedEnd
{
  std::string job;
  std::int64_t end_ms = 0;
};

/// Place and time held for a large job.
struct Reservation
{
  std::string job;
  std::int64_t start_ms = 0;
  Placement placement;
};

/// Earliest time at which `demand` fits when the running jobs end as expected.
/// Nothing if it does not fit even then.
std::optional<Reservation>
reserve(std::span<const CellState> cells,
        const Demand& demand,
        const Policy& policy,
        std::span<const ExpectedEnd> ends,
        std::int64_t now_ms);

/// Whether a job may use the reserved accelerators, because it is expected to
/// end before they are needed. Others are placed with `placement.members` of
/// the reservation as `reserved`.
bool
may_backfill(const Reservation& reservation,
             const QueueEntry& entry,
             std::int64_t now_ms);

} // namespace geraniumhinge::core
