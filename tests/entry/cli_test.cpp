#define BOOST_TEST_MODULE cli
#include "entry/cli.h"
#include "gateway/http_server.h"
#include "gateway/unary_error.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace geraniumhinge;
using namespace geraniumhinge::entry;

namespace {

struct Result
{
  int code = -1;
  std::string out;
  std::string err;
};

Result
run(const std::string& line, std::string input = {})
{
  std::vector<std::string> words{ "geraniumhinge" };
  std::istringstream stream(line);
  for (std::string word; stream >> word;)
    words.push_back(word);
  std::vector<const char*> arguments;
  arguments.reserve(words.size());
  for (const std::string& word : words)
    arguments.push_back(word.c_str());
  char* out = nullptr;
  char* err = nullptr;
  std::size_t out_size = 0;
  std::size_t err_size = 0;
  input += '\n'; // fmemopen refuses an empty buffer.
  CliStreams streams{ fmemopen(input.data(), input.size(), "r"),
                      open_memstream(&out, &out_size),
                      open_memstream(&err, &err_size) };
  CliHooks hooks;
  hooks.serve = [](const std::string& path) {
    return path == "good.json" ? EXIT_CODE_SUCCESS : EXIT_CODE_FAILURE;
  };
  hooks.check = [](const std::string& path) {
    std::vector<kernel::SettingFault> faults;
    if (path != "good.json")
      faults.push_back(
        { kernel::SettingFaultKind::Unknown, "/extra", "no such setting" });
    return faults;
  };
  Result result;
  result.code = run_cli(
    static_cast<int>(arguments.size()), arguments.data(), hooks, streams);
  std::fclose(streams.in);
  std::fclose(streams.out);
  std::fclose(streams.err);
  result.out.assign(out, out_size);
  result.err.assign(err, err_size);
  std::free(out);
  std::free(err);
  return result;
}

/// An entry that responds to every call from its own thread.
struct FakeEntry
{
  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  std::string token;
  std::string body;
  gateway::HttpServer server{
    loop,
    timers,
    "127.0.0.1:0",
    100'000,
    [this](const gateway::HttpRequest& request,
           const gateway::HttpServer::ResponseCallback& respond) {
      this->token = request.headers.at("authorization");
      this->body = request.body;
      respond(this->response_to(request.path));
    }
  };
  std::string option; ///< The option --address with this entry's address.
  std::thread thread;

  FakeEntry()
  {
    BOOST_REQUIRE(server.listen());
    option = " --address 127.0.0.1:" + std::to_string(server.port());
    setenv("GERANIUMHINGE_TOKEN", "t", 1);
    thread = std::thread([this] { loop.run(); });
  }
  ~FakeEntry()
  {
    loop.post([this] { loop.stop(); });
    thread.join();
  }

  static gateway::HttpResponse response_to(const std::string& path)
  {
    gateway::HttpResponse response;
    if (path.ends_with("GetStatus")) {
      response.body =
        R"({"configurationVersion":"7","newerField":1,)"
        R"("entries":[{"name":"entry-1","zone":"za","live":true}],)"
        R"("cells":[{"zone":"za","version":"3","witnessHolds":true}],)"
        R"("servers":[{"name":"s1","state":"SERVER_STATE_LOST"}],)"
        R"("guarantees":[{"organisation":"porto","usedAccelerators":5}]})";
      return response;
    }
    if (path.ends_with("SetLimits")) {
      gateway::CallError error =
        gateway::call_error(v1::ERROR_KIND_STALE_VERSION, "stale");
      error.detail.set_current_version(9);
      return gateway::error_response(error);
    }
    response.body = R"({"id":"j1"})";
    return response;
  }
};

} // namespace

// Guards against wrong arguments or settings that exit with another code than
// 2, which scripts rely on.
BOOST_AUTO_TEST_CASE(unusable_arguments_exit_with_2)
{
  for (const char* line : { "",
                            "unknown",
                            "version extra",
                            "serve",
                            "serve --setings x",
                            "call",
                            "call GetJob {",
                            "call GetJob @/nonexistent",
                            "call GetJob {} extra",
                            "status --token-file /nonexistent",
                            "status --timeout-ms 0",
                            "check --settings bad.json" })
    BOOST_TEST(run(line).code == 2, line);
  BOOST_TEST(run("call Missing").err.find("GetStatus") != std::string::npos);
}

// Guards against valid commands that exit with a failure or print nothing.
BOOST_AUTO_TEST_CASE(successful_commands_exit_with_0)
{
  BOOST_TEST(run("version").out.starts_with("geraniumhinge "));
  for (const char* line :
       { "--help", "serve --help", "check --help", "call -h", "status -h" }) {
    Result help = run(line);
    BOOST_TEST(help.code == 0);
    BOOST_TEST(help.out.find("Example") != std::string::npos, line);
  }
  BOOST_TEST(run("serve --settings good.json").code == 0);
  BOOST_TEST(run("serve --settings bad.json").code == 1);
  BOOST_TEST(run("check --settings good.json").out == "good.json: valid\n");
}

// Guards against a body or token that is lost or altered before it is sent,
// from any of its sources.
BOOST_AUTO_TEST_CASE(call_sends_the_body_from_each_source)
{
  FakeEntry entry;
  std::string path =
    "/tmp/geraniumhinge-cli-" + std::to_string(kernel::random_id());
  std::ofstream(path) << R"({"id":"f"})"
                      << "\n";
  setenv("GERANIUMHINGE_TOKEN", "from-variable", 1);
  Result result = run("call GetJob {\"id\":\"a,b\"}" + entry.option);
  BOOST_TEST(result.code == 0);
  BOOST_TEST(result.out == "{\n  \"id\": \"j1\"\n}\n");
  BOOST_TEST(entry.body == R"({"id":"a,b"})");
  BOOST_TEST(entry.token == "Bearer from-variable");
  run("call GetJob @" + path + entry.option);
  BOOST_TEST(entry.body == "{\"id\":\"f\"}\n");
  run("call GetJob - --token-file " + path + entry.option, R"({"id":"s"})");
  BOOST_TEST(entry.body == "{\"id\":\"s\"}\n");
  BOOST_TEST(entry.token == "Bearer {\"id\":\"f\"}");
  unlink(path.c_str());
}

// Guards against a refusal that is shown without its reason, and a failed
// connection whose message does not say that the request was not sent.
BOOST_AUTO_TEST_CASE(failures_exit_with_1_and_print_the_reason)
{
  FakeEntry entry;
  Result stale = run("call SetLimits" + entry.option);
  BOOST_TEST(stale.code == 1);
  BOOST_TEST(stale.err.find("current version: 9") != std::string::npos);
  Result unreachable = run("status --address 127.0.0.1:1");
  BOOST_TEST(unreachable.code == 1);
  BOOST_TEST(unreachable.err.find("was not sent") != std::string::npos);
}

// Guards against a status that omits a part, or that fails because a newer
// entry sends an unknown field.
BOOST_AUTO_TEST_CASE(status_shows_every_part)
{
  FakeEntry entry;
  Result text = run("status" + entry.option);
  BOOST_TEST(text.code == 0);
  for (const char* part : { "version 7", "entry-1", "za", "lost", "porto" })
    BOOST_TEST(text.out.find(part) != std::string::npos, part);
  Result json = run("status --json" + entry.option);
  BOOST_TEST(nlohmann::json::parse(json.out)["configurationVersion"] == "7");
}

// Guards against `explain` exiting with success although arguments are missing,
// a file is unreadable or no line names the job.
BOOST_AUTO_TEST_CASE(explain_fails_on_bad_arguments_and_unknown_jobs)
{
  BOOST_TEST(run("explain").code == EXIT_CODE_USAGE);
  BOOST_TEST(run("explain 5c0e7a21d94b36f8").code == EXIT_CODE_USAGE);
  BOOST_TEST(run("explain 5c0e7a21d94b36f8 /nowhere/log").code ==
             EXIT_CODE_USAGE);
  BOOST_TEST(run("explain 5c0e7a21d94b36f8 /dev/null").code ==
             EXIT_CODE_FAILURE);
}
