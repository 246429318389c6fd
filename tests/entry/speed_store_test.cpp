#define BOOST_TEST_MODULE speed_store
#include "entry/speed_store.h"

#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

const RowStoreStandin::Name SPEEDS{ "estimates", "main", "speeds" };
const RowStoreStandin::Name OWNER{ "owner", "main", "owner" };
constexpr std::size_t LARGE_FLEET = 1'200;
constexpr std::size_t STORE_VALUE_BYTES = 65'536;
constexpr double SLOW = 1.6;

std::string
node_name(std::size_t number)
{
  return "side-machine-in-zone-a-" + std::to_string(number);
}

/// Every third node is slow, and every third fast.
core::LearnedSpeeds
mixed_speeds(std::size_t nodes)
{
  constexpr double FACTORS[] = { 0.6, 1.0, SLOW };
  core::LearnedSpeeds speeds;
  for (std::size_t number = 0; number < nodes; ++number)
    speeds.nodes.push_back({ node_name(number), FACTORS[number % 3], 0.02 });
  speeds.agreement = { 100, 1 };
  return speeds;
}

/// One owner's process and a store.
struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 8 };
  RowStoreStandin standin{ loop, timers };
  platform::Store store{ loop, log, metrics, client, standin.address() };
  core::RunTimes run_times;
  entry::SpeedStore speeds{ loop, timers, log, metrics, store, run_times };
  std::int64_t now_ms = kernel::boot_ms();

  Fixture() { standin.put(OWNER, "this entry"); }

  std::uint64_t term() const { return standin.rows.at(OWNER).version; }

  void start()
  {
    int before = standin.reads;
    speeds.start_term(term());
    run_until([this, before] { return standin.reads > before; });
    settle();
  }
  /// Lets the response to a read arrive: a later read has been answered.
  void settle()
  {
    bool answered = false;
    store.read(
      { "owner", "main", "", 1 },
      kernel::Milliseconds(1'000),
      [&answered](const platform::Store::ReadResult&) { answered = true; });
    run_until([&answered] { return answered; });
  }
  void learn(std::size_t nodes)
  {
    run_times.restore(mixed_speeds(nodes), now_ms);
  }
  /// Rounds over this time. Returns the number of writes.
  int run_rounds(std::int64_t duration_ms)
  {
    constexpr std::int64_t ROUND_MS = 200;
    int before = standin.commits;
    for (std::int64_t passed = 0; passed < duration_ms; passed += ROUND_MS) {
      now_ms += ROUND_MS;
      speeds.update(now_ms);
      settle();
    }
    return standin.commits - before;
  }
};

} // namespace

// Guards against a new owner that has to learn all speeds again.
BOOST_FIXTURE_TEST_CASE(the_next_owner_reads_the_speeds, Fixture)
{
  start();
  learn(60);
  BOOST_TEST(run_rounds(1'000) == 1);
  core::RunTimes next_run_times;
  entry::SpeedStore next{ loop, timers, log, metrics, store, next_run_times };
  standin.put(OWNER, "another entry");
  next.start_term(term());
  run_until([&next_run_times] { return next_run_times.speeds_differ(); });
  BOOST_TEST(std::abs(next_run_times.speed(node_name(2)) - SLOW) < 0.02);
  BOOST_TEST(next_run_times.speed(node_name(1)) == 1.0);
  // The former owner's changes no longer apply.
  std::string value = standin.value_of(SPEEDS);
  learn(30);
  run_rounds(10'000);
  BOOST_TEST(standin.value_of(SPEEDS) == value);
}

// Guards against calls to the store on deployments whose servers are equally
// fast, and for figures that have not changed.
BOOST_FIXTURE_TEST_CASE(nothing_is_written_without_a_change, Fixture)
{
  start();
  BOOST_TEST(run_rounds(5'000) == 0);
  learn(60);
  BOOST_TEST(run_rounds(20'000) == 1);
}

// Guards against values that the store rejects and too many bytes, with speeds
// that change all the time in a large fleet.
BOOST_FIXTURE_TEST_CASE(size_and_rate_are_bounded_in_a_large_fleet, Fixture)
{
  constexpr std::int64_t DURATION_MS = 120'000;
  constexpr std::size_t MAX_BYTES_PER_S = 2'048;
  start();
  std::size_t bytes = 0;
  int writes = 0;
  for (std::int64_t passed = 0; passed < DURATION_MS; passed += 2'000) {
    learn(LARGE_FLEET - static_cast<std::size_t>(passed % 4'000) / 4);
    if (run_rounds(2'000) == 0)
      continue;
    ++writes;
    bytes += standin.value_of(SPEEDS).size();
    BOOST_TEST(standin.value_of(SPEEDS).size() < STORE_VALUE_BYTES);
  }
  BOOST_TEST(writes >= 2);
  BOOST_TEST(bytes < MAX_BYTES_PER_S * DURATION_MS / 1'000);
}

// Guards against rows longer than the limit: the nodes that are known best are
// kept.
BOOST_AUTO_TEST_CASE(a_long_row_keeps_the_most_certain_nodes)
{
  constexpr std::size_t MAX_BYTES = 2'000;
  std::string value = entry::encode_speeds(mixed_speeds(500), MAX_BYTES);
  BOOST_TEST(value.size() <= MAX_BYTES);
  std::optional<core::LearnedSpeeds> speeds = entry::decode_speeds(value);
  BOOST_REQUIRE(speeds);
  BOOST_TEST(speeds->nodes.size() > 20U);
  BOOST_TEST(speeds->nodes.front().node == node_name(0));
}

// Guards against an owner that stops, or never learns, because of a row that
// another program wrote or that can't be read.
BOOST_FIXTURE_TEST_CASE(a_malformed_row_is_ignored, Fixture)
{
  for (const char* value :
       { "",
         "x",
         "[]",
         "{}",
         R"({"nodes":3})",
         R"({"nodes":[[1,2,3],["a"],["b","c","d"],["e",1e400,1],null,{}]})",
         R"({"nodes":[["f",-5,10],["g",0,0]],"products":"x","squares":{}})" }) {
    standin.put(SPEEDS, value);
    start();
    BOOST_TEST(run_times.speeds().nodes.empty(), value);
  }
  standin.put_encoded(SPEEDS, "not base64");
  start();
  learn(60);
  BOOST_TEST(run_rounds(1'000) == 1);
  BOOST_TEST(entry::decode_speeds(standin.value_of(SPEEDS)).has_value());
}

// Guards against an owner that waits for the row: what can't be read is learned
// again, and what can't be written is written later.
BOOST_FIXTURE_TEST_CASE(speeds_are_learned_while_the_store_is_away, Fixture)
{
  standin.refusing = true;
  speeds.start_term(term());
  learn(60);
  run_rounds(200);
  BOOST_TEST(run_times.speeds_differ());
  standin.refusing = false;
  run_until([this] {
    now_ms += 1'000;
    speeds.update(now_ms);
    return standin.has(SPEEDS);
  });
  BOOST_TEST(run_times.speeds_differ());
}

// Guards against a row that keeps speeds which no longer differ.
BOOST_FIXTURE_TEST_CASE(the_row_is_emptied_when_speeds_no_longer_differ,
                        Fixture)
{
  start();
  learn(60);
  BOOST_TEST(run_rounds(1'000) == 1);
  run_times = {};
  BOOST_TEST(run_rounds(20'000) == 1);
  BOOST_TEST(
    entry::decode_speeds(standin.value_of(SPEEDS)).value().nodes.empty());
}
