#define BOOST_TEST_MODULE evacuations
#include "entry/evacuations.h"

#include "entry/run_recall.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

using namespace geraniumhinge;

namespace {

constexpr char ZONE[] = "north";
constexpr char GAUGE[] = "entry_zone_evacuated{zone=\"north\"}";
constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr std::int64_t EVACUATE_MS = 5'000;
constexpr std::int64_t KNOWN_MS = 100'000;
constexpr std::int64_t CONFIG_AGE_MS = 1'800;
/// Longest time from orders that allow starts until the last start: the age of
/// the orders in the agent, and the call.
constexpr std::int64_t START_MS = 2'000 + 700;
/// The last time at which orders may start runs placed before `KNOWN_MS`.
constexpr std::int64_t STARTS_END_MS = KNOWN_MS + EVACUATE_MS - START_MS - 300;

platform::StoredRow
row(const std::string& key, std::uint64_t version = 7, bool removed = false)
{
  return { { "op", "", key }, "{}", version, removed };
}

platform::RowPage
page_of(const std::vector<platform::StoredRow>& rows)
{
  platform::RowPage page;
  page.rows = rows;
  return page;
}

struct Fixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  entry::Evacuations evacuations{ log, metrics, EVACUATE_MS };

  bool close(std::int64_t known_until_ms = KNOWN_MS)
  {
    return evacuations.apply(page_of({ row("evacuate/north") }),
                             known_until_ms);
  }
};

/// A gang of two on the server of one agent, and the agent's reports.
struct RecallFixture : Fixture
{
  entry::ServerTable servers{ entry::LeaseBounds{} };
  core::Workflow workflow;
  std::vector<core::RoundWorkflow> workflows;
  v1::Envelope envelope;
  v1::ServerReport& report = *envelope.mutable_server_report();

  RecallFixture()
  {
    core::Step step;
    step.tasks = 2;
    step.gang = true;
    workflow.id = JOB;
    workflow.steps = { step };
    core::RoundWorkflow round_workflow;
    round_workflow.definition = &workflow;
    core::open_due_occurrences(workflow, round_workflow.progress, 0, 0);
    for (core::TaskState& task : round_workflow.progress.open_occurrences[0][0])
      task.run = core::Run{ 1, { "i-1", 1 }, "node-1", false, "" };
    workflows.push_back(round_workflow);
    envelope.set_sender("node-1");
    envelope.set_sender_incarnation(1);
    report.mutable_life()->set_id("i-1");
    report.mutable_life()->set_born_ms(1);
    report.set_zone(ZONE);
    report.set_listed(true);
  }

  void send_report(std::int64_t now_ms)
  {
    report.set_sequence(report.sequence() + 1);
    BOOST_REQUIRE(servers.apply_report(envelope, now_ms) != nullptr);
  }

  void list_run(std::uint32_t index, std::uint32_t attempt = 1)
  {
    v1::RunReport& run = *report.add_running();
    run.set_task(core::task_name(JOB, { 0, 0, index }));
    run.set_attempt(attempt);
  }

  std::size_t recalled(std::int64_t now_ms)
  {
    return entry::runs_to_recall(workflows, servers, evacuations, now_ms)
      .size();
  }
};

} // namespace

// Guards against starts after the bound by runs that were placed before the
// request, and against a zone that takes work until then.
BOOST_FIXTURE_TEST_CASE(starts_in_a_closed_zone_end_before_the_bound, Fixture)
{
  BOOST_TEST(evacuations.none());
  BOOST_TEST(evacuations.allows_starts(ZONE, KNOWN_MS + 60'000));
  BOOST_TEST(close());
  BOOST_TEST(evacuations.is_closed(ZONE));
  BOOST_TEST(evacuations.allows_starts(ZONE, STARTS_END_MS - 1));
  BOOST_TEST(!evacuations.allows_starts(ZONE, STARTS_END_MS));
  BOOST_TEST(STARTS_END_MS + START_MS < KNOWN_MS + EVACUATE_MS);
  BOOST_TEST(evacuations.zones_without_starts(STARTS_END_MS - 1).empty());
  BOOST_TEST(evacuations.zones_without_starts(STARTS_END_MS).contains(ZONE));
  BOOST_TEST(evacuations.allows_starts("south", STARTS_END_MS));
  BOOST_TEST(metrics.gauge(GAUGE).value() == 1);
}

// Guards against late starts by an owner that doesn't know since when the zone
// has been closed, such as one that has just started or lost the history.
BOOST_FIXTURE_TEST_CASE(row_of_unknown_age_allows_starts, Fixture)
{
  BOOST_TEST(evacuations.replace(page_of({ row("evacuate/north") }), 0));
  BOOST_TEST(!evacuations.allows_starts(ZONE, 1));
  BOOST_TEST(evacuations.must_recall(ZONE, 1));
}

// Guards against an evacuation that is missed because another client wrote the
// row, or one that a malformed row disturbs.
BOOST_FIXTURE_TEST_CASE(value_of_the_row_decides, Fixture)
{
  platform::RowPage page = page_of({ row("evacuate/"),
                                     row("evacuate"),
                                     row("evacuated/south"),
                                     row("config") });
  page.unreadable.push_back(row("evacuate/north"));
  page.unreadable.push_back(row("evacuate/\"}\n 1"));
  BOOST_TEST(evacuations.apply(page, KNOWN_MS));
  BOOST_TEST(evacuations.is_closed(ZONE));
  BOOST_TEST(!evacuations.is_closed(""));
  BOOST_TEST(!evacuations.is_closed("south"));
  BOOST_TEST(metrics.text().find("zone=\"____1\"") != std::string::npos);
  page.unreadable.erase(page.unreadable.begin());
  BOOST_TEST(evacuations.replace(page, KNOWN_MS));
  BOOST_TEST(!evacuations.is_closed(ZONE));
  BOOST_TEST(metrics.gauge(GAUGE).value() == 0);
}

// Guards against metrics and log lines without limit when a client writes rows
// for many zones.
BOOST_FIXTURE_TEST_CASE(each_unknown_zone_gets_a_metric, Fixture)
{
  constexpr int ZONES = 500;
  std::vector<platform::StoredRow> rows;
  rows.reserve(ZONES);
  for (int index = 0; index < ZONES; ++index)
    rows.push_back(row(fmt::format("evacuate/zone-{}", index)));
  evacuations.apply(page_of(rows), KNOWN_MS);
  BOOST_TEST(evacuations.is_closed("zone-499"));
  std::string text = metrics.text();
  std::size_t gauges = 0;
  for (std::size_t at = text.find("zone=\""); at != std::string::npos;
       at = text.find("zone=\"", at + 1))
    ++gauges;
  BOOST_TEST(gauges > 0U);
  BOOST_TEST(gauges <= 64U);
}

// Guards against starts that a second request for the same zone allows once
// more while the first one is in force, and against a second evacuation that
// ends starts later than its own bound.
BOOST_FIXTURE_TEST_CASE(second_request_extends_the_first, Fixture)
{
  constexpr std::int64_t LATER_MS = 30'000;
  close();
  BOOST_TEST(!evacuations.apply(page_of({ row("evacuate/north", 8) }),
                                KNOWN_MS + LATER_MS));
  BOOST_TEST(!evacuations.allows_starts(ZONE, STARTS_END_MS));
  BOOST_TEST(!evacuations.replace(page_of({ row("evacuate/north", 9) }),
                                  KNOWN_MS + LATER_MS));
  BOOST_TEST(!evacuations.allows_starts(ZONE, STARTS_END_MS));
  BOOST_TEST(
    evacuations.apply(page_of({ row("evacuate/north", 10, true) }), KNOWN_MS));
  BOOST_TEST(evacuations.allows_starts(ZONE, STARTS_END_MS));
  close(KNOWN_MS + LATER_MS);
  BOOST_TEST(evacuations.allows_starts(ZONE, STARTS_END_MS + LATER_MS - 1));
  BOOST_TEST(!evacuations.allows_starts(ZONE, STARTS_END_MS + LATER_MS));
}

// Guards against a zone that stays open, or closed, because a page lists the
// changes of its row in another order than they were made.
BOOST_FIXTURE_TEST_CASE(order_in_the_page_decides, Fixture)
{
  evacuations.apply(
    page_of({ row("evacuate/north", 9), row("evacuate/north", 8, true) }),
    KNOWN_MS);
  BOOST_TEST(evacuations.is_closed(ZONE));
  evacuations.apply(
    page_of({ row("evacuate/north", 11, true), row("evacuate/north", 10) }),
    KNOWN_MS);
  BOOST_TEST(!evacuations.is_closed(ZONE));
}

// Guards against an owner cut off from the store that allows starts for so
// long that they break the bound, and against waits on deployments that
// evacuate no zones.
BOOST_FIXTURE_TEST_CASE(orders_rest_on_old_requests, Fixture)
{
  std::int64_t age_ms = evacuations.max_data_age_ms(CONFIG_AGE_MS);
  BOOST_TEST(age_ms == CONFIG_AGE_MS);
  BOOST_TEST(age_ms + START_MS < EVACUATE_MS);
  constexpr std::int64_t SHORT_MS = 4'000;
  evacuations.set_evacuate_ms(SHORT_MS);
  age_ms = evacuations.max_data_age_ms(CONFIG_AGE_MS);
  BOOST_TEST(age_ms > 0);
  BOOST_TEST(age_ms + START_MS < SHORT_MS);
  evacuations.set_evacuate_ms(0);
  BOOST_TEST(evacuations.max_data_age_ms(CONFIG_AGE_MS) == 0);
  // A row is honoured all the same, with the bound of 5 s.
  close();
  BOOST_TEST(evacuations.allows_starts(ZONE, STARTS_END_MS - 1));
  BOOST_TEST(!evacuations.allows_starts(ZONE, STARTS_END_MS));
}

// Guards against running work that is stopped because of an evacuation, and
// against runs that wait in a closed zone for good.
BOOST_FIXTURE_TEST_CASE(running_work_is_recalled, RecallFixture)
{
  constexpr std::int64_t RECALL_MS = STARTS_END_MS + 1'000;
  list_run(0);
  list_run(1, 2);
  send_report(RECALL_MS);
  BOOST_TEST(recalled(RECALL_MS) == 0U);
  close();
  BOOST_TEST(recalled(RECALL_MS - 1) == 0U);
  std::set<core::TaskKey> runs =
    entry::runs_to_recall(workflows, servers, evacuations, RECALL_MS);
  BOOST_REQUIRE(runs.size() == 1U);
  BOOST_TEST(runs.begin()->second == 1U);
  workflows[0].progress.open_occurrences[0][0][1].run->stopping = true;
  BOOST_TEST(recalled(RECALL_MS) == 0U);
}

// Guards against a new owner that stops running work because it has not heard
// of it: the agent hasn't reported yet, doesn't know the runs of its server,
// or reported last when runs could still start.
BOOST_FIXTURE_TEST_CASE(unknown_work_is_recalled, RecallFixture)
{
  constexpr std::int64_t RECALL_MS = STARTS_END_MS + 60'000;
  close();
  BOOST_TEST(recalled(RECALL_MS) == 0U);
  servers.add_agent("node-1", "127.0.0.1:1");
  BOOST_TEST(recalled(RECALL_MS) == 0U);
  report.set_listed(false);
  send_report(RECALL_MS);
  BOOST_TEST(recalled(RECALL_MS) == 0U);
  report.set_listed(true);
  report.mutable_life()->set_born_ms(2);
  send_report(RECALL_MS);
  BOOST_TEST(recalled(RECALL_MS) == 0U);
  report.mutable_life()->set_born_ms(1);
  send_report(STARTS_END_MS - 1);
  BOOST_TEST(recalled(RECALL_MS) == 0U);
  send_report(RECALL_MS);
  BOOST_TEST(recalled(RECALL_MS) == 2U);
}
