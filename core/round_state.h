#pragma once

#include "core/preempt.h"
#include "core/round.h"

#include <functional>
#include <optional>
#include <set>

namespace geraniumhinge::core {

/// Work of `demand` over some seconds, in core seconds. An accelerator counts
/// as a fixed number of cores.
double
core_seconds(const Resources& demand, double seconds);

/// Whether the workflow `left` is more urgent than `right`.
bool
more_urgent(const RoundWorkflow& left, const RoundWorkflow& right);

/// State of one scheduling round, updated with each placement and stop.
class SchedulingRound
{
public:
  SchedulingRound(std::vector<RoundWorkflow>& workflows,
                  Pool& pool,
                  StepHistory& history,
                  const RoundLimits& limits,
                  std::int64_t now_ms);

  RoundResult run();

private:
  /// A ready step with the request for its servers.
  struct WaitingStep
  {
    RoundWorkflow& round_workflow;
    StepKey key;
    AssignRequest request;
    std::int64_t waited_ms = 0;
    std::optional<std::int64_t> slack_ms{}; ///< Empty without an objective.
    /// The only task to place; empty for any task.
    std::optional<std::uint32_t> only_task{};
    bool isolated = false; ///< Needs servers without other runs.
    /// Found no servers, and nothing is stopped for it.
    bool without_servers = false;
  };

  /// Whether a task may crash its server. It is a suspect if its last attempt
  /// did so soon after its start (core/crash.h).
  enum class Suspicion
  {
    None,        ///< Never crashed a server soon after a start.
    Waiting,     ///< A suspect without a run.
    OnProbation, ///< A suspect whose run has just started.
    Outlived,    ///< No longer a suspect: it has run on since.
  };

  /// What the caller of a waiting step can still get, in the order in which
  /// steps are placed.
  enum class Prospect
  {
    Overdue, ///< Has waited for so long that it comes first.
    OnTime,
    Late, ///< A late result of some value.
    None, ///< A result without value.
  };

  /// Servers reserved for a gang that fits once other runs have ended.
  struct GangReservation
  {
    std::set<std::string> servers;
    std::int64_t free_in_ms = 0; ///< Expected time until the gang fits.
    std::int64_t waited_ms = 0;  ///< Time for which the gang has waited.
  };

  const Step& step_of(const WaitingStep& waiting) const;
  std::int64_t expected_ms_of(const WaitingStep& waiting) const;
  std::vector<WaitingStep> waiting_steps();
  static bool comes_before(const WaitingStep& left, const WaitingStep& right);
  static std::vector<WaitingStep> sort_steps(
    std::vector<WaitingStep> waiting,
    const std::function<bool(const WaitingStep&, const WaitingStep&)>& before);
  bool lacks_room(const std::vector<WaitingStep>& waiting) const;
  Prospect prospect(const WaitingStep& waiting) const;
  std::vector<WaitingStep> sort_by_value(
    std::vector<WaitingStep> waiting) const;
  WaitingStep make_waiting_step(RoundWorkflow& round_workflow,
                                const ReadyStep& ready);
  double max_run_time_factor(const WaitingStep& waiting) const;
  bool limit_tasks(WaitingStep& waiting) const;
  void place(WaitingStep& waiting);
  std::vector<std::string> find_servers(WaitingStep& waiting) const;
  void add_gang_reservations(WaitingStep& waiting) const;
  void add_gang_reservation(const GangReservation& reservation,
                            WaitingStep& waiting) const;
  std::vector<std::string> find_withheld_servers(
    WaitingStep& waiting,
    std::set<std::string> reserved) const;
  bool fits_rack_within(const WaitingStep& waiting, std::int64_t time_ms) const;
  bool is_held_too_long(const WaitingStep& waiting) const;
  bool is_mostly_idle(const std::string& service) const;
  std::vector<std::string> assign_or_use_avoided(WaitingStep& waiting) const;
  bool must_use_avoided(const WaitingStep& waiting) const;
  void wait_for_servers(WaitingStep& waiting);
  std::vector<std::string> servers_with_room(const WaitingStep& waiting) const;
  void request_advice(const WaitingStep& waiting,
                      const std::vector<std::string>& planned);
  bool is_denied(const WaitingStep& waiting) const;
  void add_servers_to_learn(const WaitingStep& waiting,
                            std::size_t limit,
                            std::vector<ServerInstance>& requested) const;
  void report_held_steps(const std::vector<WaitingStep>& steps);
  void report_held_step(const WaitingStep& waiting, const Pool& open_pool);
  void commit(const WaitingStep& waiting,
              const std::vector<std::string>& servers);

  Suspicion suspicion(const StepKey& key,
                      const Step& step,
                      const StepState& tasks,
                      std::uint32_t index) const;
  void find_probation_servers();
  bool limit_suspects(WaitingStep& waiting);
  void reserve_for_suspects(WaitingStep& waiting) const;
  bool must_isolate(const WaitingStep& waiting) const;
  static bool may_place(const WaitingStep& waiting,
                        const StepState& tasks,
                        std::uint32_t index);

  void restart_runs();
  std::optional<RestartReason> restart_reason(const RunGroup& group) const;
  bool must_leave_server(const RunGroup& group, std::int64_t min_stay_ms) const;

  std::vector<std::string> preempt(const WaitingStep& waiting);
  double allowed_loss(const WaitingStep& waiting) const;
  void find_run_groups();
  void add_run_groups(const RoundWorkflow& round_workflow,
                      const StepKey& key,
                      const StepState& tasks);
  std::size_t disruptions_allowed(const Step& step,
                                  const StepKey& key,
                                  const StepState& tasks) const;
  std::int64_t stop_delay_ms() const;
  std::int64_t age_ms(const WaitingStep& waiting) const;
  void limit_stops(const WaitingStep& waiting, PreemptRequest& request) const;
  StopReason stop_reason(const WaitingStep& waiting) const;
  std::int64_t elapsed_ms(const TaskKey& task) const;
  /// Expected run time of the task on its server.
  std::int64_t expected_run_ms(const RoundWorkflow& round_workflow,
                               const TaskKey& task) const;
  std::int64_t remaining_ms(const RoundWorkflow& round_workflow,
                            const TaskKey& task) const;
  std::int64_t late_remaining_ms(const RoundWorkflow& round_workflow,
                                 const TaskKey& task) const;
  /// Factor on the run time of the task on its server.
  double run_time_factor(const RoundWorkflow& round_workflow,
                         const TaskKey& task) const;
  std::int64_t unsaved_ms(const TaskKey& task, const Step& step) const;
  std::int64_t late_slack_ms(const WaitingStep& waiting) const;
  double gain_of_start_now(const WaitingStep& waiting) const;
  double on_time_value(const RoundWorkflow& round_workflow,
                       const Step& step) const;
  bool stop_misses_objective(const RoundWorkflow& round_workflow,
                             const TaskKey& task) const;
  /// Work that a stop of the task discards, with its idle resources.
  double discarded_core_s(const Step& step, const TaskKey& task) const;
  void add_stop_loss(const RoundWorkflow& round_workflow,
                     const TaskKey& task,
                     RunGroup& group) const;
  void stop(RunGroup& group);

  void reserve_for_gang(const WaitingStep& waiting);
  double slowest_factor(const std::vector<std::string>& servers) const;
  /// Reserves faster servers that are free soon if the step ends sooner there
  /// than on `servers`. Returns whether it did.
  bool wait_for_faster(const WaitingStep& waiting,
                       const std::vector<std::string>& servers);

  std::vector<RoundWorkflow>& workflows;
  Pool& pool;
  StepHistory& history;
  const RoundLimits& limits;
  std::int64_t now_ms;
  Pool idle_pool;               ///< The servers without any runs.
  bool speeds_differ = false;   ///< Some servers are faster than others.
  std::vector<RunGroup> groups; ///< Runs at the start of the round.
  std::vector<GangReservation> gang_reservations;
  /// Servers of suspects that may still crash them.
  std::set<std::string> probation_servers;
  RoundResult result;
};

} // namespace geraniumhinge::core
