#define BOOST_TEST_MODULE process_failures
#include "peer/connection.h"
#include "tests/system/process_fixture.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <atomic>
#include <random>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using Fixture = ProcessFixture;

constexpr char JOB[] = "00000000000000a1";
constexpr char CANCELLED_JOB[] = "00000000000000c1";
constexpr char DONE_JOB[] = "00000000000000d1";
constexpr char LATER_JOB[] = "00000000000000e1";
constexpr std::size_t TASKS = 4;
constexpr std::size_t RANDOM_MESSAGES = 200;
constexpr std::size_t MAX_RANDOM_BYTES = 300;
constexpr std::uint64_t SEED = 20'261'207;
constexpr int UNAUTHORIZED = 401;

std::string
random_bytes(std::mt19937_64& random)
{
  std::string bytes(random() % MAX_RANDOM_BYTES, '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random());
  return bytes;
}

/// A report with fields that no agent sends.
v1::Envelope
odd_report()
{
  v1::Envelope envelope;
  envelope.set_sender("node-x");
  envelope.set_sender_address("no address");
  v1::ServerReport& report = *envelope.mutable_server_report();
  report.set_sequence(UINT64_MAX);
  report.mutable_life()->set_id(std::string(1'000, 'x'));
  report.mutable_life()->set_born_ms(INT64_MIN);
  report.set_service("planner");
  report.mutable_room()->set_millicores(INT64_MAX);
  report.mutable_room()->set_memory_mb(INT64_MIN);
  report.mutable_room()->set_accelerators(-1);
  report.set_ready(true);
  report.set_listed(true);
  report.set_leaving(true);
  report.set_stays_ms(INT64_MIN);
  report.set_no_lease_ms(INT64_MAX);
  for (const char* task :
       { "", ".", "x.0.0.99999999999999999999", "x.-1.0.0" }) {
    v1::RunReport& run = *report.add_running();
    run.set_task(task);
    run.set_attempt(UINT32_MAX);
    run.set_percent(UINT32_MAX);
    v1::EndReport& end = *report.add_ended();
    end.set_number(UINT64_MAX);
    end.set_task(task);
    end.set_kind(UINT32_MAX);
    v1::CrashReport& crash = *report.add_crashes();
    v1::CrashedRun& crashed_run = *crash.add_runs();
    crashed_run.set_task(task);
    crashed_run.set_ran_ms(INT64_MIN);
  }
  return envelope;
}

/// Orders with fields that no owner sends.
v1::Envelope
odd_orders()
{
  v1::Envelope envelope;
  envelope.set_sender("entry-x");
  envelope.set_sender_address("no address");
  v1::ServerOrders& orders = *envelope.mutable_server_orders();
  orders.mutable_life()->set_id("i-0");
  orders.mutable_life()->set_born_ms(INT64_MIN);
  orders.set_stored_ends(UINT64_MAX);
  orders.set_report_sequence(UINT64_MAX);
  for (const char* task : { "", ".", "x" }) {
    v1::RunOrder& run = *orders.add_runs();
    run.set_task(task);
    run.mutable_demand()->set_accelerators(INT64_MIN);
    *orders.add_stops() = run;
  }
  return envelope;
}

/// Sends messages to one process and waits until all were sent.
void
send_messages(Fixture& fixture,
              const std::string& address,
              const std::vector<std::string>& messages)
{
  std::atomic<std::size_t> sent{ 0 };
  peer::Connection connection(address,
                              [&sent](std::uint64_t, bool) { ++sent; });
  BOOST_REQUIRE(connection.usable());
  for (std::size_t index = 0; index < messages.size(); ++index) {
    connection.send(messages[index]);
    fixture.wait([&] { return sent == index + 1; });
    connection.end_send();
  }
}

} // namespace

// Guards against an owner that goes on after a pause in which another entry has
// taken over: two owners that place, stop or acknowledge at the same time.
BOOST_FIXTURE_TEST_CASE(paused_owner_acts_after_a_hand_over, Fixture)
{
  accept(JOB, job_body(TASKS, 1, false));
  accept(CANCELLED_JOB, job_body(TASKS, 1, false));
  accept(DONE_JOB, job_body(TASKS, 1, false));
  wait([this] { return running() == 3 * TASKS; });
  std::size_t paused = owner();
  send({ &entries[paused] }, SIGSTOP);
  wait([this, paused] { return owner() != paused; });
  cancel(CANCELLED_JOB);
  finish_job(DONE_JOB);
  wait_state(DONE_JOB, "completed");
  accept(LATER_JOB, job_body(TASKS, 1, false));
  wait([this] {
    return running(LATER_JOB) == TASKS && running(CANCELLED_JOB) == 0;
  });
  send({ &entries[paused] }, SIGCONT);
  // The entry has noticed that it is no longer the owner: it shows the job.
  bool shown = false;
  std::function<void()> ask = [&] {
    request(paused,
            "GET",
            std::string(QUEUE_PREFIX) + LATER_JOB,
            "",
            [&](int status, const std::string&) {
              shown = status == 200;
              if (!shown)
                poll_timer = timers.after(STATE_POLL_PERIOD, ask);
            });
  };
  ask();
  wait([&shown] { return shown; });
  accept(job_name(1), job_body(TASKS, 1, false));
  wait([this] { return running(job_name(1)) == TASKS; });
  BOOST_TEST(owner() != paused);
  finish_all();
  for (const std::string& job :
       { std::string(JOB), std::string(LATER_JOB), job_name(1) }) {
    wait_state(job, "completed");
    BOOST_TEST(begun(job) == TASKS);
  }
  wait_state(CANCELLED_JOB, "canceled");
  BOOST_TEST(begun(CANCELLED_JOB) == TASKS);
  BOOST_TEST(begun(DONE_JOB) == TASKS);
  check_invariants();
}

// Guards against a malformed or odd message of another process that ends a
// process, or the work of others.
BOOST_FIXTURE_TEST_CASE(malformed_messages_end_a_process, Fixture)
{
  accept(JOB, job_body(TASKS, 1, false));
  wait([this] { return running(JOB) == TASKS; });
  std::mt19937_64 random(SEED);
  std::vector<std::string> messages{ "",
                                     "\xff",
                                     v1::Envelope().SerializeAsString(),
                                     odd_report().SerializeAsString(),
                                     odd_orders().SerializeAsString() };
  while (messages.size() < RANDOM_MESSAGES) {
    messages.push_back(random_bytes(random));
    std::string changed = messages[3 + messages.size() % 2];
    changed[random() % changed.size()] = static_cast<char>(random());
    messages.push_back(std::move(changed));
  }
  for (Program* program : all_programs())
    send_messages(*this, program->peer_address, messages);
  accept(LATER_JOB, job_body(TASKS, 1, false));
  wait([this] { return running(LATER_JOB) == TASKS; });
  for (Program* program : all_programs())
    BOOST_TEST(program->process->is_running());
  finish_all();
  wait_state(JOB, "completed");
  wait_state(LATER_JOB, "completed");
  BOOST_TEST(begun(JOB) == TASKS);
  check_invariants();
}

// Guards against a key that was withdrawn, and is accepted again by an entry
// that restarts while it can't read the configuration.
BOOST_FIXTURE_TEST_CASE(withdrawn_key_is_used_after_a_restart, Fixture)
{
  kill({ &entries[0] });
  store.put({ "op", "", "config" }, configuration(2, "another key"));
  store.refusing = true;
  start({ &entries[0] });
  std::vector<int> statuses;
  std::function<void()> ask = [&] {
    request(0,
            "POST",
            std::string(QUEUE_PREFIX) + JOB,
            job_body(1, 1, false),
            [&](int status, const std::string&) {
              statuses.push_back(status);
              poll_timer = timers.after(STATE_POLL_PERIOD, ask);
            });
  };
  ask();
  // Responses, not refused connections.
  wait([&] { return !statuses.empty() && statuses.back() != 0; });
  store.refusing = false;
  wait([&] { return statuses.back() == UNAUTHORIZED; });
  poll_timer.reset();
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == 0);
  BOOST_TEST(begun(JOB) == 0);
}

// Guards against a server that has left, and gets work again since its agent
// has restarted and receives a delayed announcement.
BOOST_FIXTURE_TEST_CASE(server_that_left_gets_work_after_a_restart, Fixture)
{
  // Announcements count for two missing heartbeats and half a second.
  constexpr std::int64_t OUTDATED_MS = 2 * HEARTBEAT_PERIOD_MS + 600;
  std::string delayed = announcement(0);
  std::int64_t outdated_ms = kernel::boot_ms() + OUTDATED_MS;
  unannounced_servers.insert(0);
  bool departed = false;
  announce_departure(0, [&departed](bool done) { departed = done; });
  wait([&] { return departed && kernel::boot_ms() > outdated_ms; });
  kill({ &agents[0] });
  std::uint64_t former_token = servers[0]->fencing_token;
  std::size_t former_starts = servers[0]->starts.size();
  start({ &agents[0] });
  bool received = false;
  std::function<void()> send_delayed = [&] {
    announce(0, delayed, [&](bool done) {
      received = done;
      if (!received)
        poll_timer = timers.after(STATE_POLL_PERIOD, send_delayed);
    });
  };
  send_delayed();
  wait([&received] { return received; });
  // The new agent has found the server.
  wait([&] { return servers[0]->fencing_token > former_token; });
  for (std::size_t number = 1; number < SERVERS; ++number)
    accept(job_name(number), job_body(1, SERVER_CAPACITY, false));
  wait([this] { return running() == SERVERS - 1; });
  accept(LATER_JOB, job_body(1, SERVER_CAPACITY, false));
  finish_job(job_name(1));
  wait([this] { return running(LATER_JOB) == 1; });
  BOOST_TEST(servers[0]->starts.size() == former_starts);
  finish_all();
  wait_state(LATER_JOB, "completed");
  check_invariants();
}
