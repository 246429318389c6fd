#define BOOST_TEST_MODULE advice
#include "core/advice.h"
#include "core/round.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>

using namespace geraniumhinge::core;

namespace {

constexpr std::int64_t START_MS = 100'000;
constexpr std::int64_t ROUND_PERIOD_MS = 200;
constexpr std::int64_t TICK_MS = 10;
/// From a placement until its start reaches the server.
constexpr std::int64_t ORDER_MS = 60;
constexpr Resources SERVER_CAPACITY{ 32'000, 131'072, 8 };
constexpr char SERVICE[] = "planner";

/// What the validity of a ticket counts from; the platform does not say.
enum class ValidFrom
{
  Request,
  Response,
};

struct ServiceOptions
{
  AdviceSettings settings;
  ValidFrom valid_from = ValidFrom::Response;
  std::function<bool(int)> allows = [](int) { return true; };
};

/// A queue with advice: its steps, the servers, the advice service and the
/// servers' checks of tickets, on a clock of its own.
class Simulation
{
public:
  Simulation(int servers, ServiceOptions options)
    : options(std::move(options))
  {
    for (int index = 0; index < servers; ++index)
      this->add_server();
  }

  void add_server()
  {
    PoolServer server;
    int index = static_cast<int>(this->pool.servers.size());
    server.instance = { "s" + std::to_string(index), 1 };
    server.service = SERVICE;
    server.rack = "r" + std::to_string(index / 6);
    server.capacity = SERVER_CAPACITY;
    this->allowed[server.instance.id] = this->options.allows(index);
    this->pool.free[server.instance.id] = server.capacity;
    this->pool.servers[server.instance.id] = server;
  }

  void add_job(const std::string& id, std::uint32_t tasks, bool gang)
  {
    Step step;
    step.tasks = tasks;
    step.demand = { 1'000, 1'024, SERVER_CAPACITY.accelerators };
    step.gang = gang;
    std::unique_ptr<Workflow> workflow = std::make_unique<Workflow>();
    workflow->id = id;
    workflow->accepted_ms = static_cast<std::int64_t>(this->jobs.size());
    workflow->steps = { step };
    RoundWorkflow round_workflow;
    round_workflow.definition = workflow.get();
    round_workflow.service = SERVICE;
    round_workflow.advice = this->options.settings;
    open_due_occurrences(*workflow, round_workflow.progress, 0, 0);
    this->jobs.push_back(std::move(workflow));
    this->entries.push_back(std::move(round_workflow));
  }

  /// Ends the only run of the job as done.
  void finish(std::size_t job)
  {
    apply_run_end(*this->jobs[job],
                  this->entries[job].progress,
                  { 0, 0, 0 },
                  this->attempt(job),
                  RunEndKind::Done,
                  "",
                  1);
  }

  std::size_t started(std::size_t job) const
  {
    std::size_t count = 0;
    for (const Start& start : this->starts)
      count += start.job == job && start.accepted ? 1 : 0;
    return count;
  }

  /// Runs until the tasks of the job have started. Returns the time that this
  /// took, or nothing if the limit is reached.
  std::optional<std::int64_t> run_until_started(std::size_t job,
                                                std::int64_t limit_ms)
  {
    std::int64_t begin_ms = this->now_ms;
    std::size_t tasks = this->jobs[job]->steps.front().tasks;
    while (this->started(job) < tasks && this->now_ms < begin_ms + limit_ms)
      this->tick();
    if (this->started(job) < tasks)
      return std::nullopt;
    return this->now_ms - begin_ms;
  }

  void run_for(std::int64_t duration_ms)
  {
    for (std::int64_t end_ms = this->now_ms + duration_ms;
         this->now_ms < end_ms;)
      this->tick();
  }

  std::size_t questions = 0;
  std::size_t rejected = 0; ///< Starts rejected for their ticket.
  std::size_t denied = 0;   ///< Reports that no server may run a step.
  Pool pool;
  StepHistory history;

private:
  struct Start
  {
    std::size_t job = 0;
    TaskRef task;
    Run run;
    std::int64_t at_ms = 0;
    bool accepted = false;
    bool checked = false;
  };

  std::uint32_t attempt(std::size_t job) const
  {
    return this->entries[job]
      .progress.open_occurrences.at(0)[0][0]
      .run->attempt;
  }

  void tick()
  {
    this->now_ms += TICK_MS;
    this->deliver_response();
    this->check_starts();
    if (this->now_ms >= this->next_round_ms)
      this->run_round();
  }

  void deliver_response()
  {
    if (!this->in_flight || this->now_ms < this->response_ms)
      return;
    std::vector<AdviceTicket> tickets;
    std::int64_t issued_ms = this->options.valid_from == ValidFrom::Request
                               ? this->requested_ms
                               : this->response_ms;
    for (const ServerInstance& server : this->in_flight->servers) {
      if (!this->allowed.at(server.id))
        continue;
      std::string ticket = std::to_string(this->valid_until_ms.size());
      this->valid_until_ms[ticket] =
        issued_ms + this->options.settings.ticket_validity_ms;
      tickets.push_back({ server.id, ticket });
    }
    AdviceRequest request = *this->in_flight;
    this->in_flight.reset();
    this->record(request, tickets);
    this->run_round();
  }

  void record(const AdviceRequest& request,
              const std::vector<AdviceTicket>& tickets)
  {
    this->history.advice.record_response(request,
                                         tickets,
                                         { this->requested_ms, this->now_ms },
                                         this->options.settings);
  }

  void check_starts()
  {
    for (Start& start : this->starts) {
      if (start.checked || this->now_ms < start.at_ms + ORDER_MS)
        continue;
      start.checked = true;
      start.accepted =
        !start.run.ticket.empty() &&
        this->now_ms <= this->valid_until_ms.at(start.run.ticket);
      if (!start.accepted)
        this->reject(start);
    }
  }

  void reject(const Start& start)
  {
    ++this->rejected;
    apply_run_end(*this->jobs[start.job],
                  this->entries[start.job].progress,
                  start.task,
                  start.run.attempt,
                  RunEndKind::TicketRejected,
                  "",
                  1);
    this->history.advice.record_rejection(
      { this->jobs[start.job]->id, 0, 0 }, start.run, this->now_ms);
  }

  void run_round()
  {
    this->next_round_ms = this->now_ms + ROUND_PERIOD_MS;
    Pool free = this->pool;
    allocate_runs(this->entries, free);
    RoundResult result = run_scheduling_round(
      this->entries, free, this->history, RoundLimits{}, this->now_ms);
    this->denied += result.denied_steps.size();
    for (std::size_t job = 0; job < this->entries.size(); ++job)
      this->record_new_runs(job);
    if (this->in_flight || result.advice_requests.empty())
      return;
    const AdviceRequest& request = result.advice_requests.front();
    ++this->questions;
    this->in_flight = request;
    this->requested_ms = this->now_ms;
    this->response_ms = this->now_ms + this->options.settings.base_timeout_ms +
                        this->options.settings.timeout_per_server_ms *
                          static_cast<std::int64_t>(request.servers.size());
  }

  void record_new_runs(std::size_t job)
  {
    for_each_run(
      this->entries[job].progress,
      [this, job](const TaskRef& ref, const TaskState& task) {
        for (const Start& start : this->starts) {
          if (start.job == job && start.task.index == ref.index &&
              start.run.attempt == task.run->attempt)
            return;
        }
        this->starts.push_back({ job, ref, *task.run, this->now_ms });
      });
  }

  ServiceOptions options;
  std::map<std::string, bool> allowed;
  std::map<std::string, std::int64_t> valid_until_ms; ///< By ticket.
  std::vector<std::unique_ptr<Workflow>> jobs;
  std::vector<RoundWorkflow> entries;
  std::vector<Start> starts;
  std::int64_t now_ms = START_MS;
  std::int64_t next_round_ms = 0;
  std::optional<AdviceRequest> in_flight;
  std::int64_t requested_ms = 0;
  std::int64_t response_ms = 0;
};

bool
allows_five_of_six(int server)
{
  return server % 6 != 5;
}

ServiceOptions
slow_service(ValidFrom valid_from)
{
  return { AdviceSettings{ 500, 90, 3'000 }, valid_from, allows_five_of_six };
}

} // namespace

// Guards against a job that never starts, because the answers on all servers
// take nearly as long as their tickets are valid.
BOOST_AUTO_TEST_CASE(job_waits_for_good_for_slow_advice)
{
  for (ValidFrom valid_from : { ValidFrom::Request, ValidFrom::Response }) {
    for (int servers : { 1, 11, 24, 30, 60, 300 }) {
      Simulation simulation(servers, slow_service(valid_from));
      simulation.add_job("job", 1, false);
      std::optional<std::int64_t> took_ms =
        simulation.run_until_started(0, 14'000);
      BOOST_TEST_CONTEXT("servers " << servers)
      {
        BOOST_REQUIRE(took_ms.has_value());
        BOOST_TEST(*took_ms < 3'000);
        BOOST_TEST(simulation.rejected == 0U);
      }
    }
  }
}

// Guards against a gang that never has valid tickets for all its members at the
// same time, and against a step with more tasks than one request covers.
BOOST_AUTO_TEST_CASE(tickets_of_one_step_expire_one_after_another)
{
  constexpr int SERVERS = 30;
  for (ValidFrom valid_from : { ValidFrom::Request, ValidFrom::Response }) {
    for (bool gang : { true, false }) {
      for (std::uint32_t tasks : { 2U, 12U, 25U }) {
        Simulation simulation(SERVERS, slow_service(valid_from));
        simulation.add_job("job", tasks, gang);
        std::optional<std::int64_t> took_ms =
          simulation.run_until_started(0, 60'000);
        BOOST_TEST_CONTEXT("tasks " << tasks << " gang " << gang
                                    << " valid from the request "
                                    << (valid_from == ValidFrom::Request))
        {
          BOOST_REQUIRE(took_ms.has_value());
          BOOST_TEST(*took_ms < 14'000);
        }
      }
    }
  }
}

// The figures of a queue are the operators' own.
BOOST_AUTO_TEST_CASE(job_starts_only_with_some_figures_of_the_service)
{
  for (std::uint32_t base_ms : { 0U, 20U, 500U, 1'200U, 2'400U }) {
    for (std::uint32_t per_server_ms : { 0U, 2U, 90U, 400U }) {
      for (std::uint32_t validity_ms : { 3'000U, 20'000U }) {
        for (ValidFrom valid_from :
             { ValidFrom::Request, ValidFrom::Response }) {
          ServiceOptions options = slow_service(valid_from);
          options.settings = { base_ms, per_server_ms, validity_ms };
          Simulation simulation(24, options);
          simulation.add_job("job", 1, false);
          BOOST_TEST_CONTEXT("base " << base_ms << " per server "
                                     << per_server_ms << " validity "
                                     << validity_ms)
          BOOST_TEST(simulation.run_until_started(0, 14'000).has_value());
        }
      }
    }
  }
}

// Guards against a step that can't start and takes all requests for itself.
BOOST_AUTO_TEST_CASE(gang_without_room_starves_other_steps_of_advice)
{
  for (ValidFrom valid_from : { ValidFrom::Request, ValidFrom::Response }) {
    Simulation simulation(30, slow_service(valid_from));
    simulation.add_job("gang", 40, true);
    simulation.add_job("small", 1, false);
    BOOST_TEST(simulation.run_until_started(1, 14'000).has_value());
  }
}

// Guards against requests without end while no server has room, and against a
// step that gets room and has to learn anew which servers may run it.
BOOST_AUTO_TEST_CASE(step_without_room_asks_for_tickets_again_and_again)
{
  constexpr std::int64_t WAIT_MS = 60'000;
  constexpr std::size_t MAX_REQUESTS = 4;
  Simulation simulation(1, slow_service(ValidFrom::Response));
  simulation.add_job("first", 1, false);
  BOOST_REQUIRE(simulation.run_until_started(0, 14'000).has_value());
  simulation.add_job("second", 1, false);
  std::size_t before = simulation.questions;
  simulation.run_for(WAIT_MS);
  BOOST_TEST(simulation.questions - before <= MAX_REQUESTS);
  simulation.finish(0);
  std::optional<std::int64_t> took_ms = simulation.run_until_started(1, 14'000);
  BOOST_REQUIRE(took_ms.has_value());
  BOOST_TEST(*took_ms < 1'000);
}

// Guards against requests without a pause for a step whose tickets are rejected
// each time.
BOOST_AUTO_TEST_CASE(rejected_tickets_are_asked_for_without_a_pause)
{
  constexpr std::int64_t WAIT_MS = 60'000;
  constexpr std::size_t MAX_REQUESTS = 15;
  ServiceOptions options = slow_service(ValidFrom::Request);
  options.settings.base_timeout_ms = 3'500;
  Simulation simulation(6, options);
  simulation.add_job("job", 1, false);
  simulation.run_for(WAIT_MS);
  BOOST_TEST(simulation.started(0) == 0U);
  BOOST_TEST(simulation.questions <= MAX_REQUESTS);
  BOOST_TEST(simulation.rejected <= MAX_REQUESTS);
}

// Guards against silence on a step that no server may run, and against a line
// for it in each round.
BOOST_AUTO_TEST_CASE(step_that_no_server_may_run_is_not_reported)
{
  ServiceOptions options = slow_service(ValidFrom::Response);
  options.allows = [](int) { return false; };
  Simulation simulation(12, options);
  simulation.add_job("job", 1, false);
  simulation.run_for(20'000);
  BOOST_TEST(simulation.denied == 1U);
  simulation.add_server();
  simulation.run_for(20'000);
  BOOST_TEST(simulation.denied == 2U);
}

// One request names at most 100 servers.
BOOST_AUTO_TEST_CASE(gang_that_needs_two_requests_repeats_the_first_one)
{
  ServiceOptions options;
  options.settings = { 20, 2, 3'000 };
  for (ValidFrom valid_from : { ValidFrom::Request, ValidFrom::Response }) {
    options.valid_from = valid_from;
    Simulation simulation(150, options);
    simulation.add_job("job", 128, true);
    BOOST_TEST(simulation.run_until_started(0, 14'000).has_value());
  }
}
