#define BOOST_TEST_MODULE correction
#include "tests/core/property.h"

#include "core/estimate.h"
#include "core/quarantine.h"
#include "core/retry.h"
#include "core/route.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace geraniumhinge::core;
using namespace geraniumhinge::core::test;

BOOST_GLOBAL_FIXTURE(FixedSeed);

// Guards against run times that are declared too low or too high by a factor of
// ten, or at random, and are used without correction.
BOOST_AUTO_TEST_CASE(run_times_are_corrected_by_class)
{
  Estimator estimator;
  for (std::int64_t i = 0; i < 20; ++i) {
    estimator.record_run(0, "low", 60'000 + i, 600'000 + 10 * i);
    estimator.record_run(0, "high", 600'000 * (i + 1), 60'000 * (i + 1));
    estimator.record_run(0, "random", 1'000 * (1 + 37 * i % 100), 300'000);
  }
  BOOST_TEST(estimator.estimate(0, "low", { 60'000, 0, 0 }).run_ms == 600'000,
             boost::test_tools::tolerance(0.01));
  const auto high = estimator.estimate(0, "high", { 3'000'000, 0, 0 }).run_ms;
  BOOST_TEST(high > 270'000);
  BOOST_TEST(high < 330'000);
  BOOST_TEST(estimator.estimate(0, "random", { 5'000, 0, 0 }).run_ms ==
             300'000);
  BOOST_TEST(estimator.estimate(1, "low", { 60'000, 0, 0 }).run_ms == 60'000);
}

// Guards against a job that gets less than it declared, and against a class
// whose measured usage exceeds the declared size without a correction.
BOOST_AUTO_TEST_CASE(sizes_only_grow)
{
  Estimator estimator;
  estimator.record_usage(0, "a", { 0, 4, 1'000 }, { 0, 1, 3'000 });
  const JobSize size = estimator.estimate(0, "a", { 0, 4, 1'000 });
  BOOST_TEST(size.cores == 4);
  BOOST_TEST(size.memory_mb == 3'000);
  BOOST_TEST(Estimator::extended_estimate(1'000, 500) == 1'000);
  BOOST_TEST(Estimator::extended_estimate(1'000, 2'500) == 4'000);
}

// Guards against a server on which every job fails and that still receives
// work. Failures of one job alone must not quarantine the server.
BOOST_AUTO_TEST_CASE(server_is_quarantined_across_jobs)
{
  FailureTracker tracker({});
  tracker.record_failure(1, "a", 0);
  tracker.record_failure(1, "a", 1);
  tracker.record_failure(1, "a", 2);
  BOOST_TEST((tracker.server_trust(1, 3) == ServerTrust::Trusted));
  tracker.record_failure(1, "b", 3);
  tracker.record_failure(1, "c", 4);
  BOOST_TEST((tracker.server_trust(1, 5) == ServerTrust::Quarantined));
  BOOST_TEST(!tracker.job_is_faulty("a", 5));
}

// Guards against healthy servers that are quarantined because of one faulty
// job.
BOOST_AUTO_TEST_CASE(job_is_faulty_across_servers)
{
  FailureTracker tracker({});
  for (int i = 0; i < 3; ++i) {
    tracker.record_failure(1, "bad", i);
  }
  BOOST_TEST(!tracker.job_is_faulty("bad", 3));
  tracker.record_failure(2, "bad", 4);
  tracker.record_failure(3, "bad", 5);
  BOOST_TEST(tracker.job_is_faulty("bad", 6));
  tracker.record_failure(1, "x", 7);
  tracker.record_failure(1, "y", 8);
  BOOST_TEST((tracker.server_trust(1, 9) == ServerTrust::Trusted));
}

// Guards against a quarantine that never ends, and against a failed probe that
// does not prolong the quarantine.
BOOST_AUTO_TEST_CASE(quarantine_decays_with_probes)
{
  const QuarantineLimits limits;
  FailureTracker tracker(limits);
  for (const char* job : { "a", "b", "c" }) {
    tracker.record_failure(1, job, 0);
  }
  const std::int64_t first = limits.first_quarantine_ms;
  BOOST_TEST((tracker.server_trust(1, first) == ServerTrust::Probing));
  tracker.record_failure(1, "d", first);
  BOOST_TEST((tracker.server_trust(1, 2 * first) == ServerTrust::Quarantined));
  BOOST_TEST((tracker.server_trust(1, 3 * first) == ServerTrust::Probing));
  tracker.record_success(1, "e", 3 * first);
  BOOST_TEST((tracker.server_trust(1, 3 * first) == ServerTrust::Trusted));
  tracker.record_failure(2, "f", 0);
  tracker.expire(2 * limits.retention_ms);
  BOOST_TEST(!tracker.job_is_faulty("f", 2 * limits.retention_ms));
}

// Guards against retries that multiply the load: the budget allows retries for
// 10 percent of the first attempts, plus a burst of 10.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
  RetryBudget budget({});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.record_first_attempt();
    retries += budget.try_retry() ? 1 : 0;
  }
  BOOST_TEST(retries <= 111);
  BOOST_TEST(retries >= 100);
}

// Guards against delays beyond the limit, and against clients that retry at the
// same time.
BOOST_AUTO_TEST_CASE(retry_delays_are_bounded_and_spread)
{
  const RetryLimits limits;
  std::set<std::int64_t> delays;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const std::int64_t delay = retry_delay_ms(limits, 50, seed);
    BOOST_TEST(delay >= 0);
    BOOST_TEST(delay <= limits.longest_ms);
    BOOST_TEST(retry_delay_ms(limits, 1, seed) <= limits.base_ms);
    delays.insert(delay);
  }
  BOOST_TEST(delays.size() > 80);
}

// Guards against the loss of a node that moves keys of other nodes, and against
// entries that disagree because their node lists are in a different order.
BOOST_AUTO_TEST_CASE(rendezvous_moves_only_the_lost_nodes_keys)
{
  const bool ok = rc::check("rendezvous", [](const std::string& key) {
    const std::vector<std::string> all = { "a", "b", "c", "d", "e" };
    const std::vector<std::string> reversed = { "e", "d", "c", "b", "a" };
    const std::vector<std::string> without = { "a", "b", "d", "e" };
    const std::string owner = all[*rendezvous(key, all)];
    RC_ASSERT(reversed[*rendezvous(key, reversed)] == owner);
    const std::string next = without[*rendezvous(key, without)];
    const std::vector<std::size_t> order = rendezvous_order(key, all, 2);
    RC_ASSERT(next == (owner == "c" ? all[order[1]] : owner));
  });
  BOOST_TEST(ok);
  BOOST_TEST(!rendezvous("key", {}).has_value());
}

// Guards against short requests that go to full or unavailable servers, and
// against requests that all go to the first of several equal servers.
BOOST_AUTO_TEST_CASE(short_requests_go_to_the_least_loaded)
{
  std::vector<ServerLoad> servers = { { 8, 8, 1, true }, { 1, 8, 2, true },
                                      { 1, 8, 1, true }, { 0, 8, 1, false },
                                      { 0, 0, 1, true }, { 1, 8, 1, true } };
  std::set<std::size_t> chosen;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    chosen.insert(*choose_server(servers, 1, seed));
  }
  const std::set<std::size_t> expected = { 2, 5 };
  BOOST_TEST(chosen == expected, boost::test_tools::per_element());
  servers.resize(1);
  BOOST_TEST(!choose_server(servers, 1, 0).has_value());
}
