#pragma once

#include "core/workflow.h"

#include <cstdint>
#include <vector>

namespace geraniumhinge::core {

/// The latency objective of a queue: `factor` times the longest chain of steps
/// plus `extra_ms`.
struct Objective
{
  double factor = 0; ///< 0: the queue has no objective.
  std::int64_t extra_ms = 0;
};

/// Expected run times of a workflow's steps on a server of median speed, in ms.
/// Empty if they are as declared.
using ExpectedTimes = std::vector<std::int64_t>;

/// Expected run time of a step, 0 if unknown.
std::int64_t
expected_ms(const Workflow& workflow,
            const ExpectedTimes& expected,
            std::uint32_t step);

/// Expected duration of the longest chain of dependent steps that begins with
/// the step, in ms.
std::int64_t
chain_ms(const Workflow& workflow,
         std::uint32_t step,
         const ExpectedTimes& expected = {});

/// Time that the objective allows for one run of all steps, by their declared
/// run times.
std::int64_t
allowed_ms(const Workflow& workflow, const Objective& objective);

/// How much longer a step of an occurrence may wait and still meet the
/// objective; negative if the step is late already.
std::int64_t
slack_ms(const Workflow& workflow,
         const Objective& objective,
         std::uint32_t occurrence,
         std::uint32_t step,
         std::int64_t unix_now_ms,
         const ExpectedTimes& expected = {});

} // namespace geraniumhinge::core
