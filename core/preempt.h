#pragma once

#include "core/assign.h"

#include <optional>
#include <vector>

namespace geraniumhinge::core {

struct PreemptRequest
{
  AssignRequest assign_request;
  std::uint32_t priority = 0;
  /// The step is within its organisation's guarantee. It may also stop runs of
  /// the same priority that are outside theirs.
  bool guaranteed = false;
};

struct PreemptPlan
{
  std::vector<RunGroup*> victims; ///< Without those that are stopping already.
  /// One server for each task, free once the victims have ended.
  std::vector<std::string> servers;
  double loss_core_s = 0; ///< Sum over all victims.
};

/// Chooses runs to stop so that the request fits, with a small loss. Runs that
/// are stopping already are chosen first, at no loss. Nothing if the request
/// does not fit with any choice.
std::optional<PreemptPlan>
plan_preemption(const Pool& pool,
                std::vector<RunGroup>& running,
                const PreemptRequest& request);

} // namespace geraniumhinge::core
