#pragma once

#include "core/workflow.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace geraniumhinge::core {

/// What is known of one instance of a backend server.
struct PoolServer
{
  ServerInstance instance;
  std::string service;
  std::string zone;
  std::string rack;
  std::set<std::string> labels;
  Resources capacity;       ///< Of the whole server.
  bool accepts_work = true; ///< Ready, seen lately, and not set aside.
  /// It is leaving and stays at least so long.
  std::optional<std::int64_t> leaves_in_ms;
};

/// Names one step of a workflow.
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

/// Runs that can only be stopped together: all of a gang's step, or one task.
struct RunGroup
{
  StepKey step;
  std::vector<std::uint32_t> tasks; ///< Their indices in the step.
  std::uint32_t priority = 0;       ///< 0 is the most urgent.
  bool guaranteed = false; ///< Runs within its organisation's guarantee.
  bool stopping = false;
  bool runs_until_cancelled = false;
  bool checkpoints = false;
  /// Tasks of the step that may be stopped before too many are unavailable.
  std::size_t disruptions_allowed = 0;
  std::int64_t remaining_ms = 0; ///< Until the last one ends, estimated.
  Resources demand;              ///< Of one task.
  std::map<std::string, std::uint32_t> servers; ///< Tasks on each server.
  /// What a stop would cost: unsaved work, capacity that is idle until the runs
  /// have ended, and what it is worth that the step is not late.
  double loss_core_s = 0;
};

/// Servers with what they hold. Built anew for each round of decisions.
struct Pool
{
  std::map<std::string, PoolServer> servers; ///< By identifier.
  std::map<std::string, Resources> free; ///< Room less runs and reservations.

  void allocate(const std::string& server, const Resources& demand)
  {
    this->free[server].subtract(demand);
  }
  void release(const std::string& server, const Resources& demand)
  {
    this->free[server].add(demand);
  }
};

} // namespace geraniumhinge::core
