#pragma once

#include "core/workflow.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace geraniumhinge::core {

/// One instance of a backend server.
struct PoolServer
{
  ServerInstance instance;
  std::string service;
  std::string zone;
  std::string rack;
  std::set<std::string> labels;
  Resources capacity; ///< Of the whole server, whatever runs.
  /// Ready, seen lately, and not in an evacuated zone.
  bool accepts_work = true;
  /// Would accept work if its zone were not evacuated.
  bool evacuated = false;
  /// Factor on the run time of tasks, 1 for the fleet's median.
  double run_time_factor = 1;
  /// Several jobs failed on it lately.
  bool quarantined = false;
  /// Set if the server is leaving: minimum time until it leaves.
  std::optional<std::int64_t> min_stay_ms;
};

/// Identifies one step of a workflow.
struct StepKey
{
  std::string workflow;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  bool operator==(const StepKey&) const = default;
  bool operator<(const StepKey& other) const
  {
    return std::tie(this->workflow, this->occurrence, this->step) <
           std::tie(other.workflow, other.occurrence, other.step);
  }
};

/// Runs that can only be stopped together: all members of a gang, or one task.
struct RunGroup
{
  StepKey step;
  std::vector<std::uint32_t> tasks; ///< Indices in the step.
  std::uint32_t priority = 0;       ///< 0 is the most urgent.
  bool guaranteed = false;          ///< Within its organisation's guarantee.
  bool stopping = false;
  bool runs_until_cancelled = false;
  bool checkpoints = false;
  /// Tasks of the step that may be stopped before too many are unavailable.
  std::size_t disruptions_allowed = 0;
  /// Time until the last run ends if all take as long as expected.
  std::int64_t remaining_ms = 0;
  /// The same by the progress of runs that took much longer, 0 if none did.
  std::int64_t late_remaining_ms = 0;
  Resources demand;                             ///< Resources of one task.
  std::map<std::string, std::uint32_t> servers; ///< Tasks on each server.
  /// Cost of a stop: unsaved work, resources that are idle until the runs have
  /// ended, and the value of the objective if the stop makes the step miss it.
  double loss_core_s = 0;
  /// Part of the cost that several stops of the same step cause only once.
  double step_loss_core_s = 0;
  double discarded_core_s = 0; ///< Unsaved work and idle resources.
  std::int64_t placed_ms = 0;  ///< Boot time of the placement, 0 if unknown.
  bool overdue = false;        ///< Runs for longer than expected.
  std::uint32_t earlier_stops = 0; ///< Of the step, for other steps.

  /// Time until the runs have likely ended, so that others can use their
  /// resources.
  std::int64_t likely_remaining_ms() const
  {
    return std::max(this->remaining_ms, this->late_remaining_ms);
  }
};

/// Servers with their free resources. Rebuilt for each scheduling round.
struct Pool
{
  std::map<std::string, PoolServer> servers; ///< By identifier.
  /// Capacity minus runs and reservations.
  std::map<std::string, Resources> free;

  void allocate(const std::string& server, const Resources& demand)
  {
    this->free[server].subtract(demand);
  }
  void release(const std::string& server, const Resources& demand)
  {
    this->free[server].add(demand);
  }
};

/// Releases the resources of all runs of the group.
inline void
release_runs(Pool& pool, const RunGroup& group)
{
  for (const std::pair<const std::string, std::uint32_t>& item :
       group.servers) {
    if (pool.free.contains(item.first))
      pool.release(item.first, group.demand.times(item.second));
  }
}

/// Allocates the resources of all runs of the group.
inline void
allocate_runs(Pool& pool, const RunGroup& group)
{
  for (const std::pair<const std::string, std::uint32_t>& item :
       group.servers) {
    if (pool.free.contains(item.first))
      pool.allocate(item.first, group.demand.times(item.second));
  }
}

} // namespace geraniumhinge::core
