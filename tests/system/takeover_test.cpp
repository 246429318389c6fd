#define BOOST_TEST_MODULE takeover
#include "tests/support/fixture.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr int TRIES = 5;
constexpr int SLOW_STORE_MS = 60;

} // namespace

// Guards against an accepted urgent job that is delayed by more than 1.6 s
// when the entry that accepted it ends at once after the acceptance.
BOOST_AUTO_TEST_CASE(urgent_job_survives_its_entry)
{
  for (int i = 0; i < TRIES; i++) {
    Fleet fleet(small_plan(3, 1, 2));
    // A slow store keeps the entry from starting the job before its end.
    fleet.deployment.set_store_faults({ { "slow_ms", SLOW_STORE_MS } });
    Caller first(fleet.deployment.client(caller_token("alpha"), 0));
    JobPlan plan;
    plan.request_id = fmt::format("urgent-{}", i);
    plan.urgent = true;
    std::string job = submit(first, plan);
    fleet.deployment.entries()[0].process->kill();
    std::int64_t ended_ms = kernel::boot_ms();
    fleet.deployment.set_store_faults({ { "slow_ms", 0 } });
    BOOST_TEST(outcome_of(fleet.alpha().wait(job, LONG)) ==
               v1::OUTCOME_SUCCEEDED);
    std::vector<TaskSpan> spans = fleet.spans();
    BOOST_REQUIRE(!spans.empty());
    BOOST_TEST(spans.front().start_ms - ended_ms <= URGENT_LIMIT.count());
    BOOST_TEST_MESSAGE(fmt::format("started {} ms after the end of its entry",
                                   spans.front().start_ms - ended_ms));
  }
}
