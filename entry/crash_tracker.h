#pragma once

#include "core/crash.h"
#include "core/round.h"
#include "entry/server_table.h"
#include "entry/workflow_index.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <cstdint>
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

  /// Counts each crash once for each attempt. Must come before the runs of
  /// ended servers are recorded as lost.
  void apply(std::vector<core::RoundWorkflow>& workflows,
             const core::StepHistory& history,
             std::int64_t now_ms);

private:
  /// The crashes of the agent's servers that are known to the owner.
  std::vector<core::ServerCrash> crashes_of(
    const AgentView& agent,
    const std::vector<core::RoundWorkflow>& workflows,
    const core::StepHistory& history,
    std::int64_t now_ms) const;
  void apply_crash(const WorkflowIndex& by_id, const core::ServerCrash& crash);
  void apply_blame(core::RoundWorkflow& round_workflow,
                   const core::ServerInstance& server,
                   const core::TaskRef& task,
                   const core::BlamedRun& blamed);

  const kernel::Log& log;
  kernel::Metrics& metrics;
  const ServerTable& servers;
};

} // namespace geraniumhinge::entry
