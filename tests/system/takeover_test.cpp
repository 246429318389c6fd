#define BOOST_TEST_MODULE takeover
#include "tests/support/fixture.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr int REPETITIONS = 5;
constexpr int SLOW_STORE_MS = 60;

} // namespace

// Guards against an urgent job that starts more than 1.6 s late because the
// entry that accepted the job ends right after the acceptance.
BOOST_AUTO_TEST_CASE(urgent_job_survives_its_entry)
{
  for (int i = 0; i < REPETITIONS; i++) {
    Fleet fleet(small_plan(3, 1, 2));
    // The slow store prevents the entry from starting the job before the entry
    // is killed.
    fleet.deployment.set_store_faults({ { "slow_ms", SLOW_STORE_MS } });
    Caller first(fleet.deployment.client(caller_token("alpha"), 0));
    JobPlan plan;
    plan.request_id = fmt::format("urgent-{}", i);
    plan.urgent = true;
    std::string job = submit(first, plan);
    fleet.deployment.entries()[0].process->kill();
    std::int64_t killed_ms = kernel::boot_ms();
    fleet.deployment.set_store_faults({ { "slow_ms", 0 } });
    BOOST_TEST(outcome_of(fleet.alpha().wait(job, WAIT_LIMIT)) ==
               v1::OUTCOME_SUCCEEDED);
    std::vector<TaskSpan> spans = fleet.spans();
    BOOST_REQUIRE(!spans.empty());
    BOOST_TEST(spans.front().start_ms - killed_ms <= URGENT_LIMIT.count());
    BOOST_TEST_MESSAGE(fmt::format("started {} ms after the end of its entry",
                                   spans.front().start_ms - killed_ms));
  }
}
