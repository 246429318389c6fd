// Measures HTTP round trips and table transactions on one event loop.

#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "platform/table_http.h"

#include <array>
#include <benchmark/benchmark.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace geraniumhinge;

namespace {

constexpr int MAX_CONNECTIONS_PER_HOST = 64;
constexpr std::size_t MAX_BODY_BYTES = 1'000'000;

/// The platform stand-in, started from the directory of this program.
class Standin
{
public:
  Standin()
  {
    std::string program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() /
      "platform_standin";
    std::string option = "--listen";
    std::string address = "127.0.0.1:0";
    std::array<char*, 4> arguments = {
      program.data(), option.data(), address.data(), nullptr
    };
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0)
      std::abort();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    if (posix_spawn(&this->pid,
                    program.c_str(),
                    &actions,
                    nullptr,
                    arguments.data(),
                    environ) != 0)
      std::abort();
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    std::FILE* output = fdopen(pipe_ends[0], "r");
    if (std::fscanf(output, "port %d", &this->port) != 1) // NOLINT
      std::abort();
    std::fclose(output);
  }
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;
  ~Standin()
  {
    kill(this->pid, SIGTERM);
    waitpid(this->pid, nullptr, 0);
  }

  std::string url() const
  {
    return "http://127.0.0.1:" + std::to_string(this->port);
  }

private:
  pid_t pid = 0;
  int port = 0;
};

/// Client and server share one event loop and one core, so that a round trip
/// includes the work of both. The argument is the number of calls in flight.
void
http_round_trip(benchmark::State& state)
{
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  gateway::HttpServer server(
    loop,
    timers,
    "127.0.0.1:0",
    MAX_BODY_BYTES,
    [](const gateway::HttpRequest& request,
       const gateway::HttpServer::ResponseCallback& respond) {
      respond({ 200, "application/proto", request.body, {} });
    });
  if (!server.listen()) {
    state.SkipWithError("the HTTP server can't listen");
    return;
  }
  gateway::HttpClient client(loop, timers, MAX_CONNECTIONS_PER_HOST);
  gateway::HttpClientRequest call;
  call.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/echo";
  call.body.assign(256, 'x');
  std::int64_t calls = 0;
  while (state.KeepRunning()) {
    std::int64_t remaining = state.range(0);
    for (std::int64_t i = 0; i < state.range(0); ++i)
      client.call(call, [&](const gateway::HttpClient::Result& result) {
        if (!result)
          state.SkipWithError("an HTTP call failed");
        if (--remaining == 0)
          loop.stop();
      });
    loop.run();
    calls += state.range(0);
  }
  state.SetItemsProcessed(calls);
}

/// Commits one transaction at a time. The argument is the size of the row in
/// bytes.
void
table_transaction(benchmark::State& state)
{
  Standin standin;
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  kernel::Log log("bench", kernel::Severity::Error);
  gateway::HttpClient client(loop, timers, MAX_CONNECTIONS_PER_HOST);
  platform::HttpTable table(
    loop, timers, log, client, platform::HttpTableOptions{ standin.url() });
  std::string value(static_cast<std::size_t>(state.range(0)), 'x');
  std::uint64_t version = 0;
  while (state.KeepRunning()) {
    platform::Transaction transaction{ { { "cell/a", version } },
                                       { { "cell/a", value } } };
    table.commit(std::move(transaction),
                 [&](const platform::Table::CommitResult& result) {
                   if (result)
                     version = result->front();
                   else
                     state.SkipWithError("a table commit failed");
                   loop.stop();
                 });
    loop.run();
  }
  state.SetItemsProcessed(state.iterations());
}

BENCHMARK(http_round_trip)->Arg(1)->Arg(64)->UseRealTime();
BENCHMARK(table_transaction)->Arg(1'000)->Arg(100'000)->UseRealTime();

} // namespace

BENCHMARK_MAIN();
