#define BOOST_TEST_MODULE store
#include "platform/store.h"

#include "platform/store_codec.h"
#include "platform/table_watcher.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <set>
#include <unistd.h>

using namespace geraniumhinge;
using namespace geraniumhinge::platform;
using namespace geraniumhinge::tests;

namespace {

constexpr kernel::Milliseconds TIMEOUT{ 2'000 };

RowName
row(const std::string& key)
{
  return { "work", "main", key };
}

struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 8 };
  RowStoreStandin standin{ loop, timers };
  Store store{ loop, log, metrics, client, standin.address() };

  Store::CommitResult commit(const RowChange& change)
  {
    std::optional<Store::CommitResult> result;
    store.commit(change, TIMEOUT, [&result](Store::CommitResult committed) {
      result = std::move(committed);
    });
    run_until([&result] { return result.has_value(); });
    return std::move(*result);
  }
};

} // namespace

// Guards against values that change between write and read, such as bytes that
// are not text, and against other rows in a page.
BOOST_FIXTURE_TEST_CASE(rows_are_read_as_written, Fixture)
{
  std::string value("\0\xff row", 6);
  Store::CommitResult written =
    commit({ { { row("a"), 0 } }, { { row("a"), value } }, {} });
  BOOST_REQUIRE(written.has_value());
  std::optional<Store::ReadResult> page;
  store.read({ "work", "main", "", 0 }, TIMEOUT, [&page](Store::ReadResult r) {
    page = std::move(r);
  });
  run_until([&page] { return page.has_value(); });
  BOOST_REQUIRE(page->has_value());
  BOOST_REQUIRE((*page)->rows.size() == 1U);
  BOOST_TEST(((*page)->rows.front().value == value));
  BOOST_TEST((*page)->rows.front().version == *written);
}

// Guards against a conflict that is reported as a success, or without the
// current rows, which show whose write it was.
BOOST_FIXTURE_TEST_CASE(conflict_shows_the_current_rows, Fixture)
{
  BOOST_REQUIRE(commit({ {}, { { row("a"), "one" } }, {} }).has_value());
  Store::CommitResult second =
    commit({ { { row("a"), 0 } }, { { row("a"), "two" } }, {} });
  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST((second.error().kind == StoreErrorKind::Conflict));
  BOOST_REQUIRE(second.error().current.size() == 1U);
  BOOST_TEST(second.error().current.front().value == "one");
}

// Guards against a lost response that is reported as not applied, and against a
// refusal that is reported as ambiguous.
BOOST_FIXTURE_TEST_CASE(lost_response_is_ambiguous_and_refusal_is_not, Fixture)
{
  standin.unanswered_writes = 1;
  Store::CommitResult lost = commit({ {}, { { row("a"), "one" } }, {} });
  BOOST_REQUIRE(!lost.has_value());
  BOOST_TEST((lost.error().kind == StoreErrorKind::Ambiguous));
  BOOST_TEST(standin.has({ "work", "main", "a" }));
  standin.refusing = true;
  Store::CommitResult refused = commit({ {}, { { row("b"), "one" } }, {} });
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().kind == StoreErrorKind::Refused));
  BOOST_TEST(!store.serving());
}

// Guards against changes that are missed because the store dropped its change
// history while the watcher could not reach it.
BOOST_FIXTURE_TEST_CASE(watcher_rereads_the_table_after_lost_history, Fixture)
{
  std::map<std::string, std::string> seen;
  int snapshots = 0;
  std::function<void(const RowPage&)> apply = [&seen](const RowPage& page) {
    for (const StoredRow& item : page.rows)
      seen[item.name.key] = item.value;
  };
  TableWatchOptions options;
  options.table = "work";
  options.part = "main";
  options.wait = kernel::Milliseconds(200);
  TableWatcher watcher(loop,
                       timers,
                       log,
                       store,
                       options,
                       { [&](const RowPage& page) {
                          ++snapshots;
                          apply(page);
                        },
                         apply });
  watcher.start();
  run_until([&] { return watcher.loaded(); });
  standin.put({ "work", "main", "a" }, "one");
  run_until([&] { return seen["a"] == "one"; });
  BOOST_TEST(snapshots == 1);
  standin.refusing = true;
  run_until([&] { return watcher.healthy_since_ms() == 0; });
  standin.put({ "work", "main", "a" }, "two");
  standin.compact();
  standin.refusing = false;
  run_until([&] { return seen["a"] == "two"; });
  BOOST_TEST(snapshots == 2);
}

// Guards against a confirmed time that advances without responses: a watcher
// that can't reach the store must not count as current.
BOOST_FIXTURE_TEST_CASE(confirmed_time_does_not_advance_without_responses,
                        Fixture)
{
  TableWatchOptions options;
  options.table = "work";
  options.part = "main";
  options.wait = kernel::Milliseconds(50);
  TableWatcher watcher(loop,
                       timers,
                       log,
                       store,
                       options,
                       { [](const RowPage&) {}, [](const RowPage&) {} });
  watcher.start();
  run_until([&] { return watcher.loaded(); });
  std::int64_t first = watcher.confirmed_ms();
  run_until([&] { return watcher.confirmed_ms() > first; });
  standin.refusing = true;
  run_until([&] { return watcher.healthy_since_ms() == 0; });
  std::int64_t last = watcher.confirmed_ms();
  run_until([rounds = 0]() mutable { return ++rounds > 100; });
  BOOST_TEST(watcher.confirmed_ms() == last);
}

// Guards against a row that counts as newer than it may be: it was written
// while the store answered no calls, before the call that returned it.
BOOST_FIXTURE_TEST_CASE(row_counts_as_written_after_an_outage, Fixture)
{
  std::int64_t known_until_ms = 0;
  TableWatchOptions options;
  options.table = "work";
  options.part = "main";
  options.wait = kernel::Milliseconds(50);
  TableWatcher* current = nullptr;
  TableWatcher watcher(loop,
                       timers,
                       log,
                       store,
                       options,
                       { [](const RowPage&) {},
                         [&current, &known_until_ms](const RowPage&) {
                           known_until_ms = current->confirmed_before_ms();
                         } });
  current = &watcher;
  watcher.start();
  run_until([&] { return watcher.loaded(); });
  BOOST_TEST(watcher.confirmed_before_ms() == 0);
  standin.refusing = true;
  run_until([&] { return watcher.healthy_since_ms() == 0; });
  std::int64_t last_ms = watcher.confirmed_ms();
  standin.put({ "work", "main", "a" }, "one");
  std::int64_t written_ms = kernel::boot_ms();
  run_until([&] { return kernel::boot_ms() > written_ms + 100; });
  standin.refusing = false;
  run_until([&] { return known_until_ms != 0; });
  BOOST_TEST(known_until_ms == last_ms);
  BOOST_TEST(watcher.confirmed_ms() > written_ms);
}

// A response whose only row can't be read has not waited, and it was under way
// for long.
BOOST_FIXTURE_TEST_CASE(malformed_change_confirms_a_time_without_response,
                        Fixture)
{
  TableWatchOptions options;
  options.table = "work";
  options.part = "main";
  options.wait = kernel::Milliseconds(1'000);
  TableWatcher watcher(loop,
                       timers,
                       log,
                       store,
                       options,
                       { [](const RowPage&) {}, [](const RowPage&) {} });
  watcher.start();
  run_until([&] { return watcher.loaded(); });
  std::int64_t loaded_ms = watcher.confirmed_ms();
  run_until([&] { return watcher.confirmed_ms() > loaded_ms; });
  standin.malformed_changes = true;
  standin.changes_delay = kernel::Milliseconds(500);
  standin.put({ "work", "main", "a" }, "one");
  std::int64_t read_by_store_ms = kernel::boot_ms();
  run_until(
    [&] { return metrics.counter("store_malformed_total").value() == 1; });
  BOOST_TEST(watcher.confirmed_ms() <= read_by_store_ms);
}

// Guards against a read that ends at a page of malformed rows, or reads the
// same page again.
BOOST_FIXTURE_TEST_CASE(read_goes_on_behind_malformed_rows, Fixture)
{
  standin.put({ "work", "main", "a" }, "one");
  for (const char* key : { "b", "c", "d", "e" })
    standin.put_encoded({ "work", "main", key }, "!!");
  standin.put({ "work", "main", "f" }, "two");
  std::optional<Store::ReadResult> page;
  store.read_all(
    { "work", "main", "", 2 }, TIMEOUT, [&page](Store::ReadResult result) {
      page = std::move(result);
    });
  run_until([&page] { return page.has_value(); });
  BOOST_REQUIRE(page->has_value());
  BOOST_REQUIRE((*page)->rows.size() == 2U);
  BOOST_TEST((*page)->rows.back().name.key == "f");
  BOOST_TEST((*page)->malformed_rows == 4U);
  BOOST_TEST((*page)->unreadable.size() == 4U);
  BOOST_TEST(standin.reads <= 4);
}

// Guards against rows of other writers in another part of the table, which the
// feed of the table has too.
BOOST_FIXTURE_TEST_CASE(watcher_reports_only_rows_of_its_part, Fixture)
{
  std::vector<std::string> seen;
  std::function<void(const RowPage&)> apply = [&seen](const RowPage& page) {
    for (const StoredRow& item : page.rows)
      seen.push_back(item.name.part + '/' + item.name.key);
  };
  TableWatchOptions options;
  options.table = "work";
  options.part = "main";
  TableWatcher watcher(loop, timers, log, store, options, { apply, apply });
  watcher.start();
  run_until([&] { return watcher.loaded(); });
  standin.put({ "work", "other", "a" }, "one");
  standin.put({ "work", "", "b" }, "one");
  standin.put({ "work", "main", "c" }, "one");
  run_until([&] { return !seen.empty() && seen.back() == "main/c"; });
  BOOST_TEST(seen.size() == 1U);
}

// Guards against a row that can't be read and causes a log line or a read of
// the whole table per change, or hides later changes.
BOOST_FIXTURE_TEST_CASE(watcher_follows_the_table_beside_malformed_rows,
                        Fixture)
{
  int ends[2] = { -1, -1 };
  BOOST_REQUIRE(::pipe(ends) == 0);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  kernel::Log piped_log("test", kernel::Severity::Info, ends[1]);
  Store logging_store(loop, piped_log, metrics, client, standin.address());
  std::set<std::string> seen;
  std::function<void(const RowPage&)> apply = [&seen](const RowPage& page) {
    for (const StoredRow& item : page.rows)
      seen.insert(item.name.key);
  };
  TableWatchOptions options;
  options.table = "work";
  options.part = "main";
  TableWatcher watcher(
    loop, timers, piped_log, logging_store, options, { apply, apply });
  standin.put_encoded({ "work", "main", "bad" }, "!!");
  watcher.start();
  run_until([&] { return watcher.loaded(); });
  constexpr int CHANGES = 20;
  for (int change = 0; change < CHANGES; ++change) {
    std::string key = "good-" + std::to_string(change);
    standin.put_encoded({ "work", "main", "bad" }, "!!");
    standin.put({ "work", "main", key }, "one");
    run_until([&] { return seen.contains(key); });
  }
  BOOST_TEST(standin.reads == 1);
  char lines[64 * 1'024];
  ssize_t size = ::read(ends[0], lines, sizeof lines);
  BOOST_TEST(std::count(lines, lines + std::max<ssize_t>(size, 0), '\n') == 1);
  BOOST_TEST(!seen.contains("bad"));
  standin.put({ "work", "main", "bad" }, "one");
  run_until([&] { return seen.contains("bad"); });
  ::close(ends[0]);
  ::close(ends[1]);
}

// Guards against malformed responses and rows that crash the process.
BOOST_AUTO_TEST_CASE(malformed_responses_are_rejected)
{
  for (const char* body : { "", "[]", "{\"rows\":[1]", "nonsense" })
    BOOST_TEST(!decode_rows(body).has_value());
  std::optional<RowPage> page = decode_rows(
    R"({"rows":[{"table":"t","part":"","key":"k","value":"!!","schema_ver":2},
        7,{"table":"t","part":"","key":"l","value":"b25l","schema_ver":3}],
        "schema_ver":9})");
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page->rows.size() == 1U);
  BOOST_TEST(page->rows.front().value == "one");
}
