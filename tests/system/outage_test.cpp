#define BOOST_TEST_MODULE outage
#include "tests/support/fixture.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr kernel::Milliseconds CALL_LIMIT{ 3'000 };
// A refusal must come well before the caller's limit of 3 s.
constexpr std::int64_t REFUSAL_LIMIT_MS = 1'500;
// Five orphan timeouts: an outage of 10 minutes lasts five orphan timeouts of
// 120 s, and the tests shorten the orphan timeout to 2 s.
constexpr std::int64_t OUTAGE_MS = 10'000;
constexpr int LONG_RUN_MS = 14'000;
constexpr int SCANS_TO_WAIT = 12;

DeploymentPlan
short_orphan_plan()
{
  DeploymentPlan plan = small_plan(2, 1, 3);
  plan.entry_settings["jobs"]["orphan_ms"] = 2'000;
  plan.agent_settings["membership"]["orphan_ms"] = 2'000;
  plan.agent_settings["membership"]["heartbeat_ms"] = 500;
  return plan;
}

} // namespace

// Invariant 4 and rule 7. Guards against a store outage that ends running work,
// and against non-idempotent work that is refused too late, or runs although it
// is reported as not run.
BOOST_AUTO_TEST_CASE(store_outage_keeps_running_work_and_refuses_new_work)
{
  Fleet fleet(short_orphan_plan());
  JobPlan plan;
  plan.request_id = "long";
  plan.members = 3;
  plan.accelerators = 8;
  plan.run_ms = LONG_RUN_MS;
  std::string job = submit(fleet.alpha(), plan);
  BOOST_REQUIRE(fleet.wait_running(job, 3));
  BOOST_REQUIRE(fleet.deployment.set_store_faults({ { "down", 1 } }));
  std::int64_t down_ms = kernel::boot_ms();
  int requests = 0;
  while (kernel::boot_ms() - down_ms < OUTAGE_MS) {
    std::string id = fmt::format("refused-{}", requests++);
    std::int64_t requested_ms = kernel::boot_ms();
    RunResult refused =
      fleet.alpha().run(id, false, work_input(0, id), CALL_LIMIT);
    BOOST_TEST(outcome_of(refused) == v1::OUTCOME_NOT_RUN);
    BOOST_TEST(kernel::boot_ms() - requested_ms <= REFUSAL_LIMIT_MS);
    JobPlan late;
    late.request_id = id;
    JobResult rejected = fleet.alpha().submit(late);
    BOOST_REQUIRE(!rejected.has_value());
    BOOST_TEST(rejected.error().detail.outcome() == v1::OUTCOME_NOT_RUN);
    RunResult idempotent =
      fleet.beta().run(id, true, work_input(0, id), CALL_LIMIT);
    BOOST_TEST(outcome_of(idempotent) == v1::OUTCOME_SUCCEEDED);
  }
  BOOST_TEST(fleet.running(job).size() == 3);
  BOOST_REQUIRE(fleet.deployment.set_store_faults({ { "down", 0 } }));
  JobResult done = fleet.alpha().wait(job, WAIT_LIMIT);
  BOOST_TEST(outcome_of(done) == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST((done && done->generation() == 1));
  // Only the idempotent short requests ran, each of them once.
  int runs = 0;
  for (const JournalEvent& event : fleet.deployment.journal())
    runs += event.event == "run" ? 1 : 0;
  BOOST_TEST(runs == requests);
  std::vector<TaskSpan> spans = fleet.spans();
  BOOST_TEST(std::all_of(spans.begin(), spans.end(), [&](const TaskSpan& span) {
    return span.job == job;
  }));
}

// Guards against a job that is reported as not run and starts all the same: the
// entry loses the connection to the store during the commit, and the store
// applies the commit later.
BOOST_AUTO_TEST_CASE(late_commit_starts_no_job_reported_as_not_run)
{
  DeploymentPlan fast_scans = small_plan(2, 1, 2);
  fast_scans.entry_settings["jobs"]["scan_ms"] = 500;
  Fleet fleet(std::move(fast_scans));
  constexpr int DELAY_MS = 1'000;
  constexpr int JOBS = 6;
  std::size_t not_run = 0;
  std::size_t started = 0;
  for (int i = 0; i < JOBS; i++) {
    fleet.deployment.set_store_faults(
      { { "delay_next", 1 }, { "delay_ms", DELAY_MS } });
    JobPlan plan;
    plan.request_id = fmt::format("late-{}", i);
    JobResult job = fleet.alpha().submit(plan);
    if (!job) {
      BOOST_TEST(job.error().detail.outcome() == v1::OUTCOME_NOT_RUN);
      not_run++;
      continue;
    }
    started++;
    BOOST_TEST(outcome_of(fleet.alpha().wait(job->id(), WAIT_LIMIT)) ==
               v1::OUTCOME_SUCCEEDED);
  }
  // When this job is accepted, all late commits have been applied.
  JobPlan last;
  last.request_id = "last";
  std::string job = submit(fleet.alpha(), last);
  BOOST_TEST(outcome_of(fleet.alpha().wait(job, WAIT_LIMIT)) ==
             v1::OUTCOME_SUCCEEDED);
  // The next scans would find and start an open job that was not reported to
  // its caller.
  int scans = fleet.deployment.store_counters()["scans"];
  BOOST_REQUIRE(wait_until(WAIT_LIMIT, [&] {
    return fleet.deployment.store_counters()["scans"] >= scans + SCANS_TO_WAIT;
  }));
  BOOST_TEST(fleet.spans().size() == started + 1);
  BOOST_TEST_MESSAGE(fmt::format("{} not run, {} started", not_run, started));
}
