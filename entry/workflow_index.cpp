#include "entry/workflow_index.h"

namespace geraniumhinge::entry {

WorkflowIndex
index_by_id(std::vector<core::RoundWorkflow>& workflows)
{
  WorkflowIndex index;
  for (core::RoundWorkflow& round_workflow : workflows)
    index[round_workflow.definition->id] = &round_workflow;
  return index;
}

core::StepKey
step_key(const core::RoundWorkflow& round_workflow, const core::TaskRef& task)
{
  return { round_workflow.definition->id, task.occurrence, task.step };
}

} // namespace geraniumhinge::entry
