#define BOOST_TEST_MODULE run_service
#include "entry/run_service.h"
#include "tests/entry/entry_fakes.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char KEY[] = "request/org1/r1";

/// One entry with its tasks for short requests.
struct RunNode
{
  RunNode(EntryFixture& fixture, const std::string& name)
    : entry(fixture.node(name))
    , picker(entry->fleet, "z1")
    , budget(core::RetryLimits{})
    , context{ fixture.loop,
               fixture.timers,
               entry->log,
               entry->metrics,
               entry->tracer,
               fixture.table,
               entry->fleet,
               entry->membership,
               fixture.agents.transport(),
               entry->settings,
               picker,
               budget }
    , run_service(context, entry->context.config)
  {
    fixture.run_until([this] { return !this->entry->fleet.servers().empty(); });
  }

  std::unique_ptr<EntryNode> entry;
  entry::ServerPicker picker;
  core::RetryBudget budget;
  entry::RunContext context;
  entry::RunService run_service;
};

struct RouterFixture : EntryFixture
{
  struct Response
  {
    bool received = false;
    tl::expected<v1::RunResponse, gateway::CallError> result;
  };

  static v1::RunRequest request(bool idempotent,
                                const std::string& input = "in",
                                std::uint32_t timeout_ms = 5'000)
  {
    v1::RunRequest request;
    request.set_request_id("r1");
    request.set_input(input);
    request.set_idempotent(idempotent);
    request.set_timeout_ms(timeout_ms);
    return request;
  }

  std::shared_ptr<Response> start_run(RunNode& node, v1::RunRequest request)
  {
    std::shared_ptr<Response> response = std::make_shared<Response>();
    node.run_service.run(
      "org1", {}, std::move(request), [response](auto result) {
        BOOST_REQUIRE(!response->received);
        response->received = true;
        response->result = std::move(result);
      });
    return response;
  }

  v1::RunResponse run(RunNode& node, v1::RunRequest request)
  {
    std::shared_ptr<Response> response =
      this->start_run(node, std::move(request));
    this->run_until([&] { return response->received; });
    BOOST_REQUIRE(response->result.has_value());
    return *response->result;
  }

  /// Loses the first reply to a dispatch.
  void lose_first_reply()
  {
    this->agents.lose_reply = [lost = false](const std::string&,
                                             const v1::Envelope&) mutable {
      return !std::exchange(lost, true);
    };
  }
};

} // namespace

// Guards against waiting for a server whose reply is lost instead of trying
// another one, and against the response of another request.
BOOST_FIXTURE_TEST_CASE(idempotent_request_tries_another_server, RouterFixture)
{
  RunNode node(*this, "e1");
  this->lose_first_reply();
  v1::RunResponse response = this->run(node, request(true, "mine"));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(response.output() == "mine");
  BOOST_TEST(this->agents.attempts.size() == 2);
}

// Guards against reporting a request as not run although a server whose reply
// was lost may have run it.
BOOST_FIXTURE_TEST_CASE(idempotent_without_reply_is_unknown, RouterFixture)
{
  RunNode node(*this, "e1");
  this->agents.lose_reply = [](const std::string&, const v1::Envelope&) {
    return true;
  };
  v1::RunResponse response = this->run(node, request(true, "in", 200));
  BOOST_TEST(response.outcome() == v1::OUTCOME_UNKNOWN);
}

BOOST_FIXTURE_TEST_CASE(request_that_crashes_its_servers_is_sent_without_end,
                        RouterFixture)
{
  RunNode node(*this, "e1");
  this->agents.outcomes_unknown = true;
  v1::RunResponse response = this->run(node, request(true, "in", 4'000));
  BOOST_TEST(response.outcome() == v1::OUTCOME_UNKNOWN);
  std::size_t limit =
    static_cast<std::size_t>(node.entry->settings.max_attempts);
  BOOST_TEST(this->agents.attempts.size() <= limit);
}

// Guards against a dispatch before its attempt is recorded: after a crash of
// the entry, no other entry would know of the attempt.
BOOST_FIXTURE_TEST_CASE(attempt_row_precedes_dispatch, RouterFixture)
{
  RunNode node(*this, "e1");
  bool recorded = false;
  this->agents.on_message = [&](const v1::Envelope& envelope) {
    v1::RequestRow row = this->table.get<v1::RequestRow>(KEY);
    recorded = row.attempt() == envelope.agent_run().attempt();
  };
  v1::RunResponse response = this->run(node, request(false));
  BOOST_TEST(recorded);
  BOOST_TEST(response.output() == "in");
  BOOST_TEST(this->table.get<v1::RequestRow>(KEY).has_answer());
}

// Guards against a second run when the reply to the first dispatch is lost.
BOOST_FIXTURE_TEST_CASE(lost_reply_is_queried, RouterFixture)
{
  RunNode node(*this, "e1");
  this->lose_first_reply();
  v1::RunResponse response = this->run(node, request(false));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.attempts.size() == 1);
}

// Guards against a lost dispatch that is reported as not run, or that runs
// after its agent has replied to a query that the attempt never will.
BOOST_FIXTURE_TEST_CASE(lost_dispatch_is_replaced_once, RouterFixture)
{
  RunNode node(*this, "e1");
  this->agents.lose_request = [lost = false](const std::string&,
                                             const v1::Envelope&) mutable {
    return !std::exchange(lost, true);
  };
  v1::RunResponse response = this->run(node, request(false));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.attempts.size() == 1);
  BOOST_TEST(this->agents.refused.size() == 1);
}

// Guards against a repeated request that runs again, on the same or on another
// entry, and against a different request with the same id that gets the
// recorded outcome.
BOOST_FIXTURE_TEST_CASE(repeated_request_gets_recorded_outcome, RouterFixture)
{
  RunNode first(*this, "e1");
  RunNode second(*this, "e2");
  std::shared_ptr<Response> joined = this->start_run(first, request(false));
  v1::RunResponse response = this->run(first, request(false));
  BOOST_TEST(joined->received);
  BOOST_TEST(this->run(second, request(false)).output() == response.output());
  BOOST_TEST(this->agents.attempts.size() == 1);
  std::shared_ptr<Response> other =
    this->start_run(second, request(false, "other"));
  this->run_until([&] { return other->received; });
  BOOST_REQUIRE(!other->result.has_value());
  BOOST_TEST(other->result.error().detail.kind() ==
             v1::ERROR_KIND_REQUEST_ID_REUSED);
}

// Guards against a request that is lost or runs twice when its entry dies
// after the dispatch.
BOOST_FIXTURE_TEST_CASE(other_entry_finds_outcome, RouterFixture)
{
  std::unique_ptr<RunNode> first = std::make_unique<RunNode>(*this, "e1");
  this->agents.lose_reply = [](const std::string&, const v1::Envelope&) {
    return true;
  };
  this->start_run(*first, request(false));
  this->run_until([&] { return this->agents.attempts.size() == 1; });
  first.reset();
  this->agents.lose_reply = nullptr;
  RunNode second(*this, "e2");
  v1::RunResponse response = this->run(second, request(false));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(response.output() == "in");
  BOOST_TEST(this->agents.attempts.size() == 1);
}

// Guards against NOT_RUN for a request that another entry has run, when the
// second entry has no backend server to try.
BOOST_FIXTURE_TEST_CASE(no_capacity_does_not_hide_a_recorded_outcome,
                        RouterFixture)
{
  RunNode first(*this, "e1");
  BOOST_REQUIRE(this->run(first, request(false)).outcome() ==
                v1::OUTCOME_SUCCEEDED);
  RunNode second(*this, "e2");
  second.entry->settings.max_attempts = 0;
  BOOST_TEST(this->run(second, request(false)).outcome() ==
             v1::OUTCOME_SUCCEEDED);
}

// Guards against any outcome but unknown for an attempt whose agent restarted
// before its reply arrived.
BOOST_FIXTURE_TEST_CASE(restarted_agent_leaves_unknown, RouterFixture)
{
  RunNode node(*this, "e1");
  this->agents.lose_reply = [&](const std::string&,
                                const v1::Envelope& envelope) {
    bool dispatch = !envelope.agent_run().query_only();
    for (auto& [address, incarnation] : this->agents.incarnations)
      incarnation += dispatch ? 100 : 0;
    return dispatch;
  };
  v1::RunResponse response = this->run(node, request(false));
  BOOST_TEST(response.outcome() == v1::OUTCOME_UNKNOWN);
  BOOST_TEST(this->agents.attempts.size() == 1);
}

// Guards against a dispatch whose attempt can't be recorded because the store
// is down, and against refusing idempotent requests, which need no store.
BOOST_FIXTURE_TEST_CASE(store_down_refuses_at_once, RouterFixture)
{
  RunNode node(*this, "e1");
  this->table.down = true;
  v1::RunResponse refused = this->run(node, request(false));
  BOOST_TEST(refused.outcome() == v1::OUTCOME_NOT_RUN);
  BOOST_TEST(refused.reason() == v1::REASON_STORE_UNAVAILABLE);
  BOOST_TEST(refused.retry_after_ms() > 0);
  BOOST_TEST(this->agents.attempts.empty());
  BOOST_TEST(this->run(node, request(true)).outcome() == v1::OUTCOME_SUCCEEDED);
}

// Guards against running an attempt that was reported as not run because the
// result of the commit of its row was lost.
BOOST_FIXTURE_TEST_CASE(ambiguous_attempt_row_is_not_dispatched, RouterFixture)
{
  RunNode node(*this, "e1");
  this->table.fault = [](const platform::Transaction&) {
    return CommitFault::AppliedAmbiguous;
  };
  BOOST_TEST(this->run(node, request(false)).outcome() == v1::OUTCOME_NOT_RUN);
  BOOST_TEST(this->agents.attempts.empty());
  this->table.fault = nullptr;
  BOOST_TEST(this->run(node, request(false)).outcome() ==
             v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.attempts.size() == 1);
}

// Guards against one organisation that uses every slot because its limit of
// concurrent requests is not applied.
BOOST_FIXTURE_TEST_CASE(limit_of_organisation_is_applied, RouterFixture)
{
  this->configuration.mutable_organisations(0)
    ->mutable_limits()
    ->set_max_concurrent_requests(1);
  RunNode node(*this, "e1");
  std::shared_ptr<Response> first = this->start_run(node, request(true));
  std::shared_ptr<Response> second = this->start_run(node, request(true));
  BOOST_REQUIRE(second->received);
  BOOST_TEST(second->result->outcome() == v1::OUTCOME_NOT_RUN);
  BOOST_TEST(second->result->reason() == v1::REASON_QUEUE_FULL);
  this->run_until([&] { return first->received; });
  BOOST_TEST(first->result->outcome() == v1::OUTCOME_SUCCEEDED);
}
