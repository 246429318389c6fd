#define BOOST_TEST_MODULE configuration
#include "tests/support/fixture.h"

#include <fmt/format.h>
#include <thread>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr int CHANGES = 20;
constexpr kernel::Milliseconds CALL_LIMIT{ 3'000 };

} // namespace

// Invariant 8. Guards against a change that is not in force at every entry
// within 3 s, and against an entry that goes back to an older version, also
// across its restart.
BOOST_AUTO_TEST_CASE(change_is_in_force_everywhere_and_never_reverts)
{
  Fleet fleet(small_plan(3, 1, 1));
  std::vector<std::uint64_t> newest(fleet.entry_count, 0);
  for (int i = 0; i < CHANGES; i++) {
    Operator oper(fleet.deployment.operator_client(i % fleet.entry_count));
    std::uint64_t version = oper.create(fmt::format("team-{}", i));
    BOOST_REQUIRE(version > 0);
    BOOST_TEST(wait_for_version(
      fleet.deployment, fleet.entry_count, version, CONFIGURATION_LIMIT));
    for (std::size_t entry = 0; entry < fleet.entry_count; entry++) {
      std::optional<v1::GetStatusResponse> status =
        fleet.deployment.status(entry);
      BOOST_REQUIRE(status.has_value());
      BOOST_TEST(status->configuration_version() >= newest[entry]);
      newest[entry] = status->configuration_version();
    }
  }
  fleet.deployment.replace_entry(0);
  BOOST_REQUIRE(wait_until(LONG, [&] { return fleet.deployment.is_ready(0); }));
  std::optional<v1::GetStatusResponse> status = fleet.deployment.status(0);
  BOOST_TEST((status && status->configuration_version() >= newest[0]));
}

// Guards against two operators whose changes on one version both succeed.
BOOST_AUTO_TEST_CASE(one_of_two_operators_on_one_version_wins)
{
  Fleet fleet(small_plan(2, 1, 1));
  for (int i = 0; i < CHANGES; i++) {
    std::uint64_t base = Operator(fleet.deployment.operator_client()).version();
    std::vector<int> won(2, 0);
    std::vector<std::uint64_t> told(2, 0);
    std::vector<std::thread> threads;
    threads.reserve(2);
    for (std::size_t side = 0; side < 2; side++) {
      threads.emplace_back([&, side] {
        v1::CreateOrganisationRequest request;
        request.set_base_version(base);
        request.mutable_organisation()->set_name(
          fmt::format("race-{}-{}", i, side));
        *request.mutable_organisation()->mutable_limits() = wide_limits();
        tl::expected<v1::ConfigurationChange, Failure> result =
          fleet.deployment.operator_client(side).call<v1::ConfigurationChange>(
            "CreateOrganisation", request);
        won[side] = result ? 1 : 0;
        told[side] = result ? 0 : result.error().detail.current_version();
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    BOOST_TEST(won[0] + won[1] == 1);
    // The loser is told the version to build on.
    BOOST_TEST(told[won[0] == 1 ? 1 : 0] > base);
    BOOST_REQUIRE(wait_for_version(
      fleet.deployment, fleet.entry_count, base + 1, CONFIGURATION_LIMIT));
  }
}

// Guards against a reassigned caller that reads or cancels jobs of its old
// organisation at any entry.
BOOST_AUTO_TEST_CASE(reassigned_caller_loses_the_old_organisation_everywhere)
{
  Fleet fleet(small_plan(2, 1, 1));
  JobPlan plan;
  plan.request_id = "mine";
  plan.run_ms = 60'000;
  std::string job = submit(fleet.alpha(), plan);
  // A change of configuration may conflict with the commit of the start, which
  // is then tried again; the last check is about a job that runs already.
  BOOST_REQUIRE(fleet.wait_running(job, 1));
  Operator oper(fleet.deployment.operator_client());
  std::uint64_t version =
    oper.assign("caller-alpha", "beta", caller_token("alpha"));
  BOOST_REQUIRE(version > 0);
  BOOST_REQUIRE(wait_for_version(
    fleet.deployment, fleet.entry_count, version, CONFIGURATION_LIMIT));
  for (std::size_t entry = 0; entry < fleet.entry_count; entry++) {
    Caller caller(fleet.deployment.client(caller_token("alpha"), entry));
    BOOST_TEST(!caller.get(job).has_value());
    BOOST_TEST(!caller.cancel(job).has_value());
    RunResult own =
      caller.run(fmt::format("new-{}", entry), true, "answer", CALL_LIMIT);
    BOOST_TEST(outcome_of(own) == v1::OUTCOME_SUCCEEDED);
  }
  BOOST_TEST(fleet.running(job).size() == 1);
}
