#define BOOST_TEST_MODULE round
#include "core/preempt.h"
#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace geraniumhinge::core;

// Guards against a gang of which only some members get servers.
BOOST_AUTO_TEST_CASE(gang_is_placed_whole_or_not_at_all)
{
  Pool pool = make_pool(2, 2);
  Step fits = make_step(2, { 1'000, 1'024, 8 }, true);
  Step too_large = make_step(3, { 1'000, 1'024, 8 }, true);
  BOOST_TEST(assign(pool, request_for(fits)).size() == 2U);
  BOOST_TEST(assign(pool, request_for(too_large)).empty());
}

// Guards against tasks on servers without the required label, on servers that
// accept no work, and beyond the limit of tasks on one server.
BOOST_AUTO_TEST_CASE(constraints_on_servers_hold)
{
  Pool pool = make_pool(4, 2);
  Step labelled = make_step(2, { 1'000, 1'024, 0 });
  labelled.label = "r1";
  for (const std::string& server : assign(pool, request_for(labelled)))
    BOOST_TEST(pool.servers.at(server).rack == "r1");
  Step spread = make_step(6, { 1'000, 1'024, 0 });
  spread.max_per_server = 1;
  std::vector<std::string> servers = assign(pool, request_for(spread));
  BOOST_TEST(servers.size() == 4U);
  BOOST_TEST(std::set<std::string>(servers.begin(), servers.end()).size() ==
             4U);
  for (std::pair<const std::string, PoolServer>& item : pool.servers)
    item.second.accepts_work = false;
  BOOST_TEST(assign(pool, request_for(spread)).empty());
}

// Guards against gangs placed over several racks, where they run slower, while
// waiting for one rack can succeed.
BOOST_AUTO_TEST_CASE(same_rack_is_kept_while_a_rack_can_hold_the_gang)
{
  Pool pool = make_pool(6, 3);
  pool.free["s0"] = {};
  pool.free["s3"] = {};
  Step step = make_step(3, { 1'000, 1'024, 8 }, true);
  step.same_rack = true;
  BOOST_TEST(assign(pool, request_for(step)).empty());
  BOOST_TEST(fits_one_rack(make_pool(6, 3), request_for(step)));
  AssignRequest anywhere = request_for(step);
  anywhere.allow_any_rack = true;
  BOOST_TEST(assign(pool, anywhere).size() == 3U);
}

// Guards against placements beyond the capacity of a server, with random steps
// over several rounds.
BOOST_AUTO_TEST_CASE(no_server_is_overcommitted)
{
  BOOST_TEST(rc::check("rounds stay within the capacity", [] {
    Pool pool = make_pool(5, 3);
    RoundWorkflows workflows;
    int count = *rc::gen::inRange(1, 25);
    for (int index = 0; index < count; ++index) {
      Step step = make_step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)),
                            { *rc::gen::inRange(0, 33'000),
                              *rc::gen::inRange(0, 140'000),
                              *rc::gen::inRange(0, 9) },
                            *rc::gen::arbitrary<bool>());
      step.same_rack = *rc::gen::arbitrary<bool>();
      workflows.add("j" + std::to_string(index),
                    index % 2 == 0 ? "x" : "y",
                    static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)),
                    step);
    }
    StepHistory history;
    for (int round = 0; round < 3; ++round) {
      Pool fresh = pool;
      run_round(workflows, fresh, history, { { "x", 16 }, { "y", 8 } });
      Pool used = pool;
      allocate_runs(workflows.entries, used);
      for (const std::pair<const std::string, Resources>& item : used.free)
        RC_ASSERT(item.second.covers({}));
      // Stopping runs end before the next round.
      for (RoundWorkflow& round_workflow : workflows.entries) {
        StepState& tasks = round_workflow.progress.open_occurrences[0][0];
        for (TaskState& task : tasks) {
          if (task.run && task.run->stopping)
            task.run.reset();
        }
      }
    }
  }));
}

// Guards against a guarantee that cannot be reclaimed from less urgent work,
// and against other steps that get the resources of the victims first.
BOOST_AUTO_TEST_CASE(guaranteed_step_gets_its_servers_from_less_urgent_work)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("filler-1", "y", 1, make_step(2, { 1'000, 1'024, 8 }, true));
  Pool first = pool;
  run_round(workflows, first, history, {});
  BOOST_TEST(running(workflows.entries[0]) == 2U);
  workflows.add("urgent", "x", 0, make_step(1, { 1'000, 1'024, 8 }, true));
  workflows.add("filler-2", "y", 2, make_step(1, { 1'000, 1'024, 8 }));
  Pool second = pool;
  RoundResult result = run_round(workflows, second, history, { { "x", 8 } });
  BOOST_TEST(result.preemptions.size() == 1U);
  BOOST_TEST(stopping(workflows.entries[0]));
  BOOST_TEST(running(workflows.entries[1]) == 0U);
  // One member has ended: its server is reserved for the urgent step.
  workflows.entries[0].progress.open_occurrences[0][0][0].run.reset();
  Pool third = pool;
  run_round(workflows, third, history, { { "x", 8 } });
  BOOST_TEST(running(workflows.entries[1]) == 1U);
  BOOST_TEST(running(workflows.entries[2]) == 0U);
}

// Guards against runs within a guarantee that are stopped for another
// guarantee.
BOOST_AUTO_TEST_CASE(guaranteed_work_is_never_a_victim)
{
  Pool pool = make_pool(1, 1);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("first", "y", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool one = pool;
  run_round(workflows, one, history, { { "x", 8 }, { "y", 8 } });
  workflows.add("second", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool two = pool;
  RoundResult result =
    run_round(workflows, two, history, { { "x", 8 }, { "y", 8 } });
  BOOST_TEST(result.preemptions.empty());
  BOOST_TEST(!stopping(workflows.entries[0]));
}

// Guards against the stop of a run although a run with a smaller loss suffices.
BOOST_AUTO_TEST_CASE(cheapest_victim_is_stopped)
{
  Pool pool = make_pool(2, 2);
  Step step = make_step(1, { 1'000, 1'024, 8 });
  pool.free["s0"] = {};
  pool.free["s1"] = {};
  RunGroup expensive;
  expensive.step = { "dear", 0, 0 };
  expensive.priority = 1;
  expensive.demand = SERVER_CAPACITY;
  expensive.servers = { { "s0", 1 } };
  expensive.loss_core_s = 100;
  expensive.disruptions_allowed = 1;
  RunGroup cheap = expensive;
  cheap.step = { "cheap", 0, 0 };
  cheap.servers = { { "s1", 1 } };
  cheap.loss_core_s = 1;
  PreemptRequest request;
  request.assign_request = request_for(step);
  std::vector<RunGroup> running{ expensive, cheap };
  std::optional<PreemptPlan> plan = plan_preemption(pool, running, request);
  BOOST_REQUIRE(plan.has_value());
  BOOST_REQUIRE(plan->victims.size() == 1U);
  BOOST_TEST(plan->victims.front()->step.workflow == "cheap");
}

// Guards against stopped tasks whose server is not needed.
BOOST_AUTO_TEST_CASE(only_the_needed_tasks_of_a_step_are_stopped)
{
  Pool pool = make_pool(4, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("filler", "y", 2, make_step(4, { 1'000, 1'024, 8 }));
  Pool first = pool;
  run_round(workflows, first, history, {});
  BOOST_TEST(running(workflows.entries[0]) == 4U);
  workflows.add("urgent", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool second = pool;
  run_round(workflows, second, history, { { "x", 8 } });
  BOOST_TEST(running(workflows.entries[0]) == 3U);
}

// Guards against gang members that are placed with different attempt numbers.
BOOST_AUTO_TEST_CASE(members_of_a_gang_share_their_attempt)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  RoundWorkflow& round_workflow =
    workflows.add("gang", "x", 1, make_step(2, { 1'000, 1'024, 8 }, true));
  round_workflow.progress.open_occurrences[0][0][1].last_attempt = 4;
  run_round(workflows, pool, history, {});
  for (const TaskState& task : round_workflow.progress.open_occurrences[0][0]) {
    BOOST_REQUIRE(task.run.has_value());
    BOOST_TEST(task.run->attempt == 5U);
  }
}

// Guards against the starvation of a large gang by smaller and later steps:
// servers whose runs end soon are reserved for the gang, and until then used
// only by steps that end sooner.
BOOST_AUTO_TEST_CASE(servers_are_reserved_for_a_waiting_gang)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  Step running_step = make_step(1, { 1'000, 1'024, 8 });
  running_step.estimate_ms = 10'000;
  workflows.add("runs", "y", 1, running_step);
  Pool first = pool;
  run_round(workflows, first, history, {});
  Step gang = make_step(2, { 1'000, 1'024, 8 }, true);
  gang.estimate_ms = 10'000;
  workflows.add("gang", "y", 1, gang);
  Step longer = make_step(1, { 1'000, 1'024, 8 });
  longer.estimate_ms = 30'000;
  workflows.add("longer", "y", 1, longer);
  Pool second = pool;
  run_round(workflows, second, history, {});
  BOOST_TEST(running(workflows.entries[2]) == 0U);
  Step shorter = longer;
  shorter.estimate_ms = 2'000;
  workflows.add("shorter", "y", 1, shorter);
  Pool third = pool;
  run_round(workflows, third, history, {});
  BOOST_TEST(running(workflows.entries[2]) == 0U);
  BOOST_TEST(running(workflows.entries[3]) == 1U);
}

// Guards against an urgent step that misses its objective because it may not
// cause any loss, and against a loss larger than the value of its objective.
BOOST_AUTO_TEST_CASE(urgent_step_may_cause_loss_up_to_its_own_value)
{
  for (std::int64_t estimate_ms : { 10'000, 100 }) {
    Pool pool = make_pool(1, 1);
    RoundWorkflows workflows;
    StepHistory history;
    // Placed by an earlier owner: 5 s of work on 72 cores are not saved.
    workflows.add("other", "y", 1, make_step(1, { 8'000, 1'024, 8 }));
    Pool first = pool;
    run_round(workflows, first, history, {});
    history.placed_ms.clear();
    Step step = make_step(1, { 8'000, 1'024, 8 });
    step.estimate_ms = static_cast<std::uint32_t>(estimate_ms);
    RoundWorkflow& urgent = workflows.add("urgent", "x", 0, step);
    urgent.objective = { 1, NOW_MS + 1'000 };
    Pool second = pool;
    run_round(workflows, second, history, {});
    BOOST_TEST(stopping(workflows.entries[0]) == (estimate_ms == 10'000));
  }
}

// Guards against stops after which more tasks of a long-running step are
// unavailable than `max_unavailable`.
BOOST_AUTO_TEST_CASE(long_running_step_keeps_enough_tasks_available)
{
  Pool pool = make_pool(4, 4);
  RoundWorkflows workflows;
  StepHistory history;
  Step long_running = make_step(4, { 1'000, 1'024, 8 });
  long_running.runs_until_cancelled = true;
  long_running.max_unavailable = 1;
  workflows.add("lasting", "y", 1, long_running);
  Pool first = pool;
  run_round(workflows, first, history, {});
  workflows.add("urgent", "x", 0, make_step(2, { 1'000, 1'024, 8 }, true));
  // No task has reported 100 percent yet: none may be stopped.
  Pool second = pool;
  run_round(workflows, second, history, { { "x", 16 } });
  BOOST_TEST(running(workflows.entries[0]) == 4U);
  for (std::uint32_t index = 0; index < 4; ++index)
    history.percent[{ { "lasting", 0, 0 }, index }] = 100;
  // The gang needs two servers, only one task may be stopped: still none is.
  Pool third = pool;
  run_round(workflows, third, history, { { "x", 16 } });
  BOOST_TEST(running(workflows.entries[0]) == 4U);
  workflows.add("small", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool fourth = pool;
  run_round(workflows, fourth, history, { { "x", 8 } });
  BOOST_TEST(running(workflows.entries[0]) == 3U);
}

// Guards against work lost with a leaving server that could have been saved or
// restarted elsewhere, and against stops of work that ends before the server
// leaves.
BOOST_AUTO_TEST_CASE(work_moves_off_a_server_that_leaves_too_soon)
{
  struct Case
  {
    bool checkpoints;
    std::int64_t min_stay_ms;
    bool moves;
  };
  for (const Case& item : { Case{ true, 2'000, true },
                            Case{ true, 9'000, false },
                            Case{ false, 2'000, true },
                            Case{ false, 4'000, false } }) {
    Pool pool = make_pool(1, 1);
    RoundWorkflows workflows;
    StepHistory history;
    Step step = make_step(1, { 1'000, 1'024, 1 });
    step.estimate_ms = 5'000;
    step.checkpoints = item.checkpoints;
    workflows.add("job", "x", 1, step);
    Pool first = pool;
    run_round(workflows, first, history, {});
    Pool second = pool;
    second.servers["s0"].accepts_work = false;
    second.servers["s0"].min_stay_ms = item.min_stay_ms;
    RoundResult result = run_round(workflows, second, history, {});
    BOOST_TEST(stopping(workflows.entries[0]) == item.moves);
    BOOST_TEST(result.restarts.size() == (item.moves ? 1U : 0U));
  }
}

// Guards against stalled runs that are not restarted, and against new work on a
// server with stalled runs while other servers are free.
BOOST_AUTO_TEST_CASE(stalled_runs_start_elsewhere)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("job", "x", 1, make_step(1, { 1'000, 1'024, 1 }));
  Pool first = pool;
  run_round(workflows, first, history, {});
  std::string server =
    workflows.entries[0].progress.open_occurrences[0][0][0].run->server.id;
  history.stalled.insert({ { "job", 0, 0 }, 0 });
  history.suspects.insert(server);
  workflows.add("next", "x", 1, make_step(1, { 1'000, 1'024, 1 }));
  Pool second = pool;
  run_round(workflows, second, history, {});
  BOOST_TEST(stopping(workflows.entries[0]));
  BOOST_TEST(
    workflows.entries[1].progress.open_occurrences[0][0][0].run->server.id !=
    server);
}

// Guards against a history that grows with each job, as long as an owner lasts.
BOOST_AUTO_TEST_CASE(history_of_ended_workflows_is_kept_for_good)
{
  Pool pool = make_pool(3, 3);
  RoundWorkflows workflows;
  StepHistory history;
  for (const char* id : { "a", "b", "c" })
    workflows.add(id, "x", 1, make_step(2, { 1'000, 1'024, 1 }));
  workflows.add("large", "x", 1, make_step(1, { 1'000, 1'024, 9 }));
  run_round(workflows, pool, history, {});
  BOOST_TEST(history.placed_ms.size() == 6U);
  BOOST_TEST(history.ready_ms.size() == 1U);
  history.forget("b");
  BOOST_TEST(history.placed_ms.size() == 4U);
  BOOST_TEST(history.placed_ms.contains({ { "c", 0, 0 }, 1 }));
  history.forget("large");
  BOOST_TEST(history.ready_ms.empty());
}

// Guards against placements without a ticket in a queue that needs advice.
BOOST_AUTO_TEST_CASE(advised_step_runs_only_where_it_has_a_ticket)
{
  Pool pool = make_pool(3, 3);
  RoundWorkflows workflows;
  StepHistory history;
  RoundWorkflow& round_workflow =
    workflows.add("job", "x", 1, make_step(2, { 1'000, 1'024, 8 }));
  round_workflow.advice = AdviceSettings{ 100, 10, 5'000 };
  Pool first = pool;
  RoundResult result = run_round(workflows, first, history, {});
  BOOST_TEST(running(workflows.entries[0]) == 0U);
  BOOST_REQUIRE(result.advice_requests.size() == 1U);
  BOOST_TEST(result.advice_requests.front().servers.size() == 3U);
  history.advice.record_response(result.advice_requests.front(),
                                 { { "s1", "ticket-1" } },
                                 { NOW_MS, NOW_MS },
                                 *round_workflow.advice);
  Pool second = pool;
  result = run_round(workflows, second, history, {});
  BOOST_TEST(running(workflows.entries[0]) == 1U);
  BOOST_TEST(result.advice_requests.empty());
  const TaskState& task =
    workflows.entries[0].progress.open_occurrences[0][0][0];
  BOOST_TEST(task.run->server.id == "s1");
  BOOST_TEST(task.run->ticket == "ticket-1");
}

// Guards against the use of tickets that have expired or belong to an earlier
// instance of the server.
BOOST_AUTO_TEST_CASE(tickets_expire_and_belong_to_an_instance)
{
  Pool pool = make_pool(2, 2);
  StepKey step{ "job", 0, 0 };
  AdviceRequest advice_request{
    step, { pool.servers["s0"].instance, pool.servers["s1"].instance }, 0
  };
  AdviceCache cache;
  cache.record_response(advice_request,
                        { { "s0", "ticket" } },
                        { NOW_MS, NOW_MS },
                        AdviceSettings{ 0, 0, 5'000 });
  BOOST_TEST(cache.tickets(step, pool, NOW_MS + 4'000).size() == 1U);
  BOOST_TEST(cache.tickets(step, pool, NOW_MS + 4'600).empty());
  BOOST_TEST(cache.is_known(step, pool.servers["s1"]));
  BOOST_TEST(cache.possible_servers(step, pool) ==
             std::set<std::string>{ "s0" });
  pool.servers["s0"].instance.started_ms = 2;
  pool.servers["s1"].instance.started_ms = 2;
  BOOST_TEST(cache.tickets(step, pool, NOW_MS).empty());
  BOOST_TEST(!cache.is_known(step, pool.servers["s1"]));
}

// The server restarts while the request is under way.
BOOST_AUTO_TEST_CASE(ticket_of_an_instance_is_used_for_the_next_one)
{
  Pool pool = make_pool(1, 1);
  StepKey step{ "job", 0, 0 };
  AdviceRequest advice_request{ step, { pool.servers["s0"].instance }, 0 };
  pool.servers["s0"].instance.started_ms = 2;
  AdviceCache cache;
  cache.record_response(advice_request,
                        { { "s0", "ticket" } },
                        { NOW_MS, NOW_MS },
                        AdviceSettings{ 0, 0, 5'000 });
  BOOST_TEST(cache.tickets(step, pool, NOW_MS).empty());
  BOOST_TEST(!cache.is_known(step, pool.servers["s0"]));
}

// Guards against a slack that ignores the steps that depend on the step.
BOOST_AUTO_TEST_CASE(slack_counts_the_longest_chain)
{
  Workflow workflow;
  for (std::uint32_t estimate_ms : { 1'000, 2'000, 500 }) {
    Step step;
    step.estimate_ms = estimate_ms;
    workflow.steps.push_back(step);
  }
  workflow.steps[1].dependencies = { 0 };
  workflow.accepted_ms = 10'000;
  BOOST_TEST(chain_ms(workflow, 0) == 3'000);
  BOOST_TEST(chain_ms(workflow, 2) == 500);
  Objective objective{ 1.5, 250 };
  BOOST_TEST(slack_ms(workflow, objective, 0, 0, 10'000) == 1'750);
  BOOST_TEST(slack_ms(workflow, objective, 0, 1, 12'000) == 750);
}

// Guards against a workflow with more runs than its row can hold.
BOOST_AUTO_TEST_CASE(runs_of_a_workflow_are_limited)
{
  Pool pool = make_pool(2, 2);
  RoundWorkflows workflows;
  StepHistory history;
  workflows.add("tasks", "x", 0, make_step(8, { 100, 100, 1 })).max_runs = 5;
  workflows.add("gang", "x", 0, make_step(8, { 100, 100, 1 }, true)).max_runs =
    5;
  run_round(workflows, pool, history, {});
  BOOST_TEST(running(workflows.entries[0]) == 5U);
  BOOST_TEST(running(workflows.entries[1]) == 0U);
}

// Guards against a stop that is weighed with another time between checkpoints
// than that of the platform.
BOOST_AUTO_TEST_CASE(loss_follows_the_checkpoint_period)
{
  for (std::int64_t checkpoint_ms : { 500, 4'000 }) {
    Pool pool = make_pool(2, 2);
    RoundWorkflows workflows;
    StepHistory history;
    Step saving = make_step(1, { 1'000, 1'024, 8 });
    saving.checkpoints = true;
    workflows.add("saving", "y", 1, saving);
    workflows.add("plain", "y", 1, make_step(1, { 1'000, 1'024, 8 }));
    Pool first = pool;
    run_round(workflows, first, history, {});
    // Both have run for 2 s; only the first one has saved work.
    for (std::pair<const TaskKey, std::int64_t>& item : history.placed_ms)
      item.second -= item.first.first.workflow == "saving" ? 4'000 : 2'000;
    workflows.add("urgent", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
    Pool second = pool;
    allocate_runs(workflows.entries, second);
    mark_guaranteed(workflows.entries, { { "x", 8 } });
    RoundLimits limits;
    limits.checkpoint_ms = checkpoint_ms;
    run_scheduling_round(workflows.entries, second, history, limits, NOW_MS);
    BOOST_TEST(stopping(workflows.entries[0]) == (checkpoint_ms == 500));
    BOOST_TEST(stopping(workflows.entries[1]) == (checkpoint_ms == 4'000));
  }
}

namespace {

/// The victims that a search one by one finds: the cheapest ones until the
/// request fits, without those that are not needed, most expensive first.
std::set<std::string>
victims_one_by_one(Pool pool,
                   const std::vector<RunGroup>& cheapest_first,
                   const AssignRequest& request)
{
  std::vector<const RunGroup*> stopped;
  for (const RunGroup& group : cheapest_first) {
    if (assign(pool, request).size() >= request.tasks)
      break;
    release_runs(pool, group);
    stopped.push_back(&group);
  }
  std::set<std::string> needed;
  for (; !stopped.empty(); stopped.pop_back()) {
    allocate_runs(pool, *stopped.back());
    if (assign(pool, request).size() >= request.tasks)
      continue;
    release_runs(pool, *stopped.back());
    needed.insert(stopped.back()->step.workflow);
  }
  return needed;
}

} // namespace

// Guards against other victims than those of the search one by one, which the
// search by halves must find with fewer trials.
BOOST_AUTO_TEST_CASE(search_by_halves_finds_the_same_victims)
{
  BOOST_TEST(rc::check("same victims", [] {
    Pool pool = make_pool(6, 6);
    std::vector<RunGroup> groups;
    for (int index = 0; index < 6; ++index) {
      std::string server = "s" + std::to_string(index);
      std::int64_t left = 8;
      while (left > 0) {
        RunGroup group;
        group.step = { "g" + std::to_string(groups.size()), 0, 0 };
        group.priority = 2;
        group.disruptions_allowed = 1;
        group.demand = { 1'000, 1'024, *rc::gen::inRange<std::int64_t>(1, 5) };
        group.demand.accelerators = std::min(group.demand.accelerators, left);
        group.servers = { { server, 1 } };
        // All costs differ, so that the order is the same in both searches.
        group.loss_core_s = *rc::gen::inRange(0, 1'000) +
                            static_cast<double>(groups.size()) / 1'000;
        left -= group.demand.accelerators;
        pool.allocate(server, group.demand);
        groups.push_back(std::move(group));
      }
    }
    std::sort(
      groups.begin(), groups.end(), [](const RunGroup& a, const RunGroup& b) {
        return a.loss_core_s < b.loss_core_s;
      });
    Step step = make_step(
      *rc::gen::inRange<std::uint32_t>(1, 5), { 1'000, 1'024, 4 }, true);
    PreemptRequest request;
    request.assign_request = request_for(step);
    request.assign_request.allow_any_rack = true;
    std::set<std::string> expected =
      victims_one_by_one(pool, groups, request.assign_request);
    std::optional<PreemptPlan> plan = plan_preemption(pool, groups, request);
    RC_ASSERT(plan.has_value());
    std::set<std::string> found;
    for (const RunGroup* victim : plan->victims)
      found.insert(victim->step.workflow);
    RC_ASSERT(found == expected);
  }));
}
