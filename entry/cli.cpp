#include "entry/cli.h"

#include "entry/cli_status.h"
#include "entry/explain.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace geraniumhinge::entry {

namespace {

constexpr char VERSION[] = GERANIUMHINGE_VERSION;
constexpr char TOKEN_VARIABLE[] = "GERANIUMHINGE_TOKEN";
constexpr char DEFAULT_ADDRESS[] = "127.0.0.1:8080";
constexpr std::int64_t DEFAULT_TIMEOUT_MS = 30'000;
constexpr std::int64_t MAX_TIMEOUT_MS = 86'400'000;
constexpr int JSON_INDENT = 2;

constexpr char HELP[] = R"(Usage: geraniumhinge COMMAND [OPTIONS]

Commands:
  serve    Run an entry.
  check    Validate a settings file.
  call     Call a method of the scheduler and print the response as JSON.
  status   Show entries, cells, backend servers and organisations.
  explain  Show the history of a job from the logs of all processes.
  version  Print the version.

`geraniumhinge COMMAND --help` shows the options of a command.

Exit codes: 0 success, 1 failure, 2 unusable arguments or settings.

Examples:
  geraniumhinge check --settings entry.json
  geraniumhinge serve --settings entry.json
  geraniumhinge status --address 10.0.0.5:8080 --token-file operator.token
  geraniumhinge call GetConfiguration --token-file operator.token
)";

constexpr char CALL_EXAMPLES[] = R"(
BODY is JSON, @FILE, or - for standard input; the default is {}. The token is
read from --token-file, or else from the variable GERANIUMHINGE_TOKEN.

Examples:
  geraniumhinge call ListOrganisations --token-file operator.token
  geraniumhinge call AssignCaller --token-file operator.token \
    '{"base_version": 4, "caller": "shop-1", "organisation": "porto"}'
  geraniumhinge call SetGuarantees @guarantees.json
  echo '{"id": "j1"}' | geraniumhinge call GetJob -
)";

constexpr char EXPLAIN_EXAMPLES[] = R"(
Lines of other programs are skipped, and so is a time or name that a collector
puts before a line. The file /dev/stdin is the standard input. The exit code is
1 if no line names the job.

Examples:
  geraniumhinge explain 5c0e7a21d94b36f8 entry-1.log entry-2.log agent-*.log
  zcat logs/*.gz | geraniumhinge explain 5c0e7a21d94b36f8 /dev/stdin
)";

constexpr char STATUS_EXAMPLES[] = R"(
Examples:
  geraniumhinge status --address 10.0.0.5:8080 --token-file operator.token
  geraniumhinge status --json
)";

constexpr char SETTINGS_EXAMPLES[] = R"(
Example:
  geraniumhinge {} --settings entry.json
)";

/// Why the arguments are unusable.
struct UsageError
{
  std::string message;
};

template<typename Value>
using UsageResult = tl::expected<Value, UsageError>;

struct Context
{
  int argc;
  const char* const* argv; ///< The first one is the command.
  const CliHooks& hooks;
  CliStreams streams;
};

tl::unexpected<UsageError>
usage_error(std::string message)
{
  return tl::unexpected(UsageError{ std::move(message) });
}

int
report_usage_error(const CliStreams& streams, const UsageError& error)
{
  fmt::print(
    streams.err, "error: {}\nTry geraniumhinge --help.\n", error.message);
  return EXIT_CODE_USAGE;
}

UsageResult<cxxopts::ParseResult>
parse(cxxopts::Options& options, const Context& context)
{
  try {
    cxxopts::ParseResult result = options.parse(context.argc, context.argv);
    if (!result.unmatched().empty())
      return usage_error("unexpected argument " + result.unmatched().front());
    return result;
  } catch (const cxxopts::exceptions::exception& error) {
    return usage_error(error.what());
  }
}

/// Reads a whole file.
UsageResult<std::string>
read_file(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return usage_error("cannot read the file " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
read_stream(std::FILE* stream)
{
  std::string text;
  char buffer[4096];
  std::size_t size = 0;
  while ((size = std::fread(buffer, 1, sizeof buffer, stream)) > 0)
    text.append(buffer, size);
  return text;
}

UsageResult<std::string>
read_token(const cxxopts::ParseResult& arguments)
{
  if (arguments.count("token-file") == 0) {
    const char* token = std::getenv(TOKEN_VARIABLE); // NOLINT: one thread.
    return std::string(token ? token : "");
  }
  UsageResult<std::string> token =
    read_file(arguments["token-file"].as<std::string>());
  if (token)
    token->erase(token->find_last_not_of(" \t\r\n") + 1);
  return token;
}

void
add_remote_options(cxxopts::Options& options)
{
  options.add_options()(
    "address",
    "Address of an entry or of the balancer",
    cxxopts::value<std::string>()->default_value(DEFAULT_ADDRESS),
    "HOST:PORT")("token-file",
                 "File with the bearer token",
                 cxxopts::value<std::string>(),
                 "FILE")("timeout-ms",
                         "Longest wait for the response",
                         cxxopts::value<std::int64_t>()->default_value(
                           std::to_string(DEFAULT_TIMEOUT_MS)),
                         "MS")("h,help", "Show this help");
}

/// Reads the address, token and timeout of a call from the options.
UsageResult<RemoteCall>
remote_call(const cxxopts::ParseResult& arguments)
{
  RemoteCall call;
  call.address = arguments["address"].as<std::string>();
  if (call.address.rfind(':') == std::string::npos)
    return usage_error("--address is not HOST:PORT");
  std::int64_t timeout = arguments["timeout-ms"].as<std::int64_t>();
  if (timeout < 1 || timeout > MAX_TIMEOUT_MS)
    return usage_error("--timeout-ms is not in the range 1 to 86400000");
  call.timeout = kernel::Milliseconds(timeout);
  UsageResult<std::string> token = read_token(arguments);
  if (!token)
    return tl::unexpected(token.error());
  call.token = *token;
  return call;
}

/// Checks a method's name against the schema.
UsageResult<void>
check_method(const std::string& method)
{
  const google::protobuf::ServiceDescriptor* service =
    v1::GetStatusRequest::descriptor()->file()->FindServiceByName("Scheduler");
  if (service->FindMethodByName(method))
    return {};
  std::string known;
  for (int i = 0; i < service->method_count(); ++i)
    known += " " + service->method(i)->name();
  return usage_error("there is no method " + method + "; methods are:" + known);
}

UsageResult<std::string>
read_body(const std::string& argument, std::FILE* in)
{
  UsageResult<std::string> body = argument;
  if (argument == "-")
    body = read_stream(in);
  else if (argument.starts_with('@'))
    body = read_file(argument.substr(1));
  if (body && !nlohmann::json::accept(*body))
    return usage_error("the body is not JSON");
  return body;
}

/// Returns the time for which the method itself waits, as the body says. The
/// call's timeout is extended by this time.
kernel::Milliseconds
method_wait(const std::string& body)
{
  nlohmann::json message = nlohmann::json::parse(body);
  for (const char* name : { "timeout_ms", "timeoutMs" }) {
    if (message.is_object() && message.contains(name) &&
        message[name].is_number_unsigned())
      return kernel::Milliseconds(std::min<std::uint64_t>(
        message[name].get<std::uint64_t>(), MAX_TIMEOUT_MS));
  }
  return kernel::Milliseconds(0);
}

UsageResult<RemoteCall>
make_call(const cxxopts::ParseResult& arguments, std::FILE* in)
{
  if (arguments.count("method") == 0)
    return usage_error("the method is missing");
  UsageResult<RemoteCall> call = remote_call(arguments);
  if (!call)
    return call;
  call->method = arguments["method"].as<std::string>();
  UsageResult<void> known = check_method(call->method);
  if (!known)
    return tl::unexpected(known.error());
  UsageResult<std::string> body =
    read_body(arguments["body"].as<std::string>(), in);
  if (!body)
    return tl::unexpected(body.error());
  call->body = *body;
  call->timeout += method_wait(call->body);
  return call;
}

int
run_call(const Context& context)
{
  cxxopts::Options options("geraniumhinge call",
                           "Calls a method and prints the response as JSON.");
  add_remote_options(options);
  options.add_options()("method", "", cxxopts::value<std::string>())(
    "body", "", cxxopts::value<std::string>()->default_value("{}"));
  options.parse_positional({ "method", "body" });
  options.positional_help("METHOD [BODY]");
  UsageResult<cxxopts::ParseResult> arguments = parse(options, context);
  if (!arguments)
    return report_usage_error(context.streams, arguments.error());
  if (arguments->count("help") > 0) {
    fmt::print(context.streams.out, "{}{}", options.help(), CALL_EXAMPLES);
    return EXIT_CODE_SUCCESS;
  }
  UsageResult<RemoteCall> call = make_call(*arguments, context.streams.in);
  if (!call)
    return report_usage_error(context.streams, call.error());
  tl::expected<std::string, RemoteFailure> response =
    call_remote(*call, context.streams.err);
  if (!response) {
    print_failure(response.error(), context.streams.err);
    return EXIT_CODE_FAILURE;
  }
  nlohmann::ordered_json json =
    nlohmann::ordered_json::parse(*response, nullptr, false);
  fmt::print(context.streams.out,
             "{}\n",
             json.is_discarded() ? *response : json.dump(JSON_INDENT));
  return EXIT_CODE_SUCCESS;
}

int
print_status(const Context& context, const std::string& json)
{
  v1::GetStatusResponse status;
  google::protobuf::util::JsonParseOptions options;
  // An entry of a newer version may send more fields.
  options.ignore_unknown_fields = true;
  if (!google::protobuf::util::JsonStringToMessage(json, &status, options)
         .ok()) {
    print_failure({ "the response is not a status", std::nullopt },
                  context.streams.err);
    return EXIT_CODE_FAILURE;
  }
  fmt::print(context.streams.out, "{}", format_status(status));
  return EXIT_CODE_SUCCESS;
}

int
run_status(const Context& context)
{
  cxxopts::Options options(
    "geraniumhinge status",
    "Shows entries, cells, backend servers and organisations.");
  add_remote_options(options);
  options.add_options()("json", "Print JSON");
  UsageResult<cxxopts::ParseResult> arguments = parse(options, context);
  if (!arguments)
    return report_usage_error(context.streams, arguments.error());
  if (arguments->count("help") > 0) {
    fmt::print(context.streams.out, "{}{}", options.help(), STATUS_EXAMPLES);
    return EXIT_CODE_SUCCESS;
  }
  UsageResult<RemoteCall> call = remote_call(*arguments);
  if (!call)
    return report_usage_error(context.streams, call.error());
  call->method = "GetStatus";
  call->body = "{}";
  tl::expected<std::string, RemoteFailure> response =
    call_remote(*call, context.streams.err);
  if (!response) {
    print_failure(response.error(), context.streams.err);
    return EXIT_CODE_FAILURE;
  }
  if (arguments->count("json") == 0)
    return print_status(context, *response);
  fmt::print(context.streams.out, "{}\n", *response);
  return EXIT_CODE_SUCCESS;
}

int
check_settings(const Context& context, const std::string& path)
{
  std::vector<kernel::SettingFault> faults = context.hooks.check(path);
  for (const kernel::SettingFault& fault : faults)
    fmt::print(context.streams.err, "{}: {}\n", path, kernel::describe(fault));
  if (!faults.empty())
    return EXIT_CODE_USAGE;
  fmt::print(context.streams.out, "{}: valid\n", path);
  return EXIT_CODE_SUCCESS;
}

void
read_log_lines(std::istream& in, std::vector<LogLine>& lines)
{
  for (std::string text; std::getline(in, text);) {
    std::optional<LogLine> line = parse_log_line(text);
    if (line)
      lines.push_back(std::move(*line));
  }
}

int
run_explain(const Context& context)
{
  cxxopts::Options options("geraniumhinge explain",
                           "Shows the history of a job from the logs of all "
                           "processes.\n");
  options.positional_help("JOB FILE...");
  options.add_options()("job", "Identifier", cxxopts::value<std::string>())(
    "files", "Logs", cxxopts::value<std::vector<std::string>>())(
    "h,help", "Show this help");
  options.parse_positional({ "job", "files" });
  UsageResult<cxxopts::ParseResult> arguments = parse(options, context);
  if (!arguments)
    return report_usage_error(context.streams, arguments.error());
  if (arguments->count("help") > 0) {
    fmt::print(context.streams.out, "{}{}", options.help(), EXPLAIN_EXAMPLES);
    return EXIT_CODE_SUCCESS;
  }
  if (arguments->count("job") == 0 || arguments->count("files") == 0)
    return report_usage_error(context.streams,
                              { "JOB and at least one FILE are needed" });
  std::vector<LogLine> lines;
  for (const std::string& path :
       (*arguments)["files"].as<std::vector<std::string>>()) {
    std::ifstream file(path);
    if (!file)
      return report_usage_error(context.streams, { "cannot read " + path });
    read_log_lines(file, lines);
  }
  std::string job = (*arguments)["job"].as<std::string>();
  bool found =
    std::any_of(lines.begin(), lines.end(), [&job](const LogLine& line) {
      return names_job(line, job);
    });
  fmt::print(context.streams.out, "{}", explain(job, std::move(lines)));
  return found ? EXIT_CODE_SUCCESS : EXIT_CODE_FAILURE;
}

/// Runs `serve` and `check`, which take a settings file.
int
run_with_settings(const Context& context,
                  const std::string& command,
                  const std::function<int(const std::string&)>& run)
{
  cxxopts::Options options("geraniumhinge " + command);
  options.add_options()("settings",
                        "Settings file",
                        cxxopts::value<std::string>(),
                        "FILE")("h,help", "Show this help");
  UsageResult<cxxopts::ParseResult> arguments = parse(options, context);
  if (!arguments)
    return report_usage_error(context.streams, arguments.error());
  if (arguments->count("help") > 0) {
    fmt::print(context.streams.out,
               "{}{}",
               options.help(),
               fmt::format(fmt::runtime(SETTINGS_EXAMPLES), command));
    return EXIT_CODE_SUCCESS;
  }
  if (arguments->count("settings") == 0)
    return report_usage_error(context.streams,
                              { "--settings FILE is missing" });
  return run((*arguments)["settings"].as<std::string>());
}

} // namespace

int
run_cli(int argc,
        const char* const* argv,
        const CliHooks& hooks,
        CliStreams streams)
{
  if (argc < 2) {
    fmt::print(streams.err, "{}", HELP);
    return EXIT_CODE_USAGE;
  }
  Context context{ argc - 1, argv + 1, hooks, streams };
  std::string command = argv[1];
  if (command == "serve")
    return run_with_settings(context, command, hooks.serve);
  if (command == "check")
    return run_with_settings(context, command, [&](const std::string& path) {
      return check_settings(context, path);
    });
  if (command == "call")
    return run_call(context);
  if (command == "status")
    return run_status(context);
  if (command == "explain")
    return run_explain(context);
  bool help = command == "--help" || command == "-h" || command == "help";
  if (!help && command != "version" && command != "--version")
    return report_usage_error(streams, { "unknown command " + command });
  if (argc > 2)
    return report_usage_error(
      streams, { fmt::format("unexpected argument {}", argv[2]) });
  if (help)
    fmt::print(streams.out, "{}", HELP);
  else
    fmt::print(streams.out, "geraniumhinge {}\n", VERSION);
  return EXIT_CODE_SUCCESS;
}

} // namespace geraniumhinge::entry
