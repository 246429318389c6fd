#pragma once

#include "gateway/http_client.h"
#include "tests/gateway/loop_fixture.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumhinge::tests {

/// Runs the platform stand-in as a child process on a free port.
struct StandinProcess
{
  pid_t pid = 0;
  int port = 0;

  StandinProcess()
  {
    int ends[2];
    BOOST_REQUIRE_EQUAL(pipe(ends), 0);
    const char* program = GERANIUMHINGE_BIN_DIR "/platform_standin";
    pid = fork();
    if (pid == 0) {
      dup2(ends[1], STDOUT_FILENO);
      execl(program, program, "--listen", "127.0.0.1:0", nullptr);
      _exit(1);
    }
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

/// An event loop with an HTTP client and a platform stand-in.
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
    gateway::HttpClientRequest call;
    call.method = method;
    call.url = url + path;
    if (!body.is_null())
      call.body = body.dump();
    gateway::HttpClient::Result response =
      wait_for<gateway::HttpClient::Result>(
        [&](const auto& done) { client.call(call, done); });
    BOOST_REQUIRE(response && response->status == 200);
    return nlohmann::json::parse(response->body);
  }
  void set_faults(const nlohmann::json& change)
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
