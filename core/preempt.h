#pragma once

#include "core/assign.h"

#include <cstdint>
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
  /// False if only runs that are stopping or end soon count.
  bool may_stop = true;
  /// Runs that are expected to end within this time are not stopped: their
  /// resources count as free. Negative for none.
  std::int64_t await_ms = -1;
  /// Runs placed after this time are not stopped. 0 for any time.
  std::int64_t placed_before_ms = 0;
};

struct PreemptPlan
{
  /// Runs to stop, without those that are stopping or are expected to end soon.
  std::vector<RunGroup*> victims;
  /// One server for each task, free once the victims have ended.
  std::vector<std::string> servers;
  double loss_core_s = 0; ///< Sum over all victims.
};

/// Chooses runs to stop so that the request fits, with a small loss. Runs that
/// are stopping already or end soon are chosen first, at no loss. Nothing if
/// the request does not fit with any choice.
std::optional<PreemptPlan>
plan_preemption(const Pool& pool,
                std::vector<RunGroup>& running,
                const PreemptRequest& request);

} // namespace geraniumhinge::core
