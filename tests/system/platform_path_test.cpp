#define BOOST_TEST_MODULE platform_path
#include "tests/system/store_proxy.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using Fixture = PlatformFixture;

} // namespace

// Guards against a job that does not get from submission to its outcome, and
// against a repeated submission that creates a second job.
BOOST_FIXTURE_TEST_CASE(job_is_accepted_run_and_completed, Fixture)
{
  add_entry();
  add_agent();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("GET", path).status == 410);
  BOOST_TEST(call("POST", path, submission(2, 8, true)).status == 200);
  BOOST_TEST(call("POST", path, submission(2, 8, true)).status == 200);
  run_until([this] { return running() == 2; });
  wait_state(JOB, "running");
  finish_all("done");
  wait_state(JOB, "completed");
  for (const std::unique_ptr<ServerStandin>& server : servers)
    BOOST_TEST(server->starts.size() == 1U);
  run_until([this] {
    return servers[0]->acknowledged_ends == 1 &&
           servers[1]->acknowledged_ends == 1;
  });
}

// Guards against one job whose state outgrows its row and stops all others, and
// against a schedule that opens all its occurrences at once.
BOOST_FIXTURE_TEST_CASE(jobs_that_no_row_can_hold_are_rejected_at_once, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(5'000, 1, true)).status == 413);
  BOOST_TEST(call("POST",
                  path,
                  R"({"task_spec":"text","phases":[{"count":1,"cpu":1000,
                      "mem_mb":1024}],"times":1000000,"start_at_ms":1})")
               .status == 400);
  BOOST_TEST(call("GET", path).status == 410);
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
}

// Guards against a submission that is refused and runs later because its write
// arrives late, and against one that is lost because the store's response to
// the write was lost.
BOOST_FIXTURE_TEST_CASE(
  lost_responses_and_late_writes_of_the_store_give_true_responses,
  Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  store.unanswered_writes = 1;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
  std::string other = std::string(PREFIX) + "00000000000000aa";
  store.delayed_writes = 1;
  int status = call("POST", other, submission(1, 1, false)).status;
  // The retry was stored first; the late write finds the row of the retry.
  BOOST_TEST(status == 200);
  store.apply_delayed_writes();
  run_until([this] { return running() == 2; });
  BOOST_TEST(servers[0]->starts.size() == 2U);
}

// Guards against callers without a valid key, and against an entry that does
// not apply a new configuration, or applies an older or malformed one.
BOOST_FIXTURE_TEST_CASE(configuration_is_applied_and_never_reverts, Fixture)
{
  add_entry();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("GET", path, "", 0, "unknown").status == 401);
  BOOST_TEST(call("GET", "/nowhere/x").status == 404);
  store.put({ "op", "", "config" }, configuration(5, "\"fresh\""));
  run_until([this] { return entries[0]->config_version() == 5; });
  BOOST_TEST(call("GET", path).status == 401);
  BOOST_TEST(call("GET", path, "", 0, "fresh").status == 410);
  store.put({ "op", "", "config" }, configuration(4));
  store.put({ "op", "", "config" }, "not a configuration");
  run_until([iterations = 0]() mutable { return ++iterations > 200; });
  BOOST_TEST(entries[0]->config_version() == 5U);
}

// Guards against an accepted job that never runs because its queue was removed
// before the job was placed.
BOOST_FIXTURE_TEST_CASE(accepted_job_runs_after_its_queue_is_removed, Fixture)
{
  add_entry();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  store.put({ "op", "", "config" },
            R"({"version":4,"routes":[],"tenants":[]})");
  run_until([this] { return entries[0]->config_version() == 4; });
  BOOST_TEST(call("GET", path).status == 404);
  add_agent();
  run_until([this] { return running() == 1; });
}

// Guards against jobs that make no progress after their owner has ended without
// notice, and against runs that the next owner starts a second time.
BOOST_FIXTURE_TEST_CASE(another_entry_takes_over, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
  add_entry();
  wait_ready(1);
  entries[0].reset();
  finish_all("done");
  wait_state(JOB, "completed", 1);
  std::string other = std::string(PREFIX) + "00000000000000bb";
  BOOST_TEST(call("POST", other, submission(1, 1, false), 1).status == 200);
  run_until([this] { return running() == 1; });
  BOOST_TEST(servers[0]->starts.size() == 2U);
  BOOST_TEST(servers[0]->stale_requests == 0);
}

// Guards against a restarted owner that waits until its own heartbeat has timed
// out. Only other entries must wait: their limit is 1.9 s.
BOOST_FIXTURE_TEST_CASE(restarted_owner_resumes_at_once, Fixture)
{
  add_entry();
  wait_ready();
  run_until([this] { return entries[0]->owns(); });
  entries[0].reset();
  std::int64_t begin = kernel::boot_ms();
  entries[0] = std::make_unique<entry::PlatformProgram>(
    loop, timers, log, entry_settings[0]);
  BOOST_REQUIRE(entries[0]->start());
  run_until([this] { return entries[0]->owns(); });
  BOOST_TEST(kernel::boot_ms() - begin < 1'900);
}

// Guards against runs of a permanently lost backend server that are never
// restarted on another server. This fault has occurred.
BOOST_FIXTURE_TEST_CASE(runs_of_a_lost_server_restart_elsewhere, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
  add_agent();
  servers[0]->silent = true;
  run_until([this] { return servers[1]->running.size() == 1; });
  BOOST_TEST(servers[1]->starts.front().second == 2U);
}

// Guards against cancelled jobs that keep running.
BOOST_FIXTURE_TEST_CASE(cancelled_job_is_stopped, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  std::string unknown = std::string(PREFIX) + "00000000000000dd";
  BOOST_TEST(call("DELETE", unknown).status == 410);
  BOOST_TEST(call("POST", path, submission(2, 1, false)).status == 200);
  run_until([this] { return running() == 2; });
  BOOST_TEST(call("DELETE", path).status == 200);
  run_until([this] { return running() == 0; });
  wait_state(JOB, "canceled");
}

// Guards against a job that starts after its cancelling was acknowledged: the
// write of its submission had got no response and was performed late.
BOOST_FIXTURE_TEST_CASE(cancelled_job_starts_by_a_late_submission, Fixture)
{
  constexpr int ALL = 1'000;
  constexpr int DEADLINE_MS = 1'000;
  add_entry();
  add_entry();
  add_agent();
  wait_ready(0);
  wait_ready(1);
  std::string path = std::string(PREFIX) + JOB;
  std::string key = std::string("j/") + JOB;
  store.delayed_key = key;
  store.delayed_writes = ALL;
  BOOST_TEST(
    call("POST", path, submission(1, 1, false), 0, TOKEN, DEADLINE_MS).status ==
    504);
  BOOST_TEST(call("DELETE", path, "", 1).status == 410);
  store.apply_delayed_writes();
  store.delayed_writes = 0;
  BOOST_TEST(!store.has({ "work", "main", key }));
  BOOST_TEST(call("GET", path).status == 410);
  // The caller sends the submission again, as after any 504.
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  wait_state(JOB, "canceled");
  BOOST_TEST(running() == 0U);
  BOOST_TEST(servers[0]->starts.empty());
}

// Guards against a guaranteed job that waits for less urgent work to end.
BOOST_FIXTURE_TEST_CASE(guaranteed_job_preempts_other_work, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string filler = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", filler, submission(2, 4, true)).status == 200);
  run_until([this] { return running() == 2; });
  std::string urgent = "/urgent/00000000000000cc";
  BOOST_TEST(call("POST", urgent, submission(1, 8, true)).status == 200);
  run_until([this] {
    return servers[0]->running.contains({ "00000000000000cc.0.0.0", 1 });
  });
  BOOST_TEST(servers[0]->running.size() == 1U);
  finish_all("done");
  run_until([this] { return running() == 2; });
}

// Guards against an entry that accepts a submission while the store refuses its
// calls, or gives no Retry-After, or does not serve again after the refusal.
BOOST_FIXTURE_TEST_CASE(refusal_of_the_store_is_reported_and_service_resumes,
                        Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  RowStoreStandin closed{ loop, timers };
  closed.put({ "op", "", "config" }, configuration(3));
  std::string path = std::string(PREFIX) + JOB;
  // The store refuses every call: the submission has no effect, and the
  // response says so.
  store.refusing = true;
  gateway::HttpClientResponse refused =
    call("POST", path, submission(1, 1, false));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.headers.contains("retry-after"));
  store.refusing = false;
  run_until([this] { return entries[0]->data_is_current(); });
  BOOST_TEST(call("GET", path).status == 410);
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
}

// Guards against a refused submission when the store refuses calls for 60 ms
// only. Such a refusal is shorter than a round trip to the caller, so the entry
// retries.
BOOST_FIXTURE_TEST_CASE(short_refusal_of_the_store_is_retried, Fixture)
{
  add_entry();
  wait_ready();
  run_until([this] { return entries[0]->data_is_current(); });
  store.refusing = true;
  kernel::Subscription back =
    timers.after(kernel::Milliseconds(60), [this] { store.refusing = false; });
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
}

// Guards against runs that are ended, or ends that are lost, by a store outage:
// leases must be renewed, and ends kept until they can be stored.
BOOST_FIXTURE_TEST_CASE(work_survives_an_outage_of_the_store, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(2, 1, false)).status == 200);
  run_until([this] { return running() == 2; });
  store.refusing = true;
  std::int64_t begin = kernel::boot_ms();
  run_until([begin] { return kernel::boot_ms() - begin > 4'000; });
  BOOST_TEST(running() == 2U);
  finish_all("done");
  store.refusing = false;
  wait_state(JOB, "completed");
  BOOST_TEST(servers[0]->starts.size() == 2U);
}

// The time of an outcome is that of the decision, but callers see it only once
// it is stored.
BOOST_FIXTURE_TEST_CASE(outcome_stored_late_is_removed_too_early, Fixture)
{
  constexpr std::int64_t OUTAGE_MS = 7'000;
  retention = kernel::Milliseconds(6'000);
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
  store.refusing = true;
  finish_all("done");
  std::int64_t recovery_ms = kernel::boot_ms() + OUTAGE_MS;
  run_until([recovery_ms] { return kernel::boot_ms() >= recovery_ms; });
  store.refusing = false;
  wait_state(JOB, "completed");
  std::int64_t shown_ms = kernel::boot_ms();
  run_until([this] {
    return !store.has({ "work", "main", std::string("r/") + JOB });
  });
  BOOST_TEST(kernel::boot_ms() - shown_ms >= retention.count());
}

// Guards against a job of a queue with advice that never starts, or starts on a
// server that the advice excludes. The first advice request is refused.
BOOST_FIXTURE_TEST_CASE(advised_job_starts_with_its_ticket, Fixture)
{
  int refusals = 1;
  std::vector<std::string> requested_steps;
  gateway::HttpServer advice(
    loop,
    timers,
    "127.0.0.1:0",
    65'536,
    [&](const gateway::HttpRequest& request,
        const gateway::HttpServer::ResponseCallback& respond) {
      nlohmann::json body = nlohmann::json::parse(request.body);
      requested_steps.push_back(body.at("step_id").get<std::string>());
      if (refusals-- > 0)
        respond({ 429, "application/json", "{}", {} });
      else
        respond({ 200, "application/json", R"({"good":[["i-1","t-1"]]})", {} });
    });
  BOOST_REQUIRE(advice.listen().has_value());
  advice_address = "127.0.0.1:" + std::to_string(advice.port());
  store.put({ "op", "", "config" },
            R"({"version":4,"routes":[{"name":"r","host":"127.0.0.1",
                "path_prefix":"/lohu930/","service":"planner","attempts":2,
                "recommendation":{"decide_ms":10,"per_worker_ms":1,
                "validity_ms":4000}}],
                "tenants":[{"name":"porto",
                "api_keys":["d4a3hwrr6x73d3zji9n7"]}]})");
  add_entry();
  add_agent();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
  BOOST_TEST(servers[0]->starts.empty());
  BOOST_REQUIRE(servers[1]->start_bodies.size() == 1U);
  BOOST_TEST(servers[1]->start_bodies[0].value("ticket", "") == "t-1");
  BOOST_TEST(requested_steps.back() == std::string(JOB) + ".0.0");
}

// Guards against a task with checkpoints that is not moved off a backend server
// that has announced that it leaves; its saved work would be lost.
BOOST_FIXTURE_TEST_CASE(saved_work_moves_off_a_leaving_server, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST",
                  path,
                  R"({"task_spec":"text","phases":[{"count":1,"cpu":1000,
                      "mem_mb":1024,"estimate_ms":60000,"checkpoints":true}]})")
               .status == 200);
  run_until([this] { return running() == 1; });
  add_agent();
  heartbeats.reset();
  kernel::Subscription draining =
    timers.every(kernel::Milliseconds(100), [this] {
      announce(0, "draining");
      announce(1);
    });
  run_until([this] { return servers[1]->running.size() == 1; });
  BOOST_TEST(servers[0]->running.empty());
  BOOST_TEST(servers[1]->starts.front().second == 2U);
}

// Guards against an entry that, after a store outage, refuses callers for as
// long as one wait for changes lasts.
BOOST_FIXTURE_TEST_CASE(callers_are_served_soon_after_an_outage, Fixture)
{
  add_entry();
  wait_ready();
  run_until([this] { return entries[0]->data_is_current(); });
  store.refusing = true;
  run_until([this] { return !entries[0]->data_is_current(); });
  store.refusing = false;
  std::int64_t begin = kernel::boot_ms();
  run_until([this] { return entries[0]->data_is_current(); });
  // Retries are 150 ms apart; a wait for changes takes 700 ms.
  BOOST_TEST(kernel::boot_ms() - begin < 400);
}

// Guards against a caller who gets no true response in time because the entry
// that received the request has just lost its connection to the store.
BOOST_FIXTURE_TEST_CASE(
  request_is_completed_by_another_entry_when_the_store_times_out,
  Fixture)
{
  StoreProxy store_proxy(*this);
  store_address = "127.0.0.1:" + std::to_string(store_proxy.server.port());
  add_entry();
  store_address.clear();
  add_entry();
  add_agent();
  wait_ready(0);
  wait_ready(1);
  run_until([this] {
    return entries[0]->data_is_current() && entries[1]->data_is_current();
  });
  // Wait until the entries have read each other's rows from the store.
  run_until([iterations = 0]() mutable { return ++iterations > 50; });
  store_proxy.blackholed = true;
  std::string path = std::string(PREFIX) + JOB;
  std::int64_t begin = kernel::boot_ms();
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  BOOST_TEST(kernel::boot_ms() - begin < 1'500);
  run_until([this] { return running() == 1; });
  BOOST_TEST(servers[0]->starts.size() == 1U);
}

// Guards against an entry that can reach the store and refuses a caller's last
// try because its deadline is short (250 ms).
BOOST_FIXTURE_TEST_CASE(short_deadline_is_served, Fixture)
{
  add_entry();
  wait_ready();
  run_until([this] { return entries[0]->data_is_current(); });
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(
    call("POST", path, submission(1, 1, false), 0, TOKEN, 250).status == 200);
}

// The first entry's change may reach the store late; the second entry knows
// already that the caller's key was withdrawn.
BOOST_FIXTURE_TEST_CASE(caller_is_rejected_although_its_job_may_still_start,
                        Fixture)
{
  StoreProxy store_proxy(*this);
  store_address = "127.0.0.1:" + std::to_string(store_proxy.server.port());
  add_entry();
  store_address.clear();
  add_entry();
  wait_ready(0);
  wait_ready(1);
  run_until([this] {
    return entries[0]->data_is_current() && entries[1]->data_is_current();
  });
  // Wait until the entries have read each other's rows from the store.
  run_until([iterations = 0]() mutable { return ++iterations > 50; });
  store_proxy.blackholed = true;
  store.put({ "op", "", "config" }, configuration(4, ""));
  std::string path = std::string(PREFIX) + JOB;
  run_until([iterations = 0]() mutable { return ++iterations > 50; });
  BOOST_TEST(call("POST", path, submission(1, 1, false), 1).status == 401);
  BOOST_TEST(call("POST", path, submission(1, 1, false), 0).status == 504);
}
