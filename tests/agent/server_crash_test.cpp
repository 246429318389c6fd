#define BOOST_TEST_MODULE server_crash
#include "tests/agent/server_agent_fixture.h"

#include <cstdio>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

struct Fixture : ServerAgentFixture
{
  kernel::Subscription crash_timer;

  /// The runs of the first reported crash.
  std::vector<v1::CrashedRun> crashed_runs()
  {
    v1::ServerReport report = agent->report();
    if (report.crashes().empty())
      return {};
    return { report.crashes(0).runs().begin(), report.crashes(0).runs().end() };
  }

  bool crash_is_reported() { return !agent->report().crashes().empty(); }

  void start_run(const std::string& task)
  {
    v1::ServerOrders ordered = orders();
    add(ordered.mutable_runs(), task, 1);
    send_orders_until(ordered, [this] { return !server.starts.empty(); });
  }
};

/// An agent whose log can be read.
struct LogFixture : Fixture
{
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file{ std::tmpfile(),
                                                        &std::fclose };
  kernel::Log file_log{ "agent", kernel::Severity::Info, fileno(file.get()) };

  LogFixture() { agent = make_agent(file_log); }
  ~LogFixture() { agent.reset(); }

  /// Number of log lines so far that contain the text.
  std::size_t lines_with(const std::string& text)
  {
    std::rewind(file.get());
    std::string line(4'096, '\0');
    std::size_t count = 0;
    while (std::fgets(line.data(), static_cast<int>(line.size()), file.get()))
      count += std::string(line.c_str()).find(text) != std::string::npos;
    return count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(crash_is_reported_without_its_runs, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  start_run(TASK);
  server.crash();
  run_until([this] { return crash_is_reported(); });
  BOOST_TEST_REQUIRE(crashed_runs().size() == 1U);
  BOOST_TEST(crashed_runs().front().task() == TASK);
  BOOST_TEST(crashed_runs().front().attempt() == 1U);
}

// The start request gets no response, and no poll has listed the run.
BOOST_FIXTURE_TEST_CASE(run_that_crashed_its_server_at_once_is_not_reported,
                        Fixture)
{
  announce();
  run_until([this] { return listed(); });
  server.unanswered_starts = 1;
  server.on_start = [this](const ServerStandin::Run&) {
    crash_timer =
      timers.after(kernel::Milliseconds(0), [this] { server.crash(); });
  };
  start_run(TASK);
  run_until([this] { return crash_is_reported(); });
  BOOST_TEST_REQUIRE(crashed_runs().size() == 1U);
  BOOST_TEST(crashed_runs().front().ran_ms() < 1'000);
}

BOOST_FIXTURE_TEST_CASE(new_instance_hides_the_crash_of_the_old_one, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  start_run(TASK);
  server.restart();
  announce();
  run_until([this] { return crash_is_reported(); });
  BOOST_TEST(crashed_runs().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(departure_counts_as_a_crash, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  start_run(TASK);
  announce("draining");
  server.crash();
  run_until([this] { return agent->report().lease_over(); });
  BOOST_TEST(!crash_is_reported());
}

// The server runs on, but an outage of the agent's link hides it.
BOOST_FIXTURE_TEST_CASE(silent_server_counts_as_crashed, Fixture)
{
  announce();
  run_until([this] { return listed(); });
  start_run(TASK);
  server.silent = true;
  run_until([this] { return agent->report().lease_over(); });
  BOOST_TEST(!crash_is_reported());
}

// The server accepts connections and never answers, until its next instance
// announces itself.
BOOST_FIXTURE_TEST_CASE(run_that_hung_its_server_counts_as_long_running,
                        Fixture)
{
  announce();
  run_until([this] { return listed(); });
  server.on_start = [this](const ServerStandin::Run&) {
    crash_timer =
      timers.after(kernel::Milliseconds(0), [this] { server.hang(); });
  };
  start_run(TASK);
  run_until([this] { return agent->report().lease_over(); });
  server.restart();
  server.silent = false;
  announce();
  run_until([this] { return crash_is_reported(); });
  BOOST_TEST_REQUIRE(crashed_runs().size() == 1U);
  BOOST_TEST(crashed_runs().front().ran_ms() < 100);
}

// Each poll shows whether the server still refuses connections.
BOOST_FIXTURE_TEST_CASE(crashed_server_gets_stop_after_stop, LogFixture)
{
  announce();
  run_until([this] { return listed(); });
  start_run(TASK);
  server.crash();
  run_until([this] { return agent->report().lease_over(); });
  v1::ServerOrders ordered = orders();
  add(ordered.mutable_stops(), TASK, 1);
  send_orders_until(ordered, after_several_polls());
  BOOST_TEST(lines_with("run_stop_answered") <= 1U);
}
