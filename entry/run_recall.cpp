#include "entry/run_recall.h"

#include "entry/workflow_index.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

bool
is_listed(const v1::ServerReport& report,
          const std::string& task,
          std::uint32_t attempt)
{
  return std::any_of(report.running().begin(),
                     report.running().end(),
                     [&task, attempt](const v1::RunReport& run) {
                       return run.task() == task && run.attempt() == attempt;
                     });
}

/// The agent of the run if the run must be recalled unless the agent lists it;
/// null otherwise.
const AgentView*
recalling_agent(const core::Run& run,
                const ServerTable& servers,
                const Evacuations& evacuations,
                std::int64_t now_ms)
{
  std::map<std::string, AgentView>::const_iterator found =
    servers.all().find(run.node);
  if (run.stopping || found == servers.all().end())
    return nullptr;
  const AgentView& agent = found->second;
  const std::string& zone = agent.report.zone();
  bool knows_runs = agent.report.listed() &&
                    instance_of(agent.report.life()) == run.server &&
                    agent.last_seen_ms != 0 &&
                    agent.last_seen_ms >= evacuations.starts_end_ms(zone);
  return knows_runs && evacuations.must_recall(zone, now_ms) ? &agent : nullptr;
}

} // namespace

std::set<core::TaskKey>
runs_to_recall(const std::vector<core::RoundWorkflow>& workflows,
               const ServerTable& servers,
               const Evacuations& evacuations,
               std::int64_t now_ms)
{
  std::set<core::TaskKey> recalled;
  if (evacuations.none())
    return recalled;
  for (const core::RoundWorkflow& round_workflow : workflows) {
    core::for_each_run(
      round_workflow.progress,
      [&](const core::TaskRef& ref, const core::TaskState& task) {
        const AgentView* agent =
          recalling_agent(*task.run, servers, evacuations, now_ms);
        std::string name = core::task_name(round_workflow.definition->id, ref);
        if (agent && !is_listed(agent->report, name, task.run->attempt))
          recalled.insert({ step_key(round_workflow, ref), ref.index });
      });
  }
  return recalled;
}

} // namespace geraniumhinge::entry
