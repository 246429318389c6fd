#define BOOST_TEST_MODULE run_times
#include "core/run_times.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <random>

using namespace geraniumhinge::core;

namespace {

/// Random streams of which single ones may be unlucky.
constexpr int SEEDS = 8;
constexpr int GANG_MEMBERS = 5;

/// A fleet whose nodes run the tasks of one stream of gangs.
struct Fleet
{
  std::vector<double> factors; ///< By number of the node.
  double scatter = 0.3;        ///< Of the logarithm of run times.
  double declared_error = 0.2;
  double straggler_share = 0.03;
  std::mt19937 random{ 7 };
  RunTimes run_times{};
  std::int64_t now_ms = 1'000;
  std::size_t gangs = 0;

  double normal(double deviation)
  {
    return std::normal_distribution<double>(0, deviation)(this->random);
  }
  bool chance(double share)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
  }
  RunSample sample(std::size_t node, double need_ms)
  {
    double run_ms =
      need_ms * this->factors[node] * std::exp(this->normal(this->scatter));
    if (this->chance(this->straggler_share))
      run_ms *= 7;
    return { "node-" + std::to_string(node),
             static_cast<std::int64_t>(run_ms) };
  }
  /// Runs a gang on these nodes.
  void run_gang(const std::vector<std::size_t>& nodes)
  {
    std::string id = "g" + std::to_string(this->gangs++);
    double need_ms = 2'000;
    std::int64_t declared_ms = static_cast<std::int64_t>(
      need_ms * std::exp(this->normal(this->declared_error)));
    std::vector<RunSample> samples;
    samples.reserve(nodes.size());
    for (std::size_t node : nodes)
      samples.push_back(this->sample(node, need_ms));
    this->run_times.record(
      { id, 0, 0 }, { "q", declared_ms, samples.size() }, samples, now_ms);
    this->run_times.forget(id);
  }
  /// Gangs of five on random nodes, until each node has had `runs` on average.
  void run(double runs)
  {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    this->factors.size() - 1);
    std::size_t count = static_cast<std::size_t>(
      runs * static_cast<double>(this->factors.size()) / GANG_MEMBERS);
    for (std::size_t gang = 0; gang < count; ++gang) {
      std::vector<std::size_t> nodes;
      nodes.reserve(GANG_MEMBERS);
      for (int member = 0; member < GANG_MEMBERS; ++member)
        nodes.push_back(pick(this->random));
      this->run_gang(nodes);
      this->now_ms += 250;
      this->run_times.refresh(this->now_ms);
    }
    this->now_ms += 1'000;
    this->run_times.refresh(this->now_ms);
  }
  double speed(std::size_t node) const
  {
    return this->run_times.speed("node-" + std::to_string(node));
  }
  /// Share of the pairs of nodes with different factors that are in the right
  /// order.
  double ordered_share() const
  {
    double pairs = 0;
    double ordered = 0;
    for (std::size_t left = 0; left < this->factors.size(); ++left) {
      for (std::size_t right = 0; right < this->factors.size(); ++right) {
        if (this->factors[left] >= this->factors[right])
          continue;
        ++pairs;
        ordered += this->speed(left) < this->speed(right) ? 1 : 0;
      }
    }
    return ordered / pairs;
  }
};

std::vector<double>
repeat(const std::vector<double>& factors, std::size_t count)
{
  std::vector<double> repeated;
  for (std::size_t index = 0; index < count; ++index)
    repeated.push_back(factors[index % factors.size()]);
  return repeated;
}

} // namespace

// Guards against servers that stay unknown for many runs: a server gets one run
// every few seconds.
BOOST_AUTO_TEST_CASE(speeds_are_known_after_one_to_three_runs)
{
  int known = 0;
  int exact = 0;
  for (std::uint32_t seed = 0; seed < SEEDS; ++seed) {
    Fleet fleet{ .factors = repeat({ 0.6, 1.0, 1.6 }, 60),
                 .random = std::mt19937(seed) };
    fleet.run(3);
    known += fleet.ordered_share() > 0.8 ? 1 : 0;
    fleet.run(20);
    int close = 0;
    for (std::size_t node = 0; node < 60; ++node)
      close += std::abs(std::log(fleet.speed(node) / fleet.factors[node])) < 0.3
                 ? 1
                 : 0;
    exact += close >= 54 ? 1 : 0;
  }
  BOOST_TEST(known >= SEEDS - 1);
  BOOST_TEST(exact >= SEEDS - 1);
}

// Guards against differences that are only scatter, in fleets of several sizes:
// decisions must not depend on them.
BOOST_AUTO_TEST_CASE(equal_servers_have_no_speeds)
{
  for (std::size_t nodes : { 4, 12, 60, 300 }) {
    for (double scatter : { 0.02, 0.1, 0.3, 0.5 }) {
      Fleet fleet{ .factors = std::vector<double>(nodes, 1.0),
                   .scatter = scatter };
      int differed = 0;
      for (int step = 0; step < 40; ++step) {
        fleet.run(1);
        differed += fleet.run_times.speeds_differ() ? 1 : 0;
      }
      BOOST_TEST(differed == 0, nodes << " nodes, scatter " << scatter);
      BOOST_TEST(fleet.speed(0) == 1.0);
    }
  }
}

// Guards against declared times off by 50 to 90% that look like differences
// between servers.
BOOST_AUTO_TEST_CASE(wrong_declared_times_do_not_count_against_servers)
{
  Fleet fleet{ .factors = std::vector<double>(54, 1.0),
               .declared_error = 0.65 };
  for (int step = 0; step < 40; ++step) {
    fleet.run(1);
    BOOST_TEST(!fleet.run_times.speeds_differ());
  }
}

// Guards against steps of many tasks, which are compared one after the other,
// whose wrong declared time counts again and again against the same nodes.
BOOST_AUTO_TEST_CASE(wrong_times_of_large_steps_do_not_count_against_servers)
{
  constexpr int TASKS = 40;
  for (std::uint32_t seed = 0; seed < SEEDS; ++seed) {
    Fleet fleet{ .factors = std::vector<double>(12, 1.0),
                 .straggler_share = 0,
                 .random = std::mt19937(seed) };
    std::uniform_int_distribution<std::size_t> pick(0, 11);
    for (int step = 0; step < 60; ++step) {
      std::string id = "s" + std::to_string(step);
      double need_ms = 2'000 * std::exp(fleet.normal(0.65));
      std::size_t first = pick(fleet.random);
      for (int task = 0; task < TASKS; ++task) {
        // The step runs on four nodes.
        std::size_t node = (first + pick(fleet.random) % 4) % 12;
        fleet.run_times.record({ id, 0, 0 },
                               { "q", 2'000, TASKS },
                               { fleet.sample(node, need_ms) },
                               fleet.now_ms);
      }
      fleet.run_times.forget(id);
      fleet.now_ms += 1'000;
      fleet.run_times.refresh(fleet.now_ms);
      BOOST_TEST(!fleet.run_times.speeds_differ());
    }
  }
}

// Guards against small differences that are never found.
BOOST_AUTO_TEST_CASE(differences_of_a_quarter_are_found)
{
  Fleet fleet{ .factors = repeat({ 0.8, 1.0, 1.25 }, 54) };
  fleet.run(8);
  BOOST_TEST(fleet.run_times.speeds_differ());
  BOOST_TEST(fleet.ordered_share() > 0.75);
}

// Guards against a server that counts as slow because one of its runs took
// seven times as long as it should.
BOOST_AUTO_TEST_CASE(one_straggler_does_not_mark_its_server)
{
  for (bool known : { false, true }) {
    Fleet fleet{ .factors = repeat({ 0.6, 1.0, 1.6 }, 30),
                 .straggler_share = 0 };
    fleet.run(known ? 8 : 0);
    // Node 1 has the median speed.
    double before = fleet.speed(1);
    fleet.run_times.record({ "straggler", 0, 0 },
                           { "q", 2'000, 4 },
                           { { "node-0", 1'200 },
                             { "node-1", 14'000 },
                             { "node-2", 3'200 },
                             { "node-3", 1'200 } },
                           fleet.now_ms);
    fleet.now_ms += 1'000;
    fleet.run_times.refresh(fleet.now_ms);
    BOOST_TEST(fleet.speed(1) < before * 1.15);
    // A single task, without others of its step.
    fleet.run(8);
    before = fleet.speed(1);
    fleet.run_times.record({ "single", 0, 0 },
                           { "q", 2'000, 1 },
                           { { "node-1", 14'000 } },
                           fleet.now_ms);
    fleet.now_ms += 1'000;
    fleet.run_times.refresh(fleet.now_ms);
    BOOST_TEST(fleet.speed(1) < before * 1.15);
  }
}

// Guards against a gang that as a whole takes longer than declared and marks
// all its servers as slow.
BOOST_AUTO_TEST_CASE(a_slow_gang_does_not_mark_its_servers)
{
  Fleet fleet{ .factors = repeat({ 0.6, 1.0, 1.6 }, 30), .straggler_share = 0 };
  fleet.run(8);
  double before = fleet.speed(1);
  for (const char* id : { "a", "b" })
    fleet.run_times.record({ id, 0, 0 },
                           { "q", 2'000, 4 },
                           { { "node-0", 8'400 },
                             { "node-1", 14'000 },
                             { "node-2", 22'400 },
                             { "node-3", 8'400 } },
                           fleet.now_ms);
  fleet.now_ms += 1'000;
  fleet.run_times.refresh(fleet.now_ms);
  // Single tasks, reported one after the other.
  for (const char* id : { "c", "d" }) {
    for (const RunSample& sample : { RunSample{ "node-0", 8'400 },
                                     RunSample{ "node-1", 14'000 },
                                     RunSample{ "node-2", 22'400 } })
      fleet.run_times.record(
        { id, 0, 0 }, { "q", 2'000, 3 }, { sample }, fleet.now_ms);
  }
  fleet.now_ms += 1'000;
  fleet.run_times.refresh(fleet.now_ms);
  BOOST_TEST(std::abs(std::log(fleet.speed(1) / before)) < 0.15);
}

// Guards against a server whose change of speed goes unnoticed, in a fleet of
// equal servers and in one of different ones.
BOOST_AUTO_TEST_CASE(a_server_that_turns_slow_is_noticed_and_recovers)
{
  for (const std::vector<double>& factors :
       { std::vector<double>{ 1.0 }, std::vector<double>{ 0.6, 1.0, 1.6 } }) {
    int noticed = 0;
    int recovered = 0;
    for (std::uint32_t seed = 0; seed < SEEDS; ++seed) {
      Fleet fleet{ .factors = repeat(factors, 30),
                   .random = std::mt19937(seed) };
      fleet.run(10);
      fleet.factors[1] = 3;
      fleet.run(16);
      noticed += fleet.speed(1) > 1.6 ? 1 : 0;
      fleet.factors[1] = 1;
      fleet.run(16);
      recovered += fleet.speed(1) < 1.5 ? 1 : 0;
    }
    BOOST_TEST(noticed >= SEEDS - 1);
    BOOST_TEST(recovered >= SEEDS - 1);
  }
}

// Guards against a server that gets no work and counts as slow forever.
BOOST_AUTO_TEST_CASE(old_figures_decay)
{
  Fleet fleet{ .factors = repeat({ 0.6, 1.0, 1.6 }, 30) };
  fleet.run(10);
  BOOST_TEST(fleet.speed(2) > 1.1);
  double before = fleet.speed(2);
  for (int second = 0; second < 3'600; ++second) {
    fleet.now_ms += 1'000;
    fleet.run_times.refresh(fleet.now_ms);
    if (second == 300)
      BOOST_TEST(std::log(fleet.speed(2)) < 0.8 * std::log(before));
  }
  BOOST_TEST(fleet.speed(2) == 1.0);
  BOOST_TEST(fleet.run_times.speeds().nodes.empty());
}

// Guards against corrections of declared times that are right, and against
// missing ones where they are always wrong the same way.
BOOST_AUTO_TEST_CASE(declared_times_are_corrected_only_if_wrong)
{
  Fleet right{ .factors = std::vector<double>(30, 1.0) };
  right.run(20);
  BOOST_TEST(right.run_times.expected_ms("q", 2'000) == 2'000);
  BOOST_TEST(right.run_times.expected_ms("other", 2'000) == 2'000);
  BOOST_TEST(right.run_times.expected_ms("q", 0) == 0);
  Fleet wrong{ .factors = std::vector<double>(30, 2.0) };
  wrong.run(20);
  BOOST_TEST(wrong.run_times.expected_ms("q", 2'000) > 3'400);
  BOOST_TEST(wrong.run_times.expected_ms("q", 2'000) < 4'600);
}

// Guards against memory that grows with the reports of unknown workflows.
BOOST_AUTO_TEST_CASE(state_is_bounded)
{
  RunTimes run_times{};
  for (int index = 0; index < 20'000; ++index) {
    std::string name = std::to_string(index);
    run_times.record({ name, 0, 0 }, { name, 100, 1 }, { { name, 100 } }, 1);
  }
  BOOST_TEST(run_times.speeds().nodes.size() <= 4'096U);
}

// Guards against stored speeds that are lost or that a damaged value distorts.
BOOST_AUTO_TEST_CASE(stored_speeds_are_restored)
{
  Fleet fleet{ .factors = repeat({ 0.6, 1.0, 1.6 }, 60) };
  fleet.run(10);
  RunTimes restored;
  restored.restore(fleet.run_times.speeds(), 5'000'000);
  BOOST_TEST(restored.speeds_differ());
  for (std::size_t node = 0; node < 60; ++node)
    BOOST_TEST(std::abs(restored.speed("node-" + std::to_string(node)) -
                        fleet.speed(node)) < 0.1);
  RunTimes damaged;
  damaged.restore({ { { "a", NAN, 0.1 },
                      { "b", -1, 0.1 },
                      { "c", 1e9, 0.1 },
                      { "", 1, 0.1 },
                      { "d", 1, INFINITY } },
                    { NAN, -1 } },
                  1'000);
  BOOST_TEST(damaged.speeds().nodes.empty());
  BOOST_TEST(!damaged.speeds_differ());
}
