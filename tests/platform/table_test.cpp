#define BOOST_TEST_MODULE table
#include "platform/objects_http.h"
#include "platform/table_http.h"
#include "platform/table_sweep.h"
#include "tests/platform/standin_process.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::platform;

namespace {

struct Fixture : tests::StandinFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  HttpTableOptions options{ url, kernel::Milliseconds(300) };
  HttpTable table{ loop, timers, log, client, options };

  Table::CommitResult commit(Transaction transaction)
  {
    return wait_for<Table::CommitResult>(
      [&](const auto& done) { table.commit(std::move(transaction), done); });
  }
  Table::CommitResult put(const std::string& key,
                          const std::string& value,
                          std::uint64_t version)
  {
    return commit({ { { key, version } }, { { key, value } } });
  }
  Row get(const std::string& key)
  {
    return wait_for<Table::ReadResult>(
             [&](const auto& done) { table.read({ key }, done); })
      .value()
      .front();
  }
  std::vector<Row> scan(const std::string& prefix)
  {
    return wait_for<Table::ReadResult>(
             [&](const auto& done) { table.scan(prefix, "", 1'000, done); })
      .value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(table_suite, Fixture)

// Guards against a conflict that does not name the row and its version, which
// the caller needs for its next attempt.
BOOST_AUTO_TEST_CASE(a_conflict_names_the_row_and_its_version)
{
  std::uint64_t first = put("a", std::string("\0\xff", 2), 0).value()[0];
  BOOST_TEST(get("a").value == std::string("\0\xff", 2));
  std::uint64_t second = put("a", "two", first).value()[0];
  BOOST_TEST(second > first);
  Table::CommitResult result =
    commit({ { { "b", 0 }, { "a", first } }, { { "b", "x" } } });
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().kind == TableErrorKind::Conflict));
  BOOST_TEST(result.error().key == "a");
  BOOST_TEST(result.error().version == second);
  BOOST_TEST(get("b").version == 0);
}

// Guards against a transaction that is applied but reported as failed because
// its response is lost.
BOOST_AUTO_TEST_CASE(a_response_lost_after_the_commit_is_recovered)
{
  set_faults({ { "drop_next", 1 } });
  Table::CommitResult result = put("a", "one", 0);
  BOOST_REQUIRE(result);
  BOOST_TEST(result.value()[0] == get("a").version);
}

// Guards against a resolution that confuses its own void marker row with the
// transaction's marker row. This can happen when responses of the resolution
// are lost too.
BOOST_AUTO_TEST_CASE(lost_responses_of_the_resolution_are_resolved)
{
  set_faults({ { "drop_next", 3 } });
  BOOST_TEST(put("a", "one", 0).has_value());
  // The response to the write of the void marker is lost; the retry finds the
  // marker row.
  set_faults(
    { { "delay_next", 1 }, { "delay_ms", 1'000 }, { "drop_next", 2 } });
  Table::CommitResult voided = put("b", "one", 0);
  BOOST_REQUIRE(!voided);
  BOOST_TEST((voided.error().kind == TableErrorKind::Unavailable));
}

// Guards against a transaction that is applied after it was reported as not
// applied, because its request reached the store late.
BOOST_AUTO_TEST_CASE(a_commit_that_arrives_after_it_was_voided_has_no_effect)
{
  set_faults({ { "delay_next", 1 }, { "delay_ms", 200 } });
  Table::CommitResult result = put("a", "late", 0);
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().kind == TableErrorKind::Unavailable));
  wait_for_counter("conflicts", 1);
  BOOST_TEST(get("a").version == 0);
}

// Guards against a recovered commit that returns the version of a later write
// by another process. The caller's next compare-and-set would overwrite that
// write unread.
BOOST_AUTO_TEST_CASE(a_recovered_commit_does_not_adopt_a_later_version)
{
  // The first response of the resolution is lost too, so that another process
  // can write the row before the retry.
  set_faults({ { "drop_next", 2 } });
  options.resolution_retry = kernel::Milliseconds(2'000);
  HttpTable slow_retry_table(loop, timers, log, client, options);
  std::optional<Table::CommitResult> result;
  slow_retry_table.commit(
    { { { "a", 0 } }, { { "a", "mine" } } },
    [&](Table::CommitResult value) { result = std::move(value); });
  wait_for_counter("dropped_answers", 2);
  BOOST_REQUIRE(commit({ {}, { { "a", "theirs" } } }));
  run_until([&] { return result.has_value(); });
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST((*result).value()[0] == 0);
}

// Guards against reads that transfer unchanged values of cached rows, and
// against a cached value that is returned after another process changed it.
BOOST_AUTO_TEST_CASE(unchanged_rows_are_read_without_their_values)
{
  options.cached_prefixes = { "cell/" };
  HttpTable caching_table(loop, timers, log, client, options);
  std::uint64_t first = put("cell/a", "one", 0).value()[0];
  BOOST_REQUIRE(put("other", "x", 0));
  auto read = [&] {
    return wait_for<Table::ReadResult>([&](const auto& done) {
             caching_table.read({ "cell/a", "other" }, done);
           })
      .value();
  };
  auto scan = [&] {
    return wait_for<Table::ReadResult>([&](const auto& done) {
             caching_table.scan("cell/", "", 10, done);
           })
      .value();
  };
  read();
  BOOST_TEST(read()[0].value == "one");
  BOOST_TEST(read()[1].value == "x");
  BOOST_TEST(scan()[0].value == "one");
  wait_for_counter("unchanged_rows", 3);
  BOOST_REQUIRE(put("cell/a", "two", first));
  BOOST_TEST(scan()[0].value == "two");
  BOOST_TEST(read()[0].value == "two");
  wait_for_counter("unchanged_rows", 4);
}

// Guards against an outage that is reported as a lost response or blocks the
// caller, and against a commit that stays ambiguous after the store recovers.
BOOST_AUTO_TEST_CASE(commits_in_an_outage_fail_at_once_or_are_resolved_after_it)
{
  set_faults({ { "down", 1 } });
  BOOST_TEST((put("a", "one", 0).error().kind == TableErrorKind::Unavailable));
  BOOST_TEST(!table.available());
  set_faults({ { "down", 0 }, { "silent", 1 } });
  std::optional<Table::CommitResult> result;
  table.commit({ { { "a", 0 } }, { { "a", "one" } } },
               [&](Table::CommitResult value) { result = std::move(value); });
  kernel::Subscription recovery = timers.after(kernel::Milliseconds(700), [&] {
    gateway::HttpClientRequest call;
    call.url = url + "/faults";
    call.body = R"({"silent":0})";
    client.call(call, [](const auto&) {});
  });
  run_until([&] { return result.has_value(); });
  BOOST_REQUIRE(!result->has_value());
  BOOST_TEST((result->error().kind == TableErrorKind::Unavailable));
  BOOST_TEST(get("a").version == 0);
  BOOST_TEST(table.available());
}

// Guards against an ambiguous commit whose resolution is retried forever while
// the store does not respond.
BOOST_AUTO_TEST_CASE(a_commit_stays_ambiguous_after_the_resolution_limit)
{
  options.timeout = kernel::Milliseconds(50);
  options.resolution_limit = kernel::Milliseconds(200);
  options.resolution_retry = kernel::Milliseconds(10);
  kernel::Log quiet_log("test", static_cast<kernel::Severity>(9));
  HttpTable short_limit_table(loop, timers, quiet_log, client, options);
  set_faults({ { "silent", 1 } });
  Table::CommitResult result =
    wait_for<Table::CommitResult>([&](const auto& done) {
      short_limit_table.commit({ {}, { { "a", "one" } } }, done);
    });
  BOOST_TEST((result.error().kind == TableErrorKind::Ambiguous));
}

// Guards against a commit that the store's rate limit refuses and that is
// reported as ambiguous.
BOOST_AUTO_TEST_CASE(a_rate_limited_commit_is_reported_as_not_applied)
{
  set_faults({ { "writes_per_s", 1 } });
  std::optional<Table::CommitResult> refused;
  for (int i = 0; i < 5 && !refused; ++i) {
    Table::CommitResult result = put("k" + std::to_string(i), "v", 0);
    if (!result)
      refused = std::move(result);
  }
  BOOST_REQUIRE(refused);
  BOOST_TEST((refused->error().kind == TableErrorKind::Unavailable));
}

// Guards against marker rows that accumulate, and against a sweep that deletes
// marker rows before their retention ends: without the row, a delayed commit
// could still be applied.
BOOST_AUTO_TEST_CASE(the_sweep_deletes_only_rows_past_their_retention)
{
  constexpr int ROWS = 7;
  for (int i = 0; i < ROWS; ++i)
    BOOST_REQUIRE(put("k" + std::to_string(i), "v", 0));
  TableSweepOptions keep_all{ .prefix = MARKER_PREFIX, .page_rows = 3 };
  TableSweepOptions delete_all{ .prefix = MARKER_PREFIX,
                                .retention = kernel::Milliseconds(-60'000),
                                .page_rows = 3 };
  for (const TableSweepOptions& chosen : { keep_all, delete_all }) {
    TableSweep sweep(
      loop, timers, log, table, chosen, marker_created_ms, [] { return true; });
    sweep.sweep();
    run_until([&] { return !sweep.sweeping(); });
    if (chosen.retention.count() > 0)
      BOOST_TEST(scan(MARKER_PREFIX).size() == ROWS);
  }
  // The commits of the sweep create marker rows of their own.
  BOOST_TEST(scan(MARKER_PREFIX).size() < ROWS);
  BOOST_TEST(scan("k").size() == ROWS);
}

// Guards against objects that are truncated or read under another key, and
// against an outage that is reported as a missing object.
BOOST_AUTO_TEST_CASE(objects_are_stored_whole)
{
  HttpObjects objects(loop, client, { url });
  using GetResult = tl::expected<std::string, ObjectError>;
  std::function<GetResult(const std::string&)> get_object =
    [&](const std::string& key) {
      return wait_for<GetResult>(
        [&](const auto& done) { objects.get(key, done); });
    };
  std::string large(1'000'000, 'x');
  tl::expected<void, ObjectError> stored =
    wait_for<tl::expected<void, ObjectError>>(
      [&](const auto& done) { objects.put("a/b?c", large, done); });
  BOOST_TEST(stored.has_value());
  BOOST_TEST((get_object("a/b?c").value() == large));
  BOOST_TEST((get_object("a/b").error() == ObjectError::NotFound));
  set_faults({ { "down", 1 } });
  BOOST_TEST((get_object("a/b").error() == ObjectError::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
