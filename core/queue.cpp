#include "core/queue.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace geraniumhinge::core {

namespace {

/// Lower bound of the expected run time, so that jobs that declare a very short
/// run time do not precede all others.
constexpr std::int64_t MIN_EXPECTED_RUN_MS = 60'000;

using Entries = std::vector<const QueueEntry*>;

double
priority(const QueueEntry& entry, QueueOrder queue_order, std::int64_t now_ms)
{
  const double run =
    static_cast<double>(std::max(entry.expected_run_ms, MIN_EXPECTED_RUN_MS));
  const double ratio =
    (static_cast<double>(now_ms - entry.submitted_ms) + run) / run;
  return queue_order == QueueOrder::ResponseRatioPerAccelerator
           ? ratio / std::max(total_accelerators(entry.shape), 1U)
           : ratio;
}

void
sort_in_queue_order(Entries& entries,
                    QueueOrder queue_order,
                    std::int64_t now_ms)
{
  if (queue_order == QueueOrder::Arrival) {
    return; // Entries are in order of arrival already.
  }
  std::stable_sort(entries.begin(),
                   entries.end(),
                   [=](const QueueEntry* left, const QueueEntry* right) {
                     return priority(*left, queue_order, now_ms) >
                            priority(*right, queue_order, now_ms);
                   });
}

/// Jobs of one organisation while the fair order is computed.
struct OrganisationJobs
{
  Entries entries;
  std::size_t next = 0;
  double used = 0;
  double weight = 1;
};

OrganisationJobs*
least_served(std::map<NameId, OrganisationJobs>& by_organisation)
{
  OrganisationJobs* least = nullptr;
  for (auto& [organisation, jobs] : by_organisation) {
    if (jobs.next < jobs.entries.size() &&
        (least == nullptr ||
         jobs.used / jobs.weight < least->used / least->weight)) {
      least = &jobs;
    }
  }
  return least;
}

const OrganisationShare*
share_of(std::span<const OrganisationShare> shares, NameId organisation)
{
  for (const OrganisationShare& share : shares) {
    if (share.organisation == organisation) {
      return &share;
    }
  }
  return nullptr;
}

/// Appends the entries by fair share: each next job comes from the organisation
/// with the fewest accelerators for its weight, including those of its jobs
/// appended before.
void
append_by_fair_share(Entries& order,
                     const Entries& entries,
                     std::span<const OrganisationShare> shares,
                     QueueOrder queue_order,
                     std::int64_t now_ms)
{
  std::map<NameId, OrganisationJobs> by_organisation;
  for (const QueueEntry* entry : entries) {
    by_organisation[entry->organisation].entries.push_back(entry);
  }
  for (auto& [organisation, jobs] : by_organisation) {
    if (const OrganisationShare* share = share_of(shares, organisation)) {
      jobs.used = share->used_accelerators;
      jobs.weight = std::max(share->weight, 1U);
    }
    sort_in_queue_order(jobs.entries, queue_order, now_ms);
  }
  while (OrganisationJobs* jobs = least_served(by_organisation)) {
    const QueueEntry* entry = jobs->entries[jobs->next];
    ++jobs->next;
    jobs->used += std::max(total_accelerators(entry->shape), 1U);
    order.push_back(entry);
  }
}

bool
over_limit(const QueueEntry& entry, std::span<const OrganisationShare> shares)
{
  const OrganisationShare* share = share_of(shares, entry.organisation);
  return share != nullptr && share->max_running_accelerators > 0 &&
         share->used_accelerators + total_accelerators(entry.shape) >
           share->max_running_accelerators;
}

/// The cells after the first `count` ends.
std::vector<Cell>
cells_after_ends(std::span<const CellState> cells,
                 std::span<const ExpectedEnd> ends,
                 std::size_t count)
{
  std::vector<std::string> ended_jobs;
  for (std::size_t i = 0; i < count; ++i) {
    ended_jobs.push_back(ends[i].job);
  }
  std::vector<Cell> after;
  for (const CellState& state : cells) {
    after.push_back(*state.cell);
    release(after.back(), ended_jobs);
  }
  return after;
}

/// Places the demand after the first `count` ends.
std::optional<Placement>
place_after_ends(std::span<const CellState> cells,
                 std::span<const ExpectedEnd> ends,
                 std::size_t count,
                 const Demand& demand,
                 const Policy& policy)
{
  const std::vector<Cell> after = cells_after_ends(cells, ends, count);
  std::vector<CellState> states;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    states.push_back({ &after[i], cells[i].guarantees });
  }
  tl::expected<Placement, PlaceError> found = place(states, demand, policy);
  if (!found) {
    return std::nullopt;
  }
  return std::move(*found);
}

} // namespace

JobQueue::JobQueue(QueueOrder order)
  : queue_order(order)
{
}

tl::expected<void, QueueError>
JobQueue::push(QueueEntry entry, std::uint32_t limit)
{
  if (this->find(entry.job) != nullptr) {
    return tl::unexpected(QueueError::AlreadyQueued);
  }
  std::uint32_t& count = this->counts[entry.organisation];
  if (count >= limit) {
    return tl::unexpected(QueueError::OrganisationFull);
  }
  ++count;
  this->entries.push_back(std::move(entry));
  return {};
}

bool
JobQueue::remove(const std::string& job)
{
  return !this->cancel(std::span(&job, 1)).empty();
}

std::vector<QueueEntry>
JobQueue::cancel(std::span<const std::string> jobs)
{
  const std::unordered_set<std::string_view> to_cancel(jobs.begin(),
                                                       jobs.end());
  std::vector<QueueEntry> cancelled;
  std::vector<QueueEntry> kept;
  kept.reserve(this->entries.size());
  for (QueueEntry& entry : this->entries) {
    if (to_cancel.contains(entry.job)) {
      --this->counts[entry.organisation];
      cancelled.push_back(std::move(entry));
    } else {
      kept.push_back(std::move(entry));
    }
  }
  this->entries = std::move(kept);
  return cancelled;
}

const QueueEntry*
JobQueue::find(const std::string& job) const
{
  for (const QueueEntry& entry : this->entries) {
    if (entry.job == job) {
      return &entry;
    }
  }
  return nullptr;
}

std::size_t
JobQueue::size(NameId organisation) const
{
  const auto found = this->counts.find(organisation);
  return found == this->counts.end() ? 0 : found->second;
}

std::vector<const QueueEntry*>
JobQueue::order(std::span<const OrganisationShare> shares,
                std::int64_t now_ms) const
{
  Entries urgent;
  Entries guaranteed;
  Entries others;
  for (const QueueEntry& entry : this->entries) {
    if (!entry.use_guarantee && over_limit(entry, shares)) {
      continue;
    }
    Entries& group = entry.urgent          ? urgent
                     : entry.use_guarantee ? guaranteed
                                           : others;
    group.push_back(&entry);
  }
  Entries order;
  order.reserve(this->entries.size());
  append_by_fair_share(order, urgent, shares, QueueOrder::Arrival, now_ms);
  order.insert(order.end(), guaranteed.begin(), guaranteed.end());
  append_by_fair_share(order, others, shares, this->queue_order, now_ms);
  return order;
}

const QueueEntry*
JobQueue::oldest_large(std::uint32_t min_accelerators) const
{
  const QueueEntry* oldest = nullptr;
  for (const QueueEntry& entry : this->entries) {
    const bool large = total_accelerators(entry.shape) >= min_accelerators;
    if (large && !entry.use_guarantee &&
        (oldest == nullptr || entry.submitted_ms < oldest->submitted_ms)) {
      oldest = &entry;
    }
  }
  return oldest;
}

std::optional<Reservation>
plan_reservation(std::span<const CellState> cells,
                 const Demand& demand,
                 const Policy& policy,
                 std::span<const ExpectedEnd> ends,
                 std::int64_t now_ms)
{
  std::vector<ExpectedEnd> sorted(ends.begin(), ends.end());
  std::stable_sort(sorted.begin(),
                   sorted.end(),
                   [](const ExpectedEnd& left, const ExpectedEnd& right) {
                     return left.end_ms < right.end_ms;
                   });
  std::size_t low = 0;
  std::size_t high = sorted.size();
  std::optional<Placement> found =
    place_after_ends(cells, sorted, high, demand, policy);
  if (!found) {
    return std::nullopt;
  }
  while (low < high) {
    const std::size_t middle = low + (high - low) / 2;
    std::optional<Placement> earlier =
      place_after_ends(cells, sorted, middle, demand, policy);
    if (earlier) {
      high = middle;
      found = std::move(earlier);
    } else {
      low = middle + 1;
    }
  }
  const std::int64_t start = high == 0 ? now_ms : sorted[high - 1].end_ms;
  return Reservation{ demand.job, std::max(start, now_ms), std::move(*found) };
}

bool
may_backfill(const Reservation& reservation,
             const QueueEntry& entry,
             std::int64_t now_ms)
{
  return entry.expected_run_ms > 0 &&
         now_ms + entry.expected_run_ms <= reservation.start_ms;
}

} // namespace geraniumhinge::core
