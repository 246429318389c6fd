#include "core/objective.h"

#include <algorithm>

namespace geraniumhinge::core {

std::int64_t
expected_ms(const Workflow& workflow,
            const ExpectedTimes& expected,
            std::uint32_t step)
{
  return step < expected.size() ? expected[step]
                                : workflow.steps[step].estimate_ms;
}

std::int64_t
chain_ms(const Workflow& workflow,
         std::uint32_t step,
         const ExpectedTimes& expected)
{
  // Steps depend on earlier steps only: one backward pass suffices.
  std::vector<std::int64_t> chains(workflow.steps.size(), 0);
  for (std::uint32_t index = static_cast<std::uint32_t>(workflow.steps.size());
       index-- > step;) {
    chains[index] += expected_ms(workflow, expected, index);
    for (std::uint32_t earlier : workflow.steps[index].dependencies)
      chains[earlier] = std::max(chains[earlier], chains[index]);
  }
  return chains[step];
}

std::int64_t
allowed_ms(const Workflow& workflow, const Objective& objective)
{
  std::int64_t longest = 0;
  for (std::uint32_t first = 0; first < workflow.steps.size(); ++first)
    longest = std::max(longest, chain_ms(workflow, first));
  return static_cast<std::int64_t>(objective.factor *
                                   static_cast<double>(longest)) +
         objective.extra_ms;
}

std::int64_t
slack_ms(const Workflow& workflow,
         const Objective& objective,
         std::uint32_t occurrence,
         std::uint32_t step,
         std::int64_t unix_now_ms,
         const ExpectedTimes& expected)
{
  std::int64_t begin_ms =
    workflow.occurrences > 0
      ? workflow.first_due_ms + occurrence * workflow.period_ms
      : workflow.accepted_ms;
  return begin_ms + allowed_ms(workflow, objective) -
         chain_ms(workflow, step, expected) - unix_now_ms;
}

} // namespace geraniumhinge::core
