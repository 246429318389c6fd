#define BOOST_TEST_MODULE lease_expiry
#include "tests/system/platform_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using PollResponses = ServerStandin::PollResponses;

constexpr char WARM_UP_JOB[] = "5c0e7a21d94b36f0";
constexpr std::size_t FIRST = 0;
constexpr std::size_t SECOND = 1;
constexpr int CLOCK_SLOWNESS_PERCENT = 2;
/// Longer than the rest of a lease.
constexpr kernel::Milliseconds LATE_STOP_DELAY{ 3'000 };

/// The run of a task on one server.
struct RunInterval
{
  std::size_t server = 0;
  ServerStandin::Run run;
  std::int64_t begin_ms = 0;
  std::optional<std::int64_t> end_ms;
  std::string end_kind;
};

/// A server with a slow clock that gets the first run, and another one that has
/// capacity only after that. All runs are recorded as the servers see them.
struct LeaseExpiryFixture : PlatformFixture
{
  std::vector<RunInterval> intervals;

  LeaseExpiryFixture()
  {
    add_entry();
    add_recorded_server(FIRST);
    add_recorded_server(SECOND);
    servers[FIRST]->clock_slowness_percent = CLOCK_SLOWNESS_PERCENT;
    servers[SECOND]->accelerators = 0;
    wait_ready();
    run_warm_up_job();
  }

  void add_recorded_server(std::size_t index)
  {
    add_agent();
    servers[index]->on_start = [this, index](const ServerStandin::Run& run) {
      record_start(index, run);
    };
    servers[index]->on_end = [this, index](const ServerStandin::Run& run,
                                           const std::string& end_kind) {
      record_end(index, run, end_kind);
    };
  }

  void record_start(std::size_t index, const ServerStandin::Run& run)
  {
    // A lease may have expired since the last periodic check.
    for (std::size_t other = 0; other < servers.size(); ++other) {
      if (other != index)
        servers[other]->expire();
    }
    intervals.push_back({ index, run, kernel::boot_ms(), std::nullopt, "" });
  }

  void record_end(std::size_t index,
                  const ServerStandin::Run& run,
                  const std::string& end_kind)
  {
    for (RunInterval& interval : intervals) {
      bool same = interval.server == index && interval.run == run;
      if (!same || interval.end_ms)
        continue;
      interval.end_ms = kernel::boot_ms();
      interval.end_kind = end_kind;
    }
  }

  void submit(const std::string& job)
  {
    BOOST_TEST(call("POST", PREFIX + job, submission(1, 8, false)).status ==
               200);
  }

  /// Afterwards the owner knows the servers and nothing is to be stored.
  void run_warm_up_job()
  {
    submit(WARM_UP_JOB);
    run_until([this] { return running() == 1; });
    finish_all("done");
    run_until([this] { return servers[FIRST]->acknowledged_ends == 1; });
    wait_state(WARM_UP_JOB, "completed");
    intervals.clear();
  }

  /// Starts a run the given time after the first server has responded to a
  /// poll that it held for the full wait. That response is the last one.
  void start_after_last_response(PollResponses lost, std::int64_t after_ms)
  {
    ServerStandin& server = *servers[FIRST];
    std::int64_t known_ms = server.last_full_wait_ms;
    run_until(
      [&server, known_ms] { return server.last_full_wait_ms > known_ms; });
    server.poll_responses = lost;
    std::int64_t start_ms = server.last_full_wait_ms + after_ms;
    run_until([start_ms] { return kernel::boot_ms() >= start_ms; });
    submit(JOB);
    run_until([&server] { return server.running.size() == 1; });
  }

  void complete_on_second_server()
  {
    servers[FIRST]->call_delay = LATE_STOP_DELAY;
    servers[SECOND]->accelerators = 8;
    run_until([this] { return servers[SECOND]->running.size() == 1; });
    run_until([this] { return servers[FIRST]->running.empty(); });
    finish_all("done");
    wait_state(JOB, "completed");
  }

  void check_intervals()
  {
    BOOST_REQUIRE(intervals.size() == 2U);
    const RunInterval& first = intervals[0];
    const RunInterval& second = intervals[1];
    BOOST_TEST(first.server == FIRST);
    BOOST_TEST(second.server == SECOND);
    BOOST_TEST(first.run.first == second.run.first);
    BOOST_TEST(first.end_kind == "lapsed");
    BOOST_REQUIRE(first.end_ms.has_value());
    BOOST_TEST(*first.end_ms <= second.begin_ms);
  }
};

} // namespace

// Guards against a second run during the lease of the first one: the age of the
// server's clock counted from the request of a poll that the server had held.
BOOST_FIXTURE_TEST_CASE(second_run_after_a_held_poll_and_silence,
                        LeaseExpiryFixture)
{
  start_after_last_response(PollResponses::Missing, 650);
  complete_on_second_server();
  check_intervals();
}

BOOST_FIXTURE_TEST_CASE(second_run_after_a_held_poll_and_closed_connections,
                        LeaseExpiryFixture)
{
  start_after_last_response(PollResponses::Closed, 50);
  complete_on_second_server();
  check_intervals();
}

BOOST_FIXTURE_TEST_CASE(second_run_after_a_held_poll_and_a_late_start,
                        LeaseExpiryFixture)
{
  servers[FIRST]->call_delay = kernel::Milliseconds(300);
  start_after_last_response(PollResponses::Missing, 650);
  complete_on_second_server();
  check_intervals();
}
