#define BOOST_TEST_MODULE gang_backend
#include "tests/support/fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::uint32_t MEMBERS = 3;
constexpr std::uint32_t WHOLE_SERVER = 8;
constexpr int LONG_RUN_MS = 60'000;

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

} // namespace

// Guards against a gang that runs on, or is placed on it again and again, when
// a backend server ends while its agent lives.
BOOST_AUTO_TEST_CASE(gang_leaves_a_backend_server_that_ended_alone)
{
  Fleet fleet(small_plan(2, 1, MEMBERS + 1));
  std::string job = submit(fleet.alpha(), gang_plan("gang", LONG_RUN_MS));
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  std::uint32_t generation = fleet.running(job).front().generation;
  fleet.deployment.servers()[server_of(fleet, job, 1)].backend->kill();
  std::int64_t lost_ms = kernel::boot_ms();
  BOOST_REQUIRE(fleet.wait_running(job, MEMBERS));
  for (const TaskSpan& span : fleet.spans()) {
    if (span.job == job && span.generation == generation)
      BOOST_TEST(span.end_ms <=
                 lost_ms + LEASE_PERIOD.count() + LEASE_CHECK_MS);
  }
}
