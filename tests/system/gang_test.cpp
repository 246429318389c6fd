#define BOOST_TEST_MODULE gang
#include "tests/support/fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::uint32_t MEMBERS = 3;
constexpr std::uint32_t WHOLE_SERVER = 8;
constexpr int LONG_RUN_MS = 60'000;
constexpr int SLOW_STORE_MS = 1'500;

JobPlan
gang_plan(const std::string& request_id, int run_ms)
{
  JobPlan plan;
  plan.request_id = request_id;
  plan.members = MEMBERS;
  plan.accelerators = WHOLE_SERVER;
  plan.run_ms = run_ms;
  return plan;
}

/// Index of the backend server that runs one member of a job.
std::size_t
server_of(Fleet& fleet, const std::string& job, std::uint32_t member)
{
  for (const TaskSpan& span : fleet.running(job)) {
    if (span.member == member)
      return fleet.deployment.server_index(span.server);
  }
  BOOST_FAIL("the member does not run");
  return 0;
}

/// Ends the agent and the backend server of one member, and returns how long a
/// part of its generation ran without the rest. `ended_at` stands for the end
/// of the lost member, whose journal is gone.
std::int64_t
outlived_ms(Fleet& fleet, const std::string& job, std::uint32_t member)
{
  std::size_t lost = server_of(fleet, job, member);
  std::uint32_t generation = fleet.running(job).front().generation;
  ServerNode& node = fleet.deployment.servers()[lost];
  node.agent->kill();
  node.backend->kill();
  std::int64_t lost_ms = kernel::boot_ms();
  std::int64_t last_ms = 0;
  BOOST_REQUIRE(wait_until(LONG, [&] {
    for (const TaskSpan& span : fleet.running(job)) {
      if (span.generation == generation)
        return false;
    }
    return true;
  }));
  for (const TaskSpan& span : fleet.spans()) {
    if (span.job == job && span.generation == generation)
      last_ms = std::max(last_ms, span.end_ms);
  }
  return last_ms - lost_ms;
}

} // namespace

// Invariant 2. Guards against a lead that opens its gang before every member
// has the start: the store is slow, so one agent can be paused between its
// hold and the start, and then no member may run.
BOOST_AUTO_TEST_CASE(no_member_runs_before_all_are_ready)
{
  Fleet fleet(small_plan(1, 1, MEMBERS));
  fleet.deployment.set_store_faults({ { "slow_ms", SLOW_STORE_MS } });
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  // The resources of a hold are taken in the agent's own metrics.
  ServerNode& paused = fleet.deployment.servers().back();
  BOOST_REQUIRE(wait_until(LONG, [&] {
    HttpCall call;
    call.url = "http://" + paused.http_address + "/metrics";
    std::optional<HttpReply> page = call_http(call);
    return page && page->body.find("\ngeraniumhinge_agent_slots_used 1") !=
                     std::string::npos;
  }));
  BOOST_REQUIRE(fleet.spans().empty());
  paused.agent->freeze();
  fleet.deployment.set_store_faults({ { "slow_ms", 0 } });
  BOOST_REQUIRE(wait_until(LONG, [&] {
    JobResult now = fleet.alpha().get(job);
    return now && now->state() != v1::JOB_STATE_QUEUED;
  }));
  // The others have their start within one round; the driver gives up on the
  // paused member later, with a new generation.
  BOOST_REQUIRE(wait_until(LONG, [&] {
    JobResult now = fleet.alpha().get(job);
    return now && (now->state() == v1::JOB_STATE_QUEUED ||
                   now->state() == v1::JOB_STATE_STOPPING);
  }));
  BOOST_TEST(fleet.spans().empty());
  paused.agent->resume();
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
  fleet.alpha().cancel(job);
  BOOST_TEST(outcome_of(fleet.alpha().wait(job, LONG)) == v1::OUTCOME_FAILED);
}

// Guards against members that outlive a lost one by more than the lease
// period, and against a new generation that starts beside the old one.
BOOST_AUTO_TEST_CASE(lost_member_stops_the_others_within_the_lease_period)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(outlived_ms(fleet, job, 1) <=
             LEASE_PERIOD.count() + LEASE_CHECK_MS);
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
}

// Guards against the same when the lead, which runs the rounds, is lost.
BOOST_AUTO_TEST_CASE(lost_lead_stops_the_others_within_the_lease_period)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(outlived_ms(fleet, job, 0) <=
             LEASE_PERIOD.count() + LEASE_CHECK_MS);
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
}

// Guards against an agent that goes on after a pause past its lease: its
// member and the others end, and nothing of the old generation runs again.
BOOST_AUTO_TEST_CASE(paused_agent_does_not_run_past_its_lease)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  std::uint32_t generation = fleet.running(job).front().generation;
  ServerNode& paused = fleet.deployment.servers()[server_of(fleet, job, 2)];
  paused.agent->freeze();
  std::int64_t paused_ms = kernel::boot_ms();
  BOOST_REQUIRE(wait_until(LONG, [&] {
    std::vector<TaskSpan> running = fleet.running(job);
    return running.size() == MEMBERS && running.front().generation > generation;
  }));
  paused.agent->resume();
  std::vector<TaskSpan> spans = fleet.spans();
  for (const TaskSpan& span : spans) {
    if (span.generation == generation)
      BOOST_TEST(span.end_ms <=
                 paused_ms + LEASE_PERIOD.count() + LEASE_CHECK_MS);
  }
  BOOST_TEST(overlapping_generations(spans) == 0);
}
