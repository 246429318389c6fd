#pragma once

#include "core/workflow.h"

#include <cstdint>

namespace geraniumhinge::core {

/// The latency objective of a queue: `factor` times the longest chain of steps
/// plus `extra_ms`.
struct Objective
{
  double factor = 0; ///< 0: the queue has no objective.
  std::int64_t extra_ms = 0;
};

/// Estimated duration of the longest chain of dependent steps that begins with
/// the step, in ms.
std::int64_t
chain_ms(const Workflow& workflow, std::uint32_t step);

/// Time that the objective allows for one run of all steps.
std::int64_t
allowed_ms(const Workflow& workflow, const Objective& objective);

/// How much longer a step of an occurrence may wait and still meet the
/// objective; negative if the step is late already.
std::int64_t
slack_ms(const Workflow& workflow,
         const Objective& objective,
         std::uint32_t occurrence,
         std::uint32_t step,
         std::int64_t unix_now_ms);

} // namespace geraniumhinge::core
