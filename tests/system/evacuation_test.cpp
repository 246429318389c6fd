#define BOOST_TEST_MODULE evacuation
#include "tests/system/store_proxy.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

// No run may start in a zone from 5 s after the operator's request on. In each
// test a run is placed in the zone before the request and its start requests
// have no effect until the bound. From then on the server would start it.

namespace {

constexpr char ZONE[] = "north";
constexpr char OTHER_ZONE[] = "south";
constexpr kernel::Milliseconds EVACUATION{ 5'000 };
constexpr int ALL = 1'000'000;
const RowStoreStandin::Name REQUEST{ "op", "", "evacuate/north" };

struct Fixture : PlatformFixture
{
  std::int64_t bound_ms = 0; ///< From which nothing may start in the zone.

  Fixture() { evacuation = EVACUATION; }

  void add_server(const std::string& zone)
  {
    add_agent();
    servers.back()->zone = zone;
  }

  void submit(const std::string& id)
  {
    std::string path = std::string(PREFIX) + id;
    BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  }

  /// Starts an entry and a server in the zone.
  void start()
  {
    add_entry();
    add_server(ZONE);
    wait_ready();
  }

  /// Waits until a start request of a job was sent, without effect.
  void place_without_effect(const std::string& id = JOB)
  {
    servers[0]->ignored_starts = ALL;
    submit(id);
    run_until([this] { return servers[0]->ignored_starts < ALL; });
  }

  void evacuate()
  {
    store.put(REQUEST, "{}");
    bound_ms = kernel::boot_ms() + EVACUATION.count();
  }

  void pass_bound()
  {
    run_until([this] { return kernel::boot_ms() >= bound_ms; });
    servers[0]->ignored_starts = 0;
  }

  std::string metrics(std::size_t entry)
  {
    gateway::HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + entry_settings[entry].relay_listen + "/metrics";
    std::optional<gateway::HttpClient::Result> result;
    client.call(std::move(request),
                [&result](gateway::HttpClient::Result response) {
                  result = std::move(response);
                });
    run_until([&result] { return result.has_value(); });
    return *result ? (*result)->body : std::string();
  }

  void wait_metric(const std::string& line, std::size_t entry)
  {
    for (int tries = 0;
         tries < 200 && metrics(entry).find(line) == std::string::npos;
         ++tries)
      run_until([iterations = 0]() mutable { return ++iterations > 20; });
    BOOST_TEST(metrics(entry).find(line) != std::string::npos);
  }

  /// Nothing may start in the zone while the owner stores several heartbeats,
  /// which leaves time for orders and a start.
  void check_no_start()
  {
    int commits = store.commits;
    run_until([this, commits] { return store.commits > commits + 5; });
    BOOST_TEST(servers[0]->starts.empty());
  }

  /// The job must run in the other zone, and may not have started in this one.
  void check_moved()
  {
    check_no_start();
    add_server(OTHER_ZONE);
    run_until([this] { return servers[1]->running.size() == 1; });
    BOOST_TEST(servers[0]->starts.empty());
  }
};

constexpr char CLOSED[] = "entry_zone_evacuated{zone=\"north\"} 1";
constexpr char OPEN[] = "entry_zone_evacuated{zone=\"north\"} 0";

} // namespace

// Guards against starts under an owner that takes over right after the request.
BOOST_FIXTURE_TEST_CASE(next_owner_starts_runs_after_the_bound, Fixture)
{
  start();
  add_entry();
  wait_ready(1);
  run_until([this] { return entries[0]->owns(); });
  place_without_effect();
  evacuate();
  entries[0].reset();
  run_until([this] { return entries[1]->owns(); });
  pass_bound();
  wait_metric(CLOSED, 1);
  check_moved();
}

// Guards against starts under entries that were all started again, and take the
// request for a new one.
BOOST_FIXTURE_TEST_CASE(restarted_entries_start_runs_after_the_bound, Fixture)
{
  start();
  place_without_effect();
  entries[0].reset();
  evacuate();
  // Just before the bound, so that the limits of the agent do not apply.
  run_until([this] { return kernel::boot_ms() >= bound_ms - 500; });
  entries[0] = std::make_unique<entry::PlatformProgram>(
    loop, timers, log, entry_settings[0]);
  BOOST_REQUIRE(entries[0]->start());
  pass_bound();
  wait_metric(CLOSED, 0);
  run_until([this] { return entries[0]->owns(); });
  check_moved();
}

// Guards against an owner that does not get the request, while it still reads
// the work and writes to the store.
BOOST_FIXTURE_TEST_CASE(owner_without_requests_starts_runs, Fixture)
{
  StoreProxy proxy(*this);
  store_address = "127.0.0.1:" + std::to_string(proxy.server.port());
  start();
  place_without_effect();
  proxy.blackholed_table = "op";
  evacuate();
  pass_bound();
  check_no_start();
  proxy.blackholed_table.clear();
  wait_metric(CLOSED, 0);
  check_moved();
}

// Guards against starts that wait for the operators' requests on deployments
// that never evacuate a zone.
BOOST_FIXTURE_TEST_CASE(missing_requests_stop_starts_without_the_setting,
                        Fixture)
{
  constexpr std::int64_t CONFIG_AGE_MS = 1'800;
  evacuation = kernel::Milliseconds(0);
  StoreProxy proxy(*this);
  store_address = "127.0.0.1:" + std::to_string(proxy.server.port());
  start();
  place_without_effect();
  proxy.blackholed_table = "op";
  std::int64_t outdated_ms = kernel::boot_ms() + 2 * CONFIG_AGE_MS;
  run_until([outdated_ms] { return kernel::boot_ms() >= outdated_ms; });
  BOOST_TEST(!entries[0]->data_is_current());
  servers[0]->ignored_starts = 0;
  run_until([this] { return servers[0]->running.size() == 1; });
}

// Guards against starts by an agent that is started again during an outage of
// the store which began just before the request: the owner sends orders for 6 s
// after its last heartbeat.
BOOST_FIXTURE_TEST_CASE(owner_without_store_starts_runs, Fixture)
{
  StoreProxy proxy(*this);
  store_address = "127.0.0.1:" + std::to_string(proxy.server.port());
  start();
  place_without_effect();
  agents[0].reset();
  proxy.blackholed = true;
  evacuate();
  run_until([this] { return kernel::boot_ms() >= bound_ms - 1'000; });
  start_agent(0);
  pass_bound();
  std::int64_t orders_end_ms = bound_ms + 1'500;
  run_until([orders_end_ms] { return kernel::boot_ms() >= orders_end_ms; });
  BOOST_TEST(servers[0]->starts.empty());
  proxy.blackholed = false;
  wait_metric(CLOSED, 0);
  check_moved();
}

// Guards against a run that waits in its agent for resources and starts once
// they are free.
BOOST_FIXTURE_TEST_CASE(waiting_run_starts_after_the_bound, Fixture)
{
  start();
  place_without_effect();
  servers[0]->accelerators = 0;
  evacuate();
  pass_bound();
  servers[0]->accelerators = 8;
  announce(0);
  check_moved();
}

// Guards against a zone that stays closed after the request was removed, and
// against starts after the bound of a second request.
BOOST_FIXTURE_TEST_CASE(second_request_has_no_effect, Fixture)
{
  constexpr char OTHER_JOB[] = "00000000000000bb";
  start();
  evacuate();
  wait_metric(CLOSED, 0);
  submit(OTHER_JOB);
  store.remove(REQUEST);
  wait_metric(OPEN, 0);
  run_until([this] { return servers[0]->running.size() == 1; });
  finish_all("done");
  wait_state(OTHER_JOB, "completed");
  servers[0]->starts.clear();
  place_without_effect();
  evacuate();
  pass_bound();
  check_moved();
}

// Guards against running work that an evacuation stops, and against a caller
// whose job is lost while it can't be placed.
BOOST_FIXTURE_TEST_CASE(evacuation_stops_running_work, Fixture)
{
  constexpr char OTHER_JOB[] = "00000000000000bb";
  start();
  submit(JOB);
  run_until([this] { return servers[0]->running.size() == 1; });
  evacuate();
  wait_metric(CLOSED, 0);
  submit(OTHER_JOB);
  pass_bound();
  BOOST_TEST(servers[0]->running.size() == 1U);
  BOOST_TEST(servers[0]->starts.size() == 1U);
  wait_state(OTHER_JOB, "pending");
  finish_all("done");
  wait_state(JOB, "completed");
  store.remove(REQUEST);
  run_until([this] { return servers[0]->starts.size() == 2; });
}
