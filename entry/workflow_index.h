#pragma once

#include "core/round.h"

#include <map>
#include <string>
#include <vector>

// Lookups in the workflows of one scheduling round.

namespace geraniumhinge::entry {

using WorkflowIndex = std::map<std::string, core::RoundWorkflow*>;

/// The workflows by identifier. Valid until `workflows` changes its size.
WorkflowIndex
index_by_id(std::vector<core::RoundWorkflow>& workflows);

/// The step of a task.
core::StepKey
step_key(const core::RoundWorkflow& round_workflow, const core::TaskRef& task);

} // namespace geraniumhinge::entry
