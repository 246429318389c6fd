#define BOOST_TEST_MODULE admission
#include "core/admission.h"

#include "tests/core/round_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

// Load: a queue of tasks that need a whole server for 4 s each, with an
// objective of 5 s, on four servers. A caller can use a result within 15 s, so
// that a job may wait for 11 s.

namespace {

struct QueuedJobs
{
  RoundWorkflows workflows;
  Pool pool = make_pool(4, 4);
  std::int64_t unix_now_ms = NOW_MS;

  RoundWorkflow& add(const std::string& id, std::uint32_t priority)
  {
    Step step = make_step(1, { 1'000, 1'024, 8 });
    step.estimate_ms = 4'000;
    RoundWorkflow& job = this->workflows.add(id, "x", priority, step);
    job.objective = { 1, 1'000 };
    this->workflows.definitions.back()->accepted_ms = this->unix_now_ms;
    return job;
  }

  void add_waiting(int jobs, std::uint32_t priority)
  {
    for (int index = 0; index < jobs; ++index)
      this->add("p" + std::to_string(priority) + "_" + std::to_string(index),
                priority);
  }

  /// What a new job of the priority is told after a round.
  std::optional<std::int64_t> refusal(std::uint32_t priority,
                                      bool guaranteed = false)
  {
    StepHistory history;
    Pool free = this->pool;
    allocate_runs(this->workflows.entries, free);
    run_scheduling_round(
      this->workflows.entries, free, history, RoundLimits{}, this->unix_now_ms);
    FleetLoad load =
      measure_load(this->workflows.entries, free, this->unix_now_ms);
    RoundWorkflow job = this->add("new", priority);
    this->workflows.entries.pop_back();
    return refusal_ms(load, job, guaranteed);
  }
};

} // namespace

// Guards against refused jobs that would have started in time, and against
// accepted ones whose results are of no value. The retry time must not be
// shorter than the excess of the wait.
BOOST_AUTO_TEST_CASE(job_is_refused_only_if_its_wait_is_too_long)
{
  // Four run, with half of their work left; the others wait. 12 jobs ahead keep
  // the servers busy for (4 * 2 s + 8 * 4 s) / 4 = 10 s.
  for (int jobs : { 4, 12, 13, 18 }) {
    QueuedJobs queue;
    queue.add_waiting(jobs, 1);
    std::optional<std::int64_t> refusal = queue.refusal(1);
    BOOST_TEST(refusal.has_value() == (jobs == 18));
    if (refusal)
      BOOST_TEST(*refusal == 5'000);
  }
}

// Guards against a refusal while a server is free, however long the queue is:
// the jobs in it may lack something else than room.
BOOST_AUTO_TEST_CASE(no_job_is_refused_while_a_server_is_free)
{
  for (bool all_in_use : { false, true }) {
    QueuedJobs queue;
    queue.add_waiting(40, 1);
    Pool free = queue.pool;
    for (std::pair<const std::string, Resources>& item : free.free) {
      if (all_in_use || item.first != "s3")
        item.second = {};
    }
    FleetLoad load =
      measure_load(queue.workflows.entries, free, queue.unix_now_ms);
    RoundWorkflow job = queue.add("new", 1);
    BOOST_TEST(refusal_ms(load, job, false).has_value() == all_in_use);
  }
}

// Guards against the refusal of work within a guarantee, and of urgent work
// because of a queue of less urgent work.
BOOST_AUTO_TEST_CASE(urgent_and_guaranteed_jobs_are_accepted)
{
  QueuedJobs queue;
  queue.add_waiting(40, 1);
  BOOST_TEST(queue.refusal(2).has_value());
  BOOST_TEST(!queue.refusal(0).has_value());
  queue.add_waiting(40, 0);
  BOOST_TEST(queue.refusal(0).has_value());
  BOOST_TEST(!queue.refusal(0, true).has_value());
  RoundWorkflow& first = queue.workflows.entries.front();
  first.priority = 0;
  first.guaranteed = true;
  RoundWorkflow job = queue.add("guaranteed", 0);
  FleetLoad load =
    measure_load(queue.workflows.entries, queue.pool, queue.unix_now_ms);
  BOOST_TEST(fits_guarantee(load, job, 16));
  BOOST_TEST(!fits_guarantee(load, job, 15));
  job.priority = 1;
  BOOST_TEST(!fits_guarantee(load, job, 16));
}

// Guards against refusals because of queued work that is of no value any more
// and comes after the new job.
BOOST_AUTO_TEST_CASE(work_without_value_causes_no_refusal)
{
  QueuedJobs queue;
  queue.add_waiting(40, 1);
  BOOST_TEST(queue.refusal(1).has_value());
  queue.unix_now_ms += 15'001;
  BOOST_TEST(!queue.refusal(1).has_value());
}
