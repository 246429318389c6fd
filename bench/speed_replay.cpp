// Replays a stream of jobs through the scheduling round of the operators'
// platform, on servers of different speed: without knowing their speeds, with
// learned speeds, and with known ones. Prints the share of jobs that meet their
// objective. Arguments: the number of seeds, and the only scenario to replay.

#include "core/round.h"
#include "core/run_times.h"
#include "entry/run_samples.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <random>
#include <string_view>

namespace {

using namespace geraniumhinge;

constexpr std::int64_t TICK_MS = 50;
constexpr std::int64_t ROUND_MS = 100;
constexpr std::int64_t REPORT_MS = 1'000;
constexpr std::int64_t START_DELAY_MS = 60;
constexpr std::int64_t DURATION_MS = 180'000;
/// Without submissions, so that the last jobs can end.
constexpr std::int64_t TAIL_MS = 60'000;
/// Bursts: the load of one period in three is higher, that of the others lower.
constexpr std::int64_t BURST_PERIOD_MS = 20'000;
constexpr double BURST_LOAD = 2.2;
constexpr double CALM_LOAD = 0.4;

struct Kind
{
  std::string queue;
  std::uint32_t priority = 0;
  double jobs_per_s = 0;
  double tasks = 1; ///< Mean.
  double run_ms = 0;
  std::int64_t millicores = 0;
  int max_accelerators = 1;
  bool gang = false;
  core::Objective objective;
};

/// The kinds of customer A. The objectives of priorities 1 and 2 are assumed.
const std::vector<Kind> KINDS = {
  { "urgent", 0, 1.14, 5.4, 2'100, 7'500, 8, true, { 1.5, 300 } },
  { "gangs", 1, 0.549, 6.3, 5'800, 26'000, 8, true, { 2, 1'000 } },
  { "batch", 2, 0.209, 39, 6'500, 5'600, 1, false, { 3, 2'000 } },
};

struct Scenario
{
  std::string name;
  std::vector<double> factors; ///< Of a third of the servers each.
  double load = 1;
  std::size_t servers = 61;
  double same_rack = 0; ///< Share of the gangs that run slower on two racks.
};

enum class Knowledge
{
  None,
  Learned,
  Exact,
};

constexpr NamedValue<Knowledge> KNOWLEDGE_NAMES[] = {
  { Knowledge::None, "none" },
  { Knowledge::Learned, "learned" },
  { Knowledge::Exact, "exact" },
};

struct Job
{
  std::unique_ptr<core::Workflow> workflow;
  const Kind* kind = nullptr;
  /// Run time of each task on a server of factor 1, and the saved share of it.
  std::vector<double> need_ms;
  std::vector<double> saved;
  std::vector<std::int64_t> stop_ms; ///< End of a stopped run, 0 for none.
};

struct Result
{
  std::size_t jobs[3] = {};
  std::size_t on_time[3] = {};
  std::size_t stops = 0;
  std::size_t rounds = 0;
  std::size_t rounds_with_speeds = 0;
  double max_round_us = 0;
  double sum_round_us = 0;
};

class Replay
{
public:
  Replay(const Scenario& scenario, Knowledge knowledge, std::uint32_t seed)
    : scenario(scenario)
    , knowledge(knowledge)
    , random(seed)
  {
    std::vector<double> factors;
    for (std::size_t index = 0; index < scenario.servers; ++index)
      factors.push_back(scenario.factors[index % scenario.factors.size()]);
    std::shuffle(factors.begin(), factors.end(), this->random);
    for (std::size_t index = 0; index < scenario.servers; ++index) {
      core::PoolServer server;
      server.instance = { "s" + std::to_string(index), 1 };
      server.service = "service";
      server.rack = "r" + std::to_string(index / 8);
      server.capacity = { 64'000, 131'072, 8 };
      this->factors[server.instance.id] = factors[index];
      this->history.nodes[server.instance.id] = server.instance.id;
      this->servers[server.instance.id] = server;
    }
  }

  Result run()
  {
    std::vector<std::int64_t> next(KINDS.size());
    for (std::size_t kind = 0; kind < KINDS.size(); ++kind)
      next[kind] = this->gap_ms(KINDS[kind]);
    for (; this->now_ms < DURATION_MS + TAIL_MS; this->now_ms += TICK_MS) {
      for (std::size_t kind = 0; kind < KINDS.size(); ++kind) {
        while (next[kind] <= this->now_ms && this->now_ms < DURATION_MS) {
          this->submit(KINDS[kind]);
          next[kind] += this->gap_ms(KINDS[kind]);
        }
      }
      this->send_reports();
      if (this->now_ms % ROUND_MS == 0)
        this->run_round();
    }
    return this->result;
  }

private:
  double uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  double normal(double deviation)
  {
    return std::normal_distribution<double>(0, deviation)(this->random);
  }
  std::int64_t gap_ms(const Kind& kind)
  {
    bool burst = this->now_ms / BURST_PERIOD_MS % 3 == 1;
    double rate = kind.jobs_per_s * this->scenario.load *
                  (burst ? BURST_LOAD : CALM_LOAD) *
                  static_cast<double>(this->scenario.servers) / 61;
    return static_cast<std::int64_t>(-std::log(1 - this->uniform()) / rate *
                                     1'000);
  }

  void submit(const Kind& kind)
  {
    Job job;
    job.kind = &kind;
    job.workflow = std::make_unique<core::Workflow>();
    core::Workflow& workflow = *job.workflow;
    workflow.id = fmt::format("{:016x}", ++this->submitted);
    workflow.queue = kind.queue;
    workflow.accepted_ms = this->now_ms;
    core::Step step;
    step.tasks = static_cast<std::uint32_t>(
      std::clamp<double>(std::lround(kind.tasks * std::exp(this->normal(0.4))),
                         1,
                         kind.gang ? 16 : 100));
    double run_ms = kind.run_ms * std::exp(this->normal(0.4));
    step.estimate_ms =
      static_cast<std::uint32_t>(run_ms * std::exp(this->normal(0.2)));
    double share = this->uniform();
    // Small tasks are more frequent.
    step.demand = { kind.millicores,
                    8'192,
                    1 + static_cast<std::int64_t>(
                          share * share * kind.max_accelerators * 0.999) };
    step.gang = kind.gang;
    step.checkpoints = true;
    step.same_rack = kind.gang && this->uniform() < this->scenario.same_rack;
    if (this->uniform() < 0.03)
      run_ms *= 7;
    for (std::uint32_t task = 0; task < step.tasks; ++task)
      job.need_ms.push_back(run_ms * std::exp(this->normal(0.3)));
    job.saved.assign(step.tasks, 0);
    job.stop_ms.assign(step.tasks, 0);
    workflow.steps = { step };
    core::RoundWorkflow round_workflow;
    round_workflow.definition = &workflow;
    round_workflow.service = "service";
    round_workflow.priority = kind.priority;
    round_workflow.objective = kind.objective;
    core::open_due_occurrences(
      workflow, round_workflow.progress, this->now_ms, 0);
    this->workflows.push_back(std::move(round_workflow));
    ++this->result.jobs[kind.priority];
    this->jobs[workflow.id] = std::move(job);
  }

  /// Share of a task that its run has done.
  double done_share(const core::RoundWorkflow& round_workflow,
                    const Job& job,
                    std::uint32_t index) const
  {
    const core::StepState& tasks =
      round_workflow.progress.open_occurrences.at(0)[0];
    const core::TaskState& task = tasks[index];
    std::int64_t started_ms =
      this->history.placed_ms.at({ { job.workflow->id, 0, 0 }, index }) +
      START_DELAY_MS + (task.run->attempt > 1 ? RESUME_MS : 0);
    double factor = this->factors.at(task.run->server.id);
    if (job.workflow->steps[0].same_rack) {
      for (const core::TaskState& other : tasks) {
        if (other.run && this->servers.at(other.run->server.id).rack !=
                           this->servers.at(task.run->server.id).rack) {
          factor *= RACK_PENALTY;
          break;
        }
      }
    }
    std::int64_t elapsed_ms =
      std::max<std::int64_t>(this->now_ms - started_ms, 0);
    return std::min(1.0,
                    job.saved[index] + static_cast<double>(elapsed_ms) /
                                         (job.need_ms[index] * factor));
  }

  /// Every server reports its progress once a second, and ends at once.
  void send_reports()
  {
    std::map<std::string, entry::AgentView> agents;
    this->history.percent.clear();
    for (core::RoundWorkflow& round_workflow : this->workflows)
      this->report_job(round_workflow, agents);
    for (std::pair<const std::string, entry::AgentView>& item : agents) {
      item.second.node = item.first;
      item.second.report.set_answering(true);
      this->samples.record_report(item.second, this->now_ms);
    }
    this->samples.record_run_times(this->workflows, this->now_ms);
    std::vector<std::string> ended;
    for (core::RoundWorkflow& round_workflow : this->workflows) {
      this->end_runs(round_workflow);
      if (round_workflow.progress.outcome != core::Outcome::Open)
        ended.push_back(round_workflow.definition->id);
    }
    for (const std::string& id : ended)
      this->end_job(id);
  }

  void report_job(const core::RoundWorkflow& round_workflow,
                  std::map<std::string, entry::AgentView>& agents)
  {
    const std::string& id = round_workflow.definition->id;
    const Job& job = this->jobs.at(id);
    const core::StepState& tasks =
      round_workflow.progress.open_occurrences.at(0)[0];
    bool gang = round_workflow.definition->steps[0].gang;
    bool gang_done = gang;
    for (std::uint32_t index = 0; gang && index < tasks.size(); ++index)
      gang_done = gang_done && tasks[index].run &&
                  !tasks[index].run->stopping &&
                  this->done_share(round_workflow, job, index) >= 1;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const core::TaskState& task = tasks[index];
      if (!task.run || task.run->stopping)
        continue;
      double share = this->done_share(round_workflow, job, index);
      std::uint32_t percent = static_cast<std::uint32_t>(share * 100);
      std::string name = core::task_name(id, { 0, 0, index });
      entry::AgentView& agent = agents[task.run->node];
      if (gang ? gang_done : share >= 1) {
        v1::EndReport& end = *agent.report.add_ended();
        end.set_task(name);
        end.set_attempt(task.run->attempt);
        end.set_kind(static_cast<std::uint32_t>(core::RunEndKind::Done));
        continue;
      }
      std::size_t phase =
        std::hash<std::string>{}(task.run->node) % (REPORT_MS / TICK_MS);
      bool due = this->now_ms / TICK_MS % (REPORT_MS / TICK_MS) ==
                 static_cast<std::int64_t>(phase);
      core::TaskKey key{ { id, 0, 0 }, index };
      if (due)
        this->reported[key] = percent;
      if (this->reported[key] > 0)
        this->history.percent[key] = this->reported[key];
      if (!due)
        continue;
      v1::RunReport& run = *agent.report.add_running();
      run.set_task(name);
      run.set_attempt(task.run->attempt);
      run.set_percent(percent);
    }
  }

  void end_runs(core::RoundWorkflow& round_workflow)
  {
    Job& job = this->jobs.at(round_workflow.definition->id);
    const core::StepState& tasks =
      round_workflow.progress.open_occurrences.at(0)[0];
    bool gang = round_workflow.definition->steps[0].gang;
    bool all = true;
    std::vector<bool> done(tasks.size(), false);
    std::vector<bool> stopped(tasks.size(), false);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const core::TaskState& task = tasks[index];
      if (!task.run)
        continue;
      if (task.run->stopping) {
        if (job.stop_ms[index] == 0) {
          job.stop_ms[index] = this->now_ms + STOP_MS;
          double share = this->done_share(round_workflow, job, index);
          double step = CHECKPOINT_MS / job.need_ms[index];
          job.saved[index] =
            std::max(job.saved[index], std::floor(share / step) * step);
        }
        stopped[index] = job.stop_ms[index] <= this->now_ms;
        all = false;
        continue;
      }
      done[index] = this->done_share(round_workflow, job, index) >= 1;
      all = all && done[index];
    }
    for (std::uint32_t index = 0; index < done.size(); ++index) {
      bool ends = (gang ? all && done[index] : bool(done[index]));
      if (!ends && !stopped[index])
        continue;
      this->reported.erase({ { job.workflow->id, 0, 0 }, index });
      job.stop_ms[index] = 0;
      const core::Run run =
        *round_workflow.progress.open_occurrences.at(0)[0][index].run;
      core::apply_run_end(*round_workflow.definition,
                          round_workflow.progress,
                          { 0, 0, index },
                          run.attempt,
                          stopped[index] ? core::RunEndKind::Stopped
                                         : core::RunEndKind::Done,
                          stopped[index] && job.saved[index] > 0 ? "saved" : "",
                          3);
      if (round_workflow.progress.outcome != core::Outcome::Open)
        return;
    }
  }

  void end_job(const std::string& id)
  {
    const Job& job = this->jobs.at(id);
    bool on_time = this->now_ms - job.workflow->accepted_ms <=
                   core::allowed_ms(*job.workflow, job.kind->objective);
    this->result.on_time[job.kind->priority] += on_time ? 1 : 0;
    std::erase_if(this->workflows, [&id](const core::RoundWorkflow& item) {
      return item.definition->id == id;
    });
    this->samples.forget(id);
    this->history.forget(id);
    this->jobs.erase(id);
  }

  void run_round()
  {
    this->run_times.refresh(this->now_ms + 1);
    core::Pool pool;
    for (const std::pair<const std::string, core::PoolServer>& item :
         this->servers) {
      core::PoolServer server = item.second;
      if (this->knowledge == Knowledge::Learned)
        server.run_time_factor = this->run_times.speed(item.first);
      else if (this->knowledge == Knowledge::Exact)
        server.run_time_factor = this->factors.at(item.first);
      pool.free[item.first] = server.capacity;
      pool.servers[item.first] = std::move(server);
    }
    for (core::RoundWorkflow& round_workflow : this->workflows)
      round_workflow.expected =
        this->knowledge == Knowledge::Learned
          ? entry::expected_times(this->run_times, *round_workflow.definition)
          : core::ExpectedTimes();
    core::allocate_runs(this->workflows, pool);
    core::mark_guaranteed(this->workflows, {});
    core::RoundLimits limits;
    limits.stop_ms = STOP_MS;
    limits.checkpoint_ms = static_cast<std::int64_t>(CHECKPOINT_MS);
    limits.rack_penalty = RACK_PENALTY;
    std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
    core::RoundResult round = core::run_scheduling_round(
      this->workflows, pool, this->history, limits, this->now_ms);
    double us = std::chrono::duration<double, std::micro>(
                  std::chrono::steady_clock::now() - start)
                  .count();
    this->result.max_round_us = std::max(this->result.max_round_us, us);
    this->result.sum_round_us += us;
    ++this->result.rounds;
    this->result.rounds_with_speeds += this->run_times.speeds_differ() ? 1 : 0;
    for (const core::StepPreemption& preemption : round.preemptions)
      this->result.stops += preemption.stopped_tasks;
  }

  static constexpr std::int64_t STOP_MS = 900;
  static constexpr std::int64_t RESUME_MS = 600;
  static constexpr double CHECKPOINT_MS = 500;
  static constexpr double RACK_PENALTY = 3;

  Scenario scenario;
  Knowledge knowledge;
  std::mt19937 random;
  std::int64_t now_ms = 0;
  std::uint64_t submitted = 0;
  std::map<std::string, core::PoolServer> servers;
  std::map<std::string, double> factors;
  std::vector<core::RoundWorkflow> workflows;
  std::map<std::string, Job> jobs;
  std::map<core::TaskKey, std::uint32_t> reported;
  core::StepHistory history;
  core::RunTimes run_times;
  entry::ServerTable server_table{ entry::LeaseBounds{} };
  entry::RunSamples samples{ run_times, history, server_table };
  Result result;
};

} // namespace

int
main(int argc, char** argv)
{
  std::uint32_t seeds =
    argc > 1 ? static_cast<std::uint32_t>(std::strtoul(argv[1], nullptr, 10))
             : 3;
  const std::vector<Scenario> scenarios = {
    { "mixed", { 0.6, 1.0, 1.6 } },
    { "mixed, load 1.5", { 0.6, 1.0, 1.6 }, 1.5 },
    { "mixed, load 2", { 0.6, 1.0, 1.6 }, 2 },
    { "mixed, racks", { 0.6, 1.0, 1.6 }, 1, 61, 0.5 },
    { "close", { 0.8, 1.0, 1.25 } },
    { "third slow", { 1.0, 1.0, 1.3 } },
    { "equal", { 1.0 } },
  };
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  fmt::print("{:<20} {:<8} {:>6} {:>6} {:>6} {:>6} {:>6} {:>9} {:>9}\n",
             "scenario",
             "speeds",
             "p0",
             "p1",
             "p2",
             "stops",
             "differ",
             "round us",
             "max us");
  std::string_view only = argc > 2 ? argv[2] : "";
  for (const Scenario& scenario : scenarios) {
    if (!only.empty() && scenario.name != only)
      continue;
    for (Knowledge knowledge :
         { Knowledge::None, Knowledge::Learned, Knowledge::Exact }) {
      Result sum;
      for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        Result result = Replay(scenario, knowledge, seed).run();
        for (int priority = 0; priority < 3; ++priority) {
          sum.jobs[priority] += result.jobs[priority];
          sum.on_time[priority] += result.on_time[priority];
        }
        sum.stops += result.stops;
        sum.rounds += result.rounds;
        sum.rounds_with_speeds += result.rounds_with_speeds;
        sum.sum_round_us += result.sum_round_us;
        sum.max_round_us = std::max(sum.max_round_us, result.max_round_us);
      }
      double share[3];
      for (int priority = 0; priority < 3; ++priority)
        share[priority] = static_cast<double>(sum.on_time[priority]) /
                          static_cast<double>(sum.jobs[priority]);
      fmt::print(
        "{:<20} {:<8} {:6.3f} {:6.3f} {:6.3f} {:6} {:6.2f} {:9.0f} {:9.0f}\n",
        scenario.name,
        name_of(KNOWLEDGE_NAMES, knowledge),
        share[0],
        share[1],
        share[2],
        sum.stops,
        static_cast<double>(sum.rounds_with_speeds) /
          static_cast<double>(sum.rounds),
        sum.sum_round_us / static_cast<double>(sum.rounds),
        sum.max_round_us);
    }
  }
  return 0;
}
