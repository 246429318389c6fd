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

// Invariant 8. Guards against a configuration change that some entry does not
// apply within 3 s, and against an entry that returns to an older version, also
// after a restart.
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
  BOOST_REQUIRE(
    wait_until(WAIT_LIMIT, [&] { return fleet.deployment.is_ready(0); }));
  std::optional<v1::GetStatusResponse> status = fleet.deployment.status(0);
  BOOST_TEST((status && status->configuration_version() >= newest[0]));
}

// Guards against a lost update: two operators change the configuration at the
// same time on the same base version, and both succeed.
BOOST_AUTO_TEST_CASE(one_of_two_operators_on_one_version_wins)
{
  Fleet fleet(small_plan(2, 1, 1));
  for (int i = 0; i < CHANGES; i++) {
    std::uint64_t base = Operator(fleet.deployment.operator_client()).version();
    std::vector<int> won(2, 0);
    std::vector<std::uint64_t> reported_version(2, 0);
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
        reported_version[side] =
          result ? 0 : result.error().detail.current_version();
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    BOOST_TEST(won[0] + won[1] == 1);
    // The refused operator gets the current version for its next try.
    BOOST_TEST(reported_version[won[0] == 1 ? 1 : 0] > base);
    BOOST_REQUIRE(wait_for_version(
      fleet.deployment, fleet.entry_count, base + 1, CONFIGURATION_LIMIT));
  }
}

// Guards against a caller that can still read or cancel jobs of its old
// organisation, at any entry, after an operator has assigned the caller to
// another one.
BOOST_AUTO_TEST_CASE(reassigned_caller_loses_the_old_organisation_everywhere)
{
  Fleet fleet(small_plan(2, 1, 1));
  JobPlan plan;
  plan.request_id = "mine";
  plan.run_ms = 60'000;
  std::string job = submit(fleet.alpha(), plan);
  // The last check needs a job that runs already: a configuration change may
  // conflict with the commit of the start, which is then retried.
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
    RunResult run_result =
      caller.run(fmt::format("new-{}", entry), true, "answer", CALL_LIMIT);
    BOOST_TEST(outcome_of(run_result) == v1::OUTCOME_SUCCEEDED);
  }
  BOOST_TEST(fleet.running(job).size() == 1);
}
