#pragma once

#include "core/assign.h"
#include "core/round.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

// Pools, steps and workflows for tests of the scheduling round.

namespace geraniumhinge::core {

inline constexpr Resources SERVER_CAPACITY{ 32'000, 131'072, 8 };
inline constexpr std::int64_t NOW_MS = 100'000;

/// A pool of servers s0, s1, ... in racks r0, r1, ... of `per_rack` servers.
inline Pool
make_pool(int servers, int per_rack)
{
  Pool pool;
  for (int index = 0; index < servers; ++index) {
    PoolServer server;
    server.instance = { "s" + std::to_string(index), 1 };
    server.service = "planner";
    server.rack = "r" + std::to_string(index / per_rack);
    server.labels = { "a", server.rack };
    server.capacity = SERVER_CAPACITY;
    pool.free[server.instance.id] = server.capacity;
    pool.servers[server.instance.id] = server;
  }
  return pool;
}

inline Step
make_step(std::uint32_t tasks, Resources demand, bool gang = false)
{
  Step step;
  step.tasks = tasks;
  step.demand = demand;
  step.gang = gang;
  return step;
}

inline AssignRequest
request_for(const Step& step)
{
  AssignRequest request;
  request.step = &step;
  request.service = "planner";
  request.tasks = step.tasks;
  return request;
}

/// Workflows with one step each. The definitions keep their addresses.
struct RoundWorkflows
{
  std::vector<std::unique_ptr<Workflow>> definitions;
  std::vector<RoundWorkflow> entries;

  RoundWorkflow& add(const std::string& id,
                     const std::string& organisation,
                     std::uint32_t priority,
                     Step step)
  {
    std::unique_ptr<Workflow> workflow = std::make_unique<Workflow>();
    workflow->id = id;
    workflow->organisation = organisation;
    workflow->accepted_ms = static_cast<std::int64_t>(this->definitions.size());
    workflow->steps = { std::move(step) };
    RoundWorkflow round_workflow;
    round_workflow.definition = workflow.get();
    round_workflow.service = "planner";
    round_workflow.priority = priority;
    round_workflow.peak_accelerators = peak_accelerators_of(*workflow);
    open_due_occurrences(*workflow, round_workflow.progress, 0, 0);
    this->definitions.push_back(std::move(workflow));
    this->entries.push_back(std::move(round_workflow));
    return this->entries.back();
  }
};

inline std::size_t
running(const RoundWorkflow& round_workflow)
{
  std::size_t count = 0;
  for (const TaskState& task :
       round_workflow.progress.open_occurrences.at(0)[0])
    count += task.run && !task.run->stopping ? 1 : 0;
  return count;
}

inline bool
stopping(const RoundWorkflow& round_workflow)
{
  for (const TaskState& task :
       round_workflow.progress.open_occurrences.at(0)[0]) {
    if (task.run && task.run->stopping)
      return true;
  }
  return false;
}

inline RoundResult
run_round(RoundWorkflows& workflows,
          Pool& pool,
          StepHistory& history,
          const std::map<std::string, std::int64_t>& guarantees)
{
  allocate_runs(workflows.entries, pool);
  mark_guaranteed(workflows.entries, guarantees);
  return run_scheduling_round(workflows.entries, pool, history, {}, NOW_MS);
}

} // namespace geraniumhinge::core
