#define BOOST_TEST_MODULE client_limits
// Entry and agent processes beside clients outside the limits. Checks that the
// process stays alive, that its peak memory and open descriptors stay under a
// bound, and that an ordinary request is answered while the clients'
// connections are still open. The memory of the entry is that of the smallest
// one. The memory of the agent and the descriptors are lowered, so that a few
// hundred connections reach them.
#include "tests/support/crowd.h"
#include "tests/support/process.h"
#include "tests/support/usage.h"
#include "tests/system/platform_fixture.h"

#include <filesystem>
#include <fstream>
#include <sys/resource.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr std::size_t MIB = 1'024UL * 1'024;
constexpr std::size_t ENTRY_MEMORY_MB = 120;
constexpr std::size_t AGENT_MEMORY_MB = 48;
/// RLIMIT_NOFILE of the process.
constexpr std::size_t MAX_DESCRIPTORS = 512;
/// Leaves room for connections to the store, to agents and to other entries.
constexpr std::size_t DESCRIPTOR_BOUND = 400;

constexpr std::size_t BODY_BYTES = MIB;
constexpr std::size_t MISSING_BYTES = 64;
constexpr std::size_t BODIES = 160;
constexpr std::size_t UNREAD_CONNECTIONS = 160;
constexpr std::size_t UNREAD_REQUESTS = 20'000;
constexpr std::size_t HEADER_CONNECTIONS = 600;
constexpr std::size_t ANNOUNCEMENT_BYTES = 64UL * 1'024;
constexpr std::size_t ANNOUNCEMENTS = 480;
constexpr std::size_t PIECE_BYTES = 64UL * 1'024;
constexpr std::size_t LARGE_CHUNK_BYTES = 64UL * 1'024;
constexpr std::size_t SMALL_CHUNK_BYTES = 16;
/// Bytes of a header that each connection sends before the ordinary request.
constexpr std::size_t HEADER_BYTES = 40;
/// Keeps the headers unfinished until the test ends.
constexpr std::size_t ROUNDS_PER_HEADER_BYTE = 20;

/// After this many rounds without a byte, the server takes no more.
constexpr std::size_t QUIET_ROUNDS = 2'000;
/// Rounds after which a process counts as hanging. A round is 1 ms or longer.
constexpr std::size_t MAX_ROUNDS = 200'000;
constexpr std::size_t ROUNDS_PER_SAMPLE = 50;
constexpr std::size_t REQUEST_TRIES = 30;
/// Between two tries of a request.
constexpr std::size_t PAUSE_ROUNDS = 50;

const std::string SUBMIT_PATH = std::string(PREFIX) + JOB;

std::string
head(const std::string& path, const std::string& framing)
{
  return fmt::format("POST {} HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: "
                     "Bearer {}\r\n{}\r\n\r\n",
                     path,
                     TOKEN,
                     framing);
}

/// A body of exactly this size with as many steps as fit. A step takes three
/// bytes, and many times as much when it is parsed.
std::string
many_steps(std::size_t size)
{
  std::string body = "{\"phases\":[{}";
  while (body.size() + 5 <= size)
    body += ",{}";
  body += "]}";
  body.append(size - body.size(), ' ');
  return body;
}

/// A body of exactly this size with lists nested as deeply as is accepted.
std::string
nested_lists(std::size_t size)
{
  constexpr std::size_t LEVELS = 29;
  std::string item = "," + std::string(LEVELS, '[') + std::string(LEVELS, ']');
  std::string body = "{\"phases\":[{}";
  while (body.size() + item.size() + 2 <= size)
    body += item;
  body += "]}";
  body.append(size - body.size(), ' ');
  return body;
}

std::string
whole_body(const std::string& path, const std::string& body)
{
  return head(path, fmt::format("Content-Length: {}", body.size())) + body;
}

std::string
chunked_body(const std::string& path, std::size_t size, std::size_t chunk)
{
  std::string text = head(path, "Transfer-Encoding: chunked");
  std::string data(chunk, ' ');
  for (std::size_t sent = 0; sent < size; sent += chunk)
    text += fmt::format("{:x}\r\n{}\r\n", chunk, data);
  return text + "0\r\n\r\n";
}

std::string
long_header()
{
  return "GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Filler: " +
         std::string(MIB, 'a');
}

std::string
many_requests(const std::string& path)
{
  std::string request =
    fmt::format("GET {} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", path);
  std::string text;
  for (std::size_t index = 0; index < UNREAD_REQUESTS; ++index)
    text += request;
  return text;
}

int
port_of(const std::string& address)
{
  return std::stoi(address.substr(address.rfind(':') + 1));
}

/// One process of the system with lowered limits, and what it used.
struct LimitedProcess
{
  std::string folder;
  std::unique_ptr<Process> process;
  std::set<int> ports; ///< At which it serves HTTP.
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;

  LimitedProcess()
  {
    char path[] = "/tmp/client_limits_XXXXXX";
    folder = ::mkdtemp(path);
  }
  ~LimitedProcess()
  {
    process.reset();
    std::filesystem::remove_all(folder);
  }
  LimitedProcess(const LimitedProcess&) = delete;
  LimitedProcess& operator=(const LimitedProcess&) = delete;

  void start(const std::string& program, const nlohmann::json& settings)
  {
    std::string path = folder + "/settings.json";
    std::ofstream(path) << settings.dump();
    process = std::make_unique<Process>(
      std::vector<std::string>{
        GERANIUMHINGE_BIN_DIR "/" + program, "serve", "--settings", path },
      folder + "/log");
    rlimit limit{ MAX_DESCRIPTORS, MAX_DESCRIPTORS };
    BOOST_REQUIRE(::prlimit(process->id(), RLIMIT_NOFILE, &limit, nullptr) ==
                  0);
  }

  /// Memory counts with what the kernel keeps for the connections.
  void sample()
  {
    if (!process->is_running())
      return;
    memory_bytes = std::max(
      memory_bytes, peak_memory_bytes(process->id()) + queued_bytes(ports));
    descriptors = std::max(descriptors, open_descriptors(process->id()));
  }
};

struct LimitsFixture : PlatformFixture
{
  LimitedProcess limited;
  std::size_t rounds = 0;

  void advance(Crowd& crowd)
  {
    run_until([&crowd, first = true]() mutable {
      if (!std::exchange(first, false))
        return true;
      crowd.advance();
      return false;
    });
    if (++rounds % ROUNDS_PER_SAMPLE == 0)
      limited.sample();
    BOOST_REQUIRE_MESSAGE(rounds < MAX_ROUNDS, "the crowd got no further");
  }

  void advance_until(Crowd& crowd, const std::function<bool()>& condition)
  {
    while (!condition())
      advance(crowd);
    limited.sample();
  }

  /// Status of the response, 0 if there is none.
  int status_of(gateway::HttpClientRequest request,
                const std::function<void()>& while_waiting)
  {
    request.timeout = kernel::Milliseconds(1'000);
    // The next request needs a new connection.
    request.headers["Connection"] = "close";
    std::optional<gateway::HttpClient::Result> result;
    client.call(std::move(request),
                [&result](gateway::HttpClient::Result response) {
                  result = std::move(response);
                });
    run_until([&] {
      while_waiting();
      return result.has_value();
    });
    return *result ? (*result)->status : 0;
  }

  /// Whether an ordinary request gets status 200. Callers try several times.
  bool is_served(
    const gateway::HttpClientRequest& request,
    const std::function<void()>& while_waiting = [] {})
  {
    for (std::size_t tries = 0; tries < REQUEST_TRIES; ++tries) {
      if (status_of(request, while_waiting) == 200)
        return true;
      run_until([&while_waiting, pause = 0UL]() mutable {
        while_waiting();
        return ++pause > PAUSE_ROUNDS;
      });
    }
    return false;
  }

  void check(Crowd& crowd,
             const gateway::HttpClientRequest& ordinary,
             std::size_t memory_mb)
  {
    bool served = is_served(ordinary, [&crowd] { crowd.advance(); });
    limited.sample();
    BOOST_TEST_MESSAGE("peak memory " << limited.memory_bytes / MIB
                                      << " MB, descriptors "
                                      << limited.descriptors);
    BOOST_TEST(limited.process->is_running(), "the process has ended");
    BOOST_TEST(limited.memory_bytes <= memory_mb * MIB);
    BOOST_TEST(limited.descriptors <= DESCRIPTOR_BOUND);
    BOOST_TEST(served, "an ordinary request was not served");
  }
};

struct EntryLimits : LimitsFixture
{
  std::string caller_listen = free_address();
  std::string http_listen = free_address();
  std::string ready_listen = free_address();

  EntryLimits()
  {
    nlohmann::json operators = nlohmann::json::parse(configuration(4));
    operators["limits"] = { { "body_bytes", BODY_BYTES } };
    store.put({ "op", "", "config" }, operators.dump());
    nlohmann::json settings = {
      { "name", "entry-1" },
      { "zone", "zone-1" },
      { "peer", { { "listen", free_address() } } },
      { "http", { { "listen", http_listen } } },
      { "limits",
        { { "memory_mb", ENTRY_MEMORY_MB },
          { "max_descriptors", MAX_DESCRIPTORS } } },
      { "platform",
        { { "caller_listen", caller_listen },
          { "ready_listen", ready_listen },
          { "store_address", store.address() } } },
    };
    limited.ports = { port_of(caller_listen),
                      port_of(http_listen),
                      port_of(ready_listen) };
    limited.start("geraniumhinge", settings);
    BOOST_REQUIRE(is_served(ordinary()));
  }

  gateway::HttpClientRequest ordinary() const
  {
    gateway::HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + caller_listen + SUBMIT_PATH;
    request.headers["Authorization"] = std::string("Bearer ") + TOKEN;
    request.body = submission(1, 1, false);
    return request;
  }

  /// Sends these bodies except for their last bytes, and keeps them open.
  void check_short_bodies(const std::string& text)
  {
    Crowd crowd({ .address = caller_listen,
                  .connections = BODIES,
                  .text = text,
                  .send_bytes = text.size() - MISSING_BYTES,
                  .piece_bytes = PIECE_BYTES });
    advance_until(crowd, [&crowd] { return crowd.has_sent(); });
    check(crowd, ordinary(), ENTRY_MEMORY_MB);
  }

  /// Sends these bodies at the same time, and their ends after all the rest.
  void check_whole_bodies(const std::string& text, std::size_t count)
  {
    Crowd crowd({ .address = caller_listen,
                  .connections = count,
                  .text = text,
                  .send_bytes = text.size() - MISSING_BYTES,
                  .piece_bytes = PIECE_BYTES });
    advance_until(crowd, [&crowd] { return crowd.has_sent(); });
    crowd.release();
    advance_until(crowd, [&crowd] { return crowd.is_answered(); });
    check(crowd, ordinary(), ENTRY_MEMORY_MB);
  }
};

struct AgentLimits : LimitsFixture
{
  std::string registry_listen = free_address();
  std::string http_listen = free_address();
  ServerStandin server{ loop, timers };
  std::uint64_t sequence = 0;

  AgentLimits()
  {
    nlohmann::json settings = {
      { "name", "node-1" },
      { "zone", "zone-1" },
      { "peer", { { "listen", free_address() } } },
      { "http", { { "listen", http_listen } } },
      { "limits",
        { { "memory_mb", AGENT_MEMORY_MB },
          { "max_descriptors", MAX_DESCRIPTORS } } },
      { "platform",
        { { "registry_listen", registry_listen },
          { "store_address", store.address() } } },
    };
    limited.ports = { port_of(registry_listen), port_of(http_listen) };
    limited.start("geraniumhinge-agent", settings);
    BOOST_REQUIRE(is_served(ordinary()));
  }

  gateway::HttpClientRequest ordinary()
  {
    gateway::HttpClientRequest request;
    request.method = "POST";
    request.url =
      "http://" + registry_listen + "/geraniumhinge/instances/i-0/heartbeat";
    request.body = server.announcement("ready", ++sequence).dump();
    return request;
  }
};

} // namespace

// Guards against a parse of the worst legal body that takes the memory of the
// smallest entry.
BOOST_FIXTURE_TEST_CASE(one_body_of_many_steps, EntryLimits)
{
  check_whole_bodies(whole_body(SUBMIT_PATH, many_steps(BODY_BYTES)), 1);
}

// Guards against a stack or memory overrun by a body of deep nesting.
BOOST_FIXTURE_TEST_CASE(one_body_of_nested_lists, EntryLimits)
{
  check_whole_bodies(whole_body(SUBMIT_PATH, nested_lists(BODY_BYTES)), 1);
}

// Guards against a sum of legal bodies without a limit, and of what their parse
// takes.
BOOST_FIXTURE_TEST_CASE(whole_bodies, EntryLimits)
{
  check_whole_bodies(whole_body(SUBMIT_PATH, many_steps(BODY_BYTES)), BODIES);
}

// Guards against unfinished bodies that hold memory without a limit.
BOOST_FIXTURE_TEST_CASE(bodies_that_stop_short, EntryLimits)
{
  check_short_bodies(whole_body(SUBMIT_PATH, many_steps(BODY_BYTES)));
}

// Guards against a limit that only a declared length is held to.
BOOST_FIXTURE_TEST_CASE(large_chunks, EntryLimits)
{
  check_short_bodies(chunked_body(SUBMIT_PATH, BODY_BYTES, LARGE_CHUNK_BYTES));
}

// Guards against a limit that small chunks pass.
BOOST_FIXTURE_TEST_CASE(small_chunks, EntryLimits)
{
  check_short_bodies(chunked_body(SUBMIT_PATH, BODY_BYTES, SMALL_CHUNK_BYTES));
}

// Guards against connections without a request that use all descriptors.
BOOST_FIXTURE_TEST_CASE(headers_byte_by_byte, EntryLimits)
{
  Crowd crowd({ .address = caller_listen,
                .connections = HEADER_CONNECTIONS,
                .text = long_header(),
                .send_bytes = HEADER_BYTES,
                .piece_bytes = 1,
                .rounds_per_piece = ROUNDS_PER_HEADER_BYTE });
  advance_until(crowd, [&crowd] { return crowd.has_sent(); });
  crowd.release();
  check(crowd, ordinary(), ENTRY_MEMORY_MB);
}

// Guards against responses that no client reads and the kernel keeps.
BOOST_FIXTURE_TEST_CASE(unread_responses, EntryLimits)
{
  std::string text = many_requests("/metrics");
  Crowd crowd({ .address = http_listen,
                .connections = UNREAD_CONNECTIONS,
                .text = text,
                .send_bytes = text.size(),
                .piece_bytes = PIECE_BYTES,
                .reads = false });
  advance_until(crowd, [&crowd] {
    return crowd.has_sent() || crowd.quiet_rounds() > QUIET_ROUNDS;
  });
  check(crowd, ordinary(), ENTRY_MEMORY_MB);
}

// Guards against unfinished announcements that hold an agent's memory.
BOOST_FIXTURE_TEST_CASE(agent_bodies_that_stop_short, AgentLimits)
{
  std::string text = whole_body("/geraniumhinge/instances/i-0/heartbeat",
                                many_steps(ANNOUNCEMENT_BYTES));
  Crowd crowd({ .address = registry_listen,
                .connections = ANNOUNCEMENTS,
                .text = text,
                .send_bytes = text.size() - MISSING_BYTES,
                .piece_bytes = PIECE_BYTES });
  advance_until(crowd, [&crowd] { return crowd.has_sent(); });
  check(crowd, ordinary(), AGENT_MEMORY_MB);
}

// Guards against connections without a request that use an agent's descriptors.
BOOST_FIXTURE_TEST_CASE(agent_headers_byte_by_byte, AgentLimits)
{
  Crowd crowd({ .address = registry_listen,
                .connections = HEADER_CONNECTIONS,
                .text = long_header(),
                .send_bytes = HEADER_BYTES,
                .piece_bytes = 1,
                .rounds_per_piece = ROUNDS_PER_HEADER_BYTE });
  advance_until(crowd, [&crowd] { return crowd.has_sent(); });
  crowd.release();
  check(crowd, ordinary(), AGENT_MEMORY_MB);
}
