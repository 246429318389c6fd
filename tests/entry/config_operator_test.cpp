#define BOOST_TEST_MODULE config_operator
#include "entry/config_token.h"
#include "entry/operator_api.h"
#include "gateway/unary_error.h"
#include "tests/entry/config_fake_table.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace geraniumhinge;
using namespace geraniumhinge::entry;
using nlohmann::json;

namespace {

constexpr char OPERATOR[] = "operator-token-1";
constexpr char CALLER[] = "caller-token-0001";
const std::string LIMITS =
  R"({"max_queued_jobs": 9, "max_concurrent_requests": 9, "weight": 1})";
constexpr char SHOP[] = R"({"caller": "shop", "organisation": "gelato",
                            "token": "caller-token-0001"})";

/// One zone of four backend servers with 8 accelerators each.
std::vector<core::Cell>
small_fleet(core::Names& names)
{
  core::Cell cell;
  cell.zone = names.intern("zone-a");
  for (int i = 0; i < 4; ++i) {
    core::Server server;
    server.name = names.intern("server-" + std::to_string(i));
    server.rack = names.intern("rack-a");
    server.zone = cell.zone;
    server.accelerators = core::accelerator_mask(8);
    server.slots = 8;
    cell.servers.push_back(server);
  }
  return { cell };
}

struct Fixture
{
  kernel::Loop loop;
  kernel::TimerService timers{ loop };
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Tracer tracer{ "test", "" };
  kernel::Metrics metrics;
  tests::FakeTable table;
  ConfigStore store{ loop,
                     timers,
                     log,
                     table,
                     kernel::Milliseconds(1'000),
                     { { "root", token_digest(OPERATOR) } } };
  gateway::UnaryRouter router{ tracer, metrics };
  OperatorApi api{ store,
                   1,
                   { small_fleet,
                     [](const std::string&) {
                       v1::ListBackendServersResponse response;
                       response.add_servers()->set_name("server-0");
                       return response;
                     },
                     [] { return v1::GetStatusResponse(); } } };

  Fixture()
  {
    store.start();
    api.add_to(router);
  }

  gateway::HttpClientResponse post(const std::string& method,
                                   const std::string& body,
                                   const std::string& token)
  {
    gateway::HttpRequest request{ "POST",
                                  "/geraniumhinge.v1.Scheduler/" + method,
                                  { { "content-type", "application/json" },
                                    { "authorization", "Bearer " + token } },
                                  {},
                                  body };
    gateway::HttpClientResponse result;
    router.handle(request, [&](const gateway::HttpResponse& response) {
      result = { response.status, {}, response.body };
    });
    return result;
  }
  /// Sends a change that is based on the current version.
  gateway::HttpClientResponse change(const std::string& method,
                                     const char* text)
  {
    json body = json::parse(text);
    body["base_version"] = store.current().version();
    return post(method, body.dump(), OPERATOR);
  }
  void apply(const std::string& method, const char* body)
  {
    gateway::HttpClientResponse result = change(method, body);
    BOOST_REQUIRE_MESSAGE(result.status == 200, method + ": " + result.body);
  }
  /// Sends a change that must be refused without an effect. Returns its error
  /// as "kind field accepted".
  std::string refusal(const std::string& method, const char* body)
  {
    std::string before = store.current().SerializeAsString();
    gateway::HttpClientResponse result = change(method, body);
    BOOST_TEST(result.status >= 400, method + ": " + result.body);
    BOOST_TEST(store.current().SerializeAsString() == before);
    v1::ErrorDetail detail = gateway::parse_error(result).detail;
    return v1::ErrorKind_Name(detail.kind()).substr(sizeof "ERROR_KIND") + " " +
           detail.field() + " " + detail.accepted();
  }
  void create(const std::string& name)
  {
    std::string organisation = R"({"organisation": {"name": ")" + name +
                               R"(", "limits": )" + LIMITS + "}}";
    apply("CreateOrganisation", organisation.c_str());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_operator, Fixture)

// Guards against operators' methods that callers, or clients with an unknown
// token, may use.
BOOST_AUTO_TEST_CASE(only_operators_may_call_the_methods)
{
  create("gelato");
  apply("AssignCaller", SHOP);
  std::istringstream methods(
    "GetConfiguration CreateOrganisation UpdateOrganisation DeleteOrganisation "
    "ListOrganisations AssignCaller RemoveCaller SetGuarantees SetLimits "
    "ListBackendServers QuarantineBackendServer ReleaseBackendServer "
    "GetStatus");
  for (std::string method; methods >> method;) {
    BOOST_TEST(post(method, "{}", CALLER).status == 403, method);
    BOOST_TEST(post(method, "{}", "x").status == 401, method);
  }
}

// Guards against a reassigned caller that keeps its old organisation, a token
// with two owners, and a token that GetConfiguration returns.
BOOST_AUTO_TEST_CASE(a_reassigned_caller_belongs_to_its_new_organisation)
{
  create("gelato");
  create("valves");
  apply("AssignCaller", SHOP);
  apply("AssignCaller", R"({"caller": "shop", "organisation": "valves"})");
  BOOST_TEST(store.authenticate(CALLER).value().organisation == "valves");
  for (const char* token : { CALLER, OPERATOR }) {
    json other = json::parse(SHOP);
    other["caller"] = "other";
    other["token"] = token;
    BOOST_TEST(refusal("AssignCaller", other.dump().c_str()) ==
               "ALREADY_EXISTS token ");
  }
  BOOST_TEST(
    refusal("AssignCaller", R"({"caller": "new", "organisation": "valves"})") ==
    "INVALID_FIELD token a token for a new caller");
  BOOST_TEST(refusal("DeleteOrganisation", R"({"name": "valves"})") ==
             "ORGANISATION_IN_USE name ");
  BOOST_TEST(post("GetConfiguration", "{}", OPERATOR).body.find(CALLER) ==
             std::string::npos);
  apply("RemoveCaller", R"({"caller": "shop"})");
  BOOST_TEST(!store.authenticate(CALLER));
  apply("DeleteOrganisation", R"({"name": "valves"})");
  BOOST_TEST(store.current().organisations_size() == 1);
}

// Guards against accepted guarantees that do not fit without the spare servers,
// or that have no home zone.
BOOST_AUTO_TEST_CASE(guarantees_are_admitted_without_the_spare_servers)
{
  create("gelato");
  create("valves");
  apply("SetGuarantees", R"({"organisation": "gelato", "guarantees": [
    {"count": 1, "shape": {"members": 2, "accelerators": 8, "adjacency": 2}},
    {"count": 1, "shape": {"members": 2, "accelerators": 2}}]})");
  const v1::Organisation& gelato = store.current().organisations(0);
  BOOST_TEST(gelato.guarantees(0).home_zones_size() == 1);
  BOOST_TEST(gelato.guarantees(0).home_zones(0) == "zone-a");
  BOOST_TEST(gelato.guarantees(1).home_zones_size() == 2);
  // One of 4 servers is spare. Of the 24 accelerators of the other 3, 20 are
  // guaranteed.
  // The error may name any of the guarantees that do not fit together.
  BOOST_TEST(
    refusal("SetGuarantees", R"({"organisation": "valves", "guarantees": [
    {"count": 1, "shape": {"members": 1, "accelerators": 8}}]})")
      .starts_with("GUARANTEE_DOES_NOT_FIT guarantees"));
  apply("SetGuarantees", R"({"organisation": "valves", "guarantees": [
    {"count": 1, "shape": {"members": 1, "accelerators": 4}}]})");
  apply("SetGuarantees", R"({"organisation": "gelato"})");
}

// Guards against invalid fields that are accepted, or whose error does not name
// the field and the accepted range.
BOOST_AUTO_TEST_CASE(invalid_fields_are_named_with_their_range)
{
  create("gelato");
  BOOST_TEST(
    refusal("SetGuarantees", R"({"organisation": "gelato", "guarantees": [
    {"count": 1, "shape": {"members": 129}}]})") ==
    "INVALID_FIELD guarantees[0].shape.members 1 to 128");
  BOOST_TEST(
    refusal("SetGuarantees", R"({"organisation": "gelato", "guarantees": [
    {"count": 1, "shape": {"members": 9, "accelerators": 8, "adjacency": 1}}]})")
      .starts_with("IMPOSSIBLE_SHAPE guarantees[0].shape "));
  BOOST_TEST(refusal("SetGuarantees", R"({"organisation": "x"})") ==
             "UNKNOWN_ORGANISATION organisation ");
  BOOST_TEST(
    refusal("SetLimits",
            R"({"organisation": "gelato", "limits": {"max_queued_jobs": 1,
                "max_concurrent_requests": 1}})") ==
    "INVALID_FIELD limits.weight 1 to 1000");
  BOOST_TEST(
    refusal("CreateOrganisation", R"({"organisation": {"name": "Gelato"}})") ==
    "INVALID_FIELD organisation.name [a-z][a-z0-9-]{0,62}");
  std::string again =
    R"({"organisation": {"name": "gelato", "limits": )" + LIMITS + "}}";
  BOOST_TEST(refusal("CreateOrganisation", again.c_str()) ==
             "ALREADY_EXISTS organisation.name ");
}

// Guards against callers' requests with values out of range that are accepted.
BOOST_AUTO_TEST_CASE(callers_requests_are_checked)
{
  v1::SubmitJobRequest submit;
  submit.set_request_id("r 1");
  submit.mutable_spec()->mutable_shape()->set_members(1);
  BOOST_TEST(validate(submit)->detail.field() == "request_id");
  submit.set_request_id("r1");
  BOOST_TEST(!validate(submit));
  submit.mutable_spec()->mutable_input()->set_object_key("../?a");
  BOOST_TEST(validate(submit)->detail.field() == "spec.input.object_key");
  v1::RunRequest run;
  run.set_request_id("r1");
  run.set_timeout_ms(60'001);
  BOOST_TEST(validate(run)->detail.accepted() == "1 to 60000");
  run.set_timeout_ms(60'000);
  run.set_input(std::string(65'537, 'x'));
  BOOST_TEST(validate(run)->detail.field() == "input");
}

// Guards against a quarantine of a server that does not exist, and a quarantine
// that an operator cannot end.
BOOST_AUTO_TEST_CASE(only_known_servers_can_be_quarantined)
{
  const char* known = R"({"server": "server-0"})";
  BOOST_TEST(refusal("QuarantineBackendServer", R"({"server": "x"})") ==
             "UNKNOWN_SERVER server ");
  apply("QuarantineBackendServer", known);
  apply("QuarantineBackendServer", known);
  BOOST_TEST(store.current().quarantined_servers_size() == 1);
  apply("ReleaseBackendServer", known);
  BOOST_TEST(refusal("ReleaseBackendServer", known) ==
             "UNKNOWN_SERVER server ");
}

BOOST_AUTO_TEST_SUITE_END()
