#define BOOST_TEST_MODULE config_operator
#include "entry/config_token.h"
#include "entry/operator_api.h"
#include "gateway/unary_error.h"
#include "tests/entry/config_fake_table.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::entry;
using nlohmann::json;

namespace {

constexpr char OPERATOR[] = "operator-token-1";
constexpr char CALLER[] = "caller-token-0001";
const json LIMITS = { { "max_queued_jobs", 10 },
                      { "max_concurrent_requests", 10 },
                      { "weight", 1 } };

/// One zone of four backend servers with 8 accelerators each.
std::vector<core::Cell>
small_fleet(core::Names& names)
{
  core::Cell cell;
  cell.zone = names.id("zone-a");
  for (int i = 0; i < 4; ++i) {
    core::Server server;
    server.name = names.id("server-" + std::to_string(i));
    server.rack = names.id("rack-a");
    server.zone = cell.zone;
    server.accelerators = core::accelerator_mask(8);
    server.slots = 8;
    server.cores = 32;
    server.memory_mb = 131'072;
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

  gateway::HttpAnswer post(const std::string& method,
                           const json& body,
                           const std::string& token)
  {
    gateway::HttpRequest request{ "POST",
                                  "/geraniumhinge.v1.Scheduler/" + method,
                                  { { "content-type", "application/json" },
                                    { "authorization", "Bearer " + token } },
                                  {},
                                  body.dump() };
    gateway::HttpAnswer answer;
    router.handle(request, [&](const gateway::HttpResponse& response) {
      answer = { response.status, {}, response.body };
    });
    return answer;
  }
  /// A change on the current version.
  gateway::HttpAnswer change(const std::string& method, json body)
  {
    body["base_version"] = store.current().version();
    return post(method, body, OPERATOR);
  }
  void apply(const std::string& method, const json& body)
  {
    gateway::HttpAnswer answer = change(method, body);
    BOOST_REQUIRE_MESSAGE(answer.status == 200, method + ": " + answer.body);
  }
  /// The error of a change that must change nothing.
  v1::ErrorDetail refusal(const std::string& method, const json& body)
  {
    std::string before = store.current().SerializeAsString();
    gateway::HttpAnswer answer = change(method, body);
    BOOST_TEST(answer.status >= 400, method + ": " + answer.body);
    BOOST_TEST(store.current().SerializeAsString() == before);
    return gateway::parse_error(answer).detail;
  }
  void create(const std::string& name)
  {
    apply("CreateOrganisation",
          { { "organisation", { { "name", name }, { "limits", LIMITS } } } });
  }
  json guarantee(int members, int accelerators, const char* adjacency)
  {
    return { { "shape",
               { { "members", members },
                 { "accelerators", accelerators },
                 { "adjacency", adjacency } } },
             { "count", 1 } };
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_operator, Fixture)

// Guards against operators' methods that callers or strangers may use.
BOOST_AUTO_TEST_CASE(only_operators_may_call_the_methods)
{
  create("gelato");
  apply("AssignCaller",
        { { "caller", "shop" },
          { "organisation", "gelato" },
          { "token", CALLER } });
  for (const char* method : { "GetConfiguration",
                              "CreateOrganisation",
                              "UpdateOrganisation",
                              "DeleteOrganisation",
                              "ListOrganisations",
                              "AssignCaller",
                              "RemoveCaller",
                              "SetGuarantees",
                              "SetLimits",
                              "ListBackendServers",
                              "QuarantineBackendServer",
                              "ReleaseBackendServer",
                              "GetStatus" }) {
    BOOST_TEST(post(method, json::object(), CALLER).status == 403, method);
    BOOST_TEST(post(method, json::object(), "x").status == 401, method);
  }
}

// Guards against a reassigned caller that keeps its old organisation, and a
// token that speaks for two.
BOOST_AUTO_TEST_CASE(a_reassigned_caller_speaks_for_its_new_organisation)
{
  create("gelato");
  create("valves");
  json assign = { { "caller", "shop" },
                  { "organisation", "gelato" },
                  { "token", CALLER } };
  apply("AssignCaller", assign);
  apply("AssignCaller", { { "caller", "shop" }, { "organisation", "valves" } });
  BOOST_TEST(store.authenticate(CALLER).value().organisation == "valves");
  assign["caller"] = "other";
  BOOST_TEST(refusal("AssignCaller", assign).kind() ==
             v1::ERROR_KIND_ALREADY_EXISTS);
  assign["token"] = OPERATOR;
  BOOST_TEST(refusal("AssignCaller", assign).kind() ==
             v1::ERROR_KIND_ALREADY_EXISTS);
  BOOST_TEST(refusal("AssignCaller",
                     { { "caller", "new" }, { "organisation", "valves" } })
               .field() == "token");
  BOOST_TEST(refusal("DeleteOrganisation", { { "name", "valves" } }).kind() ==
             v1::ERROR_KIND_ORGANISATION_IN_USE);
  apply("RemoveCaller", { { "caller", "shop" } });
  BOOST_TEST(!store.authenticate(CALLER));
  apply("DeleteOrganisation", { { "name", "valves" } });
  BOOST_TEST(store.current().organisations_size() == 1);
  BOOST_TEST(
    post("GetConfiguration", json::object(), OPERATOR).body.find(CALLER) ==
    std::string::npos);
}

// Guards against guarantees that do not pack with the spare withheld, and
// accepted ones without a home zone.
BOOST_AUTO_TEST_CASE(guarantees_are_admitted_with_the_spare_withheld)
{
  create("gelato");
  create("valves");
  apply("SetGuarantees",
        { { "organisation", "gelato" },
          { "guarantees",
            { guarantee(2, 8, "ADJACENCY_RACK"),
              guarantee(2, 2, "ADJACENCY_ANY") } } });
  const v1::Organisation& gelato = store.current().organisations(0);
  BOOST_TEST(gelato.guarantees(0).home_zones_size() == 1);
  BOOST_TEST(gelato.guarantees(0).home_zones(0) == "zone-a");
  BOOST_TEST(gelato.guarantees(1).home_zones_size() == 2);
  // 3 of 4 servers count, and 20 of their 24 accelerators are promised.
  v1::ErrorDetail detail =
    refusal("SetGuarantees",
            { { "organisation", "valves" },
              { "guarantees", { guarantee(1, 8, "ADJACENCY_SERVER") } } });
  BOOST_TEST(detail.kind() == v1::ERROR_KIND_GUARANTEE_DOES_NOT_FIT);
  // Any of those that do not pack together may be the one that is named.
  BOOST_TEST(detail.field().starts_with("guarantees"));
  apply("SetGuarantees",
        { { "organisation", "valves" },
          { "guarantees", { guarantee(1, 4, "ADJACENCY_SERVER") } } });
}

// Guards against invalid fields that are accepted, or refused without the
// field and its range.
BOOST_AUTO_TEST_CASE(invalid_fields_are_named_with_their_range)
{
  create("gelato");
  json shape = guarantee(129, 1, "ADJACENCY_ANY");
  json request = { { "organisation", "gelato" }, { "guarantees", { shape } } };
  v1::ErrorDetail detail = refusal("SetGuarantees", request);
  BOOST_TEST(detail.field() == "guarantees[0].shape.members");
  BOOST_TEST(detail.accepted() == "1 to 128");
  request["guarantees"] = { guarantee(9, 8, "ADJACENCY_SERVER") };
  BOOST_TEST(refusal("SetGuarantees", request).kind() ==
             v1::ERROR_KIND_IMPOSSIBLE_SHAPE);
  request["organisation"] = "missing";
  request["guarantees"] = json::array();
  BOOST_TEST(refusal("SetGuarantees", request).kind() ==
             v1::ERROR_KIND_UNKNOWN_ORGANISATION);
  json limits = LIMITS;
  limits["weight"] = 0;
  detail = refusal("SetLimits",
                   { { "organisation", "gelato" }, { "limits", limits } });
  BOOST_TEST(detail.field() == "limits.weight");
  BOOST_TEST(detail.accepted() == "1 to 1000");
  BOOST_TEST(refusal("CreateOrganisation",
                     { { "organisation",
                         { { "name", "Gelato" }, { "limits", LIMITS } } } })
               .field() == "organisation.name");
  BOOST_TEST(refusal("CreateOrganisation",
                     { { "organisation",
                         { { "name", "gelato" }, { "limits", LIMITS } } } })
               .kind() == v1::ERROR_KIND_ALREADY_EXISTS);
}

// Guards against callers' requests out of range.
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

// Guards against a quarantine of a server that does not exist, or one that
// can't be lifted.
BOOST_AUTO_TEST_CASE(quarantine_names_known_servers)
{
  BOOST_TEST(refusal("QuarantineBackendServer", { { "server", "x" } }).kind() ==
             v1::ERROR_KIND_UNKNOWN_SERVER);
  apply("QuarantineBackendServer", { { "server", "server-0" } });
  apply("QuarantineBackendServer", { { "server", "server-0" } });
  BOOST_TEST(store.current().quarantined_servers_size() == 1);
  apply("ReleaseBackendServer", { { "server", "server-0" } });
  BOOST_TEST(
    refusal("ReleaseBackendServer", { { "server", "server-0" } }).kind() ==
    v1::ERROR_KIND_UNKNOWN_SERVER);
}

BOOST_AUTO_TEST_SUITE_END()
