#pragma once

#include "core/preempt.h"
#include "core/round.h"

#include <optional>

namespace geraniumhinge::core {

/// The work of some tasks for some seconds; an accelerator counts as cores.
double
core_seconds(const Resources& demand, double seconds);

/// The state of one round: what is placed is kept up to date.
class SchedulingRound
{
public:
  SchedulingRound(std::vector<RoundWorkflow>& jobs,
                  Pool& pool,
                  StepHistory& history,
                  const RoundLimits& limits,
                  std::int64_t now_ms);

  RoundResult run();

private:
  /// A step that waits, with what is asked for it.
  struct Waiting
  {
    RoundWorkflow& job;
    StepKey key;
    AssignRequest request;
    std::int64_t waited_ms = 0;
    std::optional<std::int64_t> slack_ms; ///< Nothing without an objective.
  };

  /// Servers kept for a gang that fits once others have ended.
  struct GangReservation
  {
    std::set<std::string> servers;
    std::int64_t in_ms = 0;
  };

  const Step& step_of(const Waiting& waiting) const;
  std::vector<Waiting> waiting_steps();
  Waiting make_waiting(RoundWorkflow& job, const ReadyStep& ready);
  void place(Waiting& waiting);
  void request_advice(const Waiting& waiting);
  void commit(const Waiting& waiting, const std::vector<std::string>& servers);

  void restart_runs();
  std::optional<RestartReason> restart_reason(const RunGroup& group) const;
  bool may_leave(const RunGroup& group, std::int64_t leaves_in_ms) const;

  bool preempt(const Waiting& waiting);
  double allowed_loss(const Waiting& waiting) const;
  void find_groups();
  void add_groups(const RoundWorkflow& job,
                  const StepKey& key,
                  const StepState& tasks);
  std::size_t disruptions_allowed(const Step& step,
                                  const StepKey& key,
                                  const StepState& tasks) const;
  std::int64_t elapsed_ms(const TaskKey& task) const;
  std::int64_t remaining_ms(const TaskKey& task, const Step& step) const;
  double on_time_value(const RoundWorkflow& job, const Step& step) const;
  bool stop_makes_late(const RoundWorkflow& job, const TaskKey& task) const;
  double loss(const RoundWorkflow& job, const TaskKey& task) const;
  void stop(RunGroup& group);

  void reserve_for_gang(const Waiting& waiting);

  std::vector<RoundWorkflow>& jobs;
  Pool& pool;
  StepHistory& history;
  const RoundLimits& limits;
  std::int64_t now_ms;
  std::vector<RunGroup> groups; ///< All that ran when the round began.
  std::vector<GangReservation> gang_reservations;
  RoundResult result;
};

} // namespace geraniumhinge::core
