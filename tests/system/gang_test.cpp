#define BOOST_TEST_MODULE gang
#include "tests/support/fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::uint32_t MEMBERS = 3;
constexpr std::uint32_t SERVER_ACCELERATORS = 8;
constexpr int LONG_RUN_MS = 60'000;
constexpr int SLOW_STORE_MS = 1'500;

JobPlan
gang_plan(const std::string& request_id, int run_ms)
{
  JobPlan plan;
  plan.request_id = request_id;
  plan.members = MEMBERS;
  plan.accelerators = SERVER_ACCELERATORS;
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
  BOOST_FAIL("no task of this member is running");
  return 0;
}

/// Kills the agent and the backend server of one member. Returns how long the
/// other members of its generation kept running. The journal of the killed
/// backend server is lost, so the time of the kill stands for the member's end.
std::int64_t
time_to_stop_ms(Fleet& fleet, const std::string& job, std::uint32_t member)
{
  std::size_t lost_server = server_of(fleet, job, member);
  std::uint32_t generation = fleet.running(job).front().generation;
  ServerNode& node = fleet.deployment.servers()[lost_server];
  node.agent->kill();
  node.backend->kill();
  std::int64_t killed_ms = kernel::boot_ms();
  std::int64_t last_end_ms = 0;
  BOOST_REQUIRE(wait_until(WAIT_LIMIT, [&] {
    for (const TaskSpan& span : fleet.running(job)) {
      if (span.generation == generation)
        return false;
    }
    return true;
  }));
  for (const TaskSpan& span : fleet.spans()) {
    if (span.job == job && span.generation == generation)
      last_end_ms = std::max(last_end_ms, span.end_ms);
  }
  return last_end_ms - killed_ms;
}

} // namespace

// Invariant 2. Guards against a gang whose lead lets members run before every
// member has received its start. The slow store leaves time to pause one agent
// after it has reserved its resources and before the start arrives; then no
// member may run.
BOOST_AUTO_TEST_CASE(no_member_runs_before_all_are_ready)
{
  Fleet fleet(small_plan(1, 1, MEMBERS));
  fleet.deployment.set_store_faults({ { "slow_ms", SLOW_STORE_MS } });
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  // The agent's metrics show the reserved slot.
  ServerNode& paused = fleet.deployment.servers().back();
  BOOST_REQUIRE(wait_until(WAIT_LIMIT, [&] {
    HttpCall call;
    call.url = "http://" + paused.http_address + "/metrics";
    std::optional<HttpReply> page = call_http(call);
    return page && page->body.find("\ngeraniumhinge_agent_slots_used 1") !=
                     std::string::npos;
  }));
  BOOST_REQUIRE(fleet.spans().empty());
  paused.agent->freeze();
  fleet.deployment.set_store_faults({ { "slow_ms", 0 } });
  BOOST_REQUIRE(wait_until(WAIT_LIMIT, [&] {
    JobResult now = fleet.alpha().get(job);
    return now && now->state() != v1::JOB_STATE_QUEUED;
  }));
  // The other agents receive their start within one renewal round. Later the
  // driver stops waiting for the paused member and begins a new generation.
  BOOST_REQUIRE(wait_until(WAIT_LIMIT, [&] {
    JobResult now = fleet.alpha().get(job);
    return now && (now->state() == v1::JOB_STATE_QUEUED ||
                   now->state() == v1::JOB_STATE_STOPPING);
  }));
  BOOST_TEST(fleet.spans().empty());
  paused.agent->resume();
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
  fleet.alpha().cancel(job);
  BOOST_TEST(outcome_of(fleet.alpha().wait(job, WAIT_LIMIT)) ==
             v1::OUTCOME_FAILED);
}

// Guards against members that keep running for more than the lease period
// after another member is lost, and against a new generation that starts while
// the old one still runs.
BOOST_AUTO_TEST_CASE(lost_member_stops_the_others_within_the_lease_period)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(time_to_stop_ms(fleet, job, 1) <=
             LEASE_PERIOD.count() + LEASE_CHECK_MS);
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
}

// Guards against members that keep running for more than the lease period
// after the lead, whose agent runs the renewal rounds, is lost, and against a
// new generation that starts while the old one still runs.
BOOST_AUTO_TEST_CASE(lost_lead_stops_the_others_within_the_lease_period)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(time_to_stop_ms(fleet, job, 0) <=
             LEASE_PERIOD.count() + LEASE_CHECK_MS);
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
}

// Guards against members of the old generation that run past their lease when
// an agent is paused for longer than the lease, or that run again when the
// agent resumes.
BOOST_AUTO_TEST_CASE(paused_agent_does_not_run_past_its_lease)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  std::uint32_t generation = fleet.running(job).front().generation;
  ServerNode& paused = fleet.deployment.servers()[server_of(fleet, job, 2)];
  paused.agent->freeze();
  std::int64_t paused_ms = kernel::boot_ms();
  BOOST_REQUIRE(wait_until(WAIT_LIMIT, [&] {
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
