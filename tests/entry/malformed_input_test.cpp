#define BOOST_TEST_MODULE malformed_input
// Feeds every decoder of bytes from outside with valid inputs that were changed
// at random. A decoder must return a value or an error; an exception that
// leaves it would end the process.
#include "entry/speed_store.h"
#include "entry/unstored_ends.h"
#include "entry/work_rows.h"
#include "entry/work_view.h"
#include "gateway/unary_error.h"
#include "platform/advice.h"
#include "platform/backend_http.h"
#include "platform/caller.h"
#include "platform/operator_config.h"
#include "platform/server_client.h"
#include "platform/store_codec.h"
#include "platform/table_codec.h"

#include "geraniumhinge/v1/state.pb.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

using namespace geraniumhinge;

namespace {

using Json = nlohmann::json;

constexpr int DEFAULT_INPUTS = 3'000;
constexpr std::uint64_t SEED = 20'261'204;
constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr std::size_t NESTING = 200'000;
/// Numbers that fit no type of ours, or no plausible amount.
constexpr const char* ODD_NUMBERS[] = {
  "1e999",
  "1e400",
  "-1e999",
  "1e308",
  "18446744073709551616",
  "18446744073709551615",
  "9223372036854775808",
  "9223372036854775807",
  "-1",
  "-9223372036854775809",
  "1e-400",
  "\"NaN\"",
  "NaN",
  "Infinity",
  "00",
  "0x10",
};
constexpr const char* ODD_ADDRESSES[] = {
  "",
  "host:",
  ":80",
  "[::1",
  "[::1]:80",
  "10.0.0.1",
  "10.0.0.1:",
  "10.0.0.1:0",
  "10.0.0.1:99999",
  "10.0.0.1:65536",
  "10.0.0.1:-1",
  "10.0.0.1:18446744073709551617",
  "10.0.0.1:80 ",
  "10.0.0.1 :80",
  " 10.0.0.1:80",
  "10.0.0.1:80/x?y",
  "user@10.0.0.1:80",
  "10.0.0.256:80",
  "no such host:80",
};

/// Inputs per decoder; FUZZ_INPUTS sets more for a longer run by hand.
int
input_count()
{
  const char* text = std::getenv("FUZZ_INPUTS");
  return text ? std::atoi(text) : DEFAULT_INPUTS;
}

class Mutator
{
public:
  std::size_t below(std::size_t limit)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }

  /// Changes, inserts or removes some bytes.
  std::string change_bytes(std::string text)
  {
    std::size_t changes = this->below(6) + 1;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
      std::size_t at = this->below(text.size());
      switch (this->below(4)) {
        case 0:
          text[at] = static_cast<char>(this->below(256));
          break;
        case 1:
          text.insert(at, 1, static_cast<char>(this->below(256)));
          break;
        case 2:
          text.erase(at, this->below(8) + 1);
          break;
        default:
          text.resize(at);
      }
    }
    return text;
  }

  /// Replaces some values by values of other types.
  std::string change_values(const std::string& text)
  {
    Json root = Json::parse(text);
    std::size_t changes = this->below(3) + 1;
    for (std::size_t change = 0; change < changes; ++change)
      this->change_value(root);
    return root.dump();
  }

private:
  Json other_value()
  {
    static const Json values[] = {
      nullptr,
      true,
      -1,
      1e300,
      std::numeric_limits<std::uint64_t>::max(),
      std::numeric_limits<std::int64_t>::min(),
      "",
      "text",
      Json::array(),
      Json::array({ Json::array(), Json::object(), 7 }),
      Json::object(),
    };
    return values[this->below(std::size(values))];
  }

  void change_value(Json& root)
  {
    Json* at = &root;
    while (at->is_structured() && !at->empty() && this->below(5) != 0) {
      Json::iterator child = at->begin();
      std::advance(child, static_cast<long>(this->below(at->size())));
      at = &*child;
    }
    *at = this->other_value();
  }

  std::mt19937_64 random{ SEED };
};

using Decode = std::function<void(const std::string&)>;

void
feed(const std::string& valid, const Decode& decode, bool json = true)
{
  BOOST_TEST_MESSAGE("seed " << SEED);
  Mutator mutator;
  for (int count = 0; count < input_count(); ++count) {
    std::string input = json && count % 2 == 0 ? mutator.change_values(valid)
                                               : mutator.change_bytes(valid);
    BOOST_REQUIRE_NO_THROW(decode(input));
  }
}

core::Workflow
example_workflow()
{
  core::Workflow workflow;
  workflow.id = JOB;
  workflow.payload = "text";
  workflow.steps.resize(2);
  workflow.steps[0].tasks = 3;
  workflow.steps[0].gang = true;
  workflow.steps[1].dependencies = { 0 };
  return workflow;
}

core::Progress
example_progress()
{
  core::Progress progress;
  core::open_due_occurrences(example_workflow(), progress, 0, 0);
  progress.open_occurrences[0][0][1].run =
    core::Run{ 2, { "i-1", 1 }, "node-1", false, "ticket" };
  return progress;
}

std::string
repeat(const std::string& text, std::size_t count)
{
  std::string repeated;
  for (std::size_t index = 0; index < count; ++index)
    repeated += text;
  return repeated;
}

std::string
nested_list(std::size_t depth)
{
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string
nested_object(std::size_t depth)
{
  return repeat(R"({"rows":)", depth) + "7" + std::string(depth, '}');
}

/// Bodies that nest `item` in the fields that the decoders read.
std::vector<std::string>
bodies_with(const std::string& item)
{
  std::vector<std::string> bodies{ item, "[" + item + "]" };
  for (const char* field :
       { "rows",        "schema_ver",    "value",   "free_capacity", "labels",
         "born",        "running_tasks", "ended",   "good",          "routes",
         "tenants",     "limits",        "phases",  "task_spec",     "state",
         "num_waiting", "versions",      "applied", "key",           "version",
         "details",     "nodes" }) {
    bodies.push_back(R"({"code":1,"version":1,")" + std::string(field) +
                     "\":" + item + "}");
    bodies.push_back(R"({"version":1,")" + std::string(field) + "\":[" + item +
                     "]}");
  }
  bodies.push_back(R"({"running_tasks":[],"ended":[],"x":)" + item + "}");
  bodies.push_back(R"([{"job":"a","generation":)" + item + "}]");
  bodies.push_back(R"({"rows":[{"table":"t","key":"k","version":1,"x":)" +
                   item + "}]}");
  return bodies;
}

void
decode_everything(const std::string& body)
{
  platform::decode_rows(body);
  platform::decode_announcement({ "i-1", false, body });
  platform::decode_server_task_lists(body);
  platform::decode_advice(body);
  platform::decode_usage(body);
  platform::decode_operator_config(body);
  platform::decode_workflow(body);
  platform::decode_caller_response(200, body);
  platform::decode_rows(body, {});
  platform::decode_versions(body);
  platform::decode_refusal(body);
  platform::decode_conflict(body);
  gateway::parse_error({ 500, {}, body });
  entry::decode_speeds(body);
  v1::NodeRow message;
  static_cast<void>(
    google::protobuf::util::JsonStringToMessage(body, &message));
}

std::string
announcement_with(const std::string& field, const std::string& value)
{
  Json body = Json::parse(
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z",
        "state":"ready","free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1-3"],"clock_ms":482113,"born":1700000000123,
        "sequence":4})");
  body[Json::json_pointer(field)] = "PLACE";
  std::string text = body.dump();
  return text.replace(text.find("\"PLACE\""), 7, value);
}

platform::StoredRow
stored(entry::WorkRowKind kind, const std::string& value, std::uint64_t version)
{
  return { entry::work_row(kind, JOB), value, version, false };
}

/// Whether a view uses the workflow, after the rows of another one.
bool
is_used(const core::Workflow& workflow)
{
  entry::WorkView view;
  view.apply(
    stored(entry::WorkRowKind::Workflow, entry::encode_workflow(workflow), 1));
  return view.items().at(JOB).usable;
}

} // namespace

BOOST_AUTO_TEST_CASE(submissions)
{
  feed(R"({"task_spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,
         "estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,
         "mem_mb":1024,"gpu":2,"depends_on":[0],"checkpoints":true,
         "gang":true,"same_rack":true,"requires":"a","anti_affinity":3}],
         "times":4,"start_at_ms":1700,"interval_ms":2000})",
       [](const std::string& body) {
         std::optional<core::Workflow> workflow =
           platform::decode_workflow(body);
         if (!workflow)
           return;
         core::Progress progress;
         core::open_due_occurrences(*workflow, progress, 1'000'000, 0, 8);
         core::next_due_ms(*workflow, progress);
         BOOST_REQUIRE(core::is_consistent(*workflow, progress));
       });
}

BOOST_AUTO_TEST_CASE(responses_of_other_entries)
{
  feed(R"({"state":"running","num_waiting":12})", [](const std::string& body) {
    platform::decode_caller_response(200, body);
  });
}

BOOST_AUTO_TEST_CASE(announcements)
{
  feed(R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z",
         "version":"v1","slots":8,"state":"draining","warmup_left_ms":0,
         "free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
         "labels":["a","r1-3"],"clock_ms":482113,"born":1700000000123,
         "remaining_ms":5,"sequence":4})",
       [](const std::string& body) {
         platform::decode_announcement({ "i-1", false, body });
       });
}

BOOST_AUTO_TEST_CASE(lists_of_tasks)
{
  feed(
    R"({"clock_ms":482113,"born":17,
         "running_tasks":[["5c0e7a21d94b36f8.0.1.17",2,"saved",41,3.5]],
         "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
    [](const std::string& body) { platform::decode_server_task_lists(body); });
}

BOOST_AUTO_TEST_CASE(advice)
{
  feed(R"({"good":[["i-1","ticket-1"],["i-2","ticket-2"]]})",
       [](const std::string& body) { platform::decode_advice(body); });
}

BOOST_AUTO_TEST_CASE(learned_speeds)
{
  feed(R"({"nodes":[["n-1",160,20],["n-2",60,20]],"products":9.5,"squares":1})",
       [](const std::string& value) {
         std::optional<core::LearnedSpeeds> speeds =
           entry::decode_speeds(value);
         core::RunTimes run_times;
         if (speeds)
           run_times.restore(*speeds, 1);
       });
}

BOOST_AUTO_TEST_CASE(unstored_ends)
{
  v1::UnstoredEnds message;
  v1::ServerEnds& server = *message.add_servers();
  server.mutable_life()->set_id("i-1");
  v1::EndReport& end = *server.add_ended();
  end.set_number(1);
  end.set_task("5c0e7a21d94b36f8.0.0.0");
  end.set_attempt(1);
  feed(
    message.SerializeAsString(),
    [](const std::string& body) {
      v1::UnstoredEnds read;
      entry::SharedEnds ends;
      if (read.ParseFromString(body))
        ends.add(read, 1);
    },
    false);
}

BOOST_AUTO_TEST_CASE(configurations)
{
  feed(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
         "service":"s","attempts":2,"slo_factor":3.0,"slo_ms":250,
         "auth_exempt":false,"recommendation":{"decide_ms":5,
         "per_worker_ms":1,"validity_ms":9}}],"services":[{"name":"s",
         "health_path":"/health","standby":false}],
         "limits":{"body_bytes":262144},"tenants":[{"name":"t",
         "api_keys":["k"],"guaranteed":{"gpu":16}}]})",
       [](const std::string& body) { platform::decode_operator_config(body); });
}

BOOST_AUTO_TEST_CASE(pages_of_rows)
{
  feed(R"({"rows":[{"table":"t","part":"","key":"l","value":"b25l",
         "schema_ver":3,"removed":false}],"schema_ver":9,"has_more":true})",
       [](const std::string& body) { platform::decode_rows(body); });
}

// Rows that parse although their workflow and progress do not fit each other
// would be indexed out of range.
BOOST_AUTO_TEST_CASE(rows_of_workflows)
{
  std::string workflow = entry::encode_workflow(example_workflow());
  std::string progress = entry::encode_progress(example_progress());
  std::uint64_t version = 0;
  Decode apply = [&version](const std::string& changed) {
    for (entry::WorkRowKind kind :
         { entry::WorkRowKind::Workflow, entry::WorkRowKind::Progress }) {
      entry::WorkView view;
      view.apply(
        platform::StoredRow{ entry::work_row(entry::WorkRowKind::Workflow, JOB),
                             entry::encode_workflow(example_workflow()),
                             ++version,
                             false });
      view.apply(platform::StoredRow{
        entry::work_row(kind, JOB), changed, ++version, false });
      const entry::WorkItem& item = view.items().at(JOB);
      if (item.usable)
        core::ready_steps(*item.workflow, item.progress);
    }
  };
  feed(workflow, apply, false);
  feed(progress, apply, false);
}

// One malformed row must not hide the other rows of its page.
BOOST_AUTO_TEST_CASE(rest_of_a_page_is_used)
{
  for (const char* malformed : { R"("schema_ver":"2")",
                                 R"("schema_ver":2,"removed":[])",
                                 R"("schema_ver":-4)" }) {
    std::string body =
      R"({"rows":[{"table":"t","part":"","key":"k","value":"b25l",)" +
      std::string(malformed) +
      R"(},{"table":"t","part":"","key":"l","value":"b25l","schema_ver":3}],
         "schema_ver":9})";
    std::optional<platform::RowPage> page = platform::decode_rows(body);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->rows.back().name.key == "l");
  }
}

// The same for the lists of a server. A run that is in neither list may be in
// the row that was left out.
BOOST_AUTO_TEST_CASE(rest_of_a_list_is_used)
{
  std::optional<platform::ServerTaskLists> lists =
    platform::decode_server_task_lists(
      R"({"clock_ms":1,"born":17,"running_tasks":[["a.0.0.0",1,"",41],[7],
        ["a.0.0.1","1","",41]],"ended":[[1,"a.0.0.2",1,"unknown",""],
        [2,"a.0.0.3",1,"done",""]]})");
  BOOST_REQUIRE(lists.has_value());
  BOOST_TEST(lists->running.size() == 1U);
  BOOST_TEST(lists->ended.size() == 1U);
  BOOST_TEST(lists->malformed_rows == 3U);
}

// A row that can't be read, or does not fit the workflow, leaves the workflow
// alone; a later valid row makes it usable again.
BOOST_AUTO_TEST_CASE(unreadable_progress_is_left_alone)
{
  entry::WorkView view;
  platform::RowName workflow_row =
    entry::work_row(entry::WorkRowKind::Workflow, JOB);
  platform::RowName progress_row =
    entry::work_row(entry::WorkRowKind::Progress, JOB);
  view.apply(platform::StoredRow{
    workflow_row, entry::encode_workflow(example_workflow()), 1, false });
  BOOST_TEST(view.items().at(JOB).usable);
  view.apply(platform::StoredRow{ progress_row, "\xff\xff", 2, false });
  BOOST_TEST(!view.items().at(JOB).usable);
  core::Progress other = example_progress();
  other.open_occurrences[0].pop_back();
  view.apply(platform::StoredRow{
    progress_row, entry::encode_progress(other), 3, false });
  BOOST_TEST(!view.items().at(JOB).usable);
  view.apply(platform::StoredRow{
    progress_row, entry::encode_progress(example_progress()), 4, false });
  BOOST_TEST(view.items().at(JOB).usable);
}

// Copies of a deeply nested value recurse and overflow the stack; 4 MiB of open
// brackets would take more memory than a process may use.
BOOST_AUTO_TEST_CASE(deeply_nested_bodies_are_rejected)
{
  for (const std::string& item :
       { nested_list(NESTING), nested_object(NESTING) }) {
    for (const std::string& body : bodies_with(item))
      BOOST_REQUIRE_NO_THROW(decode_everything(body));
  }
  decode_everything(std::string(4UL * 1'024 * 1'024, '['));
  decode_everything(repeat(R"({"rows":[)", NESTING));
}

BOOST_AUTO_TEST_CASE(odd_numbers_end_no_decoder)
{
  for (const char* number : ODD_NUMBERS) {
    for (const std::string& body : bodies_with(number))
      BOOST_REQUIRE_NO_THROW(decode_everything(body));
  }
}

// The parser refuses a whole body for one number, nesting or byte in it. The
// reader of a table would then read the same page again without end.
BOOST_AUTO_TEST_CASE(unparsable_row_costs_no_other_row)
{
  const std::string bad_rows[] = {
    R"({"table":"t","key":"k","value":"b25l","schema_ver":1e999})",
    R"({"table":"t","key":"k","schema_ver":2,"x":)" + nested_list(NESTING) +
      "}",
    nested_object(NESTING),
    "{\"table\":\"t\",\"key\":\"\xff[\\\"\",\"schema_ver\":2}",
    R"({"table":"t","key":"k","schema_ver":NaN})",
    "",
  };
  for (const std::string& bad_row : bad_rows) {
    std::optional<platform::RowPage> page = platform::decode_rows(
      R"({"rows":[{"table":"t","key":"a","value":"b25l","schema_ver":1}, )" +
      bad_row +
      R"( ,{"table":"t","key":"l]","value":"b25l","schema_ver":3}],
          "schema_ver":9,"has_more":true})");
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->rows.size() == 2U);
    BOOST_TEST(page->rows.back().name.key == "l]");
    BOOST_TEST(page->malformed_rows == 1U);
    BOOST_TEST(page->version == 9U);
    BOOST_TEST(page->has_more);
  }
}

BOOST_AUTO_TEST_CASE(unparsable_task_costs_no_other_task)
{
  const std::string bad_rows[] = {
    R"(["a.0.0.1",1,"",1e999])",
    nested_list(NESTING),
    "[\"\xff\",1,\"\",41]",
  };
  for (const std::string& bad_row : bad_rows) {
    std::optional<platform::ServerTaskLists> lists =
      platform::decode_server_task_lists(
        R"({"clock_ms":1,"born":17,"ended":[],"running_tasks":[)" + bad_row +
        R"(,["a.0.0.0",1,"",41]]})");
    BOOST_REQUIRE(lists.has_value());
    BOOST_REQUIRE(lists->running.size() == 1U);
    BOOST_TEST(lists->running.front().task == "a.0.0.0");
    BOOST_TEST(lists->malformed_rows == 1U);
  }
}

// A smaller type would take the attempt for attempt 1.
BOOST_AUTO_TEST_CASE(attempt_beyond_its_type_is_malformed)
{
  std::optional<platform::ServerTaskLists> lists =
    platform::decode_server_task_lists(
      R"({"clock_ms":1,"born":17,"ended":[[1,"a.0.0.0",4294967297,"done",""]],
          "running_tasks":[["a.0.0.1",4294967297,"",41]]})");
  BOOST_REQUIRE(lists.has_value());
  BOOST_TEST(lists->running.empty());
  BOOST_TEST(lists->ended.empty());
  BOOST_TEST(lists->malformed_rows == 2U);
}

// The page after a row of which only the value can't be read starts behind it.
BOOST_AUTO_TEST_CASE(value_that_is_not_base64_keeps_its_row)
{
  std::optional<platform::RowPage> page = platform::decode_rows(
    R"({"rows":[{"table":"t","key":"a","value":"b25l","schema_ver":1},
        {"table":"t","key":"k","value":"!!","schema_ver":2}],"schema_ver":9})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->rows.size() == 1U);
  BOOST_TEST(page->last_key == "k");
}

// Amounts near the largest integer overflow when they are summed.
BOOST_AUTO_TEST_CASE(odd_announcements_name_no_server)
{
  std::vector<std::string> bodies;
  for (const char* field : { "/free_capacity/cpu",
                             "/free_capacity/mem_mb",
                             "/free_capacity/gpu",
                             "/sequence",
                             "/born" }) {
    for (const char* number : ODD_NUMBERS)
      bodies.push_back(announcement_with(field, number));
  }
  for (const char* address : ODD_ADDRESSES)
    bodies.push_back(
      announcement_with("/address", '"' + std::string(address) + '"'));
  std::string text(300, 'x');
  for (const char* field : { "/address", "/service", "/zone", "/labels/0" })
    bodies.push_back(announcement_with(field, '"' + text + '"'));
  bodies.push_back(
    announcement_with("/labels", "[" + repeat(R"("a",)", 999) + R"("a"])"));
  for (const std::string& body : bodies)
    BOOST_TEST(
      !platform::decode_announcement({ "i-1", false, body }).has_value(), body);
  std::string valid = announcement_with("/sequence", "5");
  BOOST_TEST(
    platform::decode_announcement({ "i-1", false, valid }).has_value());
  for (const std::string& id :
       { std::string("\xff"), text, std::string("a b") })
    BOOST_TEST(
      !platform::decode_announcement({ id, false, valid }).has_value());
}

BOOST_AUTO_TEST_CASE(repeated_keys_count_once)
{
  std::string body = announcement_with("/sequence", "5");
  body.insert(1, R"("sequence":1e3,"address":"x","labels":[[]],)");
  BOOST_TEST(platform::decode_announcement({ "i-1", false, body }).has_value());
}

BOOST_AUTO_TEST_CASE(submissions_of_implausible_amounts_are_rejected)
{
  for (const char* field : { "cpu", "mem_mb", "gpu" }) {
    for (const char* number : { "9223372036854775807",
                                "4611686018427387904",
                                "18446744073709551615",
                                "1e999",
                                "-1" })
      BOOST_TEST(!platform::decode_workflow(
                    R"({"task_spec":"x","phases":[{"count":10000,")" +
                    std::string(field) + "\":" + number + "}]}")
                    .has_value());
  }
}

// A row of the work that another writer left: the owner would allocate the
// tasks of all steps, or start tasks of a workflow with another row.
BOOST_AUTO_TEST_CASE(implausible_workflows_are_left_alone)
{
  BOOST_TEST(is_used(example_workflow()));
  using Change = std::function<void(core::Workflow&)>;
  const Change changes[] = {
    [](core::Workflow& workflow) { workflow.id = "5c0e7a21d94b36f9"; },
    [](core::Workflow& workflow) { workflow.id.clear(); },
    [](core::Workflow& workflow) { workflow.steps.clear(); },
    [](core::Workflow& workflow) { workflow.steps.resize(100'000); },
    [](core::Workflow& workflow) { workflow.steps[0].tasks = 4'294'967'295; },
    [](core::Workflow& workflow) { workflow.steps[0].tasks = 0; },
    [](core::Workflow& workflow) { workflow.steps[0].demand.millicores = -1; },
    [](core::Workflow& workflow) {
      workflow.steps[0].demand.memory_mb = 9'223'372'036'854'775'807;
    },
    [](core::Workflow& workflow) { workflow.occurrences = 4'294'967'295; },
    [](core::Workflow& workflow) { workflow.occurrences = 2; },
    [](core::Workflow& workflow) { workflow.period_ms = -1; },
    [](core::Workflow& workflow) {
      workflow.first_due_ms = 9'223'372'036'854'775'807;
    },
  };
  for (std::size_t index = 0; index < std::size(changes); ++index) {
    core::Workflow workflow = example_workflow();
    changes[index](workflow);
    BOOST_TEST(!is_used(workflow), "change " << index);
  }
}

// Rows of other messages, and bytes that the parser would follow for long.
BOOST_AUTO_TEST_CASE(odd_protobuf_rows_are_left_alone)
{
  std::string groups(NESTING, '\x7b'); // Field 15, start of a group.
  std::string groups_closed = groups + std::string(NESTING, '\x7c');
  std::string id_not_utf8 = std::string("\x0a\x02\xff\xfe", 4);
  std::string huge_length("\x0a\xff\xff\xff\xff\x0f", 6);
  std::string unknown_enum("\x08\xff\xff\xff\xff\x0f", 6);
  for (const std::string& value : { groups,
                                    groups_closed,
                                    id_not_utf8,
                                    huge_length,
                                    std::string("\xff\xff\xff", 3) }) {
    BOOST_TEST(!entry::decode_workflow(value).has_value());
    BOOST_TEST(!v1::NodeRow().ParseFromString(value));
  }
  BOOST_TEST(!entry::decode_progress(unknown_enum).has_value());
  BOOST_TEST(!entry::decode_progress(groups_closed).has_value());
  // JSON of another writer in the base64 value of a row.
  for (const std::string& json : { nested_list(NESTING), std::string("{}") }) {
    entry::WorkView view;
    view.apply(stored(entry::WorkRowKind::Workflow, json, 1));
    BOOST_TEST(!view.items().at(JOB).usable);
  }
}

// Otherwise the owner's next commit fails on the version of the removed row,
// and the owner reads the whole table again after each such commit.
BOOST_AUTO_TEST_CASE(workflow_without_its_progress_is_left_alone)
{
  entry::WorkView view;
  view.apply(stored(entry::WorkRowKind::Workflow,
                    entry::encode_workflow(example_workflow()),
                    1));
  view.apply(stored(entry::WorkRowKind::Progress,
                    entry::encode_progress(example_progress()),
                    2));
  view.apply(platform::StoredRow{
    entry::work_row(entry::WorkRowKind::Progress, JOB), "", 3, true });
  BOOST_TEST(!view.items().at(JOB).usable);
  view.apply(stored(entry::WorkRowKind::Progress,
                    entry::encode_progress(example_progress()),
                    4));
  BOOST_TEST(view.items().at(JOB).usable);
}

// The same for rows that were removed while their changes were not read.
BOOST_AUTO_TEST_CASE(rows_that_a_snapshot_lacks_are_dropped)
{
  entry::WorkView view;
  view.apply(stored(entry::WorkRowKind::Workflow,
                    entry::encode_workflow(example_workflow()),
                    5));
  platform::RowPage page;
  page.version = 4;
  view.replace(page);
  BOOST_TEST(view.items().contains(JOB));
  page.version = 6;
  view.replace(page);
  BOOST_TEST(!view.items().contains(JOB));
}

// The rows of an earlier workflow with the same identifier are removed in one
// transaction, and arrive in any order before the new one.
BOOST_AUTO_TEST_CASE(progress_of_a_removed_workflow_is_forgotten)
{
  platform::StoredRow removed_progress = {
    entry::work_row(entry::WorkRowKind::Progress, JOB), "", 4, true
  };
  platform::StoredRow new_workflow =
    stored(entry::WorkRowKind::Workflow,
           entry::encode_workflow(example_workflow()),
           5);
  const std::vector<platform::StoredRow> orders[] = {
    { removed_progress, new_workflow },
    { new_workflow, removed_progress },
    { new_workflow },
  };
  for (const std::vector<platform::StoredRow>& rows : orders) {
    entry::WorkView view;
    view.apply(stored(entry::WorkRowKind::Workflow,
                      entry::encode_workflow(example_workflow()),
                      1));
    view.apply(stored(entry::WorkRowKind::Progress,
                      entry::encode_progress(example_progress()),
                      2));
    view.apply(stored(entry::WorkRowKind::Cancel, "", 3));
    for (const platform::StoredRow& row : rows)
      view.apply(row);
    const entry::WorkItem& item = view.items().at(JOB);
    BOOST_TEST(item.usable);
    BOOST_TEST(item.progress_version == 0U);
    BOOST_TEST(item.progress.open_occurrences.empty());
    BOOST_TEST(!item.cancelled);
  }
}

// Rows without a workflow would be kept for good.
BOOST_AUTO_TEST_CASE(removed_rows_without_a_workflow_are_dropped)
{
  entry::WorkView view;
  for (entry::WorkRowKind kind :
       { entry::WorkRowKind::Progress, entry::WorkRowKind::Cancel }) {
    view.apply(stored(kind, "", 1));
    view.apply(platform::StoredRow{ entry::work_row(kind, JOB), "", 2, true });
    BOOST_TEST(!view.items().contains(JOB));
  }
}

// A value that is not base64 would leave the former progress in use, whose
// version no commit meets.
BOOST_AUTO_TEST_CASE(progress_replaced_by_an_unreadable_value_is_not_used)
{
  entry::WorkView view;
  view.apply(stored(entry::WorkRowKind::Workflow,
                    entry::encode_workflow(example_workflow()),
                    1));
  view.apply(stored(entry::WorkRowKind::Progress,
                    entry::encode_progress(example_progress()),
                    2));
  platform::RowPage page;
  page.unreadable.push_back(stored(entry::WorkRowKind::Progress, "", 3));
  page.malformed_rows = 1;
  view.apply(page);
  BOOST_TEST(!view.items().at(JOB).usable);
  view.apply(stored(entry::WorkRowKind::Progress,
                    entry::encode_progress(example_progress()),
                    4));
  BOOST_TEST(view.items().at(JOB).usable);
}
