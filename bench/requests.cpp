// Latency that an entry and an agent add to a short request, against calling
// the backend server directly, and a steady load with every answer checked.

#include "gateway/http_client.h"
#include "kernel/clock.h"
#include "tests/support/ports.h"
#include "tests/support/process.h"
#include "tests/support/settings.h"
#include "tests/support/wait.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fmt/format.h>
#include <memory>
#include <optional>

using namespace geraniumhinge;

namespace {

constexpr int SERVERS = 3;
constexpr int WARM_UP = 200;
constexpr int PAIRS = 2'000;
constexpr std::int64_t RATE = 500; // Requests per second.
constexpr std::int64_t SECONDS = 10;
constexpr std::int64_t STEADY_REQUESTS = RATE * SECONDS;
constexpr int PORTS_LIMIT = 64;
constexpr std::uint32_t TIMEOUT_MS = 5'000;
constexpr kernel::Milliseconds START_LIMIT{ 30'000 };
constexpr kernel::Milliseconds TICK{ 1 };
constexpr double US_PER_MS = 1'000;
constexpr char OPERATOR_TOKEN[] = "bench-operator-token";
constexpr char CALLER_TOKEN[] = "bench-caller-token-0001";

/// Store, one entry and three backend servers with their agents.
class Processes
{
public:
  Processes()
  {
    this->start("platform_standin", { "--listen", this->store });
    nlohmann::json entry = {
      { "name", "entry-1" },
      { "zone", "zone-1" },
      { "http", { { "listen", this->entry_http } } },
      { "peer", { { "listen", this->entry_peer } } },
      { "store",
        { { "table_url", "http://" + this->store },
          { "objects_url", "http://" + this->store } } },
      { "operators", { "bench=" + tests::token_digest(OPERATOR_TOKEN) } }
    };
    this->start_with("geraniumhinge", "entry-1", entry);
    for (int index = 1; index <= SERVERS; ++index)
      this->start_server(index);
  }
  ~Processes()
  {
    this->running.clear();
    std::filesystem::remove_all(this->folder);
  }
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  std::string store = tests::free_address();
  std::string entry_http = tests::free_address();
  std::string entry_peer = tests::free_address();
  std::vector<std::string> backends;

private:
  void start(const std::string& program, std::vector<std::string> arguments)
  {
    arguments.insert(arguments.begin(), this->binaries / program);
    this->running.push_back(std::make_unique<tests::Process>(
      arguments, this->folder / (program + ".log")));
  }
  void start_with(const std::string& program,
                  const std::string& name,
                  const nlohmann::json& settings)
  {
    std::string path = this->folder / (name + ".json");
    tests::write_json(path, settings);
    this->start(program, { "serve", "--settings", path });
  }
  void start_server(int index)
  {
    std::string backend = tests::free_address();
    this->backends.push_back(backend);
    this->start("backend_standin", { "--listen", backend });
    std::string name = fmt::format("server-{}", index);
    nlohmann::json agent = {
      { "name", name },
      { "zone", "zone-1" },
      { "rack", "rack-1" },
      { "entries", { this->entry_peer } },
      { "peer", { { "listen", tests::free_address() } } },
      { "http", { { "listen", tests::free_address() } } },
      { "backend", { { "address", backend } } },
      { "capacity",
        { { "accelerators", 8 },
          { "slots", 8 },
          { "cores", 32 },
          { "memory_mb", 131'072 } } }
    };
    this->start_with("geraniumhinge-agent", name, agent);
  }

  std::filesystem::path binaries =
    std::filesystem::read_symlink("/proc/self/exe").parent_path();
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    fmt::format("geraniumhinge-bench-{}", kernel::random_id());
  bool made = std::filesystem::create_directories(folder);
  std::vector<std::unique_ptr<tests::Process>> running;
};

double
quantile(std::vector<double> values, double probability)
{
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  std::size_t index =
    static_cast<std::size_t>(probability * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

nlohmann::json
summary(const std::vector<double>& values)
{
  return { { "count", values.size() },
           { "median_ms", quantile(values, 0.5) },
           { "p99_ms", quantile(values, 0.99) } };
}

/// Calls on a loop, with their latencies.
class Bench
{
public:
  using Done = std::function<void(bool correct, double latency_ms)>;

  explicit Bench(const Processes& processes)
    : processes(processes)
  {
  }

  void through(const std::string& input, Done done)
  {
    v1::RunRequest request;
    request.set_request_id(fmt::format("bench-{}", ++this->next));
    request.set_input(input);
    request.set_idempotent(true);
    request.set_timeout_ms(TIMEOUT_MS);
    std::string id = request.request_id();
    this->call(
      method("Run", CALLER_TOKEN, request),
      [id, input](const std::string& body) {
        v1::RunResponse response;
        return response.ParseFromString(body) &&
               response.outcome() == v1::OUTCOME_SUCCEEDED &&
               response.request_id() == id && response.output() == input;
      },
      std::move(done));
  }

  void direct(const std::string& input, Done done)
  {
    const std::string& backend =
      this->processes.backends[++this->next % this->processes.backends.size()];
    gateway::HttpCall call;
    call.url =
      fmt::format("http://{}/run?attempt={}", backend, kernel::random_id());
    call.body = input;
    this->call(
      std::move(call),
      [input](const std::string& body) { return body == input; },
      std::move(done));
  }

  template<typename Request>
  bool operate(const std::string& name, const Request& request)
  {
    std::optional<bool> result;
    this->call(
      method(name, OPERATOR_TOKEN, request),
      [](const std::string&) { return true; },
      [&](bool correct, double) { result = correct; });
    this->run_until([&] { return result.has_value(); });
    return *result;
  }

  void run_until(const std::function<bool()>& condition)
  {
    kernel::Subscription poll = this->timers.every(TICK, [&] {
      if (condition())
        this->loop.stop();
    });
    if (!condition())
      this->loop.run();
  }

  kernel::Loop loop;
  kernel::TimerService timers{ loop };

private:
  gateway::HttpCall method(const std::string& name,
                           const std::string& token,
                           const google::protobuf::Message& request) const
  {
    gateway::HttpCall call;
    call.url = fmt::format("http://{}/geraniumhinge.v1.Scheduler/{}",
                           this->processes.entry_http,
                           name);
    call.headers["Content-Type"] = "application/proto";
    call.headers["Authorization"] = "Bearer " + token;
    call.body = request.SerializeAsString();
    call.timeout = kernel::Milliseconds(TIMEOUT_MS);
    return call;
  }

  void call(gateway::HttpCall call,
            std::function<bool(const std::string&)> check,
            Done done)
  {
    std::int64_t started = kernel::boot_us();
    this->client.call(
      std::move(call),
      [started, check = std::move(check), done = std::move(done)](
        const gateway::HttpClient::Result& answer) {
        double ms =
          static_cast<double>(kernel::boot_us() - started) / US_PER_MS;
        done(answer && answer->status == 200 && check(answer->body), ms);
      });
  }

  const Processes& processes;
  gateway::HttpClient client{ loop, timers, PORTS_LIMIT };
  std::uint64_t next = 0;
};

/// Creates the caller and waits until a request succeeds.
bool
set_up(Bench& bench)
{
  v1::CreateOrganisationRequest create;
  create.mutable_organisation()->set_name("bench");
  v1::Limits& limits = *create.mutable_organisation()->mutable_limits();
  limits.set_max_queued_jobs(1'000);
  limits.set_max_concurrent_requests(10'000);
  limits.set_weight(1);
  v1::AssignCallerRequest assign;
  assign.set_base_version(1);
  assign.set_caller("bench");
  assign.set_organisation("bench");
  assign.set_token(CALLER_TOKEN);
  auto is_up = [&bench] {
    std::optional<bool> result;
    bench.through("ready", [&](bool correct, double) { result = correct; });
    bench.run_until([&] { return result.has_value(); });
    return *result;
  };
  return tests::wait_until(
           START_LIMIT,
           [&] { return bench.operate("CreateOrganisation", create); }) &&
         tests::wait_until(
           START_LIMIT,
           [&] { return bench.operate("AssignCaller", assign); }) &&
         tests::wait_until(START_LIMIT, is_up);
}

/// One call after the other, direct and through the entry in turn.
nlohmann::json
low_load(Bench& bench)
{
  std::vector<double> direct;
  std::vector<double> through;
  std::vector<double> added;
  int wrong = 0;
  for (int pair = 0; pair < WARM_UP + PAIRS; ++pair) {
    std::string input = fmt::format("low load {}", pair);
    std::optional<double> first;
    std::optional<double> second;
    bench.direct(input, [&](bool correct, double ms) {
      wrong += correct ? 0 : 1;
      first = ms;
    });
    bench.run_until([&] { return first.has_value(); });
    bench.through(input, [&](bool correct, double ms) {
      wrong += correct ? 0 : 1;
      second = ms;
    });
    bench.run_until([&] { return second.has_value(); });
    if (pair < WARM_UP)
      continue;
    direct.push_back(*first);
    through.push_back(*second);
    added.push_back(*second - *first);
  }
  return { { "direct", summary(direct) },
           { "through", summary(through) },
           { "added", summary(added) },
           { "wrong_answers", wrong } };
}

/// Requests at a fixed rate, whatever the latency of earlier ones.
nlohmann::json
steady_load(Bench& bench)
{
  std::vector<double> latencies;
  std::int64_t sent = 0;
  std::int64_t answered = 0;
  int wrong = 0;
  std::int64_t started = kernel::boot_us();
  kernel::Subscription sender = bench.timers.every(TICK, [&] {
    std::int64_t elapsed = kernel::boot_us() - started;
    std::int64_t due = std::min(elapsed * RATE / 1'000'000, STEADY_REQUESTS);
    for (; sent < due; ++sent)
      bench.through(fmt::format("steady load {}", sent),
                    [&](bool correct, double ms) {
                      ++answered;
                      wrong += correct ? 0 : 1;
                      latencies.push_back(ms);
                    });
  });
  bench.run_until([&] { return answered == STEADY_REQUESTS; });
  double seconds = static_cast<double>(kernel::boot_us() - started) / 1'000'000;
  return { { "rate_per_s", RATE },
           { "seconds", seconds },
           { "latency", summary(latencies) },
           { "wrong_answers", wrong } };
}

} // namespace

int
main(int argc, char** argv)
{
  std::string path = argc > 1 ? argv[1] : "docs/measurements/requests.json";
  Processes processes;
  Bench bench(processes);
  if (!set_up(bench)) {
    fmt::print(stderr, "the processes did not get ready\n");
    return 1;
  }
  nlohmann::json result = { { "low_load", low_load(bench) },
                            { "steady_load", steady_load(bench) } };
  std::filesystem::create_directories(
    std::filesystem::path(path).parent_path());
  tests::write_json(path, result);
  fmt::print("{}\n", result.dump(2));
  bool wrong = result["low_load"]["wrong_answers"] != 0 ||
               result["steady_load"]["wrong_answers"] != 0;
  return wrong ? 1 : 0;
}
