#pragma once

#include "gateway/http_client.h"
#include "tests/gateway/loop_fixture.h"

#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumhinge::tests {

/// The platform stand-in as a process of its own on a free port.
struct StandinProcess
{
  pid_t pid = 0;
  int port = 0;

  StandinProcess()
  {
    int ends[2];
    BOOST_REQUIRE_EQUAL(pipe(ends), 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, ends[0]);
    std::string program = GERANIUMHINGE_BIN_DIR "/platform_standin";
    std::string option = "--listen";
    std::string address = "127.0.0.1:0";
    std::array<char*, 4> arguments = {
      program.data(), option.data(), address.data(), nullptr
    };
    BOOST_REQUIRE_EQUAL(
      posix_spawn(
        &pid, program.c_str(), &actions, nullptr, arguments.data(), environ),
      0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    FILE* output = fdopen(ends[0], "r");
    BOOST_REQUIRE_EQUAL(std::fscanf(output, "port %d", &port), 1); // NOLINT
    std::fclose(output);
  }
  StandinProcess(const StandinProcess&) = delete;
  ~StandinProcess()
  {
    kill(pid, SIGTERM);
    waitpid(pid, nullptr, 0);
  }
};

/// A loop with a client and the stand-in.
struct StandinFixture : LoopFixture
{
  StandinProcess standin;
  gateway::HttpClient client{ loop, timers, 16 };
  std::string url = url_of(standin.port, "");

  template<typename Result, typename Start>
  Result wait_for(Start start)
  {
    std::optional<Result> result;
    start([&](Result value) { result = std::move(value); });
    run_until([&] { return result.has_value(); });
    return std::move(*result);
  }

  nlohmann::json control(const std::string& method,
                         const std::string& path,
                         const nlohmann::json& body = nullptr)
  {
    gateway::HttpCall call;
    call.method = method;
    call.url = url + path;
    if (!body.is_null())
      call.body = body.dump();
    gateway::HttpClient::Result answer = wait_for<gateway::HttpClient::Result>(
      [&](const auto& done) { client.call(call, done); });
    BOOST_REQUIRE(answer && answer->status == 200);
    return nlohmann::json::parse(answer->body);
  }
  void faults(const nlohmann::json& change)
  {
    control("POST", "/faults", change);
  }
  void wait_for_counter(const std::string& name, std::uint64_t value)
  {
    std::int64_t end = kernel::boot_ms() + BOUND.count();
    while (control("GET", "/counters")[name] < value)
      BOOST_REQUIRE_MESSAGE(kernel::boot_ms() < end, name + " did not rise");
  }
};

} // namespace geraniumhinge::tests
