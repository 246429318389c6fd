#pragma once

#include "core/advice.h"
#include "core/objective.h"
#include "core/operator_config.h"
#include "core/pool.h"
#include "core/workflow.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::core {

/// A workflow as one scheduling round sees it.
struct RoundWorkflow
{
  const Workflow* definition = nullptr;
  Progress progress; ///< Copy that the round updates.
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t max_failures = 1; ///< Failures after which the workflow fails.
  std::int64_t peak_accelerators = 0; ///< Most in use at the same time.
  /// Most tasks that may run at the same time.
  std::size_t max_runs = std::numeric_limits<std::size_t>::max();
  bool guaranteed = false;       ///< Within the organisation's guarantee.
  std::set<std::string> avoided; ///< Servers on which the workflow failed.
  Objective objective;
  ExpectedTimes expected;               ///< Of the steps; empty if as declared.
  std::optional<AdviceSettings> advice; ///< Set if the steps need tickets.
  bool changed = false;                 ///< The round changed `progress`.
};

/// A result that takes up to this multiple of the objective is of some value to
/// the caller (docs/hard-load.md).
inline constexpr std::int64_t LATE_FACTOR = 3;

struct RoundLimits
{
  /// Factor by which a step runs longer outside its rack.
  double rack_penalty = 3;
  std::int64_t unix_offset_ms = 0; ///< Unix time minus boot time.
  std::int64_t stop_ms = 0; ///< From a stop until the resources are free.
  std::int64_t checkpoint_ms = 2'000; ///< Run time between two checkpoints.
  /// Lost work that a step of priority 0 outside its organisation's guarantee
  /// may cause at once, and the increase for each second of waiting.
  double max_urgent_loss_core_s = 100;
  double urgent_loss_growth_core_s_per_s = 200;
  /// Value of meeting the objective, as a multiple of the step's own work, by
  /// priority. The last entry holds for all lower priorities.
  std::array<double, 3> on_time_value{ 2.5, 1, 0.2 };
  /// Not all agents have reported to a new owner; see core/settle.h. Only
  /// urgent steps are placed, and no run is stopped for them.
  bool settling = false;
  /// Stops runs for a step only if it gains more than others lose
  /// (docs/design/scarce-capacity.md).
  bool weigh_stops = false;
  /// Where room is scarce, orders steps by what their callers can still get
  /// (docs/design/scarce-capacity.md).
  bool order_by_value = false;
  /// Gangs for which one round reserves servers.
  std::size_t max_gang_reservations = 3;
};

/// A task of a step, by its index.
using TaskKey = std::pair<StepKey, std::uint32_t>;

/// State of the steps that the owner keeps between scheduling rounds.
struct StepHistory
{
  std::map<TaskKey, std::int64_t> placed_ms; ///< Boot time of the placement.
  /// Boot time of the first round that saw the step ready.
  std::map<StepKey, std::int64_t> ready_ms;
  std::map<std::string, std::string> nodes; ///< Agent node, by server.
  std::map<TaskKey, std::uint32_t> percent; ///< Reported progress.
  /// Runs in evacuated zones that have not started.
  std::set<TaskKey> recalled;
  /// Waiting steps that were reported to fit in an evacuated zone, by zone.
  std::map<std::string, std::set<StepKey>> held_steps;
  /// Boot time of the report that showed the newest checkpoint. Of a gang, by
  /// its first task.
  std::map<TaskKey, std::int64_t> saved_ms;
  /// How often runs of the step were stopped for other steps.
  std::map<StepKey, std::uint32_t> stops;
  std::set<TaskKey> stalled;      ///< Runs whose progress has stopped.
  std::set<std::string> suspects; ///< Servers to avoid where possible.
  AdviceCache advice;

  /// Forgets the steps of a workflow that has ended.
  void forget(const std::string& workflow);
};

struct StepPlacement
{
  StepKey step;
  std::vector<std::string> servers;
  std::int64_t waited_ms = 0;
  double slowest_factor = 1; ///< On the run time, of the slowest server.

  bool operator==(const StepPlacement&) const = default;
};

/// What a step gains from stops of other runs.
enum class StopReason
{
  Guarantee, ///< It is within its organisation's guarantee.
  Objective, ///< It meets its objective.
  Waiting,   ///< It waits for less time.
};

inline constexpr NamedValue<StopReason> STOP_REASON_NAMES[] = {
  { StopReason::Guarantee, "guarantee" },
  { StopReason::Objective, "objective" },
  { StopReason::Waiting, "waiting" },
};

struct StepPreemption
{
  StepKey step;                  ///< The step that gets the resources.
  StepKey victim;                ///< The step whose runs are stopped.
  std::size_t stopped_tasks = 0; ///< Stopped tasks of the victim.
  double loss_core_s = 0;
  double discarded_core_s = 0; ///< Unsaved work and idle resources.
  StopReason reason = StopReason::Waiting;
};

/// Why runs are stopped to start again elsewhere, without a step that needs
/// their resources.
enum class RestartReason
{
  ServerLeaves,
  NoProgress,
  ZoneEvacuated, ///< They have not started, and may not start there any more.
};

inline constexpr NamedValue<RestartReason> RESTART_REASON_NAMES[] = {
  { RestartReason::ServerLeaves, "server_leaves" },
  { RestartReason::NoProgress, "no_progress" },
  { RestartReason::ZoneEvacuated, "zone_evacuated" },
};

struct StepRestart
{
  StepKey step;
  std::vector<std::uint32_t> tasks; ///< Indices in the step.
  RestartReason reason = RestartReason::ServerLeaves;
  double discarded_core_s = 0; ///< Unsaved work and idle resources.
};

/// A waiting step that would fit now if a zone were not evacuated.
struct HeldStep
{
  StepKey step;
  std::string zone;
};

struct RoundResult
{
  std::vector<StepPlacement> placements;
  std::vector<StepPreemption> preemptions;
  std::vector<StepRestart> restarts;
  std::vector<AdviceRequest> advice_requests; ///< Most urgent first.
  /// Steps that no server may run by the advice service, not reported before.
  std::vector<StepKey> denied_steps;
  std::vector<HeldStep> held_steps; ///< Not reported before.
};

/// Most accelerators that one step of the workflow uses at the same time.
std::int64_t
peak_accelerators_of(const Workflow& workflow);

/// Marks the workflows of priority 0 that together stay within the guaranteed
/// accelerators of their organisation, oldest first.
void
mark_guaranteed(std::vector<RoundWorkflow>& workflows,
                const std::map<std::string, std::int64_t>& guarantees);

/// Allocates the resources of all runs of the workflows from the pool.
void
allocate_runs(const std::vector<RoundWorkflow>& workflows, Pool& pool);

/// Places ready steps in order of urgency. Stops less urgent runs for steps
/// within a guarantee or at risk of missing their objective. `pool` holds the
/// free resources.
RoundResult
run_scheduling_round(std::vector<RoundWorkflow>& workflows,
                     Pool& pool,
                     StepHistory& history,
                     const RoundLimits& limits,
                     std::int64_t now_ms);

} // namespace geraniumhinge::core
