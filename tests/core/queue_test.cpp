#define BOOST_TEST_MODULE queue
#include "tests/core/fleet.h"

#include "core/queue.h"
#include "core/tuning.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;
using namespace geraniumhinge::core::test;

namespace {

constexpr std::int64_t MINUTE = 60'000;

QueueEntry
entry(const std::string& job, NameId organisation, std::int64_t submitted)
{
  QueueEntry one;
  one.job = job;
  one.organisation = organisation;
  one.shape = { 1, 1, 0, 0, Adjacency::Any };
  one.submitted_ms = submitted;
  one.expected_run_ms = 10 * MINUTE;
  return one;
}

std::vector<std::string>
names(const std::vector<const QueueEntry*>& order)
{
  std::vector<std::string> all;
  all.reserve(order.size());
  for (const QueueEntry* one : order) {
    all.push_back(one->job);
  }
  return all;
}

} // namespace

// Guards against an organisation whose burst of jobs uses up the queue space of
// other organisations.
BOOST_AUTO_TEST_CASE(each_organisation_has_its_own_bound)
{
  JobQueue queue(QueueOrder::Arrival);
  BOOST_TEST(queue.push(entry("a", 0, 0), 1).has_value());
  const tl::expected<void, QueueError> full = queue.push(entry("b", 0, 0), 1);
  BOOST_TEST((full.error() == QueueError::OrganisationFull));
  BOOST_TEST(queue.push(entry("c", 1, 0), 1).has_value());
  const tl::expected<void, QueueError> again = queue.push(entry("a", 0, 0), 9);
  BOOST_TEST((again.error() == QueueError::AlreadyQueued));
}

// Guards against an organisation that delays another one by submitting many
// more jobs: the order must follow the weights.
BOOST_AUTO_TEST_CASE(shares_follow_weights_not_load)
{
  JobQueue queue(QueueOrder::Arrival);
  for (int i = 0; i < 100; ++i) {
    BOOST_REQUIRE(queue.push(entry("a" + std::to_string(i), 0, i), 1000));
  }
  for (int i = 0; i < 10; ++i) {
    BOOST_REQUIRE(
      queue.push(entry("b" + std::to_string(i), 1, 1000 + i), 1000));
  }
  const std::vector<OrganisationShare> shares = { { 0, 1, 0, 0 },
                                                  { 1, 2, 0, 0 } };
  const std::vector<const QueueEntry*> order = queue.order(shares, 2000);
  int ours = 0;
  for (int i = 0; i < 12; ++i) {
    ours += order[i]->organisation == 1 ? 1 : 0;
  }
  BOOST_TEST(ours == 8);
}

// Guards against urgent jobs that are ordered after others, and guaranteed jobs
// that are ordered after those outside guarantees.
BOOST_AUTO_TEST_CASE(urgent_then_guaranteed_then_shared)
{
  JobQueue queue(QueueOrder::Arrival);
  QueueEntry guaranteed = entry("guaranteed", 0, 2);
  guaranteed.use_guarantee = true;
  QueueEntry urgent = entry("urgent", 0, 3);
  urgent.urgent = true;
  BOOST_REQUIRE(queue.push(entry("plain", 0, 1), 9));
  BOOST_REQUIRE(queue.push(guaranteed, 9));
  BOOST_REQUIRE(queue.push(urgent, 9));
  const std::vector<std::string> expected = { "urgent", "guaranteed", "plain" };
  BOOST_TEST(names(queue.order({}, 10)) == expected,
             boost::test_tools::per_element());
}

// Guards against the starvation of a long job by short ones.
BOOST_AUTO_TEST_CASE(waiting_raises_the_priority_of_long_jobs)
{
  JobQueue queue(QueueOrder::ResponseRatio);
  QueueEntry longer = entry("long", 0, 0);
  longer.expected_run_ms = 600 * MINUTE;
  BOOST_REQUIRE(queue.push(longer, 9));
  BOOST_REQUIRE(queue.push(entry("early", 0, 5 * MINUTE), 9));
  BOOST_TEST(queue.order({}, 10 * MINUTE).front()->job == "early");
  BOOST_TEST(queue.remove("early"));
  BOOST_REQUIRE(queue.push(entry("late", 0, 899 * MINUTE), 9));
  BOOST_TEST(queue.order({}, 900 * MINUTE).front()->job == "long");
}

// Guards against an organisation that exceeds its limit of running
// accelerators.
BOOST_AUTO_TEST_CASE(jobs_beyond_the_running_limit_wait)
{
  JobQueue queue(QueueOrder::Arrival);
  BOOST_REQUIRE(queue.push(entry("a", 0, 0), 9));
  const std::vector<OrganisationShare> full = { { 0, 1, 4, 4 } };
  const std::vector<OrganisationShare> free = { { 0, 1, 3, 4 } };
  BOOST_TEST(queue.order(full, 1).empty());
  BOOST_TEST(queue.order(free, 1).size() == 1);
}

// Guards against a burst of cancellations after which entries or counts of
// cancelled jobs remain.
BOOST_AUTO_TEST_CASE(many_cancellations_in_one_pass)
{
  JobQueue queue(QueueOrder::Arrival);
  std::vector<std::string> cancelled = { "unknown" };
  for (int i = 0; i < 2000; ++i) {
    BOOST_REQUIRE(queue.push(entry(std::to_string(i), 0, i), 2000));
    if (i % 2 == 0) {
      cancelled.push_back(std::to_string(i));
    }
  }
  BOOST_TEST(queue.cancel(cancelled).size() == 1000);
  BOOST_TEST(queue.size() == 1000);
  BOOST_TEST(queue.size(0) == 1000);
  BOOST_TEST(queue.find("2") == nullptr);
  BOOST_TEST(queue.find("3") != nullptr);
}

// Guards against the starvation of a large job by small ones: its servers are
// reserved, and only jobs that end before its start may use them.
BOOST_AUTO_TEST_CASE(backfill_does_not_delay_the_reservation)
{
  Fleet fleet = make_fleet({ 2 }, 2, 4);
  const Demand running = make_demand("running", 0, { 1, 4, 0, 0, {} });
  fleet.commit(running, *place(fleet.states(), running, {}));
  const Demand large = make_demand("large", 0, { 2, 4, 0, 0, Adjacency::Rack });
  const std::vector<ExpectedEnd> ends = { { "running",
                                            fleet.now_ms + 30 * MINUTE } };
  const std::optional<Reservation> reservation =
    plan_reservation(fleet.states(), large, {}, ends, fleet.now_ms);
  BOOST_REQUIRE(reservation.has_value());
  BOOST_TEST(reservation->start_ms == fleet.now_ms + 30 * MINUTE);

  QueueEntry fits = entry("short", 1, 0);
  QueueEntry late = entry("late", 1, 0);
  late.expected_run_ms = 40 * MINUTE;
  BOOST_TEST(may_backfill(*reservation, fits, fleet.now_ms));
  BOOST_TEST(!may_backfill(*reservation, late, fleet.now_ms));
  const tl::expected<Placement, PlaceError> refused =
    place(fleet.states(),
          make_demand("late", 1, late.shape),
          {},
          reservation->placement.members);
  BOOST_TEST(!refused.has_value());
  BOOST_TEST(
    !plan_reservation(fleet.states(), large, {}, {}, fleet.now_ms).has_value());
}

// Guards against a reservation for a small or a guaranteed job.
BOOST_AUTO_TEST_CASE(oldest_large_job_is_found)
{
  JobQueue queue(QueueOrder::Arrival);
  QueueEntry large = entry("large", 0, 5);
  large.shape.members = 8;
  QueueEntry guaranteed = entry("guaranteed", 0, 1);
  guaranteed.shape.members = 8;
  guaranteed.use_guarantee = true;
  BOOST_REQUIRE(queue.push(entry("small", 0, 0), 9));
  BOOST_REQUIRE(queue.push(guaranteed, 9));
  BOOST_REQUIRE(queue.push(large, 9));
  BOOST_REQUIRE(queue.oldest_large(4) != nullptr);
  BOOST_TEST(queue.oldest_large(4)->job == "large");
  BOOST_TEST(queue.oldest_large(9) == nullptr);
}

// Guards against policy weights of a deployment that have no effect.
BOOST_AUTO_TEST_CASE(weights_select_the_tuning)
{
  const Tuning completion = tuning_for(0.7, 0.3);
  const Tuning fragmentation = tuning_for(0.35, 0.65);
  BOOST_TEST((completion.order == QueueOrder::ResponseRatio));
  BOOST_TEST((fragmentation.order == QueueOrder::Arrival));
  BOOST_TEST(fragmentation.reserve_after_ms < completion.reserve_after_ms);
}
