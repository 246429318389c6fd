#pragma once

#include "core/advice.h"
#include "core/objective.h"
#include "core/operator_config.h"
#include "core/pool.h"
#include "core/workflow.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::core {

/// A workflow in a round of decisions.
struct RoundWorkflow
{
  const Workflow* workflow = nullptr;
  Progress progress; ///< A copy that the round changes.
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t max_failures = 1;     ///< Failures after which it has failed.
  std::int64_t peak_accelerators = 0; ///< Most that it uses at one time.
  bool guaranteed = false;            ///< Within its organisation's guarantee.
  std::set<std::string> avoided;      ///< Servers on which it failed.
  Objective objective;
  std::optional<AdviceSettings> advice; ///< Its steps need tickets.
  bool changed = false;
};

struct RoundLimits
{
  /// How many times as long a step takes that misses its rack.
  double rack_penalty = 3;
  std::int64_t unix_offset_ms = 0; ///< Unix time less boot time.
  std::int64_t stop_ms = 0; ///< Until the capacity of a stopped run is free.
  /// Unsaved work that the most urgent steps may throw away, beyond their
  /// organisation's guarantee: at once, and more for each second of waiting.
  double max_urgent_loss_core_s = 100;
  double urgent_loss_growth_core_s_per_s = 200;
  /// What it is worth that a step meets its objective, as a part of its own
  /// work, by priority; the last one stands for all others.
  std::array<double, 3> on_time_value{ 2.5, 1, 0.2 };
};

/// A task of a step, by its index.
using TaskKey = std::pair<StepKey, std::uint32_t>;

/// What the owner remembers of steps from round to round.
struct StepHistory
{
  std::map<TaskKey, std::int64_t> placed_ms; ///< Boot time of the placement.
  std::map<StepKey, std::int64_t> ready_ms;  ///< Boot time.
  std::map<std::string, std::string> nodes;  ///< Agent's node of a server.
  std::map<TaskKey, std::uint32_t> percent;  ///< Of the work, as reported.
  std::set<TaskKey> stalled;      ///< Runs that make no progress any more.
  std::set<std::string> suspects; ///< Servers to be avoided where possible.
  AdviceCache advice;
};

struct StepPlacement
{
  StepKey step;
  std::vector<std::string> servers;
  std::int64_t waited_ms = 0;
};

struct StepPreemption
{
  StepKey step;
  StepKey victim;
  std::size_t tasks = 0; ///< Of the victim.
  double loss_core_s = 0;
};

/// Why runs are stopped though nothing else needs their capacity.
enum class RestartReason
{
  ServerLeaves,
  NoProgress,
};

inline constexpr NamedValue<RestartReason> RESTART_REASON_NAMES[] = {
  { RestartReason::ServerLeaves, "server_leaves" },
  { RestartReason::NoProgress, "no_progress" },
};

struct StepRestart
{
  StepKey step;
  std::vector<std::uint32_t> tasks; ///< Their indices in the step.
  RestartReason reason = RestartReason::ServerLeaves;
};

struct RoundResult
{
  std::vector<StepPlacement> placements;
  std::vector<StepPreemption> preemptions;
  std::vector<StepRestart> restarts;
  std::vector<AdviceRequest> advice_requests; ///< The most urgent first.
};

/// Most accelerators that a workflow uses at one time.
std::int64_t
peak_accelerators_of(const Workflow& workflow);

/// Marks the most urgent workflows of each organisation, oldest first, that
/// together stay within its guarantee.
void
mark_guaranteed(std::vector<RoundWorkflow>& jobs,
                const std::map<std::string, std::int64_t>& guarantees);

/// Takes what all runs of the jobs hold from the pool.
void
allocate_runs(const std::vector<RoundWorkflow>& jobs, Pool& pool);

/// Places ready steps in order of urgency, and stops less urgent ones where a
/// guarantee is owed. `pool` holds what is free.
RoundResult
run_scheduling_round(std::vector<RoundWorkflow>& jobs,
                     Pool& pool,
                     StepHistory& history,
                     const RoundLimits& limits,
                     std::int64_t now_ms);

} // namespace geraniumhinge::core
