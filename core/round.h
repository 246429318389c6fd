#pragma once

#include "core/pool.h"
#include "core/workflow.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::core {

/// A workflow in a round of decisions.
struct RoundJob
{
  const Workflow* workflow = nullptr;
  Progress progress; ///< A copy that the round changes.
  std::string service;
  std::uint32_t priority = 0;
  std::int64_t need_accelerators = 0; ///< Most that it uses at one time.
  bool guaranteed = false;            ///< Within its organisation's guarantee.
  std::set<std::string> avoided;      ///< Servers on which it failed.
  bool changed = false;
};

struct RoundLimits
{
  /// A step that wants one rack takes several after waiting this long.
  std::int64_t rack_patience_ms = 4'000;
  /// Unsaved work that the most urgent steps may throw away, beyond their
  /// organisation's guarantee: at once, and more for each second of waiting.
  double urgent_waste_core_s = 100;
  double urgent_waste_core_s_per_s = 200;
};

/// What the owner remembers of steps from round to round.
struct StepMemory
{
  /// Boot time of the placement of each task, by its index in the step.
  std::map<std::pair<StepKey, std::uint32_t>, std::int64_t> placed_ms;
  std::map<StepKey, std::int64_t> ready_ms; ///< Boot time.
  std::map<std::string, std::string> nodes; ///< Agent's node of a server.
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
  double unsaved_core_s = 0;
};

struct RoundResult
{
  std::vector<StepPlacement> placements;
  std::vector<StepPreemption> preemptions;
};

/// Most accelerators that a workflow uses at one time.
std::int64_t
accelerators_of(const Workflow& workflow);

/// Marks the most urgent workflows of each organisation, oldest first, that
/// together stay within its guarantee.
void
mark_guaranteed(std::vector<RoundJob>& jobs,
                const std::map<std::string, std::int64_t>& guarantees);

/// Takes what all runs of the jobs hold from the pool.
void
take_runs(const std::vector<RoundJob>& jobs, Pool& pool);

/// Places ready steps in order of urgency, and stops less urgent ones where a
/// guarantee is owed. `pool` holds what is free.
RoundResult
run_round(std::vector<RoundJob>& jobs,
          Pool& pool,
          StepMemory& memory,
          const RoundLimits& limits,
          std::int64_t now_ms);

} // namespace geraniumhinge::core
