#define BOOST_TEST_MODULE round
#include "core/round.h"

#include "core/assign.h"
#include "core/preempt.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace geraniumhinge::core;

namespace {

constexpr Resources SERVER_CAPACITY{ 32'000, 131'072, 8 };
constexpr std::int64_t NOW_MS = 100'000;

/// Servers s0, s1, ... with `per_rack` in each rack r0, r1, ...
Pool
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

Step
make_step(std::uint32_t tasks, Resources demand, bool gang = false)
{
  Step step;
  step.tasks = tasks;
  step.demand = demand;
  step.gang = gang;
  return step;
}

AssignRequest
request_for(const Step& step)
{
  AssignRequest request;
  request.step = &step;
  request.service = "planner";
  request.tasks = step.tasks;
  return request;
}

/// Workflows with one step each, kept at fixed addresses.
struct Jobs
{
  std::vector<std::unique_ptr<Workflow>> workflows;
  std::vector<RoundWorkflow> jobs;

  RoundWorkflow& add(const std::string& id,
                     const std::string& organisation,
                     std::uint32_t priority,
                     Step step)
  {
    std::unique_ptr<Workflow> workflow = std::make_unique<Workflow>();
    workflow->id = id;
    workflow->organisation = organisation;
    workflow->accepted_ms = static_cast<std::int64_t>(this->workflows.size());
    workflow->steps = { std::move(step) };
    RoundWorkflow job;
    job.workflow = workflow.get();
    job.service = "planner";
    job.priority = priority;
    job.peak_accelerators = peak_accelerators_of(*workflow);
    open_due_occurrences(*workflow, job.progress, 0, 0);
    this->workflows.push_back(std::move(workflow));
    this->jobs.push_back(std::move(job));
    return this->jobs.back();
  }
};

std::size_t
running(const RoundWorkflow& job)
{
  std::size_t count = 0;
  for (const TaskState& task : job.progress.open_occurrences.at(0)[0])
    count += task.run && !task.run->stopping ? 1 : 0;
  return count;
}

bool
stopping(const RoundWorkflow& job)
{
  for (const TaskState& task : job.progress.open_occurrences.at(0)[0]) {
    if (task.run && task.run->stopping)
      return true;
  }
  return false;
}

RoundResult
play(Jobs& jobs,
     Pool& pool,
     StepHistory& history,
     const std::map<std::string, std::int64_t>& guarantees)
{
  allocate_runs(jobs.jobs, pool);
  mark_guaranteed(jobs.jobs, guarantees);
  return run_scheduling_round(jobs.jobs, pool, history, {}, NOW_MS);
}

} // namespace

// Guards against a gang of which only a part gets servers.
BOOST_AUTO_TEST_CASE(gang_is_placed_whole_or_not_at_all)
{
  Pool pool = make_pool(2, 2);
  Step fits = make_step(2, { 1'000, 1'024, 8 }, true);
  Step too_large = make_step(3, { 1'000, 1'024, 8 }, true);
  BOOST_TEST(assign(pool, request_for(fits)).size() == 2U);
  BOOST_TEST(assign(pool, request_for(too_large)).empty());
}

// Guards against tasks on servers without the label, beyond the limit on one
// server, or on a server that takes no work.
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

// Guards against gangs over several racks, which run slower.
BOOST_AUTO_TEST_CASE(same_rack_is_kept_while_a_rack_can_hold_the_gang)
{
  Pool pool = make_pool(6, 3);
  pool.free["s0"] = {};
  pool.free["s3"] = {};
  Step step = make_step(3, { 1'000, 1'024, 8 }, true);
  step.same_rack = true;
  BOOST_TEST(assign(pool, request_for(step)).empty());
  BOOST_TEST(fits_one_rack(pool, request_for(step)));
  AssignRequest anywhere = request_for(step);
  anywhere.allow_any_rack = true;
  BOOST_TEST(assign(pool, anywhere).size() == 3U);
}

// Guards against starts that bring a server over its capacity: whatever jobs
// come, no server holds more than it has.
BOOST_AUTO_TEST_CASE(no_server_is_overcommitted)
{
  BOOST_TEST(rc::check("rounds keep to the room", [] {
    Pool pool = make_pool(5, 3);
    Jobs jobs;
    int count = *rc::gen::inRange(1, 25);
    for (int index = 0; index < count; ++index) {
      Step step = make_step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)),
                            { *rc::gen::inRange(0, 33'000),
                              *rc::gen::inRange(0, 140'000),
                              *rc::gen::inRange(0, 9) },
                            *rc::gen::arbitrary<bool>());
      step.same_rack = *rc::gen::arbitrary<bool>();
      jobs.add("j" + std::to_string(index),
               index % 2 == 0 ? "x" : "y",
               static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)),
               step);
    }
    StepHistory history;
    for (int round = 0; round < 3; ++round) {
      Pool fresh = pool;
      play(jobs, fresh, history, { { "x", 16 }, { "y", 8 } });
      Pool used = pool;
      allocate_runs(jobs.jobs, used);
      for (const std::pair<const std::string, Resources>& item : used.free)
        RC_ASSERT(item.second.covers({}));
      // What is stopping ends before the next round.
      for (RoundWorkflow& job : jobs.jobs) {
        StepState& tasks = job.progress.open_occurrences[0][0];
        for (TaskState& task : tasks) {
          if (task.run && task.run->stopping)
            task.run.reset();
        }
      }
    }
  }));
}

// Guards against a guarantee that its organisation can't get back from less
// urgent work, and against capacity of the victims that others take first.
BOOST_AUTO_TEST_CASE(guaranteed_step_gets_its_servers_from_less_urgent_work)
{
  Pool pool = make_pool(2, 2);
  Jobs jobs;
  StepHistory history;
  jobs.add("filler-1", "y", 1, make_step(2, { 1'000, 1'024, 8 }, true));
  Pool first = pool;
  play(jobs, first, history, {});
  BOOST_TEST(running(jobs.jobs[0]) == 2U);
  jobs.add("urgent", "x", 0, make_step(1, { 1'000, 1'024, 8 }, true));
  jobs.add("filler-2", "y", 2, make_step(1, { 1'000, 1'024, 8 }));
  Pool second = pool;
  RoundResult result = play(jobs, second, history, { { "x", 8 } });
  BOOST_TEST(result.preemptions.size() == 1U);
  BOOST_TEST(stopping(jobs.jobs[0]));
  BOOST_TEST(running(jobs.jobs[1]) == 0U);
  // One member has ended: its server is kept for the urgent step.
  jobs.jobs[0].progress.open_occurrences[0][0][0].run.reset();
  Pool third = pool;
  play(jobs, third, history, { { "x", 8 } });
  BOOST_TEST(running(jobs.jobs[1]) == 1U);
  BOOST_TEST(running(jobs.jobs[2]) == 0U);
}

// Guards against a guarantee that is reclaimed from another one.
BOOST_AUTO_TEST_CASE(guaranteed_work_is_never_a_victim)
{
  Pool pool = make_pool(1, 1);
  Jobs jobs;
  StepHistory history;
  jobs.add("first", "y", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool one = pool;
  play(jobs, one, history, { { "x", 8 }, { "y", 8 } });
  jobs.add("second", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool two = pool;
  RoundResult result = play(jobs, two, history, { { "x", 8 }, { "y", 8 } });
  BOOST_TEST(result.preemptions.empty());
  BOOST_TEST(!stopping(jobs.jobs[0]));
}

// Guards against victims whose loss is larger than needed.
BOOST_AUTO_TEST_CASE(cheapest_victim_is_stopped)
{
  Pool pool = make_pool(2, 2);
  Step step = make_step(1, { 1'000, 1'024, 8 });
  pool.free["s0"] = {};
  pool.free["s1"] = {};
  RunGroup dear;
  dear.step = { "dear", 0, 0 };
  dear.priority = 1;
  dear.demand = SERVER_CAPACITY;
  dear.servers = { { "s0", 1 } };
  dear.loss_core_s = 100;
  dear.disruptions_allowed = 1;
  RunGroup cheap = dear;
  cheap.step = { "cheap", 0, 0 };
  cheap.servers = { { "s1", 1 } };
  cheap.loss_core_s = 1;
  PreemptRequest request;
  request.place = request_for(step);
  std::vector<RunGroup> running{ dear, cheap };
  std::optional<PreemptPlan> plan = plan_preemption(pool, running, request);
  BOOST_REQUIRE(plan.has_value());
  BOOST_REQUIRE(plan->victims.size() == 1U);
  BOOST_TEST(plan->victims.front()->step.workflow == "cheap");
}

// Guards against tasks that are stopped though their server is not needed.
BOOST_AUTO_TEST_CASE(only_the_needed_tasks_of_a_step_are_stopped)
{
  Pool pool = make_pool(4, 2);
  Jobs jobs;
  StepHistory history;
  jobs.add("filler", "y", 2, make_step(4, { 1'000, 1'024, 8 }));
  Pool first = pool;
  play(jobs, first, history, {});
  BOOST_TEST(running(jobs.jobs[0]) == 4U);
  jobs.add("urgent", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool second = pool;
  play(jobs, second, history, { { "x", 8 } });
  BOOST_TEST(running(jobs.jobs[0]) == 3U);
}

// Guards against members of one gang with different attempts.
BOOST_AUTO_TEST_CASE(members_of_a_gang_share_their_attempt)
{
  Pool pool = make_pool(2, 2);
  Jobs jobs;
  StepHistory history;
  RoundWorkflow& job =
    jobs.add("gang", "x", 1, make_step(2, { 1'000, 1'024, 8 }, true));
  job.progress.open_occurrences[0][0][1].last_attempt = 4;
  play(jobs, pool, history, {});
  for (const TaskState& task : job.progress.open_occurrences[0][0]) {
    BOOST_REQUIRE(task.run.has_value());
    BOOST_TEST(task.run->attempt == 5U);
  }
}

// Guards against a large gang that smaller and later steps starve: servers
// that end soon are kept for it, and used meanwhile only by what ends sooner.
BOOST_AUTO_TEST_CASE(servers_are_held_for_a_gang_that_waits)
{
  Pool pool = make_pool(2, 2);
  Jobs jobs;
  StepHistory history;
  Step running_step = make_step(1, { 1'000, 1'024, 8 });
  running_step.estimate_ms = 10'000;
  jobs.add("runs", "y", 1, running_step);
  Pool first = pool;
  play(jobs, first, history, {});
  Step gang = make_step(2, { 1'000, 1'024, 8 }, true);
  gang.estimate_ms = 10'000;
  jobs.add("gang", "y", 1, gang);
  Step longer = make_step(1, { 1'000, 1'024, 8 });
  longer.estimate_ms = 30'000;
  jobs.add("longer", "y", 1, longer);
  Pool second = pool;
  play(jobs, second, history, {});
  BOOST_TEST(running(jobs.jobs[2]) == 0U);
  Step shorter = longer;
  shorter.estimate_ms = 2'000;
  jobs.add("shorter", "y", 1, shorter);
  Pool third = pool;
  play(jobs, third, history, {});
  BOOST_TEST(running(jobs.jobs[2]) == 0U);
  BOOST_TEST(running(jobs.jobs[3]) == 1U);
}

// Guards against an urgent step that misses its objective because others' work
// may not be lost for it, and against loss beyond its own worth.
BOOST_AUTO_TEST_CASE(urgent_step_may_waste_work_in_proportion_to_its_own)
{
  for (std::int64_t estimate_ms : { 10'000, 100 }) {
    Pool pool = make_pool(1, 1);
    Jobs jobs;
    StepHistory history;
    // An earlier owner placed it: 5 s of 72 cores are not saved.
    jobs.add("other", "y", 1, make_step(1, { 8'000, 1'024, 8 }));
    Pool first = pool;
    play(jobs, first, history, {});
    history.placed_ms.clear();
    Step step = make_step(1, { 8'000, 1'024, 8 });
    step.estimate_ms = static_cast<std::uint32_t>(estimate_ms);
    RoundWorkflow& urgent = jobs.add("urgent", "x", 0, step);
    urgent.objective = { 1, NOW_MS + 1'000 };
    Pool second = pool;
    play(jobs, second, history, {});
    BOOST_TEST(stopping(jobs.jobs[0]) == (estimate_ms == 10'000));
  }
}

// Guards against stops that leave more tasks of a long-running step unavailable
// than its owner allows.
BOOST_AUTO_TEST_CASE(lasting_step_keeps_enough_tasks_at_work)
{
  Pool pool = make_pool(4, 4);
  Jobs jobs;
  StepHistory history;
  Step runs_until_cancelled = make_step(4, { 1'000, 1'024, 8 });
  runs_until_cancelled.runs_until_cancelled = true;
  runs_until_cancelled.max_unavailable = 1;
  jobs.add("lasting", "y", 1, runs_until_cancelled);
  Pool first = pool;
  play(jobs, first, history, {});
  jobs.add("urgent", "x", 0, make_step(2, { 1'000, 1'024, 8 }, true));
  // None is known to be at work yet: none may be stopped.
  Pool second = pool;
  play(jobs, second, history, { { "x", 16 } });
  BOOST_TEST(running(jobs.jobs[0]) == 4U);
  for (std::uint32_t index = 0; index < 4; ++index)
    history.percent[{ { "lasting", 0, 0 }, index }] = 100;
  // A gang of two needs two of them: still none.
  Pool third = pool;
  play(jobs, third, history, { { "x", 16 } });
  BOOST_TEST(running(jobs.jobs[0]) == 4U);
  jobs.add("small", "x", 0, make_step(1, { 1'000, 1'024, 8 }));
  Pool fourth = pool;
  play(jobs, fourth, history, { { "x", 8 } });
  BOOST_TEST(running(jobs.jobs[0]) == 3U);
}

// Guards against work that ends with a leaving server though it could have
// been saved or begun elsewhere, and against stops of work that can end there.
BOOST_AUTO_TEST_CASE(work_moves_off_a_server_that_leaves_too_soon)
{
  struct Case
  {
    bool checkpoints;
    std::int64_t leaves_in_ms;
    bool moves;
  };
  for (const Case& item : { Case{ true, 2'000, true },
                            Case{ true, 9'000, false },
                            Case{ false, 2'000, true },
                            Case{ false, 4'000, false } }) {
    Pool pool = make_pool(1, 1);
    Jobs jobs;
    StepHistory history;
    Step step = make_step(1, { 1'000, 1'024, 1 });
    step.estimate_ms = 5'000;
    step.checkpoints = item.checkpoints;
    jobs.add("job", "x", 1, step);
    Pool first = pool;
    play(jobs, first, history, {});
    Pool second = pool;
    second.servers["s0"].accepts_work = false;
    second.servers["s0"].leaves_in_ms = item.leaves_in_ms;
    RoundResult result = play(jobs, second, history, {});
    BOOST_TEST(stopping(jobs.jobs[0]) == item.moves);
    BOOST_TEST(result.restarts.size() == (item.moves ? 1U : 0U));
  }
}

// Guards against runs that stand still and are waited for, and against new
// work on a server where runs stand still while others are free.
BOOST_AUTO_TEST_CASE(stalled_runs_start_elsewhere)
{
  Pool pool = make_pool(2, 2);
  Jobs jobs;
  StepHistory history;
  jobs.add("job", "x", 1, make_step(1, { 1'000, 1'024, 1 }));
  Pool first = pool;
  play(jobs, first, history, {});
  std::string server =
    jobs.jobs[0].progress.open_occurrences[0][0][0].run->server.id;
  history.stalled.insert({ { "job", 0, 0 }, 0 });
  history.suspects.insert(server);
  jobs.add("next", "x", 1, make_step(1, { 1'000, 1'024, 1 }));
  Pool second = pool;
  play(jobs, second, history, {});
  BOOST_TEST(stopping(jobs.jobs[0]));
  BOOST_TEST(jobs.jobs[1].progress.open_occurrences[0][0][0].run->server.id !=
             server);
}

// Guards against starts without a ticket in a queue that needs advice.
BOOST_AUTO_TEST_CASE(advised_step_runs_only_where_it_has_a_ticket)
{
  Pool pool = make_pool(3, 3);
  Jobs jobs;
  StepHistory history;
  RoundWorkflow& job =
    jobs.add("job", "x", 1, make_step(2, { 1'000, 1'024, 8 }));
  job.advice = AdviceSettings{ 100, 10, 5'000 };
  Pool first = pool;
  RoundResult result = play(jobs, first, history, {});
  BOOST_TEST(running(jobs.jobs[0]) == 0U);
  BOOST_REQUIRE(result.advice_requests.size() == 1U);
  BOOST_TEST(result.advice_requests.front().servers.size() == 3U);
  history.advice.record_answer(result.advice_requests.front(),
                               { { "s1", "ticket-1" } },
                               pool,
                               NOW_MS,
                               5'000);
  Pool second = pool;
  result = play(jobs, second, history, {});
  BOOST_TEST(running(jobs.jobs[0]) == 1U);
  BOOST_TEST(result.advice_requests.empty());
  const TaskState& task = jobs.jobs[0].progress.open_occurrences[0][0][0];
  BOOST_TEST(task.run->server.id == "s1");
  BOOST_TEST(task.run->ticket == "ticket-1");
}

// Guards against tickets that are used when they have expired or belong to an
// earlier instance of a server.
BOOST_AUTO_TEST_CASE(tickets_expire_and_belong_to_a_life)
{
  Pool pool = make_pool(2, 2);
  StepKey step{ "job", 0, 0 };
  AdviceCache book;
  book.record_answer(
    { step, { "s0", "s1" }, 0 }, { { "s0", "ticket" } }, pool, NOW_MS, 5'000);
  BOOST_TEST(book.tickets(step, pool, NOW_MS + 4'000).size() == 1U);
  BOOST_TEST(book.tickets(step, pool, NOW_MS + 4'600).empty());
  BOOST_TEST(book.should_request(step, pool.servers["s0"], NOW_MS + 4'600));
  BOOST_TEST(!book.should_request(step, pool.servers["s1"], NOW_MS + 4'600));
  pool.servers["s0"].instance.started_ms = 2;
  pool.servers["s1"].instance.started_ms = 2;
  BOOST_TEST(book.tickets(step, pool, NOW_MS).empty());
  BOOST_TEST(book.should_request(step, pool.servers["s1"], NOW_MS));
}

// Guards against a chain of steps whose objective ignores the steps to come.
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
