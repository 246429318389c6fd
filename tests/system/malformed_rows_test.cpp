#define BOOST_TEST_MODULE malformed_rows
// Entries and agents beside rows and announcements that another writer left.
#include "entry/work_rows.h"
#include "tests/system/platform_fixture.h"

#include "geraniumhinge/v1/state.pb.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char OTHER_JOB[] = "00000000000000aa";
constexpr char THIRD_JOB[] = "00000000000000bb";
constexpr std::size_t NESTING = 100'000;

RowStoreStandin::Name
work_name(const std::string& key)
{
  return { "work", "main", key };
}

core::Workflow
workflow_of(const std::string& id)
{
  core::Workflow workflow;
  workflow.id = id;
  workflow.queue = "r-1";
  workflow.service = "planner";
  workflow.steps.resize(1);
  return workflow;
}

std::string
huge_workflow(const std::string& id)
{
  core::Workflow workflow = workflow_of(id);
  workflow.steps[0].tasks = 4'294'967'295;
  return entry::encode_workflow(workflow);
}

std::string
nested_json()
{
  return std::string(NESTING, '[') + std::string(NESTING, ']');
}

/// A log that writes to a pipe.
struct PipedLog
{
  int ends[2] = { -1, -1 };
  std::unique_ptr<kernel::Log> log;

  PipedLog()
  {
    BOOST_REQUIRE(::pipe(ends) == 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    log =
      std::make_unique<kernel::Log>("test", kernel::Severity::Info, ends[1]);
  }
  ~PipedLog()
  {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  PipedLog(const PipedLog&) = delete;
  PipedLog& operator=(const PipedLog&) = delete;

  /// How many lines so far name the event.
  int count(const std::string& event)
  {
    char buffer[4'096];
    for (ssize_t size = 0; (size = ::read(ends[0], buffer, sizeof buffer)) > 0;)
      text.append(buffer, static_cast<std::size_t>(size));
    int lines = 0;
    for (std::size_t at = text.find(' ' + event + ' '); at != std::string::npos;
         at = text.find(' ' + event + ' ', at + 1))
      ++lines;
    return lines;
  }

  std::string text;
};

struct Fixture : PlatformFixture
{
  /// Rows that an owner which uses them would end or wait for.
  void put_odd_work()
  {
    store.put(work_name("j/00000000000000ff"),
              huge_workflow("00000000000000ff"));
    store.put(work_name("j/00000000000000fe"), nested_json());
    store.put(work_name("j/00000000000000fd"), std::string("\xff\xff\x00", 3));
    store.put(work_name("j/00000000000000fc"),
              entry::encode_workflow(workflow_of(OTHER_JOB)));
    store.put_encoded(work_name("j/00000000000000fb"), "!!");
    store.put(work_name("r/00000000000000fa"), "\x08\xff\xff\xff\xff\x0f");
    store.put(work_name("j/" + std::string(198, 'x')), "");
    store.put(work_name("pulse2"), nested_json());
    store.put({ "work", "other", "j/00000000000000f9" },
              entry::encode_workflow(workflow_of("00000000000000f9")));
  }

  int submit(const std::string& id)
  {
    return call("POST", PREFIX + id, submission(1, 1, false)).status;
  }
};

} // namespace

// Guards against rows of the work that end the owner or stop other jobs, before
// the entry starts and as changes.
BOOST_FIXTURE_TEST_CASE(odd_rows_of_the_work_cost_no_other_job, Fixture)
{
  put_odd_work();
  add_entry();
  add_agent();
  wait_ready();
  BOOST_TEST(submit(JOB) == 200);
  run_until([this] { return running() == 1; });
  put_odd_work();
  BOOST_TEST(submit(THIRD_JOB) == 200);
  run_until([this] { return running() == 2; });
  finish_all("done");
  wait_state(JOB, "completed");
  wait_state(THIRD_JOB, "completed");
  BOOST_TEST(servers[0]->starts.size() == 2U);
}

// Guards against an owner that reads the whole table again after each commit,
// because a row that it expects was removed by another writer.
BOOST_FIXTURE_TEST_CASE(removed_progress_causes_no_reads_of_the_table, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  BOOST_TEST(submit(JOB) == 200);
  run_until([this] { return running() == 1; });
  int reads_before = store.reads;
  store.remove(work_name(std::string("r/") + JOB));
  finish_all("done");
  BOOST_TEST(submit(OTHER_JOB) == 200);
  run_until([this] { return running() == 1; });
  finish_all("done");
  wait_state(OTHER_JOB, "completed");
  BOOST_TEST(store.reads - reads_before <= 3);
}

// Guards against an owner row in another part of the table that takes the
// ownership from all entries.
BOOST_FIXTURE_TEST_CASE(owner_row_of_another_part_is_ignored, Fixture)
{
  add_entry();
  add_agent();
  wait_ready();
  BOOST_TEST(submit(JOB) == 200);
  run_until([this] { return running() == 1; });
  v1::OwnerRow row;
  row.set_entry("entry-9");
  row.set_peer_address("10.0.0.1:99999");
  row.set_incarnation(7);
  store.put({ "owner", "other", "owner" }, row.SerializeAsString());
  BOOST_TEST(submit(OTHER_JOB) == 200);
  run_until([this] { return running() == 2; });
}

// Guards against an owner row that can't be read, or was removed, and lets no
// entry own the work ever after.
BOOST_FIXTURE_TEST_CASE(odd_owner_row_stops_all_work, Fixture)
{
  const RowStoreStandin::Name owner{ "owner", "main", "owner" };
  add_entry();
  add_agent();
  wait_ready();
  store.put({ "owner", "main", "zz" }, "\xff");
  store.put(owner, "\xff");
  BOOST_TEST(submit(JOB) == 200);
  run_until([this] { return running() == 1; });
  store.put_encoded(owner, "!!");
  BOOST_TEST(submit(OTHER_JOB) == 200);
  run_until([this] { return running() == 2; });
  store.remove(owner);
  BOOST_TEST(submit(THIRD_JOB) == 200);
  run_until([this] { return running() == 3; });
}

// Guards against a row of an agent that ends the owner, or replaces the address
// of another agent.
BOOST_FIXTURE_TEST_CASE(odd_rows_of_agents_cost_no_other_agent, Fixture)
{
  v1::NodeRow row;
  row.set_node("node-1");
  row.set_peer_address("host:");
  store.put({ "agents", "main", "zz" }, row.SerializeAsString());
  store.put({ "agents", "main", "a" }, nested_json());
  store.put_encoded({ "agents", "main", "b" }, "!!");
  row.set_node("node-7");
  row.set_peer_address(std::string(200, '9') + ":99999");
  store.put({ "agents", "main", "node-7" }, row.SerializeAsString());
  add_agent();
  run_until([this] { return store.has({ "agents", "main", "node-1" }); });
  add_entry();
  wait_ready();
  BOOST_TEST(submit(JOB) == 200);
  run_until([this] { return running() == 1; });
}

// Guards against announcements of another writer that end the agent, replace
// its server, or write a line each.
BOOST_FIXTURE_TEST_CASE(odd_announcements_cost_no_server, Fixture)
{
  PipedLog piped;
  add_entry();
  add_agent(*piped.log);
  wait_ready();
  BOOST_TEST(submit(JOB) == 200);
  run_until([this] { return running() == 1; });
  nlohmann::json valid = servers[0]->announcement("ready", 1);
  std::vector<std::string> bodies{ "",
                                   nested_json(),
                                   std::string(60'000, '['),
                                   std::string(2'000'000, '['),
                                   R"({"sequence":1e999})" };
  for (const char* address : { "10.0.0.1:99999", "host:", "[::1", "", "a b" }) {
    valid["address"] = address;
    bodies.push_back(valid.dump());
  }
  valid = servers[0]->announcement("ready", 1);
  valid["sequence"] = 18'446'744'073'709'551'615U;
  bodies.push_back(valid.dump());
  valid["sequence"] = 9'223'372'036'854'775'807;
  bodies.push_back(valid.dump());
  int responses = 0;
  constexpr int ROUNDS = 5;
  for (int round = 0; round < ROUNDS; ++round) {
    for (const std::string& body : bodies) {
      gateway::HttpClientRequest request;
      request.url = "http://" + agent_settings[0].registry_listen +
                    "/geraniumhinge/instances/i-0/heartbeat";
      request.body = body;
      client.call(std::move(request),
                  [&responses](const gateway::HttpClient::Result& response) {
                    BOOST_TEST((!response || response->status >= 400));
                    ++responses;
                  });
    }
  }
  int expected = ROUNDS * static_cast<int>(bodies.size());
  run_until([&] { return responses == expected; });
  BOOST_TEST(submit(OTHER_JOB) == 200);
  run_until([this] { return running() == 2; });
  BOOST_TEST(servers[0]->starts.size() == 2U);
  BOOST_TEST(piped.count("announcement_rejected") == 1);
}
