#define BOOST_TEST_MODULE crashing_task
#include "tests/system/platform_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char OTHER_JOB[] = "6d1f8b32ea5c0479";
/// The operators count a task as restarted without end from its sixth start on.
constexpr std::size_t MAX_STARTS = 5;
constexpr kernel::Milliseconds CRASH_DELAY{ 5 };
constexpr kernel::Milliseconds RECOVERY_TIME{ 1'000 };
/// Longer than any lease.
constexpr kernel::Milliseconds SILENCE_TIME{ 4'000 };

/// Three servers that crash when they start a task of `JOB`.
struct CrashFixture : PlatformFixture
{
  std::size_t crashing_starts = 0;
  bool agents_restart = false; ///< When their server crashes.
  /// Starts at which the owner is replaced when the server crashes.
  std::size_t owner_changes = 0;
  std::vector<kernel::Subscription> events;

  CrashFixture()
  {
    add_entry();
    for (std::size_t index = 0; index < 3; ++index) {
      add_agent();
      servers[index]->on_start = [this, index](const ServerStandin::Run& run) {
        if (run.first.starts_with(JOB))
          crash(index);
        if (run.first.starts_with(JOB) && agents_restart)
          restart_agent(index);
        if (run.first.starts_with(JOB) && crashing_starts <= owner_changes)
          replace_owner();
      };
    }
    wait_ready();
  }

  void crash(std::size_t index)
  {
    ++crashing_starts;
    events.push_back(
      timers.after(CRASH_DELAY, [this, index] { servers[index]->crash(); }));
    events.push_back(timers.after(CRASH_DELAY + RECOVERY_TIME, [this, index] {
      servers[index]->recover();
    }));
  }

  /// Restarts the agent of a server shortly after the server has crashed.
  void restart_agent(std::size_t index)
  {
    events.push_back(
      timers.after(CRASH_DELAY, [this, index] { agents[index].reset(); }));
    events.push_back(
      timers.after(CRASH_DELAY * 10, [this, index] { start_agent(index); }));
  }

  /// Replaces the only entry before the crash can be reported.
  void replace_owner()
  {
    events.push_back(
      timers.after(CRASH_DELAY / 2, [this] { entries.back().reset(); }));
    events.push_back(timers.after(CRASH_DELAY * 10, [this] { add_entry(); }));
  }

  void submit(const std::string& id, const std::string& body)
  {
    BOOST_REQUIRE(call("POST", PREFIX + id, body).status == 200);
  }

  /// Waits until the job is shown as failed, or started more often than
  /// allowed.
  void wait_failed(std::size_t max_starts)
  {
    bool failed = false;
    std::int64_t end_ms = kernel::boot_ms() + BOUND.count();
    while (!failed && crashing_starts <= max_starts &&
           kernel::boot_ms() < end_ms) {
      std::int64_t begin_ms = kernel::boot_ms();
      run_until([begin_ms] { return kernel::boot_ms() - begin_ms > 20; });
      failed = state(JOB, entries.size() - 1) == "{\"state\":\"failed\"}";
    }
    BOOST_TEST(crashing_starts <= max_starts);
    BOOST_TEST(failed);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(crashing_task_takes_down_server_after_server,
                        CrashFixture)
{
  submit(JOB, submission(1, 1, false));
  wait_failed(MAX_STARTS);
}

BOOST_FIXTURE_TEST_CASE(crashing_gang_takes_down_server_after_server,
                        CrashFixture)
{
  submit(JOB, submission(2, 8, true));
  wait_failed(2 * MAX_STARTS);
}

// The crashes must count for the new owner too.
BOOST_FIXTURE_TEST_CASE(crashes_are_forgotten_when_the_owner_changes,
                        CrashFixture)
{
  submit(JOB, submission(1, 1, false));
  run_until([this] { return crashing_starts == 2; });
  entries[0].reset();
  add_entry();
  wait_ready(1);
  wait_failed(MAX_STARTS);
}

// No owner that ordered a start lives to see the crash.
BOOST_FIXTURE_TEST_CASE(crash_goes_uncounted_when_its_owner_is_killed,
                        CrashFixture)
{
  submit(OTHER_JOB, submission(3, 1, false));
  run_until([this] { return running() == 3; });
  owner_changes = crashing_starts + MAX_STARTS;
  submit(JOB, submission(1, 1, false));
  wait_failed(MAX_STARTS);
  owner_changes = 0;
  run_until([this] { return running() == 3; });
  finish_all("done");
  wait_state(OTHER_JOB, "completed", entries.size() - 1);
}

BOOST_FIXTURE_TEST_CASE(crashes_go_uncounted_when_the_agents_restart,
                        CrashFixture)
{
  agents_restart = true;
  submit(JOB, submission(1, 1, false));
  wait_failed(MAX_STARTS);
}

// The new owner does not know what the earlier process of the agent reported.
BOOST_FIXTURE_TEST_CASE(crashes_go_uncounted_when_agent_and_owner_change,
                        CrashFixture)
{
  agents_restart = true;
  owner_changes = 3;
  submit(JOB, submission(1, 1, false));
  wait_failed(MAX_STARTS);
}

// The servers run on, but neither answer nor announce themselves for a while.
BOOST_FIXTURE_TEST_CASE(task_on_silent_servers_is_given_up, PlatformFixture)
{
  std::size_t starts = 0;
  std::vector<kernel::Subscription> events;
  add_entry();
  for (std::size_t index = 0; index < 3; ++index) {
    add_agent();
    servers[index]->on_start = [&, index](const ServerStandin::Run&) {
      if (++starts > 3)
        return;
      events.push_back(timers.after(CRASH_DELAY, [&, index] {
        servers[index]->silent = true;
        agents[index].reset();
      }));
      events.push_back(
        timers.after(CRASH_DELAY * 10, [&, index] { start_agent(index); }));
      events.push_back(timers.after(
        SILENCE_TIME, [&, index] { servers[index]->silent = false; }));
    };
  }
  wait_ready();
  BOOST_REQUIRE(
    call("POST", std::string(PREFIX) + JOB, submission(1, 1, false)).status ==
    200);
  run_until([&] { return starts == 3; });
  std::int64_t begin_ms = kernel::boot_ms();
  run_until(
    [begin_ms] { return kernel::boot_ms() - begin_ms > SILENCE_TIME.count(); });
  wait_state(JOB, "running");
  BOOST_TEST(starts == 4U);
}

/// Servers that crash without refusing connections when they start a task:
/// they never answer, until a new instance takes their place.
struct HangFixture : PlatformFixture
{
  std::size_t starts = 0;
  std::vector<kernel::Subscription> events;

  explicit HangFixture(kernel::Milliseconds recovery_time)
  {
    add_entry();
    for (std::size_t index = 0; index < SERVERS; ++index) {
      add_agent();
      servers[index]->on_start = [this, index, recovery_time](
                                   const ServerStandin::Run&) {
        ++starts;
        events.push_back(
          timers.after(CRASH_DELAY, [this, index] { servers[index]->hang(); }));
        events.push_back(
          timers.after(CRASH_DELAY + recovery_time, [this, index] {
            servers[index]->restart();
            servers[index]->silent = false;
          }));
      };
    }
    wait_ready();
  }

  static constexpr std::size_t SERVERS = 8;

  /// Submits a job with one task and waits until it has failed.
  void wait_failed()
  {
    BOOST_REQUIRE(
      call("POST", std::string(PREFIX) + JOB, submission(1, 1, false)).status ==
      200);
    std::int64_t begin_ms = kernel::boot_ms();
    std::int64_t end_ms = begin_ms + 3 * BOUND.count();
    bool failed = false;
    while (!failed && kernel::boot_ms() < end_ms) {
      std::int64_t now_ms = kernel::boot_ms();
      run_until([now_ms] { return kernel::boot_ms() - now_ms > 20; });
      failed = state(JOB) == "{\"state\":\"failed\"}";
    }
    BOOST_TEST(failed);
    BOOST_TEST_MESSAGE(starts << " starts, failed after "
                              << kernel::boot_ms() - begin_ms << " ms");
  }
};

// A job that was on a crashing server must run again, and must not fail.
BOOST_FIXTURE_TEST_CASE(neighbour_of_a_crashing_task_is_given_up, CrashFixture)
{
  submit(OTHER_JOB, submission(3, 1, false));
  run_until([this] { return running() == 3; });
  submit(JOB, submission(1, 1, false));
  wait_failed(MAX_STARTS);
  run_until([this] { return running() == 3; });
  finish_all("done");
  wait_state(OTHER_JOB, "completed");
}

BOOST_AUTO_TEST_CASE(hanging_servers_are_counted_too_late)
{
  for (std::int64_t recovery_ms : { 3'400, 6'000 }) {
    HangFixture fixture{ kernel::Milliseconds(recovery_ms) };
    BOOST_TEST_MESSAGE("recovery " << recovery_ms);
    fixture.wait_failed();
    BOOST_TEST(fixture.starts <= MAX_STARTS);
  }
}
