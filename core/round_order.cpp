// Orders the waiting steps of a round, by what their callers can still get
// where room is scarce.

#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// A step that has waited for this multiple of its objective comes first among
/// equals, so that its wait is bounded.
constexpr std::int64_t LONGEST_WAIT_FACTOR = 10;

} // namespace

bool
more_urgent(const RoundWorkflow& left, const RoundWorkflow& right)
{
  if (left.priority != right.priority)
    return left.priority < right.priority;
  if (left.guaranteed != right.guaranteed)
    return left.guaranteed;
  if (left.definition->accepted_ms != right.definition->accepted_ms)
    return left.definition->accepted_ms < right.definition->accepted_ms;
  return left.definition->id < right.definition->id;
}

/// At equal urgency, steps that can still meet their objective come before late
/// ones, then older ones before newer ones.
bool
SchedulingRound::comes_before(const WaitingStep& left, const WaitingStep& right)
{
  bool equally_urgent =
    left.round_workflow.priority == right.round_workflow.priority &&
    left.round_workflow.guaranteed == right.round_workflow.guaranteed;
  bool left_late = left.slack_ms && *left.slack_ms < 0;
  bool right_late = right.slack_ms && *right.slack_ms < 0;
  if (equally_urgent && left_late != right_late)
    return right_late;
  return more_urgent(left.round_workflow, right.round_workflow);
}

std::vector<SchedulingRound::WaitingStep>
SchedulingRound::sort_steps(
  std::vector<WaitingStep> waiting,
  const std::function<bool(const WaitingStep&, const WaitingStep&)>& before)
{
  std::vector<std::size_t> order(waiting.size());
  for (std::size_t index = 0; index < order.size(); ++index)
    order[index] = index;
  std::stable_sort(order.begin(),
                   order.end(),
                   [&waiting, &before](std::size_t left, std::size_t right) {
                     return before(waiting[left], waiting[right]);
                   });
  std::vector<WaitingStep> sorted;
  sorted.reserve(order.size());
  for (std::size_t index : order)
    sorted.push_back(std::move(waiting[index]));
  return sorted;
}

/// Whether some step finds no servers for its tasks if all are placed in this
/// order, and would find them if nothing else ran.
bool
SchedulingRound::lacks_room(const std::vector<WaitingStep>& waiting) const
{
  Pool trial = this->pool;
  for (const WaitingStep& item : waiting) {
    AssignRequest request = item.request;
    // Steps wait for tickets and racks also where there is room.
    request.allowed.reset();
    request.allow_any_rack = true;
    std::vector<std::string> servers = assign(trial, request);
    if (servers.size() < request.tasks &&
        assign(this->idle_pool, request).size() > servers.size())
      return true;
    for (const std::string& server : servers)
      trial.allocate(server, resources_of_run(this->step_of(item)));
  }
  return false;
}

/// What the caller of a step can still get.
SchedulingRound::Prospect
SchedulingRound::prospect(const WaitingStep& waiting) const
{
  if (!waiting.slack_ms)
    return Prospect::OnTime;
  std::int64_t allowed = allowed_ms(*waiting.round_workflow.definition,
                                    waiting.round_workflow.objective);
  if (waiting.waited_ms > LONGEST_WAIT_FACTOR * allowed)
    return Prospect::Overdue;
  if (*waiting.slack_ms >= 0)
    return Prospect::OnTime;
  return this->late_slack_ms(waiting) >= 0 ? Prospect::Late : Prospect::None;
}

/// Among equals, steps whose callers can still get more come first, then older
/// ones. Steps within a guarantee keep their order: they get their resources in
/// any case.
std::vector<SchedulingRound::WaitingStep>
SchedulingRound::sort_by_value(std::vector<WaitingStep> waiting) const
{
  return sort_steps(std::move(waiting),
                    [this](const WaitingStep& left, const WaitingStep& right) {
                      const RoundWorkflow& left_workflow = left.round_workflow;
                      const RoundWorkflow& right_workflow =
                        right.round_workflow;
                      if (left_workflow.guaranteed || right_workflow.guaranteed)
                        return comes_before(left, right);
                      if (left_workflow.priority != right_workflow.priority)
                        return left_workflow.priority < right_workflow.priority;
                      Prospect left_prospect = this->prospect(left);
                      Prospect right_prospect = this->prospect(right);
                      if (left_prospect != right_prospect)
                        return left_prospect < right_prospect;
                      return more_urgent(left_workflow, right_workflow);
                    });
}

} // namespace geraniumhinge::core
