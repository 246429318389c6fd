#define BOOST_TEST_MODULE leaving
#include "tests/support/fixture.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr kernel::Milliseconds CALL_LIMIT{ 5'000 };
constexpr int REQUESTS_IN_FLIGHT = 6;
constexpr int REQUEST_RUN_MS = 1'500;

} // namespace

// Invariant 6. Guards against work that starts on a backend server more than
// 3 s after its agent has announced that the server leaves.
BOOST_AUTO_TEST_CASE(leaving_backend_server_gets_no_new_work)
{
  Fleet fleet(small_plan(2, 1, 3));
  JobPlan plan;
  plan.request_id = "keeps-the-agent-draining";
  plan.run_ms = 20'000;
  std::string job = submit(fleet.alpha(), plan);
  BOOST_REQUIRE(fleet.wait_running(job, 1));
  std::string leaving = fleet.running(job).front().server;
  std::size_t index = fleet.deployment.server_index(leaving);
  fleet.deployment.servers()[index].agent->send(SIGTERM);
  std::int64_t leaving_ms = kernel::boot_ms();
  // One request and one job at a time, until twice the limit has passed.
  int number = 0;
  while (kernel::boot_ms() - leaving_ms < LEAVING_LIMIT.count() * 2) {
    std::string id = fmt::format("work-{}", number++);
    RunResult result =
      fleet.beta().run(id, true, work_input(0, id), CALL_LIMIT);
    BOOST_TEST(outcome_of(result) == v1::OUTCOME_SUCCEEDED);
    JobPlan small;
    small.request_id = id;
    small.run_ms = 0;
    JobResult done = fleet.beta().wait(submit(fleet.beta(), small), WAIT_LIMIT);
    BOOST_TEST(outcome_of(done) == v1::OUTCOME_SUCCEEDED);
  }
  BOOST_TEST(fleet.deployment.servers()[index].agent->is_running());
  for (const JournalEvent& event : fleet.deployment.journal()) {
    bool starts_work = event.event == "start" || event.event == "run";
    if (event.server == leaving && starts_work)
      BOOST_TEST(event.boot_ms <= leaving_ms + LEAVING_LIMIT.count());
  }
}

// Invariant 7. Guards against a shutdown of an entry that interrupts requests
// in flight, also when SIGTERM is sent twice.
BOOST_AUTO_TEST_CASE(drained_entry_finishes_its_requests)
{
  Fleet fleet(small_plan(2, 1, 3));
  std::atomic<int> succeeded{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(REQUESTS_IN_FLIGHT);
  for (int i = 0; i < REQUESTS_IN_FLIGHT; i++) {
    threads.emplace_back([&, i] {
      Caller caller(fleet.deployment.client(caller_token("alpha"), 0));
      std::string id = fmt::format("in-flight-{}", i);
      RunResult result =
        caller.run(id, i % 2 == 0, work_input(REQUEST_RUN_MS, id), CALL_LIMIT);
      bool is_correct =
        outcome_of(result) == v1::OUTCOME_SUCCEEDED && result->output() == id;
      succeeded += is_correct ? 1 : 0;
    });
  }
  BOOST_CHECK(wait_until(WAIT_LIMIT, [&] {
    std::vector<JournalEvent> events = fleet.deployment.journal();
    return std::count_if(
             events.begin(), events.end(), [](const JournalEvent& event) {
               return event.event == "run";
             }) >= REQUESTS_IN_FLIGHT;
  }));
  Process& entry = *fleet.deployment.entries()[0].process;
  entry.send(SIGTERM);
  BOOST_CHECK(
    wait_until(WAIT_LIMIT, [&] { return !fleet.deployment.is_ready(0); }));
  entry.send(SIGTERM);
  for (std::thread& thread : threads)
    thread.join();
  BOOST_TEST(succeeded == REQUESTS_IN_FLIGHT);
  BOOST_TEST(wait_until(WAIT_LIMIT, [&] { return !entry.is_running(); }));
  BOOST_TEST(entry.exit_code() == 0);
}
