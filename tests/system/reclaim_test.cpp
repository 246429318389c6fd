#define BOOST_TEST_MODULE reclaim
#include "tests/support/fixture.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::uint32_t SERVER_ACCELERATORS = 8;
constexpr int LONG_RUN_MS = 120'000;
constexpr int SHORT_RUN_MS = 500;

} // namespace

// Invariant 1. Guards against a guaranteed shape that its organisation cannot
// reclaim from preemptible work, and against preempted jobs that are lost.
BOOST_AUTO_TEST_CASE(guaranteed_shape_is_reclaimed_from_preemptible_work)
{
  Fleet fleet(small_plan(2, 1, 2));
  Operator oper(fleet.deployment.operator_client());
  tl::expected<std::uint64_t, Failure> version = oper.guarantee(
    "alpha", make_guarantee(1, 2, SERVER_ACCELERATORS, v1::ADJACENCY_RACK));
  BOOST_REQUIRE(version.has_value());
  BOOST_REQUIRE(wait_for_version(
    fleet.deployment, fleet.entry_count, *version, CONFIGURATION_LIMIT));
  std::vector<std::string> victims;
  for (int i = 0; i < 4; i++) {
    JobPlan plan;
    plan.request_id = fmt::format("filler-{}", i);
    plan.accelerators = SERVER_ACCELERATORS / 2;
    plan.run_ms = LONG_RUN_MS;
    victims.push_back(submit(fleet.beta(), plan));
  }
  for (const std::string& job : victims)
    BOOST_REQUIRE(fleet.wait_running(job, 1));
  JobPlan plan;
  plan.request_id = "reclaims";
  plan.members = 2;
  plan.accelerators = SERVER_ACCELERATORS;
  plan.adjacency = v1::ADJACENCY_RACK;
  plan.run_ms = SHORT_RUN_MS;
  plan.use_guarantee = true;
  std::string job = submit(fleet.alpha(), plan);
  BOOST_TEST(outcome_of(fleet.alpha().wait(job, WAIT_LIMIT)) ==
             v1::OUTCOME_SUCCEEDED);
  // The preempted jobs are idempotent and must run again.
  for (const std::string& victim : victims)
    BOOST_TEST(fleet.wait_running(victim, 1));
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
}

// Guards against accepted guarantees that cannot all be met at the same time.
BOOST_AUTO_TEST_CASE(guarantee_that_does_not_pack_is_refused)
{
  Fleet fleet(small_plan(1, 1, 2));
  Operator oper(fleet.deployment.operator_client());
  BOOST_REQUIRE(
    oper
      .guarantee("alpha",
                 make_guarantee(1, 2, SERVER_ACCELERATORS, v1::ADJACENCY_RACK))
      .has_value());
  tl::expected<std::uint64_t, Failure> second = oper.guarantee(
    "beta", make_guarantee(1, 1, SERVER_ACCELERATORS, v1::ADJACENCY_SERVER));
  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST(second.error().detail.kind() ==
             v1::ERROR_KIND_GUARANTEE_DOES_NOT_FIT);
}
