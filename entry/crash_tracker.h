#pragma once

#include "core/crash.h"
#include "core/round.h"
#include "entry/server_table.h"
#include "entry/workflow_index.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::entry {

/// Counts crashes of backend servers against the tasks that may have caused
/// them (core/crash.h): crashes that agents have reported, and those during a
/// restart of the agent, also if the owner changed meanwhile.
class CrashTracker
{
public:
  CrashTracker(const kernel::Log& log,
               kernel::Metrics& metrics,
               const ServerTable& servers);

  /// Drops what an earlier term of this entry has counted.
  void reset() { this->doubts.clear(); }

  /// Counts each crash once for each attempt. Must come before the runs of
  /// ended servers are recorded as lost. A crash that may only have been a
  /// silence counts like one long after the start, until the server is found.
  void apply(std::vector<core::RoundWorkflow>& workflows,
             const core::StepHistory& history,
             std::int64_t now_ms);

private:
  /// A run whose server may have crashed or may be silent, and its node.
  struct Doubt
  {
    core::ServerInstance server;
    std::string node;
  };

  /// A task and its attempt.
  using RunKey = std::pair<std::string, std::uint32_t>;

  enum class Certainty
  {
    Known,
    Doubtful, ///< The server may only be silent.
  };

  /// The crashes of the agent's servers that are known to the owner.
  std::vector<core::ServerCrash> crashes_of(
    const AgentView& agent,
    const std::vector<core::RoundWorkflow>& workflows,
    const core::StepHistory& history,
    std::int64_t now_ms) const;
  void withdraw_crashes(const WorkflowIndex& by_id);
  void apply_crash(const WorkflowIndex& by_id,
                   const core::ServerCrash& crash,
                   Certainty certainty);
  void apply_blame(core::RoundWorkflow& round_workflow,
                   const core::ServerInstance& server,
                   const core::TaskRef& task,
                   const core::BlamedRun& blamed,
                   Certainty certainty);

  const kernel::Log& log;
  kernel::Metrics& metrics;
  const ServerTable& servers;
  std::map<RunKey, Doubt> doubts; ///< Runs of doubtful crashes.
};

} // namespace geraniumhinge::entry
