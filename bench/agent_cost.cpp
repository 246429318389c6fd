// Measures processor share, resident memory and bytes sent of one agent, first
// idle and then as the lead of four gangs of two members. Must be run from the
// root of the checkout.
#define BOOST_TEST_MODULE agent_cost
#include <boost/test/included/unit_test.hpp>

#define GERANIUMHINGE_SOURCE_DIR "."
#define GERANIUMHINGE_BIN_DIR "build/bin"
#include "gateway/http_client.h"
#include "tests/agent/agent_process.h"

#include <filesystem>
#include <fmt/format.h>
#include <sstream>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr kernel::Milliseconds MEASUREMENT_WINDOW{ 20'000 };
constexpr double NS_PER_MS = 1e6;
constexpr double MS_PER_S = 1e3;
constexpr double KB_PER_MB = 1024;
constexpr int GANG_COUNT = 4;

struct Sample
{
  std::int64_t time_ms = 0;
  double cpu_ms = 0;
  double sent_bytes = 0;
};

double
cpu_ms(pid_t pid)
{
  double total_ns = 0;
  std::string folder = fmt::format("/proc/{}/task", pid);
  for (const std::filesystem::directory_entry& thread :
       std::filesystem::directory_iterator(folder)) {
    double ns = 0;
    std::ifstream(thread.path() / "schedstat") >> ns;
    total_ns += ns;
  }
  return total_ns / NS_PER_MS;
}

double
resident_mb(pid_t pid)
{
  std::ifstream file(fmt::format("/proc/{}/status", pid));
  std::string key;
  double kb = 0;
  while (file >> key) {
    if (key == "VmRSS:")
      file >> kb;
  }
  return kb / KB_PER_MB;
}

struct AgentCostFixture : EntryStandin
{
  gateway::HttpClient client{ this->loop, this->timers, 2 };
  AgentProcess lead{ "lead", this->address };
  AgentProcess follower{ "other", this->address };

  double sent_bytes()
  {
    gateway::HttpClientRequest call;
    call.method = "GET";
    call.url = "http://" + this->lead.http_address + "/metrics";
    std::string text;
    this->client.call(call, [&text](auto result) { text = result->body; });
    this->run_until([&text] { return !text.empty(); });
    const std::string name = "geraniumhinge_peer_bytes_sent_total ";
    return std::stod(text.substr(text.find("\n" + name) + 1 + name.size()));
  }

  Sample sample()
  {
    double bytes = this->sent_bytes();
    return { kernel::boot_ms(), cpu_ms(this->lead.agent->pid()), bytes };
  }

  void measure(const std::string& label)
  {
    Sample first = this->sample();
    std::int64_t end = kernel::boot_ms() + MEASUREMENT_WINDOW.count();
    this->run_until([end] { return kernel::boot_ms() >= end; },
                    2 * MEASUREMENT_WINDOW);
    Sample last = this->sample();
    double seconds =
      static_cast<double>(last.time_ms - first.time_ms) / MS_PER_S;
    fmt::print("{}: cpu {:.3f}% of a core, resident {:.1f} MB, sent {:.0f} B/s "
               "over {:.0f} s\n",
               label,
               (last.cpu_ms - first.cpu_ms) / seconds / MS_PER_S * 100,
               resident_mb(this->lead.agent->pid()),
               (last.sent_bytes - first.sent_bytes) / seconds,
               seconds);
  }

  v1::Prepare prepare(int gang, std::uint32_t member)
  {
    const AgentProcess* processes[] = { &this->lead, &this->follower };
    const char* names[] = { "lead", "other" };
    v1::Prepare prepare;
    prepare.mutable_key()->set_job(
      fmt::format("job-of-typical-length-{}", gang));
    prepare.mutable_key()->set_generation(1);
    prepare.mutable_key()->set_member(member);
    prepare.mutable_key()->set_incarnation(
      this->agents[names[member]].incarnation());
    prepare.set_hold_ms(10'000);
    prepare.set_accelerators(std::uint64_t(1) << gang);
    prepare.mutable_input()->set_inline_(R"({"run_ms":600000})");
    for (int i = 0; i < 2; i++) {
      v1::MemberPlacement& placed = *prepare.add_gang();
      placed.set_agent_address(processes[i]->peer_address);
      placed.set_incarnation(this->agents[names[i]].incarnation());
    }
    return prepare;
  }

  void start_gang(int gang)
  {
    const AgentProcess* processes[] = { &this->lead, &this->follower };
    for (std::uint32_t member = 0; member < 2; member++) {
      v1::Envelope envelope;
      *envelope.mutable_prepare() = this->prepare(gang, member);
      v1::Envelope reply =
        this->call(processes[member]->peer_address, envelope);
      BOOST_REQUIRE(reply.prepare_reply().result() == v1::PREPARE_RESULT_HELD);
    }
    for (std::uint32_t member = 0; member < 2; member++) {
      v1::Envelope envelope;
      *envelope.mutable_start()->mutable_key() =
        this->prepare(gang, member).key();
      this->call(processes[member]->peer_address, envelope);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(agent_cost, AgentCostFixture)
{
  BOOST_REQUIRE(this->run_until([this] { return this->agents.size() == 2; }));
  this->measure("idle");
  for (int gang = 0; gang < GANG_COUNT; gang++)
    this->start_gang(gang);
  this->measure("four gang members");
  BOOST_TEST(this->results.empty());
}
