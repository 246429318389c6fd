#pragma once

#include "core/operator_config.h"
#include "core/round.h"
#include "entry/run_tracker.h"
#include "entry/server_table.h"
#include "entry/work_view.h"
#include "entry/work_writer.h"
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
  /// Whether this entry may still speak as the owner: it reached the store
  /// not long ago.
  std::function<bool()> may_send_orders;
  std::function<void(const std::string& address, v1::ServerOrders)> send;
  /// A transaction failed because the term is over.
  std::function<void()> term_superseded;
  /// The rows are no longer as they were read.
  std::function<void()> reload_rows;
  /// What to ask of the advice service now, the most urgent first.
  std::function<void(const std::vector<core::AdviceRequest>&)> request_advice;
};

struct WorkSchedulerLimits
{
  std::int64_t early_ms = 0;     ///< A timed occurrence may start so early.
  std::int64_t retention_ms = 0; ///< Ended workflows are kept this long.
  std::int64_t stop_ms = 0;      ///< Until a stopped run has ended, at most.
  /// How many times as long a step takes that misses its rack.
  double rack_penalty = 1;
};

/// The owner's decisions: notes the ends of runs, places ready steps, stops
/// what must give way, and stores each change before it orders it.
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
                WorkSchedulerLimits limits,
                WorkSchedulerHooks hooks);

  /// Begins to decide under a term, once the rows were read under it.
  void begin(std::uint64_t term);
  void end();

  void set_limits(const WorkSchedulerLimits& changed)
  {
    this->limits = changed;
  }

  /// Something changed: decides soon.
  void schedule_decision();

  /// An agent reported: notes its ends and sends it its orders.
  void apply_report(AgentView& agent);

  /// The advice service answered a request that was sent at `requested_ms`.
  void record_advice(const core::AdviceRequest& advice_request,
                     const std::vector<core::AdviceTicket>& tickets,
                     std::int64_t requested_ms);

  /// Sends an agent all that shall run on its server.
  void send_orders(AgentView& agent);

private:
  struct SchedulingRound
  {
    std::vector<core::RoundWorkflow> jobs;
    std::map<std::string, AppliedEnds> applied_ends; ///< By node.
    core::RoundResult result;
  };

  void decide();
  SchedulingRound make_round(std::int64_t now_ms);
  void apply_caller_changes(core::RoundWorkflow& job);
  core::Pool make_pool(std::int64_t now_ms);
  void measure(const SchedulingRound& round,
               const std::map<std::string, std::int64_t>& guarantees);
  bool commit(SchedulingRound& round);
  void applied(const platform::RowChange& change, std::uint64_t version);
  void refused(bool still_owner);
  void log_round(const SchedulingRound& round);
  void expire_rows();
  std::set<std::string> mark_ends_stored(
    const std::map<std::string, AppliedEnds>& applied_ends);
  std::uint32_t max_failures_of(const core::Workflow& workflow) const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Store& store;
  WorkView& view;
  ServerTable& servers;
  WorkSchedulerLimits limits;
  WorkSchedulerHooks hooks;

  std::uint64_t term = 0; ///< 0 while not deciding.
  bool decision_scheduled = false;
  WorkWriter writer;
  SchedulingRound pending; ///< What `writer` is storing.
  core::StepHistory history;
  RunTracker tracker;
  std::uint64_t orders_sequence = 0;
  kernel::Subscription tick;
  kernel::Subscription expiry;
};

} // namespace geraniumhinge::entry
