#pragma once

#include "core/round.h"
#include "core/round_state.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// Plays a stream of jobs through scheduling rounds in simulated time and counts
// what callers get.

namespace geraniumhinge::core {

struct JobKind
{
  std::uint32_t priority = 0;
  double mean_tasks = 1;
  double run_ms = 0;
  Resources demand; ///< Without accelerators: 1, 2, 4 or 8 for each task.
  bool gang = false;
  double jobs_per_s = 0;
  double burst_factor = 1; ///< On the rate, in every other period of 6 s.
  Objective objective;
  double worth = 1;      ///< Of a job of mean work.
  double late_value = 0; ///< Share of the worth of a late job.
};

/// Kinds of customer A in docs/hard-load.md. The objectives of priorities 1 and
/// 2 are assumed.
inline std::vector<JobKind>
customer_a_kinds()
{
  return {
    { .priority = 0,
      .mean_tasks = 5.4,
      .run_ms = 2'100,
      .demand = { 7'500, 2'048, 0 },
      .gang = true,
      .jobs_per_s = 1.14,
      .burst_factor = 2.3,
      .objective = { 1.5, 300 },
      .worth = 4,
      .late_value = 0.2 },
    { .priority = 1,
      .mean_tasks = 6.3,
      .run_ms = 5'800,
      .demand = { 26'000, 8'192, 0 },
      .gang = true,
      .jobs_per_s = 0.549,
      .burst_factor = 1,
      .objective = { 2, 1'000 },
      .worth = 3,
      .late_value = 0.3 },
    { .priority = 2,
      .mean_tasks = 39,
      .run_ms = 6'500,
      .demand = { 5'600, 2'048, 1 },
      .gang = false,
      .jobs_per_s = 0.209,
      .burst_factor = 2,
      .objective = { 3, 2'000 },
      .worth = 1,
      .late_value = 0.3 },
  };
}

enum class JobValue
{
  OnTime,
  Late,
  None,
};

struct JobResult
{
  std::string organisation;
  std::uint32_t priority = 0;
  std::int64_t accelerators = 0; ///< Of one task.
  double work = 0;               ///< Relative to the mean of its kind.
  JobValue value = JobValue::None;
  std::int64_t wait_ms = 0; ///< From acceptance to the first start.
  double asked = 0;         ///< Worth to its caller if on time.
  double gained = 0;
};

/// Share of the worth of the jobs that callers got; 1 if there are none.
template<typename Filter>
double
share_of(const std::vector<JobResult>& results, Filter counts)
{
  double asked = 0;
  double gained = 0;
  for (const JobResult& result : results) {
    if (!counts(result))
      continue;
    asked += result.asked;
    gained += result.gained;
  }
  return asked > 0 ? gained / asked : 1;
}

inline double
share_of_all(const std::vector<JobResult>& results)
{
  return share_of(results, [](const JobResult&) { return true; });
}

inline double
worst_organisation(const std::vector<JobResult>& results)
{
  double worst = 1;
  std::set<std::string> names;
  for (const JobResult& result : results)
    names.insert(result.organisation);
  for (const std::string& name : names)
    worst = std::min(worst, share_of(results, [&name](const JobResult& result) {
                       return result.organisation == name;
                     }));
  return worst;
}

struct DayConfig
{
  std::vector<JobKind> kinds = customer_a_kinds();
  int servers = 24;
  int organisations = 5;
  std::int64_t arrivals_ms = 34'000;
  std::uint64_t seed = 1;
  std::map<std::string, std::int64_t> guarantees{};
  RoundLimits limits{};
};

class BusyDay
{
public:
  explicit BusyDay(const DayConfig& config)
    : config(config)
    , random(config.seed)
  {
    for (int index = 0; index < config.servers; ++index) {
      PoolServer server;
      server.instance = { "s" + std::to_string(index), 1 };
      server.service = "planner";
      server.rack = "r" + std::to_string(index / 8);
      server.capacity = { 64'000, 131'072, 8 };
      this->servers.servers[server.instance.id] = server;
    }
    this->config.limits.stop_ms = STOP_MS;
    this->config.limits.checkpoint_ms = SAVE_MS;
  }

  void run()
  {
    for (; this->now_ms < this->config.arrivals_ms + DRAIN_MS;
         this->now_ms += TICK_MS) {
      if (this->now_ms < this->config.arrivals_ms)
        this->add_jobs();
      for (RoundWorkflow& job : this->jobs)
        this->play_runs(job);
      this->end_jobs();
      if (this->now_ms % ROUND_MS == 0)
        this->run_round();
    }
    for (const RoundWorkflow& job : this->jobs)
      this->count(job, this->now_ms);
  }

  std::vector<JobResult> results;
  double discarded_core_s = 0; ///< Work lost and resources idle after stops.
  int runs = 0;
  int stopped = 0;
  std::vector<StepPlacement> placements;
  std::vector<StepPreemption> preemptions;
  /// Longest time from the acceptance of guaranteed work to its start.
  std::int64_t guaranteed_wait_ms = 0;

private:
  static constexpr std::int64_t TICK_MS = 50;
  static constexpr std::int64_t ROUND_MS = 100;
  static constexpr std::int64_t DRAIN_MS = 40'000;
  static constexpr std::int64_t STOP_MS = 900;
  static constexpr std::int64_t SAVE_MS = 500;
  static constexpr std::int64_t RESUME_MS = 600;
  static constexpr std::int64_t ORDER_MS = 150;  ///< Owner to server.
  static constexpr std::int64_t REPORT_MS = 150; ///< Server to owner.
  static constexpr std::int64_t REPORT_PERIOD_MS = 1'000;

  struct RunState
  {
    std::uint32_t attempt = 0;
    std::int64_t begin_ms = 0;
    std::int64_t stop_ms = 0;  ///< When the stopped run ends, 0 for none.
    std::int64_t saved_ms = 0; ///< Work that earlier attempts saved.
  };

  double uniform()
  {
    return static_cast<double>(this->random() >> 11) * 0x1.0p-53;
  }

  void add_jobs()
  {
    for (const JobKind& kind : this->config.kinds) {
      bool burst = this->now_ms / 6'000 % 2 == 1;
      double rate = kind.jobs_per_s * (burst ? kind.burst_factor : 1);
      if (this->uniform() < rate * TICK_MS / 1'000)
        this->add_job(kind);
    }
  }

  void add_job(const JobKind& kind)
  {
    std::unique_ptr<Workflow> workflow = std::make_unique<Workflow>();
    workflow->id = "j" + std::to_string(1'000 + this->definitions.size());
    // The first organisation asks for half of the work.
    int other =
      1 + static_cast<int>(this->uniform() * (this->config.organisations - 1));
    workflow->organisation =
      "o" + std::to_string(this->uniform() < 0.5 ? 0 : other);
    workflow->accepted_ms = this->now_ms;
    Step step;
    step.demand = kind.demand;
    if (step.demand.accelerators == 0)
      step.demand.accelerators = 1LL << static_cast<int>(this->uniform() * 4);
    step.tasks = static_cast<std::uint32_t>(
      std::max(1.0, std::round(kind.mean_tasks * (0.5 + this->uniform()))));
    step.gang = kind.gang;
    step.checkpoints = this->uniform() < 0.5;
    double need_ms = kind.run_ms * (0.5 + this->uniform());
    step.estimate_ms =
      static_cast<std::uint32_t>(need_ms * (0.8 + 0.4 * this->uniform()));
    if (this->uniform() < 0.03)
      need_ms *= 7;
    workflow->steps = { step };
    RoundWorkflow job;
    job.definition = workflow.get();
    job.service = "planner";
    job.priority = kind.priority;
    job.objective = kind.objective;
    job.peak_accelerators = peak_accelerators_of(*workflow);
    open_due_occurrences(*workflow, job.progress, 0, 0);
    this->need_ms[workflow->id] = static_cast<std::int64_t>(need_ms);
    this->definitions.push_back(std::move(workflow));
    this->jobs.push_back(std::move(job));
  }

  void play_runs(RoundWorkflow& job)
  {
    const Workflow& workflow = *job.definition;
    const Step& step = workflow.steps[0];
    std::int64_t need = this->need_ms.at(workflow.id);
    for (std::uint32_t index = 0; index < step.tasks; ++index) {
      if (job.progress.outcome != Outcome::Open)
        return;
      StepState& tasks = job.progress.open_occurrences.at(0)[0];
      if (!tasks[index].run)
        continue;
      TaskKey key{ { workflow.id, 0, 0 }, index };
      RunState& state = this->states[key];
      if (state.attempt != tasks[index].run->attempt) {
        std::int64_t resume_ms = state.saved_ms > 0 ? RESUME_MS : 0;
        state = { tasks[index].run->attempt,
                  this->history.placed_ms.at(key) + ORDER_MS + resume_ms,
                  0,
                  state.saved_ms };
      }
      std::int64_t worked =
        std::max<std::int64_t>(this->now_ms - state.begin_ms, 0);
      if (tasks[index].run->stopping && state.stop_ms == 0)
        state.stop_ms = this->now_ms + ORDER_MS + STOP_MS + REPORT_MS;
      if (state.saved_ms + worked >= need + REPORT_MS) {
        this->end_run(job, index, RunEndKind::Done);
        continue;
      }
      if (state.stop_ms > 0 && this->now_ms >= state.stop_ms) {
        this->stop_run(state, step, worked);
        this->end_run(job, index, RunEndKind::Stopped);
        continue;
      }
      if (worked == 0 || this->now_ms % REPORT_PERIOD_MS != 0)
        continue;
      this->history.percent[key] = static_cast<std::uint32_t>(
        std::min<std::int64_t>(100 * (state.saved_ms + worked) / need, 99));
      if (step.checkpoints && worked >= SAVE_MS)
        this->history.saved_ms[key] = this->now_ms;
    }
  }

  void stop_run(RunState& state, const Step& step, std::int64_t worked)
  {
    worked = std::max<std::int64_t>(worked - STOP_MS - REPORT_MS, 0);
    std::int64_t saved = step.checkpoints ? worked / SAVE_MS * SAVE_MS : 0;
    state.saved_ms += saved;
    this->discarded_core_s += core_seconds(
      step.demand, static_cast<double>(worked - saved + STOP_MS) / 1'000);
    ++this->stopped;
  }

  void end_run(RoundWorkflow& job, std::uint32_t index, RunEndKind kind)
  {
    apply_run_end(*job.definition,
                  job.progress,
                  { 0, 0, index },
                  job.progress.open_occurrences.at(0)[0][index].run->attempt,
                  kind,
                  "",
                  1);
    ++this->runs;
  }

  void end_jobs()
  {
    std::erase_if(this->jobs, [this](const RoundWorkflow& job) {
      if (job.progress.outcome == Outcome::Open)
        return false;
      this->count(job, this->now_ms);
      this->history.forget(job.definition->id);
      return true;
    });
  }

  void count(const RoundWorkflow& job, std::int64_t end_ms)
  {
    const Step& step = job.definition->steps[0];
    const JobKind& kind = *std::find_if(
      this->config.kinds.begin(),
      this->config.kinds.end(),
      [&job](const JobKind& item) { return item.priority == job.priority; });
    Resources mean = kind.demand;
    if (mean.accelerators == 0)
      mean.accelerators = 4;
    double work = core_seconds(step.demand, step.tasks * step.estimate_ms) /
                  core_seconds(mean, kind.mean_tasks * kind.run_ms);
    double worth = kind.worth * (0.3 + 0.7 * std::min(work, 4.0));
    std::int64_t allowed = allowed_ms(*job.definition, job.objective);
    std::int64_t age = end_ms - job.definition->accepted_ms;
    JobResult result{ job.definition->organisation,
                      kind.priority,
                      step.demand.accelerators,
                      work };
    result.asked = worth;
    result.wait_ms =
      this->first_start_ms.try_emplace(job.definition->id, end_ms)
        .first->second -
      job.definition->accepted_ms;
    if (age <= allowed) {
      result.value = JobValue::OnTime;
      result.gained = worth;
    } else if (age <= 3 * allowed) {
      result.value = JobValue::Late;
      result.gained = worth * kind.late_value;
    }
    this->results.push_back(result);
  }

  void run_round()
  {
    Pool pool = this->servers;
    for (const std::pair<const std::string, PoolServer>& item : pool.servers)
      pool.free[item.first] = item.second.capacity;
    allocate_runs(this->jobs, pool);
    mark_guaranteed(this->jobs, this->config.guarantees);
    RoundResult result = run_scheduling_round(
      this->jobs, pool, this->history, this->config.limits, this->now_ms);
    for (const RoundWorkflow& job : this->jobs) {
      if (!job.guaranteed)
        continue;
      std::int64_t since =
        this->guaranteed_ms.try_emplace(job.definition->id, this->now_ms)
          .first->second;
      if (!job.progress.started)
        this->guaranteed_wait_ms =
          std::max(this->guaranteed_wait_ms, this->now_ms - since);
    }
    for (const StepPlacement& placement : result.placements)
      this->first_start_ms.try_emplace(placement.step.workflow, this->now_ms);
    std::move(result.placements.begin(),
              result.placements.end(),
              std::back_inserter(this->placements));
    std::move(result.preemptions.begin(),
              result.preemptions.end(),
              std::back_inserter(this->preemptions));
  }

  DayConfig config;
  std::mt19937_64 random;
  Pool servers;
  StepHistory history;
  std::vector<std::unique_ptr<Workflow>> definitions;
  std::vector<RoundWorkflow> jobs;
  std::map<std::string, std::int64_t> need_ms; ///< By workflow.
  std::map<TaskKey, RunState> states;
  std::map<std::string, std::int64_t> guaranteed_ms; ///< Since when.
  std::map<std::string, std::int64_t> first_start_ms;
  std::int64_t now_ms = 0;
};

/// Results of eight days on each of three fleets, which have a third to a half
/// of the servers that the bursts need.
inline std::vector<JobResult>
play_scarce_days(DayConfig config)
{
  constexpr std::uint64_t DAYS = 8;
  std::vector<JobResult> results;
  for (int servers : { 14, 18, 22 }) {
    config.servers = servers;
    for (config.seed = 1; config.seed <= DAYS; ++config.seed) {
      BusyDay day(config);
      day.run();
      results.insert(results.end(), day.results.begin(), day.results.end());
    }
  }
  return results;
}

} // namespace geraniumhinge::core
