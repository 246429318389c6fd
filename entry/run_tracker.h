#pragma once

#include "core/names.h"
#include "core/progress_watch.h"
#include "core/quarantine.h"
#include "core/round.h"
#include "entry/server_table.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Ends of one instance of a server that were applied, up to a number. The
/// next instance counts from the beginning.
struct AppliedEnds
{
  core::ServerInstance instance;
  std::uint64_t number = 0;
};

/// What the owner learns of runs: their progress and checkpoints, how they
/// ended, and which servers to mistrust.
class RunTracker
{
public:
  RunTracker(const kernel::Log& log,
             kernel::Metrics& metrics,
             ServerTable& servers);

  /// Forgets progress and checkpoints, when ownership begins.
  void reset();

  /// Records progress and checkpoints of a report.
  void record_progress(const AgentView& agent, std::int64_t now_ms);

  /// Applies the ends that agents have reported. Returns, by node, what was
  /// applied.
  std::map<std::string, AppliedEnds> apply_ends(
    std::vector<core::RoundWorkflow>& jobs,
    std::int64_t now_ms);

  /// Applies the ends of runs that are over for certain though nobody says so.
  void apply_lost_runs(core::RoundWorkflow& job, std::int64_t now_ms);

  /// Whether the server may get new work, as far as failures tell.
  bool trusted(const std::string& server, std::int64_t now_ms);

  /// Fills in progress, runs that stand still and servers to be avoided.
  void update_history(const std::vector<core::RoundWorkflow>& jobs,
                      core::StepHistory& history,
                      std::int64_t now_ms);

  /// Servers on which the workflow has failed.
  const std::set<std::string>& failed_on(const std::string& workflow) const;

  /// Records that runs were stopped because they made no progress.
  void record_restart(const core::StepRestart& restart);

  void forget(const core::Workflow& workflow);

private:
  /// How the members of one attempt of a gang have ended so far.
  struct GangEnd
  {
    bool broken = false; ///< A member ended because another one had.
    bool cause = false;  ///< A member is known to have ended by itself.
  };

  void apply_reported_end(core::RoundWorkflow& job,
                          const AgentView& agent,
                          const v1::EndReport& end,
                          std::int64_t now_ms);
  void count_end(core::RunEndKind kind);
  void record_gang_end(const core::RoundWorkflow& job,
                       const core::TaskRef& task,
                       std::uint32_t attempt,
                       core::RunEndKind kind);
  bool broke_its_gang(const core::RoundWorkflow& job,
                      const core::TaskRef& task,
                      const core::Run& run) const;
  bool run_has_ended(const core::RoundWorkflow& job,
                     const core::TaskRef& task,
                     const core::Run& run,
                     std::int64_t now_ms) const;
  std::string checkpoint_of(const std::string& task) const;

  const kernel::Log& log;
  kernel::Metrics& metrics;
  ServerTable& servers;
  core::Names names;
  core::FailureTracker failures;
  core::ProgressWatch progress;
  std::map<std::string, std::set<std::string>> failures_by_workflow;
  std::map<std::string, std::string> checkpoints; ///< By task name.
  std::map<std::pair<core::StepKey, std::uint32_t>, GangEnd> gang_ends;
};

} // namespace geraniumhinge::entry
