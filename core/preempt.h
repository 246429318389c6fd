#pragma once

#include "core/assign.h"

#include <optional>
#include <vector>

namespace geraniumhinge::core {

struct PreemptRequest
{
  AssignRequest place;
  std::uint32_t priority = 0;
  /// Within its organisation's guarantee: may also stop work of the same
  /// priority that is not.
  bool guaranteed = false;
};

struct PreemptPlan
{
  std::vector<RunGroup*> victims;   ///< That are not stopping already.
  std::vector<std::string> servers; ///< For the tasks, once the victims ended.
  double loss_core_s = 0;           ///< Of all victims.
};

/// Chooses the runs to stop so that the request fits, with a small loss. Room
/// of runs that are stopping already is used first. Nothing if no choice makes
/// it fit.
std::optional<PreemptPlan>
plan_preemption(const Pool& pool,
                std::vector<RunGroup>& running,
                const PreemptRequest& request);

} // namespace geraniumhinge::core
