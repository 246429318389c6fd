// Finds servers for a waiting step: which free servers are kept from it, for
// gangs or because of its rack, and for how long
// (docs/design/placement-waits.md).

#include "core/round_state.h"

namespace geraniumhinge::core {

namespace {

/// Longest time that a step which runs until it is cancelled waits for servers
/// that are neither reserved nor quarantined. Its tasks must run again within
/// about 9 s of their last run.
constexpr std::int64_t MAX_LASTING_WAIT_MS = 3'000;

/// Longest time that a workflow without a run is kept from free servers, for a
/// gang or for its rack, while most of the service is idle. Callers give it up
/// as lost 17 s after its submission.
constexpr std::int64_t MAX_HELD_MS = 13'000;

/// The same for a step whose rack is expected to have room by then.
constexpr std::int64_t MAX_HELD_IN_RACK_MS = 15'000;

/// A gang that has waited for so long is not passed by steps that were held.
constexpr std::int64_t MAX_PASSED_GANG_WAIT_MS = 30'000;

/// A gang that fits within this time is not passed either.
constexpr std::int64_t MIN_PASSED_GANG_MS = 3'000;

/// Share of a service's capacity below which it counts as mostly idle.
constexpr double IDLE_SHARE = 0.5;

} // namespace

/// Servers for tasks of the step. One that runs until it is cancelled does not
/// wait for good behind reservations and quarantines: nothing bounds them.
std::vector<std::string>
SchedulingRound::find_servers(WaitingStep& waiting) const
{
  AssignRequest& request = waiting.request;
  std::set<std::string> reserved = request.reserved;
  this->add_gang_reservations(waiting);
  std::vector<std::string> servers = this->assign_or_use_avoided(waiting);
  if (servers.size() == request.tasks)
    return servers;
  if (request.step->runs_until_cancelled) {
    if (waiting.waited_ms <= MAX_LASTING_WAIT_MS)
      return servers;
    request.reserved = std::move(reserved);
    request.allow_quarantined = true;
    return this->assign_or_use_avoided(waiting);
  }
  if (servers.empty() && this->is_held_too_long(waiting))
    return this->find_withheld_servers(waiting, std::move(reserved));
  return servers;
}

/// Reserves the servers on which a task of the step would not end before the
/// gang that they are reserved for starts.
void
SchedulingRound::add_gang_reservations(WaitingStep& waiting) const
{
  for (const GangReservation& reservation : this->gang_reservations)
    this->add_gang_reservation(reservation, waiting);
}

void
SchedulingRound::add_gang_reservation(const GangReservation& reservation,
                                      WaitingStep& waiting) const
{
  std::int64_t expected_ms = this->expected_ms_of(waiting);
  for (const std::string& server : reservation.servers) {
    double run_ms = static_cast<double>(expected_ms) *
                    this->pool.servers.at(server).run_time_factor;
    if (expected_ms == 0 ||
        static_cast<double>(reservation.free_in_ms) < run_ms)
      waiting.request.reserved.insert(server);
  }
}

/// Servers that are reserved for gangs or outside the step's rack, for a step
/// that has been held too long. A step of independent tasks gets one server, so
/// that it makes progress and leaves the others to the gangs and its other
/// tasks to the rack.
std::vector<std::string>
SchedulingRound::find_withheld_servers(WaitingStep& waiting,
                                       std::set<std::string> reserved) const
{
  AssignRequest request = waiting.request;
  waiting.request.reserved = std::move(reserved);
  for (const GangReservation& reservation : this->gang_reservations) {
    if (reservation.free_in_ms < MIN_PASSED_GANG_MS ||
        reservation.waited_ms >= MAX_PASSED_GANG_WAIT_MS)
      this->add_gang_reservation(reservation, waiting);
  }
  if (!waiting.request.step->gang)
    waiting.request.tasks = 1;
  std::int64_t rack_left_ms = MAX_HELD_IN_RACK_MS - waiting.waited_ms;
  if (rack_left_ms <= 0 || !this->fits_rack_within(waiting, rack_left_ms))
    waiting.request.allow_any_rack = true;
  std::vector<std::string> servers = this->assign_or_use_avoided(waiting);
  waiting.request = std::move(request);
  return servers;
}

/// Whether the step fits where it should run once the runs that likely end
/// within the time have ended.
bool
SchedulingRound::fits_rack_within(const WaitingStep& waiting,
                                  std::int64_t time_ms) const
{
  Pool future_pool = this->pool;
  for (const RunGroup& group : this->groups) {
    if (!group.runs_until_cancelled && group.likely_remaining_ms() <= time_ms)
      release_runs(future_pool, group);
  }
  return !assign(future_pool, waiting.request).empty();
}

/// Whether the step has waited long enough to use servers that are kept free:
/// its workflow has no run beside many idle servers.
bool
SchedulingRound::is_held_too_long(const WaitingStep& waiting) const
{
  if (waiting.waited_ms <= MAX_HELD_MS)
    return false;
  bool has_run = false;
  for_each_run(
    waiting.round_workflow.progress,
    [&has_run](const TaskRef&, const TaskState&) { has_run = true; });
  return !has_run && this->is_mostly_idle(waiting.request.service);
}

bool
SchedulingRound::is_mostly_idle(const std::string& service) const
{
  double capacity = 0;
  double free = 0;
  for (const std::pair<const std::string, PoolServer>& item :
       this->pool.servers) {
    if (item.second.service != service || !item.second.accepts_work)
      continue;
    capacity += core_seconds(item.second.capacity, 1);
    free += core_seconds(this->pool.free.at(item.first), 1);
  }
  return capacity - free < IDLE_SHARE * capacity;
}

std::vector<std::string>
SchedulingRound::assign_or_use_avoided(WaitingStep& waiting) const
{
  std::vector<std::string> servers = assign(this->pool, waiting.request);
  if (!servers.empty() || !this->must_use_avoided(waiting))
    return servers;
  waiting.request.avoided.clear();
  return assign(this->pool, waiting.request);
}

/// Whether there is no choice but the servers that the step should avoid.
bool
SchedulingRound::must_use_avoided(const WaitingStep& waiting) const
{
  if (waiting.request.avoided.empty())
    return false;
  return !waiting.round_workflow.advice ||
         this->servers_with_room(waiting).empty();
}

} // namespace geraniumhinge::core
