#pragma once

#include "core/round.h"
#include "core/run_times.h"
#include "entry/server_table.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::entry {

/// Finds the run times of tasks in the reports of agents: each run once, from
/// its end or, if that is known sooner, its progress. Members of a gang are
/// compared with each other at the same time.
class RunSamples
{
public:
  RunSamples(core::RunTimes& run_times,
             const core::StepHistory& history,
             const ServerTable& servers);

  /// Forgets all runs; called when ownership begins.
  void reset();

  /// Records progress in percent, and ends, of a report.
  void record_report(const AgentView& agent, std::int64_t now_ms);

  /// Records the run times that reports have shown since the last call. Called
  /// before the ends of these reports are applied to the workflows.
  void record_run_times(std::vector<core::RoundWorkflow>& workflows,
                        std::int64_t now_ms);

  void forget(const std::string& workflow);

private:
  /// The last progress of a task that allows a projection.
  struct Point
  {
    std::uint32_t attempt = 0;
    std::uint32_t percent = 0;
    std::int64_t seen_ms = 0;
    std::string node;
    bool used = false;
  };

  /// An attempt of a task that has ended as done.
  struct DoneRun
  {
    std::uint32_t attempt = 0;
    std::string node;
    std::int64_t seen_ms = 0;
  };

  void record_progress(const AgentView& agent, std::int64_t now_ms);
  void record_ends(const AgentView& agent, std::int64_t now_ms);
  void record_step(const core::RoundWorkflow& round_workflow,
                   const core::TaskRef& task,
                   const DoneRun* done,
                   std::int64_t now_ms);
  void record_gang(const core::RoundWorkflow& round_workflow,
                   const core::TaskRef& task,
                   const DoneRun* done,
                   std::int64_t now_ms);
  void record_task(const core::RoundWorkflow& round_workflow,
                   const core::TaskRef& task,
                   const DoneRun* done,
                   std::int64_t now_ms);
  void record(const core::RoundWorkflow& round_workflow,
              const core::TaskRef& task,
              const std::vector<core::RunSample>& run_samples,
              std::int64_t now_ms);
  bool may_compare(const core::RoundWorkflow& round_workflow,
                   const core::TaskRef& task) const;
  bool runs_in_data_rack(const core::Step& step,
                         const core::StepState& tasks) const;
  /// The full run time of a task by its progress, 0 if that is not known well
  /// enough.
  std::int64_t projected_ms(const core::RoundWorkflow& round_workflow,
                            const core::TaskRef& task,
                            bool at_end) const;
  void mark_used(const core::RoundWorkflow& round_workflow,
                 const core::TaskRef& task,
                 std::uint32_t attempt);
  bool is_used(const core::RoundWorkflow& round_workflow,
               const core::TaskRef& task,
               std::uint32_t attempt) const;

  core::RunTimes& run_times;
  const core::StepHistory& history;
  const ServerTable& servers;
  std::map<std::string, Point> points; ///< By task name.
  std::set<std::string> changed;       ///< Tasks with a new point.
  std::map<std::string, DoneRun> ends; ///< Reported since the last round.
};

/// Names tasks whose declared run times are wrong by similar factors.
std::string
kind_of(const core::Workflow& workflow, std::uint32_t step);

/// Expected run times of the workflow's steps; empty if all are as declared.
core::ExpectedTimes
expected_times(const core::RunTimes& run_times, const core::Workflow& workflow);

} // namespace geraniumhinge::entry
