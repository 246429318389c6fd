#pragma once

#include "core/operator_config.h"
#include "core/round.h"
#include "core/run_times.h"
#include "entry/crash_tracker.h"
#include "entry/evacuations.h"
#include "entry/orders.h"
#include "entry/row_expiry.h"
#include "entry/run_samples.h"
#include "entry/run_tracker.h"
#include "entry/server_table.h"
#include "entry/speed_store.h"
#include "entry/unstored_ends.h"
#include "entry/work_view.h"
#include "entry/work_writer.h"
#include "kernel/event_limit.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

struct WorkSchedulerHooks
{
  std::function<const core::OperatorConfig&()> operator_config;
  /// Whether this entry may still send orders as the owner: the store
  /// responded recently.
  std::function<bool()> may_send_orders;
  /// Whether the rows of the work are known as they were a short time ago. If
  /// not, callers may have cancelled workflows since, so nothing is started.
  std::function<bool()> work_is_current;
  /// Whether the operators' requests to evacuate zones are known as they were a
  /// short time ago. If not, nothing is started.
  std::function<bool()> evacuations_are_current;
  std::function<void(const std::string& address, v1::ServerOrders)> send;
  /// Called when a transaction fails because another term has begun.
  std::function<void()> term_superseded;
  /// Called when rows differ from the versions that were read.
  std::function<void()> reload_rows;
  /// Sets the requests to the advice service, the most urgent first.
  std::function<void(const std::vector<core::AdviceRequest>&)> request_advice;
};

struct WorkSchedulerLimits
{
  /// A timed occurrence may start at most this long before it is due.
  std::int64_t early_ms = 0;
  std::int64_t retention_ms = 0; ///< Time for which ended workflows are kept.
  std::int64_t stop_ms = 0; ///< Longest time until a stopped run has ended.
  std::int64_t checkpoint_ms = 0; ///< Run time between two checkpoints.
  /// Factor on the duration of a step that does not run in its rack.
  double rack_penalty = 1;
  std::size_t max_row_bytes = 65'536; ///< Longest value of a row.
  /// Longest time for which a new owner places only urgent work, until all
  /// agents have reported; 0 for none.
  std::int64_t settle_ms = 0;
  bool scarce_capacity = false; ///< See docs/design/scarce-capacity.md.
};

/// Runs the scheduling rounds of the owner: records the ends of runs, places
/// ready steps and preempts others. Each change is stored before agents get
/// orders for it.
class WorkScheduler : public kernel::Task
{
public:
  WorkScheduler(kernel::Loop& loop,
                kernel::TimerService& timers,
                const kernel::Log& log,
                kernel::Metrics& metrics,
                platform::Store& store,
                WorkView& view,
                ServerTable& servers,
                const SharedEnds& shared_ends,
                const Evacuations& evacuations,
                WorkSchedulerLimits limits,
                WorkSchedulerHooks hooks);

  /// Starts scheduling under a term, after the rows were read under this term.
  void start_term(std::uint64_t term);
  void end_term();

  /// For how long the last change has waited for the store; 0 if none waits.
  std::int64_t store_wait_ms() const;

  void set_limits(const WorkSchedulerLimits& changed);

  /// Requests a scheduling round in the next turn of the loop.
  void schedule_decision();

  /// Handles an agent's report: records progress and sends the agent its
  /// orders.
  void apply_report(AgentView& agent);

  /// Records the response to an advice request that was sent at `requested_ms`
  /// (boot time).
  void record_advice(const core::AdviceRequest& advice_request,
                     const std::vector<core::AdviceTicket>& tickets,
                     std::int64_t requested_ms);

  /// Sends an agent the list of all runs that its server must have.
  void send_orders(AgentView& agent);

private:
  struct RoundInput
  {
    std::vector<core::RoundWorkflow> workflows;
    std::map<std::string, AppliedEnds> applied_ends; ///< By node.
    core::RoundResult result;
  };

  void run_round();
  RoundInput prepare_round(std::int64_t now_ms);
  void apply_caller_changes(core::RoundWorkflow& round_workflow);
  core::Pool make_pool(std::int64_t now_ms);
  bool may_start_runs(const AgentView& agent) const;
  void end_starts_in_zones(std::int64_t now_ms);
  bool is_settling(std::int64_t now_ms);
  void update_gauges(const RoundInput& round,
                     const std::map<std::string, std::int64_t>& guarantees);
  /// Stores the changes of a round; false if there are none.
  bool store_changes(RoundInput& round);
  std::string encode_row(core::RoundWorkflow& round_workflow);
  void handle_stored(const platform::RowChange& change, std::uint64_t version);
  void handle_conflict(bool still_owner,
                       const std::vector<platform::StoredRow>& current);
  bool apply_cancels(const std::vector<platform::StoredRow>& current);
  /// Counts runs that are being stopped, and their work that is lost.
  void count_stops(std::string_view reason,
                   std::size_t runs,
                   double discarded_core_s);
  void log_round(const RoundInput& round);
  void log_unused_advice(const core::StepKey& step);
  void log_denied_steps(const std::vector<core::StepKey>& steps);
  void log_held_steps(const std::vector<core::HeldStep>& steps);
  /// Marks ends as stored. Returns the nodes whose agents need new orders that
  /// acknowledge these ends.
  std::set<std::string> mark_ends_stored(
    const std::map<std::string, AppliedEnds>& applied_ends);
  /// Runs that are stored as running and have ended in the changes of a round.
  std::set<RunName> ended_runs(const RoundInput& round) const;
  std::uint32_t max_failures_of(const core::Workflow& workflow) const;
  std::optional<core::AdviceSettings> advice_of(
    const core::Workflow& workflow) const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Store& store;
  WorkView& view;
  ServerTable& servers;
  const SharedEnds& shared_ends;
  const Evacuations& evacuations;
  WorkSchedulerLimits limits;
  WorkSchedulerHooks hooks;

  std::uint64_t term = 0; ///< 0 while no rounds are run.
  bool decision_scheduled = false;
  bool was_settling = false; ///< In the last round; see `is_settling`.
  WorkWriter writer;
  RowExpiry row_expiry;
  RoundInput pending;             ///< The round that `writer` is storing.
  std::set<RunName> pending_ends; ///< Runs whose end `writer` is storing.
  core::StepHistory history;
  core::RunTimes run_times;
  RunTracker tracker;
  RunSamples samples;
  SpeedStore speed_store;
  CrashTracker crash_tracker;
  std::uint64_t orders_sequence = 0;
  /// Evacuated zones whose agents were told to start nothing more.
  std::set<std::string> zones_without_starts;
  kernel::EventLimit oversized_rows;
  kernel::Subscription round_timer;
};

} // namespace geraniumhinge::entry
