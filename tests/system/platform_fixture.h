#pragma once

#include "agent/platform_program.h"
#include "entry/platform_program.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"
#include "tests/platform/server_standin.h"
#include "tests/support/ports.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Runs the entry and agent programs for the operators' platform on one event
// loop, against stand-ins of the store and of the backend servers.

namespace geraniumhinge::tests {

inline constexpr char TOKEN[] = "d4a3hwrr6x73d3zji9n7";
inline constexpr char JOB[] = "5c0e7a21d94b36f8";
inline constexpr kernel::Milliseconds HEARTBEAT_PERIOD{ 100 };
inline constexpr char PREFIX[] = "/lohu930/";
/// Limits of the smallest machine, which no client of these tests must meet.
inline constexpr std::size_t SMALLEST_MEMORY_BYTES = 120UL * 1'024 * 1'024;
inline constexpr std::size_t SMALLEST_DESCRIPTORS = 3'075;
inline constexpr gateway::RequestLimits DEFAULT_DEADLINES{ 0, 0, 5'000, 5'000 };

inline std::string
configuration(std::uint64_t version,
              const std::string& keys = "\"d4a3hwrr6x73d3zji9n7\"")
{
  return fmt::format(
    R"({{"version":{},"routes":[{{"name":"r-1","host":"127.0.0.1",
        "path_prefix":"{}","service":"planner","attempts":2,"priority":1,
        "slo_factor":3.0,"slo_ms":1000}},{{"name":"r-0","host":"127.0.0.1",
        "path_prefix":"/urgent/","service":"planner","attempts":2,
        "priority":0}}],"tenants":[{{"name":"porto","api_keys":[{}],
        "guaranteed":{{"gpu":8}}}}]}})",
    version,
    PREFIX,
    keys);
}

inline std::string
submission(int tasks, int accelerators, bool gang)
{
  return fmt::format(
    R"({{"task_spec":"text","phases":[{{"count":{},"cpu":1000,"mem_mb":1024,
        "gpu":{},"gang":{}}}]}})",
    tasks,
    accelerators,
    gang);
}

/// Entries, agents and backend servers of the operators' platform on one event
/// loop.
struct PlatformFixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  RowStoreStandin store{ loop, timers };
  gateway::HttpClient client{ loop, timers, 8 };
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::vector<std::unique_ptr<agent::PlatformProgram>> agents;
  std::vector<agent::PlatformSettings> agent_settings;
  std::vector<std::unique_ptr<entry::PlatformProgram>> entries;
  std::vector<entry::PlatformSettings> entry_settings;
  std::vector<std::uint64_t> sequences;
  std::string advice_address;
  /// Store address for the next entries; empty for the address of `store`.
  std::string store_address;
  /// Time for which the next entries keep ended workflows.
  kernel::Milliseconds retention{ 60'000 };
  /// `evacuation_ms` of the next entries and agents.
  kernel::Milliseconds evacuation{ 0 };
  kernel::Subscription heartbeats;

  PlatformFixture()
  {
    store.put({ "op", "", "config" }, configuration(3));
    heartbeats = timers.every(HEARTBEAT_PERIOD, [this] {
      for (std::size_t index = 0; index < servers.size(); ++index)
        announce(index);
    });
  }

  void add_entry()
  {
    entry::PlatformSettings settings;
    settings.name = "entry-" + std::to_string(entries.size() + 1);
    settings.zone = "zone-1";
    settings.caller_listen = free_address();
    settings.ready_listen = free_address();
    settings.relay_listen = free_address();
    settings.peer_listen = free_address();
    settings.store_address =
      store_address.empty() ? store.address() : store_address;
    settings.advice_address = advice_address;
    settings.max_lease = kernel::Milliseconds(2'000);
    settings.lease = kernel::Milliseconds(2'000);
    settings.orphan_timeout = kernel::Milliseconds(1'500);
    settings.max_early = kernel::Milliseconds(250);
    settings.retention = retention;
    settings.max_config_age = kernel::Milliseconds(1'800);
    settings.evacuation = evacuation;
    settings.limits = gateway::derive_limits(
      SMALLEST_MEMORY_BYTES, SMALLEST_DESCRIPTORS, DEFAULT_DEADLINES);
    entry_settings.push_back(settings);
    entries.push_back(
      std::make_unique<entry::PlatformProgram>(loop, timers, log, settings));
    BOOST_REQUIRE(entries.back()->start());
  }

  void add_agent() { add_agent(log); }

  void add_agent(const kernel::Log& agent_log)
  {
    servers.push_back(
      std::make_unique<ServerStandin>(loop, timers, free_address()));
    sequences.push_back(0);
    agent::PlatformSettings settings;
    settings.name = "node-" + std::to_string(agents.size() + 1);
    settings.zone = "zone-1";
    settings.registry_listen = free_address();
    settings.peer_listen = free_address();
    settings.http_listen = free_address();
    settings.store_address = store.address();
    settings.max_lease = kernel::Milliseconds(2'000);
    settings.lease = kernel::Milliseconds(2'000);
    settings.orphan_timeout = kernel::Milliseconds(1'500);
    servers.back()->max_lease = settings.max_lease;
    settings.report_period = kernel::Milliseconds(200);
    settings.evacuation = evacuation;
    settings.heartbeat_period = HEARTBEAT_PERIOD;
    settings.limits = gateway::derive_limits(
      SMALLEST_MEMORY_BYTES, SMALLEST_DESCRIPTORS, DEFAULT_DEADLINES);
    agent_settings.push_back(settings);
    agents.push_back(std::make_unique<agent::PlatformProgram>(
      loop, timers, agent_log, settings));
    BOOST_REQUIRE(agents.back()->start());
  }

  /// Starts the agent again after its end.
  void start_agent(std::size_t index)
  {
    agents[index] = std::make_unique<agent::PlatformProgram>(
      loop, timers, log, agent_settings[index]);
    if (agents[index]->start())
      return;
    // Within one process, a socket whose nng_close blocks keeps its address
    // (docs/incidents/hang-at-shutdown.md).
    agents[index].reset();
    agent_settings[index].peer_listen = free_address();
    agents[index] = std::make_unique<agent::PlatformProgram>(
      loop, timers, log, agent_settings[index]);
    BOOST_REQUIRE(agents[index]->start());
  }

  void announce(std::size_t index, const std::string& state = "ready")
  {
    if (!agents[index] || servers[index]->silent || !servers[index]->listening)
      return;
    gateway::HttpClientRequest call;
    call.url = fmt::format("http://{}/geraniumhinge/instances/i-{}/heartbeat",
                           agent_settings[index].registry_listen,
                           index);
    call.body = servers[index]->announcement(state, ++sequences[index]).dump();
    client.call(std::move(call), [](const gateway::HttpClient::Result&) {});
  }

  gateway::HttpClientResponse call(const std::string& method,
                                   const std::string& path,
                                   const std::string& body = "",
                                   std::size_t entry = 0,
                                   const std::string& token = TOKEN,
                                   int deadline_ms = 3'000)
  {
    gateway::HttpClientRequest request;
    request.method = method;
    request.url = "http://" + entry_settings[entry].caller_listen + path;
    request.headers["Authorization"] = "Bearer " + token;
    request.headers["Deadline-Ms"] = std::to_string(deadline_ms);
    request.body = body;
    request.timeout = kernel::Milliseconds(5'000);
    std::optional<gateway::HttpClient::Result> result;
    client.call(std::move(request),
                [&result](gateway::HttpClient::Result response) {
                  result = std::move(response);
                });
    run_until([&result] { return result.has_value(); });
    return *result ? **result : gateway::HttpClientResponse{};
  }

  std::string state(const std::string& id, std::size_t entry = 0)
  {
    return call("GET", PREFIX + id, "", entry).body;
  }

  void wait_state(const std::string& id,
                  const std::string& expected,
                  std::size_t entry = 0)
  {
    std::string expected_body = "{\"state\":\"" + expected + "\"}";
    for (int tries = 0; tries < 200 && state(id, entry) != expected_body;
         ++tries)
      run_until([iterations = 0]() mutable { return ++iterations > 20; });
    BOOST_TEST(state(id, entry) == expected_body);
  }

  void wait_ready(std::size_t entry = 0)
  {
    run_until([this, entry] { return entries[entry]->ready(); });
  }

  std::size_t running() const
  {
    std::size_t count = 0;
    for (const std::unique_ptr<ServerStandin>& server : servers)
      count += server->running.size();
    return count;
  }

  void finish_all(const std::string& end_kind)
  {
    for (const std::unique_ptr<ServerStandin>& server : servers) {
      std::map<ServerStandin::Run, std::string> now = server->running;
      for (const std::pair<const ServerStandin::Run, std::string>& item : now)
        server->finish(item.first, end_kind);
    }
  }
};

} // namespace geraniumhinge::tests
