#define BOOST_TEST_MODULE capacity
#include "tests/system/platform_fixture.h"

#include <algorithm>
#include <deque>
#include <random>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::uint32_t SEED = 27;
constexpr std::size_t SERVERS = 3;
constexpr int TASK_ACCELERATORS = 2;
constexpr std::int64_t RUN_MS = 400;
/// The operators allow at least 3 s and one announcement.
constexpr std::int64_t MAX_REACTION_MS = 1'000;
constexpr std::int64_t DURATION_MS = 8'000;
constexpr int FULL_CAPACITY = 8;
constexpr int SHRUNKEN_CAPACITY = 4;
constexpr std::size_t BURST_JOBS = 10;
constexpr kernel::Milliseconds SETTLE_TIME = 3 * HEARTBEAT_PERIOD;

/// Servers whose capacity shrinks and grows while jobs run on them.
struct CapacityFixture : PlatformFixture
{
  struct Capacity
  {
    std::int64_t since_ms = 0;
    int accelerators = 8;
  };

  std::mt19937 random{ SEED };
  std::vector<std::deque<Capacity>> capacities{ SERVERS };
  std::map<ServerStandin::Run, std::int64_t> begun_ms;
  std::size_t starts = 0;
  std::size_t overloads = 0;
  std::size_t jobs = 0;
  std::size_t entry = 0;
  std::vector<kernel::Subscription> events;

  CapacityFixture()
  {
    add_entry();
    add_entry();
    for (std::size_t index = 0; index < SERVERS; ++index) {
      add_agent();
      servers[index]->on_start = [this, index](const ServerStandin::Run& run) {
        check_start(index, run);
      };
      set_capacity(index, 8);
    }
    wait_ready(0);
    wait_ready(1);
    every(50, [this] { finish_runs(); });
    every(300, [this] { set_capacity(pick(SERVERS), 2 + 3 * pick(3)); });
  }

  int pick(std::size_t count)
  {
    return std::uniform_int_distribution<int>(0, static_cast<int>(count) - 1)(
      random);
  }

  void every(int period_ms, std::function<void()> action)
  {
    events.push_back(
      timers.every(kernel::Milliseconds(period_ms), std::move(action)));
  }

  void set_capacity(std::size_t index, int accelerators)
  {
    servers[index]->accelerators = accelerators;
    capacities[index].push_back({ kernel::boot_ms(), accelerators });
  }

  /// Largest capacity that a start may still count on.
  int allowed(std::size_t index)
  {
    std::deque<Capacity>& history = capacities[index];
    std::int64_t limit_ms = kernel::boot_ms() - MAX_REACTION_MS;
    while (history.size() > 1 && history[1].since_ms < limit_ms)
      history.pop_front();
    return std::max_element(history.begin(),
                            history.end(),
                            [](const Capacity& left, const Capacity& right) {
                              return left.accelerators < right.accelerators;
                            })
      ->accelerators;
  }

  void check_start(std::size_t index, const ServerStandin::Run& run)
  {
    begun_ms[run] = kernel::boot_ms();
    ++starts;
    int used =
      TASK_ACCELERATORS * static_cast<int>(servers[index]->running.size());
    if (used > allowed(index))
      ++overloads;
  }

  void finish_runs()
  {
    for (const std::unique_ptr<ServerStandin>& server : servers) {
      std::map<ServerStandin::Run, std::string> running = server->running;
      for (const std::pair<const ServerStandin::Run, std::string>& item :
           running) {
        if (kernel::boot_ms() - begun_ms[item.first] > RUN_MS)
          server->finish(item.first, "done");
      }
    }
  }

  /// Submits small jobs, so that always some wait, until the test's time is up.
  void run_load(const std::function<void(std::int64_t elapsed_ms)>& disturb)
  {
    std::int64_t begin_ms = kernel::boot_ms();
    std::int64_t elapsed_ms = 0;
    while (elapsed_ms < DURATION_MS) {
      bool gang = jobs % 4 == 0;
      call("POST",
           fmt::format("{}{:016x}", PREFIX, ++jobs),
           submission(gang ? 3 : 2, TASK_ACCELERATORS, gang),
           entry);
      std::int64_t now_ms = kernel::boot_ms();
      run_until([now_ms] { return kernel::boot_ms() - now_ms > 60; });
      elapsed_ms = kernel::boot_ms() - begin_ms;
      disturb(elapsed_ms);
    }
    BOOST_TEST(overloads == 0U);
    BOOST_TEST(starts > 50U);
  }

  void restart_agent(std::size_t index)
  {
    agents[index].reset();
    start_agent(index);
  }
};

/// Servers that are full when all of them shrink at once.
struct ShrunkenFixture : PlatformFixture
{
  std::size_t starts = 0;
  std::size_t overloads = 0;

  ShrunkenFixture()
  {
    add_entry();
    for (std::size_t index = 0; index < SERVERS; ++index) {
      add_agent();
      servers[index]->on_start = [this, index](const ServerStandin::Run&) {
        ++starts;
        if (used(index) > servers[index]->accelerators)
          ++overloads;
      };
    }
    wait_ready();
  }

  int used(std::size_t index) const
  {
    return TASK_ACCELERATORS * static_cast<int>(servers[index]->running.size());
  }

  void settle()
  {
    std::int64_t end_ms = kernel::boot_ms() + SETTLE_TIME.count();
    run_until([end_ms] { return kernel::boot_ms() > end_ms; });
  }

  void fill_servers()
  {
    constexpr int TASKS_PER_SERVER = FULL_CAPACITY / TASK_ACCELERATORS;
    int tasks = TASKS_PER_SERVER * static_cast<int>(SERVERS);
    submit(JOB, tasks);
    run_until([this, tasks] { return running() == std::size_t(tasks); });
  }

  void shrink_servers()
  {
    for (const std::unique_ptr<ServerStandin>& server : servers)
      server->accelerators = SHRUNKEN_CAPACITY;
    settle();
  }

  void submit(const std::string& id, int tasks)
  {
    BOOST_REQUIRE(
      call("POST", PREFIX + id, submission(tasks, TASK_ACCELERATORS, false))
        .status == 200);
  }

  /// Ends one run of each server.
  void finish_one_each()
  {
    for (const std::unique_ptr<ServerStandin>& server : servers) {
      if (!server->running.empty())
        server->finish(ServerStandin::Run(server->running.begin()->first),
                       "done");
    }
  }
};

} // namespace

// What runs on a server is more than its capacity, until some of it has ended.
BOOST_FIXTURE_TEST_CASE(burst_of_work_overloads_servers_that_shrank,
                        ShrunkenFixture)
{
  fill_servers();
  shrink_servers();
  for (std::size_t job = 0; job < BURST_JOBS; ++job)
    submit(fmt::format("{:016x}", job), 2);
  std::size_t full_starts = starts;
  settle();
  finish_one_each();
  settle();
  finish_one_each();
  settle();
  BOOST_TEST(starts == full_starts);
  finish_one_each();
  run_until([this, full_starts] { return starts == full_starts + SERVERS; });
  while (running() > 0) {
    finish_one_each();
    settle();
  }
  BOOST_TEST(overloads == 0U);
  wait_state(fmt::format("{:016x}", BURST_JOBS - 1), "completed");
}

BOOST_FIXTURE_TEST_CASE(start_overloads_a_server_that_shrank, CapacityFixture)
{
  run_load([](std::int64_t) {});
}

BOOST_FIXTURE_TEST_CASE(restarted_agent_overloads_its_server, CapacityFixture)
{
  every(1'500, [this] { restart_agent(pick(SERVERS)); });
  run_load([](std::int64_t) {});
}

BOOST_FIXTURE_TEST_CASE(new_owner_overloads_a_server, CapacityFixture)
{
  run_load([this](std::int64_t elapsed_ms) {
    if (entry != 0 || elapsed_ms < DURATION_MS / 3)
      return;
    entry = 1;
    entries[0].reset();
  });
}

BOOST_FIXTURE_TEST_CASE(server_that_was_silent_is_overloaded, CapacityFixture)
{
  every(2'000, [this] {
    std::size_t index = pick(SERVERS);
    servers[index]->silent = true;
    events.push_back(timers.after(kernel::Milliseconds(1'200), [this, index] {
      servers[index]->silent = false;
    }));
  });
  run_load([](std::int64_t) {});
}

// The owner decides before it knows the new capacity, and its orders arrive
// after the agent knows it.
BOOST_FIXTURE_TEST_CASE(server_shrinks_while_its_placement_is_stored,
                        PlatformFixture)
{
  add_entry();
  add_agent();
  wait_ready();
  // The server is known to the owner once it has run a job.
  BOOST_REQUIRE(
    call("POST", std::string(PREFIX) + JOB, submission(1, 1, false)).status ==
    200);
  run_until([this] { return running() == 1; });
  finish_all("done");
  wait_state(JOB, "completed");
  std::string large = "6d1f8b32ea5c0479";
  std::size_t started = servers[0]->starts.size();
  store.commit_delay = kernel::Milliseconds(300);
  bool shrunk = false;
  store.on_write = [&](const RowStoreStandin::Name& name) {
    bool progress = std::get<2>(name) == "r/" + large;
    if (!progress || shrunk)
      return;
    shrunk = true;
    servers[0]->accelerators = 2;
    announce(0);
  };
  BOOST_REQUIRE(call("POST", PREFIX + large, submission(1, 4, false)).status ==
                200);
  run_until([&] { return shrunk; });
  std::int64_t begin_ms = kernel::boot_ms();
  run_until([begin_ms] { return kernel::boot_ms() - begin_ms > 1'500; });
  BOOST_TEST(servers[0]->starts.size() == started);
  servers[0]->accelerators = 8;
  announce(0);
  run_until([this] { return running() == 1; });
}
