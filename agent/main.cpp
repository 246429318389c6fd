#include "agent/agent.h"
#include "agent/events.h"
#include "agent/platform_program.h"
#include "agent/settings.h"
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "gateway/refusal_log.h"
#include "kernel/events.h"
#include "kernel/registry.h"
#include "platform/backend_http.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <optional>
#include <string>
#include <vector>

using namespace geraniumhinge;

namespace {

constexpr int EXIT_OK = 0;
constexpr int EXIT_FAILED = 1;
constexpr int EXIT_UNUSABLE = 2; // Unusable arguments or settings.
constexpr char VERSION[] = GERANIUMHINGE_VERSION;
constexpr std::size_t MAX_HTTP_BODY_BYTES = 4'096;
constexpr int HTTP_NOT_FOUND = 404;

constexpr const char* EXAMPLES = R"(
Commands:
  serve    run the agent
  check    check the settings file and exit
  version  print the version

Examples:
  geraniumhinge-agent check --settings examples/agent.json
  geraniumhinge-agent serve --settings examples/agent.json

Exit codes: 0 success, 1 failure, 2 unusable arguments or settings.
)";

struct Arguments
{
  std::string command;
  std::string settings;
  bool help = false;
};

cxxopts::Options
make_options()
{
  cxxopts::Options options("geraniumhinge-agent",
                           "Agent beside one backend server");
  options.add_options()("command",
                        "serve, check or version",
                        cxxopts::value<std::string>()->default_value(""))(
    "settings",
    "settings file",
    cxxopts::value<std::string>()->default_value(""))("h,help", "show help");
  options.parse_positional({ "command" });
  options.positional_help("serve|check|version");
  return options;
}

std::optional<Arguments>
parse_arguments(cxxopts::Options& options, int argc, char** argv)
{
  try {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (!parsed.unmatched().empty()) {
      fmt::print(
        stderr, "unexpected argument: {}\n", parsed.unmatched().front());
      return std::nullopt;
    }
    return Arguments{ parsed["command"].as<std::string>(),
                      parsed["settings"].as<std::string>(),
                      parsed.count("help") > 0 };
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return std::nullopt;
  }
}

/// Returns the settings, or prints their faults to standard error.
template<typename Settings>
std::optional<Settings>
value_or_print_faults(
  tl::expected<Settings, std::vector<kernel::SettingFault>> settings)
{
  if (settings)
    return std::move(*settings);
  for (const kernel::SettingFault& fault : settings.error())
    fmt::print(stderr, "{}\n", kernel::describe(fault));
  return std::nullopt;
}

std::optional<nlohmann::json>
load_root(const std::string& path)
{
  if (path.empty()) {
    fmt::print(stderr, "--settings FILE is required\n");
    return std::nullopt;
  }
  tl::expected<nlohmann::json, kernel::SettingFault> root =
    kernel::load_settings_file(path);
  if (root)
    return std::move(*root);
  fmt::print(stderr, "{}\n", kernel::describe(root.error()));
  return std::nullopt;
}

/// The group /platform selects the operators' platform.
bool
selects_platform(const nlohmann::json& root)
{
  return root.is_object() && root.contains("platform");
}

void
respond_with_metrics(const kernel::Metrics& metrics,
                     const gateway::HttpRequest& request,
                     const gateway::HttpServer::ResponseCallback& respond)
{
  gateway::HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  if (request.path == "/metrics")
    response.body = metrics.text();
  else
    response.status = HTTP_NOT_FOUND;
  respond(std::move(response));
}

int
serve(const agent::AgentSettings& settings)
{
  kernel::Log log(settings.name, settings.log_level);
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  kernel::Metrics metrics;
  kernel::Tracer tracer(settings.name, settings.trace_path);
  gateway::HttpClient client(loop, timers, platform::MAX_BACKEND_CONNECTIONS);
  platform::BackendHttp backend(client,
                                settings.backend.address,
                                { settings.backend.call_timeout,
                                  settings.backend.checkpoint_timeout,
                                  settings.backend.wait_timeout });
  peer::PeerNode node(
    loop,
    timers,
    log,
    metrics,
    { settings.name, kernel::random_id(), settings.peer_listen });
  gateway::RefusalLog refusal_log(log, metrics);
  gateway::RequestBudget request_budget(settings.limits, refusal_log.hooks());
  gateway::HttpServer metrics_server(
    loop,
    timers,
    settings.http_listen,
    MAX_HTTP_BODY_BYTES,
    [&metrics](const gateway::HttpRequest& request,
               const gateway::HttpServer::ResponseCallback& respond) {
      respond_with_metrics(metrics, request, respond);
    },
    &request_budget);
  kernel::Registry registry;
  registry.add<platform::Backend>("backend", backend);
  registry.add("peer", node);

  if (!node.listen())
    return EXIT_FAILED;
  if (!metrics_server.listen()) {
    log.write(agent::HTTP_LISTEN_FAILED,
              { { "address", settings.http_listen } });
    return EXIT_FAILED;
  }
  agent::Agent agent({ loop,
                       timers,
                       log,
                       metrics,
                       tracer,
                       registry.get<peer::PeerNode>("peer"),
                       registry.get<platform::Backend>("backend") },
                     settings);
  // A second signal has no effect, since Agent::leave ignores further calls.
  kernel::Subscription terminate =
    loop.watch_signal(SIGTERM, [&] { agent.leave([&loop] { loop.stop(); }); });
  kernel::Subscription interrupt =
    loop.watch_signal(SIGINT, [&] { agent.leave([&loop] { loop.stop(); }); });
  log.write(kernel::PROCESS_STARTED, { { "version", VERSION } });
  agent.start();
  loop.run();
  log.write(kernel::PROCESS_STOPPED);
  return EXIT_OK;
}

int
run(int argc, char** argv)
{
  cxxopts::Options options = make_options();
  std::optional<Arguments> arguments = parse_arguments(options, argc, argv);
  if (!arguments)
    return EXIT_UNUSABLE;
  if (arguments->help) {
    fmt::print("{}{}", options.help(), EXAMPLES);
    return EXIT_OK;
  }
  if (arguments->command == "version") {
    fmt::print("geraniumhinge-agent {}\n", VERSION);
    return EXIT_OK;
  }
  if (arguments->command != "serve" && arguments->command != "check") {
    fmt::print(stderr, "the command must be serve, check or version\n");
    return EXIT_UNUSABLE;
  }
  std::optional<nlohmann::json> root = load_root(arguments->settings);
  if (!root)
    return EXIT_UNUSABLE;
  bool only_check = arguments->command == "check";
  if (selects_platform(*root)) {
    std::optional<agent::PlatformSettings> settings =
      value_or_print_faults(agent::read_platform_settings(*root));
    if (!settings)
      return EXIT_UNUSABLE;
    return only_check
             ? EXIT_OK
             : agent::serve_on_platform(*settings, arguments->settings);
  }
  std::optional<agent::AgentSettings> settings =
    value_or_print_faults(agent::read_agent_settings(*root));
  if (!settings)
    return EXIT_UNUSABLE;
  return only_check ? EXIT_OK : serve(*settings);
}

} // namespace

int
main(int argc, char** argv)
{
  return run(argc, argv);
}
