#pragma once

#include "kernel/settings.h"
#include "tests/peer/peer_fixture.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <vector>

extern char** environ;

namespace geraniumhinge::tests {

/// A child process that is killed when this object goes out of scope.
class Process
{
public:
  explicit Process(std::vector<std::string> arguments)
  {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments)
      argv.push_back(argument.data());
    argv.push_back(nullptr);
    if (posix_spawn(&this->id, argv[0], nullptr, nullptr, argv.data(), environ))
      this->id = -1;
  }
  ~Process()
  {
    if (this->id <= 0)
      return;
    kill(this->id, SIGKILL);
    waitpid(this->id, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const { kill(this->id, number); }
  pid_t pid() const { return this->id; }

  /// Whether the process has exited; sets `exit_code` if so.
  bool exited()
  {
    int status = 0;
    if (this->id > 0 && waitpid(this->id, &status, WNOHANG) == this->id) {
      this->id = -1;
      this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return this->id <= 0;
  }

  int exit_code = -1;

private:
  pid_t id = -1;
};

/// Processes of one agent and of the stand-in for its backend server.
struct AgentProcess
{
  std::string peer_address = free_address();
  std::string http_address = free_address();
  std::string backend_address = free_address();
  std::string settings_path;
  std::unique_ptr<Process> backend;
  std::unique_ptr<Process> agent;

  AgentProcess(const std::string& name, const std::string& entry)
  {
    char path[] = "/tmp/agent_settings_XXXXXX";
    close(mkstemp(path));
    this->settings_path = path;
    nlohmann::json settings = *kernel::load_settings_file(
      GERANIUMHINGE_SOURCE_DIR "/examples/agent.json");
    settings["name"] = name;
    settings["entries"] = { entry };
    settings["peer"]["listen"] = this->peer_address;
    settings["http"]["listen"] = this->http_address;
    settings["backend"]["address"] = this->backend_address;
    std::ofstream(path) << settings.dump();
    std::string bin = GERANIUMHINGE_BIN_DIR;
    this->backend = std::make_unique<Process>(std::vector<std::string>{
      bin + "/backend_standin", "--listen", this->backend_address });
    this->agent = std::make_unique<Process>(std::vector<std::string>{
      bin + "/geraniumhinge-agent", "serve", "--settings", path });
  }
  ~AgentProcess() { std::remove(this->settings_path.c_str()); }
};

/// An entry that acknowledges every message and records the announcements and
/// results of agents.
struct EntryStandin : Fixture
{
  std::string address = free_address();
  std::unique_ptr<peer::PeerNode> entry = this->node("entry", this->address);
  std::map<std::string, v1::Member> agents;
  std::vector<v1::MemberDone> results;
  bool left = false;

  EntryStandin()
  {
    this->entry->on_message(
      [this](const v1::Envelope& received) { this->handle(received); });
  }

  void handle(const v1::Envelope& received)
  {
    v1::Envelope reply;
    if (received.has_hello()) {
      this->agents[received.sender()] = received.hello().member();
      v1::EntryRow& row = *reply.mutable_hello_reply()->add_entries();
      row.set_name("entry");
      row.set_peer_address(this->address);
      reply.mutable_hello_reply()->mutable_config()->set_version(1);
      reply.mutable_hello_reply()->set_entries_digest(1);
    } else {
      reply.mutable_ack()->set_entries_digest(1);
    }
    if (received.has_member_done())
      this->results.push_back(received.member_done());
    this->left = this->left || received.has_leaving();
    this->entry->reply(received, std::move(reply));
  }

  /// Sends a request and waits for its reply; an empty envelope if none came.
  v1::Envelope call(const std::string& to, v1::Envelope envelope)
  {
    constexpr kernel::Milliseconds LIMIT{ 10'000 };
    bool done = false;
    v1::Envelope result;
    this->entry->request(to, std::move(envelope), LIMIT, [&](auto reply) {
      done = true;
      if (reply)
        result = std::move(*reply);
    });
    this->run_until([&] { return done; });
    return result;
  }
};

} // namespace geraniumhinge::tests
