#pragma once

#include "core/names.h"
#include "core/progress_watch.h"
#include "core/quarantine.h"
#include "core/round.h"
#include "entry/server_table.h"
#include "entry/unstored_ends.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// The ends of one server instance that were applied: all up to `number`. The
/// next instance numbers its ends from the start.
struct AppliedEnds
{
  core::ServerInstance instance;
  std::uint64_t number = 0;
};

/// Tracks runs for the owner: their progress, checkpoints and ends, and the
/// servers to avoid because of failures.
class RunTracker
{
public:
  RunTracker(const kernel::Log& log,
             kernel::Metrics& metrics,
             ServerTable& servers);

  /// Drops progress, checkpoints and ends of gangs; called when ownership
  /// begins.
  void reset();

  /// Records progress and checkpoints of a report.
  void record_progress(const AgentView& agent, std::int64_t now_ms);

  /// Applies the ends that agents have reported. Returns the applied ends by
  /// node.
  std::map<std::string, AppliedEnds> apply_ends(
    std::vector<core::RoundWorkflow>& workflows,
    std::int64_t now_ms);

  /// Leaves the ends of these workflows, and all later ones of the same
  /// servers, out of the applied ends.
  void keep_ends(std::map<std::string, AppliedEnds>& applied,
                 const std::set<std::string>& workflows) const;

  /// Applies ends that the former owner heard of and could not store.
  void apply_shared_ends(core::RoundWorkflow& round_workflow,
                         const SharedEnds& shared_ends,
                         std::int64_t now_ms);

  /// Applies ends that no agent has reported, of runs that must have ended.
  void apply_lost_runs(core::RoundWorkflow& round_workflow,
                       std::int64_t now_ms);

  /// False while the server is quarantined because of failures.
  bool is_trusted(const std::string& server, std::int64_t now_ms);

  /// Sets the progress, the newest checkpoints, the stalled runs, the suspected
  /// servers and the rejected tickets.
  void update_history(const std::vector<core::RoundWorkflow>& workflows,
                      core::StepHistory& history,
                      std::int64_t now_ms);

  /// Servers on which the workflow has failed.
  const std::set<std::string>& failed_on(const std::string& workflow) const;

  /// Records that runs were stopped in order to restart their step.
  void record_restart(const core::StepRestart& restart);

  void forget(const core::Workflow& workflow);

private:
  void apply_reported_end(core::RoundWorkflow& round_workflow,
                          const AgentView& agent,
                          const v1::EndReport& end,
                          std::int64_t now_ms);
  /// Applies the end of the run that its task has now.
  void apply_end(core::RoundWorkflow& round_workflow,
                 const core::TaskRef& ref,
                 const v1::EndReport& end,
                 std::int64_t now_ms);
  void apply_late_success(core::RoundWorkflow& round_workflow,
                          const AgentView& agent,
                          const core::TaskRef& task,
                          const v1::EndReport& end);
  void apply_late_failure(core::RoundWorkflow& round_workflow,
                          const AgentView& agent,
                          const core::TaskRef& task,
                          const v1::EndReport& end);
  void log_run_end(const AgentView& agent, const v1::EndReport& end);
  void count_run_end(core::RunEndKind kind);
  void record_gang_end(const core::RoundWorkflow& round_workflow,
                       const core::TaskRef& task,
                       std::uint32_t attempt,
                       core::RunEndKind kind);
  bool must_have_broken_gang(const core::RoundWorkflow& round_workflow,
                             const core::TaskRef& task,
                             const core::Run& run) const;
  bool runs_on_new_instance(const std::string& task,
                            const core::Run& run) const;
  /// Why a run must have ended although no end was reported; empty if it may
  /// not have ended.
  std::optional<LossCause> loss_cause(const core::RoundWorkflow& round_workflow,
                                      const core::TaskRef& task,
                                      const core::Run& run,
                                      std::int64_t now_ms) const;
  std::string checkpoint_of(const std::string& task) const;

  struct Checkpoint
  {
    std::string value;
    std::int64_t saved_ms = 0; ///< Boot time of the first report of the value.
  };
  std::int64_t saved_ms_of(const std::string& task) const;

  /// A run whose start was rejected for its ticket.
  struct RejectedTicket
  {
    core::StepKey step;
    core::Run run;
  };

  const kernel::Log& log;
  kernel::Metrics& metrics;
  ServerTable& servers;
  core::Names names;
  core::FailureTracker failures;
  core::ProgressWatch progress;
  std::map<std::string, std::set<std::string>> failures_by_workflow;
  std::map<std::string, Checkpoint> checkpoints; ///< By task name.
  /// Members of one attempt of a gang that ended because another one had.
  std::map<std::pair<core::StepKey, std::uint32_t>, std::set<std::uint32_t>>
    broken_members;
  /// Since the last call of `update_history`.
  std::vector<RejectedTicket> rejected_tickets;
};

} // namespace geraniumhinge::entry
