#define BOOST_TEST_MODULE gang_backend
#include "tests/support/fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::uint32_t MEMBERS = 3;
constexpr std::uint32_t SERVER_ACCELERATORS = 8;
constexpr int LONG_RUN_MS = 60'000;

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

} // namespace

// Guards against a gang that keeps running, or is placed on the same backend
// server again and again, after the server has ended while its agent still
// runs.
BOOST_AUTO_TEST_CASE(gang_restarts_elsewhere_after_its_backend_server_ends)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  std::uint32_t generation = fleet.running(job).front().generation;
  fleet.deployment.servers()[server_of(fleet, job, 1)].backend->kill();
  std::int64_t killed_ms = kernel::boot_ms();
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  for (const TaskSpan& span : fleet.spans()) {
    if (span.job == job && span.generation == generation)
      BOOST_TEST(span.end_ms <=
                 killed_ms + LEASE_PERIOD.count() + LEASE_CHECK_MS);
  }
}
