#include "entry/crash_tracker.h"

#include "entry/events.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace geraniumhinge::entry {

namespace {

core::ServerCrash
decode_crash(const v1::CrashReport& row)
{
  core::ServerCrash crash{ instance_of(row.life()), {} };
  for (const v1::CrashedRun& run : row.runs())
    crash.runs.push_back({ run.task(), run.attempt(), run.ran_ms() });
  return crash;
}

/// The crash of a server that no agent has reported. The runs lasted until
/// the last report about the server or longer; the start of a run that an
/// earlier owner placed is unknown and counts as long ago.
core::ServerCrash
unreported_crash(const FormerServer& server,
                 const std::vector<core::RoundWorkflow>& workflows,
                 const core::StepHistory& history)
{
  core::ServerCrash crash{ server.instance, {} };
  for (const core::RoundWorkflow& round_workflow : workflows) {
    core::for_each_run(
      round_workflow.progress,
      [&](const core::TaskRef& ref, const core::TaskState& task) {
        if (task.run->server != server.instance)
          return;
        std::map<core::TaskKey, std::int64_t>::const_iterator placed =
          history.placed_ms.find({ step_key(round_workflow, ref), ref.index });
        std::int64_t placed_ms =
          placed == history.placed_ms.end() ? 0 : placed->second;
        crash.runs.push_back(
          { core::task_name(round_workflow.definition->id, ref),
            task.run->attempt,
            std::max<std::int64_t>(server.last_seen_ms - placed_ms, 0) });
      });
  }
  return crash;
}

/// A run that had certainly started long before its server crashed, as far as
/// this owner knows.
constexpr std::int64_t UNKNOWN_RUN_TIME_MS = core::EARLY_CRASH_MS + 1;

/// The crashes of the servers whose runs the condition selects, with those
/// runs. The times of their starts are unknown.
std::vector<core::ServerCrash>
crashes_of_runs(const std::vector<core::RoundWorkflow>& workflows,
                const std::function<bool(const core::Run&)>& crashed)
{
  std::map<std::pair<std::string, std::int64_t>, core::ServerCrash> crashes;
  for (const core::RoundWorkflow& round_workflow : workflows) {
    core::for_each_run(
      round_workflow.progress,
      [&](const core::TaskRef& ref, const core::TaskState& task) {
        if (!crashed(*task.run))
          return;
        const core::ServerInstance& server = task.run->server;
        core::ServerCrash& crash = crashes[{ server.id, server.started_ms }];
        crash.instance = server;
        crash.runs.push_back(
          { core::task_name(round_workflow.definition->id, ref),
            task.run->attempt,
            UNKNOWN_RUN_TIME_MS });
      });
  }
  std::vector<core::ServerCrash> list;
  list.reserve(crashes.size());
  for (std::pair<const std::pair<std::string, std::int64_t>, core::ServerCrash>&
         item : crashes)
    list.push_back(std::move(item.second));
  return list;
}

} // namespace

CrashTracker::CrashTracker(const kernel::Log& log,
                           kernel::Metrics& metrics,
                           const ServerTable& servers)
  : log(log)
  , metrics(metrics)
  , servers(servers)
{
}

void
CrashTracker::apply(std::vector<core::RoundWorkflow>& workflows,
                    const core::StepHistory& history,
                    std::int64_t now_ms)
{
  WorkflowIndex by_id = index_by_id(workflows);
  this->withdraw_crashes(by_id);
  for (const std::pair<const std::string, AgentView>& entry :
       this->servers.all()) {
    for (const core::ServerCrash& crash :
         this->crashes_of(entry.second, workflows, history, now_ms))
      this->apply_crash(by_id, crash, Certainty::Known);
  }
  // No agent could report these crashes, since agent and owner changed at the
  // same time. The server of a run that was to be stopped may have left.
  std::vector<core::ServerCrash> unseen =
    crashes_of_runs(workflows, [this](const core::Run& run) {
      return !run.stopping && this->servers.ended_unseen(run.server, run.node);
    });
  for (const core::ServerCrash& crash : unseen)
    this->apply_crash(by_id, crash, Certainty::Known);
  std::vector<core::ServerCrash> doubtful =
    crashes_of_runs(workflows, [this, now_ms](const core::Run& run) {
      return !run.stopping &&
             this->servers.may_have_crashed(run.server, run.node, now_ms);
    });
  for (const core::ServerCrash& crash : doubtful)
    this->apply_crash(by_id, crash, Certainty::Doubtful);
}

/// Takes back the doubtful crashes of servers that were only silent.
void
CrashTracker::withdraw_crashes(const WorkflowIndex& by_id)
{
  std::erase_if(this->doubts, [&](const std::pair<const RunKey, Doubt>& item) {
    const Doubt& doubt = item.second;
    std::optional<std::pair<std::string, core::TaskRef>> name =
      core::parse_task_name(item.first.first);
    WorkflowIndex::const_iterator found = by_id.find(name->first);
    if (found == by_id.end())
      return true;
    if (!this->servers.is_found(doubt.server, doubt.node))
      return false;
    core::RoundWorkflow& round_workflow = *found->second;
    if (!core::withdraw_crash(
          *round_workflow.definition, round_workflow.progress, name->second))
      return true;
    round_workflow.changed = true;
    this->log.write(CRASH_WITHDRAWN,
                    { { "task", item.first.first },
                      { "attempt", item.first.second },
                      { "server", doubt.server.id } });
    return true;
  });
}

void
CrashTracker::apply_crash(const WorkflowIndex& by_id,
                          const core::ServerCrash& crash,
                          Certainty certainty)
{
  for (const core::BlamedRun& blamed : core::blamed_runs(crash)) {
    std::optional<std::pair<std::string, core::TaskRef>> name =
      core::parse_task_name(blamed.run.task);
    WorkflowIndex::const_iterator found =
      name ? by_id.find(name->first) : by_id.end();
    if (found != by_id.end())
      this->apply_blame(
        *found->second, crash.instance, name->second, blamed, certainty);
  }
}

std::vector<core::ServerCrash>
CrashTracker::crashes_of(const AgentView& agent,
                         const std::vector<core::RoundWorkflow>& workflows,
                         const core::StepHistory& history,
                         std::int64_t now_ms) const
{
  std::vector<core::ServerCrash> crashes;
  for (const v1::CrashReport& row : agent.report.crashes())
    crashes.push_back(decode_crash(row));
  const FormerServer* former =
    this->servers.crashed_former_server(agent, now_ms);
  if (former)
    crashes.push_back(unreported_crash(*former, workflows, history));
  return crashes;
}

void
CrashTracker::apply_blame(core::RoundWorkflow& round_workflow,
                          const core::ServerInstance& server,
                          const core::TaskRef& task,
                          const core::BlamedRun& blamed,
                          Certainty certainty)
{
  const core::Workflow& workflow = *round_workflow.definition;
  if (!core::apply_crash(workflow, round_workflow.progress, task, blamed))
    return;
  round_workflow.changed = true;
  if (certainty == Certainty::Doubtful)
    this->doubts[{ blamed.run.task, blamed.run.attempt }] = {
      server, core::find_task(round_workflow.progress, task)->run->node
    };
  const core::TaskState& primary =
    core::primary_task(workflow, round_workflow.progress, task);
  bool given_up = round_workflow.progress.outcome == core::Outcome::Failed;
  this->metrics.counter("entry_crashes_counted_total").add();
  if (given_up)
    this->metrics.counter("entry_crashing_tasks_given_up_total").add();
  this->log.write(CRASH_COUNTED,
                  { { "task", blamed.run.task },
                    { "attempt", blamed.run.attempt },
                    { "server", server.id },
                    { "ran_ms", blamed.run.ran_ms },
                    { "early_crashes", primary.early_crashes },
                    { "crashes", primary.crashes },
                    { "doubtful", certainty == Certainty::Doubtful },
                    { "given_up", given_up } });
}

} // namespace geraniumhinge::entry
