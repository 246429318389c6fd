// Measures the latency that an entry and an agent add to a short request,
// compared with a direct call of the backend server, and the latency at a
// steady rate of requests. Checks every response.

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
constexpr int WARM_UP_PAIRS = 200;
constexpr int PAIRS = 2'000;
constexpr std::int64_t RATE_PER_S = 500;
constexpr std::int64_t DURATION_S = 10;
constexpr std::int64_t STEADY_REQUESTS = RATE_PER_S * DURATION_S;
constexpr int MAX_CONNECTIONS_PER_HOST = 64;
constexpr std::uint32_t TIMEOUT_MS = 5'000;
constexpr kernel::Milliseconds START_LIMIT{ 30'000 };
constexpr kernel::Milliseconds TICK{ 1 };
constexpr double US_PER_MS = 1'000;
constexpr char OPERATOR_TOKEN[] = "bench-operator-token";
constexpr char CALLER_TOKEN[] = "bench-caller-token-0001";

/// Processes of a deployment: the store, one entry, and three backend servers
/// with their agents.
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
  bool folder_created = std::filesystem::create_directories(folder);
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

/// Sends calls on an event loop and measures their latencies.
class RequestClient
{
public:
  using Callback = std::function<void(bool correct, double latency_ms)>;

  explicit RequestClient(const Processes& processes)
    : processes(processes)
  {
  }

  void call_entry(const std::string& input, Callback done)
  {
    v1::RunRequest request;
    request.set_request_id(fmt::format("bench-{}", ++this->next));
    request.set_input(input);
    request.set_idempotent(true);
    request.set_timeout_ms(TIMEOUT_MS);
    std::string id = request.request_id();
    this->call(
      scheduler_call("Run", CALLER_TOKEN, request),
      [id, input](const std::string& body) {
        v1::RunResponse response;
        return response.ParseFromString(body) &&
               response.outcome() == v1::OUTCOME_SUCCEEDED &&
               response.request_id() == id && response.output() == input;
      },
      std::move(done));
  }

  void call_backend(const std::string& input, Callback done)
  {
    const std::string& backend =
      this->processes.backends[++this->next % this->processes.backends.size()];
    gateway::HttpClientRequest call;
    call.url =
      fmt::format("http://{}/run?attempt={}", backend, kernel::random_id());
    call.body = input;
    this->call(
      std::move(call),
      [input](const std::string& body) { return body == input; },
      std::move(done));
  }

  template<typename Request>
  bool call_as_operator(const std::string& name, const Request& request)
  {
    std::optional<bool> result;
    this->call(
      scheduler_call(name, OPERATOR_TOKEN, request),
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
  gateway::HttpClientRequest scheduler_call(
    const std::string& name,
    const std::string& token,
    const google::protobuf::Message& request) const
  {
    gateway::HttpClientRequest call;
    call.url = fmt::format("http://{}/geraniumhinge.v1.Scheduler/{}",
                           this->processes.entry_http,
                           name);
    call.headers["Content-Type"] = "application/proto";
    call.headers["Authorization"] = "Bearer " + token;
    call.body = request.SerializeAsString();
    call.timeout = kernel::Milliseconds(TIMEOUT_MS);
    return call;
  }

  void call(gateway::HttpClientRequest call,
            std::function<bool(const std::string&)> check,
            Callback done)
  {
    std::int64_t started = kernel::boot_us();
    this->http_client.call(
      std::move(call),
      [started, check = std::move(check), done = std::move(done)](
        const gateway::HttpClient::Result& result) {
        double ms =
          static_cast<double>(kernel::boot_us() - started) / US_PER_MS;
        done(result && result->status == 200 && check(result->body), ms);
      });
  }

  const Processes& processes;
  gateway::HttpClient http_client{ loop, timers, MAX_CONNECTIONS_PER_HOST };
  std::uint64_t next = 0;
};

/// Creates the organisation and its caller, and waits until a request succeeds.
bool
prepare_deployment(RequestClient& client)
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
  auto request_succeeds = [&client] {
    std::optional<bool> result;
    client.call_entry("ready", [&](bool correct, double) { result = correct; });
    client.run_until([&] { return result.has_value(); });
    return *result;
  };
  return tests::wait_until(START_LIMIT,
                           [&] {
                             return client.call_as_operator(
                               "CreateOrganisation", create);
                           }) &&
         tests::wait_until(
           START_LIMIT,
           [&] { return client.call_as_operator("AssignCaller", assign); }) &&
         tests::wait_until(START_LIMIT, request_succeeds);
}

/// Sends one call at a time, alternately to a backend server and to the entry.
nlohmann::json
low_load(RequestClient& client)
{
  std::vector<double> direct;
  std::vector<double> through_entry;
  std::vector<double> added;
  int wrong_responses = 0;
  for (int pair = 0; pair < WARM_UP_PAIRS + PAIRS; ++pair) {
    std::string input = fmt::format("low load {}", pair);
    std::optional<double> first;
    std::optional<double> second;
    client.call_backend(input, [&](bool correct, double ms) {
      wrong_responses += correct ? 0 : 1;
      first = ms;
    });
    client.run_until([&] { return first.has_value(); });
    client.call_entry(input, [&](bool correct, double ms) {
      wrong_responses += correct ? 0 : 1;
      second = ms;
    });
    client.run_until([&] { return second.has_value(); });
    if (pair < WARM_UP_PAIRS)
      continue;
    direct.push_back(*first);
    through_entry.push_back(*second);
    added.push_back(*second - *first);
  }
  return { { "direct", summary(direct) },
           { "through", summary(through_entry) },
           { "added", summary(added) },
           { "wrong_answers", wrong_responses } };
}

/// Sends requests at a fixed rate, independent of the latency of earlier
/// requests.
nlohmann::json
steady_load(RequestClient& client)
{
  std::vector<double> latencies;
  std::int64_t sent = 0;
  std::int64_t completed = 0;
  int wrong_responses = 0;
  std::int64_t started = kernel::boot_us();
  kernel::Subscription sender = client.timers.every(TICK, [&] {
    std::int64_t elapsed = kernel::boot_us() - started;
    std::int64_t due =
      std::min(elapsed * RATE_PER_S / 1'000'000, STEADY_REQUESTS);
    for (; sent < due; ++sent)
      client.call_entry(fmt::format("steady load {}", sent),
                        [&](bool correct, double ms) {
                          ++completed;
                          wrong_responses += correct ? 0 : 1;
                          latencies.push_back(ms);
                        });
  });
  client.run_until([&] { return completed == STEADY_REQUESTS; });
  double seconds = static_cast<double>(kernel::boot_us() - started) / 1'000'000;
  return { { "rate_per_s", RATE_PER_S },
           { "seconds", seconds },
           { "latency", summary(latencies) },
           { "wrong_answers", wrong_responses } };
}

} // namespace

int
main(int argc, char** argv)
{
  std::string path = argc > 1 ? argv[1] : "docs/measurements/requests.json";
  Processes processes;
  RequestClient client(processes);
  if (!prepare_deployment(client)) {
    fmt::print(stderr, "the processes did not become ready\n");
    return 1;
  }
  nlohmann::json result = { { "low_load", low_load(client) },
                            { "steady_load", steady_load(client) } };
  std::filesystem::create_directories(
    std::filesystem::path(path).parent_path());
  tests::write_json(path, result);
  fmt::print("{}\n", result.dump(2));
  bool wrong_responses = result["low_load"]["wrong_answers"] != 0 ||
                         result["steady_load"]["wrong_answers"] != 0;
  return wrong_responses ? 1 : 0;
}
