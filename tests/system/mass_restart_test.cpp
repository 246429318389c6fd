#define BOOST_TEST_MODULE mass_restart
#include "tests/system/process_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using Fixture = ProcessFixture;

constexpr char JOB[] = "00000000000000a1";
constexpr char CANCELLED_JOB[] = "00000000000000c1";
constexpr char DONE_JOB[] = "00000000000000d1";
constexpr char ENDING_JOB[] = "00000000000000e1";
constexpr std::size_t TASKS = 4;
/// Longer than the lease, and shorter than the orphan timeout plus the lease.
constexpr std::int64_t PAUSE_MS = 4'500;

/// Work in several states: a gang that runs on all servers, a job whose end is
/// acknowledged, a cancelled job, and a job that is about to end.
struct BusyFixture : Fixture
{
  BusyFixture()
  {
    accept(DONE_JOB, job_body(TASKS, 1, false));
    accept(CANCELLED_JOB, job_body(TASKS, 1, false));
    wait([this] {
      return running(DONE_JOB) == TASKS && running(CANCELLED_JOB) == TASKS;
    });
    finish_job(DONE_JOB);
    wait_state(DONE_JOB, "completed");
    wait([this] { return all_ends_acknowledged(); });
    accept(JOB, job_body(TASKS, 4, true));
    accept(ENDING_JOB, job_body(TASKS, 1, false));
    wait(
      [this] { return running(JOB) == TASKS && running(ENDING_JOB) == TASKS; });
    cancel(CANCELLED_JOB);
    wait([this] { return running(CANCELLED_JOB) == 0; });
  }

  /// Checks that running work was adopted, that ends from the time without
  /// processes count, and that nothing else ran again.
  void check_adopted()
  {
    wait_state(ENDING_JOB, "completed");
    wait_state(JOB, "running");
    accept(job_name(1), job_body(1, 1, false));
    wait([this] { return running(job_name(1)) == 1; });
    BOOST_TEST(running(JOB) == TASKS);
    finish_all();
    wait_state(JOB, "completed");
    wait_state(job_name(1), "completed");
    BOOST_TEST(begun(JOB) == TASKS);
    BOOST_TEST(begun(ENDING_JOB) == TASKS);
    check_ended_jobs();
  }

  /// Checks work whose leases expired: it runs again, once.
  void check_restarted()
  {
    wait([this] { return running(JOB) == TASKS; });
    wait([this] { return running(ENDING_JOB) == TASKS; });
    finish_all();
    wait_state(JOB, "completed");
    wait_state(ENDING_JOB, "completed");
    BOOST_TEST(begun(JOB) == 2 * TASKS);
    BOOST_TEST(begun(ENDING_JOB) == 2 * TASKS);
    check_ended_jobs();
  }

  void check_ended_jobs()
  {
    wait_state(DONE_JOB, "completed");
    wait_state(CANCELLED_JOB, "canceled");
    BOOST_TEST(begun(DONE_JOB) == TASKS);
    BOOST_TEST(begun(CANCELLED_JOB) == TASKS);
    check_invariants();
  }

  /// Half of the processes, with the entry that places the work among them.
  Programs half_of_all()
  {
    Programs half;
    for (std::size_t index = 0; index < ENTRIES / 2 + 1; ++index)
      half.push_back(&entries[(owner() + index) % ENTRIES]);
    for (std::size_t index = 0; index < SERVERS / 2; ++index)
      half.push_back(&agents[index]);
    return half;
  }
};

/// Entries that wait for the reports of all agents after a hand-over.
struct SettlingFixture : Fixture
{
  static constexpr int SETTLE_MS = 10'000;
  static constexpr char URGENT_PREFIX[] = "/urgent/";
  static constexpr char PULSE_KEY[] = "pulse";

  SettlingFixture()
    : Fixture(SETTLE_MS)
  {
  }

  /// Waits until the owner has sent some heartbeats, and so has made decisions
  /// in between.
  void wait_for_heartbeats()
  {
    constexpr int HEARTBEATS = 3;
    int written = 0;
    store.on_write = [&written](const RowStoreStandin::Name& name) {
      written += std::get<2>(name) == PULSE_KEY ? 1 : 0;
    };
    wait([&written] { return written == HEARTBEATS; });
    store.on_write = [](const RowStoreStandin::Name&) {};
  }
};

} // namespace

// Guards against an acknowledged job that is lost, or that two submissions of
// its caller start twice, when all entries end right after the first response.
BOOST_FIXTURE_TEST_CASE(all_entries_end_after_an_acceptance, Fixture)
{
  constexpr std::size_t JOBS = 6;
  bool ended = false;
  for (std::size_t number = 0; number < JOBS; ++number)
    submit(number % ENTRIES,
           job_name(number),
           job_body(TASKS, 1, false),
           [&](int status) {
             if (status != 200 || ended)
               return;
             ended = true;
             kill(all_entries());
           });
  wait([&ended] { return ended; });
  std::set<std::string> accepted = invariants.accepted_jobs;
  start(all_entries());
  for (const std::string& job : accepted) {
    wait([&] { return job == WARM_UP_JOB || running(job) == TASKS; });
    BOOST_TEST(begun(job) == TASKS);
  }
  // The callers of the other jobs retry.
  for (std::size_t number = 0; number < JOBS; ++number) {
    accept(job_name(number), job_body(TASKS, 1, false));
    wait([&] { return running(job_name(number)) == TASKS; });
  }
  finish_all();
  for (std::size_t number = 0; number < JOBS; ++number) {
    wait_state(job_name(number), "completed");
    BOOST_TEST(begun(job_name(number)) == TASKS);
  }
  check_invariants();
}

// Guards against a job that runs on, or again, although its cancellation was
// acknowledged right before all entries ended.
BOOST_FIXTURE_TEST_CASE(all_entries_end_after_a_cancellation, Fixture)
{
  accept(JOB, job_body(TASKS, 1, false));
  wait([this] { return running(JOB) == TASKS; });
  bool ended = false;
  request(0,
          "DELETE",
          std::string(QUEUE_PREFIX) + JOB,
          "",
          [&](int status, const std::string&) {
            BOOST_TEST(status == 200);
            kill(all_entries());
            ended = true;
          });
  wait([&ended] { return ended; });
  invariants.record_cancellation(JOB);
  start(all_entries());
  wait_state(JOB, "canceled");
  wait([this] { return running(JOB) == 0; });
  BOOST_TEST(begun(JOB) == TASKS);
  check_invariants();
}

// Guards against a placement that is stored, but never ordered, or placed again
// beside the stored one, when all entries end before they send orders.
BOOST_FIXTURE_TEST_CASE(all_entries_end_after_a_placement, Fixture)
{
  bool ended = false;
  store.on_write = [&](const RowStoreStandin::Name& name) {
    if (ended || std::get<2>(name) != std::string("r/") + JOB)
      return;
    ended = true;
    kill(all_entries());
  };
  submit(0, JOB, job_body(TASKS, 8, true), [](int) {});
  wait([&ended] { return ended; });
  start(all_entries());
  accept(JOB, job_body(TASKS, 8, true));
  wait([this] { return running(JOB) == TASKS; });
  BOOST_TEST(begun(JOB) == TASKS);
  finish_all();
  wait_state(JOB, "completed");
  check_invariants();
}

// Guards against a gang of which some members have started, and which is
// started again or never completed, when all entries end with the first start.
BOOST_FIXTURE_TEST_CASE(all_entries_end_after_orders, Fixture)
{
  bool ended = false;
  on_start = [&](const ServerStandin::Run&) {
    if (ended)
      return;
    ended = true;
    kill(all_entries());
  };
  submit(0, JOB, job_body(TASKS, 8, true), [](int) {});
  wait([&ended] { return ended; });
  start(all_entries());
  accept(JOB, job_body(TASKS, 8, true));
  wait([this] { return running(JOB) == TASKS; });
  BOOST_TEST(begun(JOB) == TASKS);
  finish_all();
  wait_state(JOB, "completed");
  check_invariants();
}

// Guards against a run that is started twice, or given up, because its agent
// ended before it knew whether the server had started it.
BOOST_FIXTURE_TEST_CASE(all_agents_end_after_a_start, Fixture)
{
  bool ended = false;
  for (const std::unique_ptr<ServerStandin>& server : servers)
    server->unanswered_starts = 1;
  on_start = [&](const ServerStandin::Run&) {
    if (ended)
      return;
    ended = true;
    kill(all_agents());
    start(all_agents());
  };
  accept(JOB, job_body(TASKS, SERVER_CAPACITY, true));
  wait([this] { return running(JOB) == TASKS; });
  BOOST_TEST(begun(JOB) == TASKS);
  finish_all();
  wait_state(JOB, "completed");
  check_invariants();
}

// Guards against running work that is lost or started again, and ends that are
// missed, when all agents end at once.
BOOST_FIXTURE_TEST_CASE(all_agents_end, BusyFixture)
{
  kill(all_agents());
  finish_job(ENDING_JOB);
  start(all_agents());
  check_adopted();
}

// Guards against running work that the new owner starts again, and ends that
// are missed, when all entries end at once.
BOOST_FIXTURE_TEST_CASE(all_entries_end, BusyFixture)
{
  kill(all_entries());
  finish_job(ENDING_JOB);
  start(all_entries());
  check_adopted();
}

// Guards against work that is lost or started again when nobody is left who
// knows it except the store and the backend servers.
BOOST_FIXTURE_TEST_CASE(all_entries_and_agents_end, BusyFixture)
{
  kill(all_programs());
  finish_job(ENDING_JOB);
  start(all_programs());
  check_adopted();
}

// Guards against a remaining entry that declares the runs of the agents that
// ended with the owner lost, and places them again.
BOOST_FIXTURE_TEST_CASE(half_of_the_processes_end, BusyFixture)
{
  Programs half = half_of_all();
  kill(half);
  finish_job(ENDING_JOB);
  start(half);
  check_adopted();
}

// Guards against runs that a new owner declares lost, or starts again, because
// their agent has not reported to it yet.
BOOST_FIXTURE_TEST_CASE(one_agent_reports_late_to_the_new_owner, BusyFixture)
{
  kill(all_entries());
  send({ &agents[0] }, SIGSTOP);
  start(all_entries());
  accept(job_name(2), job_body(1, 1, false));
  wait([this] { return running(job_name(2)) == 1; });
  finish_job(ENDING_JOB);
  send({ &agents[0] }, SIGCONT);
  check_adopted();
}

// Guards against runs that a new owner stops for an urgent job although another
// server is free, whose agent has not reported to it yet.
BOOST_FIXTURE_TEST_CASE(urgent_job_stops_a_run_before_all_agents_report,
                        SettlingFixture)
{
  accept(JOB, job_body(SERVERS - 1, SERVER_CAPACITY, false));
  wait([this] { return running(JOB) == SERVERS - 1; });
  std::size_t idle = 0;
  while (!servers[idle]->running.empty())
    ++idle;
  send({ &agents[idle] }, SIGSTOP);
  kill(all_entries());
  start(all_entries());
  accept(job_name(1), job_body(1, SERVER_CAPACITY, false), URGENT_PREFIX);
  wait_for_heartbeats();
  send({ &agents[idle] }, SIGCONT);
  wait([this] { return running(job_name(1)) == 1; });
  BOOST_TEST(servers[idle]->running.size() == 1U);
  BOOST_TEST(running(JOB) == SERVERS - 1);
  finish_all();
  wait_state(JOB, "completed");
  wait_state(job_name(1), "completed", URGENT_PREFIX);
  BOOST_TEST(begun(JOB) == SERVERS - 1);
  check_invariants();
}

// Guards against work that never runs again, or runs beside its earlier
// attempt, when its leases expire while no process is left.
BOOST_FIXTURE_TEST_CASE(leases_expire_while_all_processes_are_down, BusyFixture)
{
  kill(all_programs());
  wait([this] { return running() == 0; });
  start(all_programs());
  check_restarted();
}

// Guards against work that is lost although the agents kept its leases, when
// all entries pause for longer than a lease.
BOOST_FIXTURE_TEST_CASE(all_entries_pause_beyond_a_lease, BusyFixture)
{
  send(all_entries(), SIGSTOP);
  finish_job(ENDING_JOB);
  std::int64_t resume_ms = kernel::boot_ms() + PAUSE_MS;
  wait([resume_ms] { return kernel::boot_ms() >= resume_ms; });
  send(all_entries(), SIGCONT);
  check_adopted();
}

// Guards against an owner that acts on what it knew before a pause in which all
// leases expired: a task that ran twice at a time, or was never run again.
BOOST_FIXTURE_TEST_CASE(all_entries_pause_until_leases_expire, BusyFixture)
{
  send(all_entries(), SIGSTOP);
  wait([this] { return running() == 0; });
  send(all_entries(), SIGCONT);
  check_restarted();
}

// Guards against agents that renew a lease, or start runs, by orders from
// before a pause in which all leases expired.
BOOST_FIXTURE_TEST_CASE(all_agents_pause_until_leases_expire, BusyFixture)
{
  send(all_agents(), SIGSTOP);
  wait([this] { return running() == 0; });
  send(all_agents(), SIGCONT);
  check_restarted();
}
