#define BOOST_TEST_MODULE router
#include "entry/router.h"
#include "tests/entry/entry_fakes.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char KEY[] = "request/org1/r1";

/// The short requests of one entry.
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
    , router(context, entry->context.config)
  {
    fixture.run_until([this] { return !this->entry->fleet.servers().empty(); });
  }

  std::unique_ptr<EntryNode> entry;
  entry::ServerPicker picker;
  core::RetryBudget budget;
  entry::RunContext context;
  entry::Router router;
};

struct RouterFixture : EntryFixture
{
  struct Reply
  {
    bool given = false;
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

  std::shared_ptr<Reply> begin(RunNode& node, v1::RunRequest request)
  {
    std::shared_ptr<Reply> reply = std::make_shared<Reply>();
    node.router.run("org1", {}, std::move(request), [reply](auto result) {
      BOOST_REQUIRE(!reply->given);
      reply->given = true;
      reply->result = std::move(result);
    });
    return reply;
  }

  v1::RunResponse run(RunNode& node, v1::RunRequest request)
  {
    std::shared_ptr<Reply> reply = this->begin(node, std::move(request));
    this->run_until([&] { return reply->given; });
    BOOST_REQUIRE(reply->result.has_value());
    return *reply->result;
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

// Guards against waiting for a server that does not answer, and against the
// answer of another request.
BOOST_FIXTURE_TEST_CASE(idempotent_goes_elsewhere, RouterFixture)
{
  RunNode node(*this, "e1");
  this->lose_first_reply();
  v1::RunResponse response = this->run(node, request(true, "mine"));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(response.output() == "mine");
  BOOST_TEST(this->agents.attempts.size() == 2);
}

// Guards against calling a request not run although a dispatch may have run.
BOOST_FIXTURE_TEST_CASE(idempotent_without_answer_is_unknown, RouterFixture)
{
  RunNode node(*this, "e1");
  this->agents.lose_reply = [](const std::string&, const v1::Envelope&) {
    return true;
  };
  v1::RunResponse response = this->run(node, request(true, "in", 200));
  BOOST_TEST(response.outcome() == v1::OUTCOME_UNKNOWN);
}

// Guards against a dispatch that a crash of the entry would leave unrecorded.
BOOST_FIXTURE_TEST_CASE(attempt_row_precedes_dispatch, RouterFixture)
{
  RunNode node(*this, "e1");
  bool recorded = false;
  this->agents.seen = [&](const v1::Envelope& envelope) {
    v1::RequestRow row = this->table.get<v1::RequestRow>(KEY);
    recorded = row.attempt() == envelope.agent_run().attempt();
  };
  v1::RunResponse response = this->run(node, request(false));
  BOOST_TEST(recorded);
  BOOST_TEST(response.output() == "in");
  BOOST_TEST(this->table.get<v1::RequestRow>(KEY).has_answer());
}

// Guards against a second execution when the reply of the first is lost.
BOOST_FIXTURE_TEST_CASE(lost_reply_is_queried, RouterFixture)
{
  RunNode node(*this, "e1");
  this->lose_first_reply();
  v1::RunResponse response = this->run(node, request(false));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.attempts.size() == 1);
}

// Guards against a lost dispatch that is reported as not run, or that runs
// after the query has promised that it never will.
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

// Guards against a repeated request that runs again, here or on another entry,
// and against one that gets the answer of another body.
BOOST_FIXTURE_TEST_CASE(repeated_request_gets_recorded_outcome, RouterFixture)
{
  RunNode first(*this, "e1");
  RunNode second(*this, "e2");
  std::shared_ptr<Reply> joined = this->begin(first, request(false));
  v1::RunResponse response = this->run(first, request(false));
  BOOST_TEST(joined->given);
  BOOST_TEST(this->run(second, request(false)).output() == response.output());
  BOOST_TEST(this->agents.attempts.size() == 1);
  std::shared_ptr<Reply> other = this->begin(second, request(false, "other"));
  this->run_until([&] { return other->given; });
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
  this->begin(*first, request(false));
  this->run_until([&] { return this->agents.attempts.size() == 1; });
  first.reset();
  this->agents.lose_reply = nullptr;
  RunNode second(*this, "e2");
  v1::RunResponse response = this->run(second, request(false));
  BOOST_TEST(response.outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(response.output() == "in");
  BOOST_TEST(this->agents.attempts.size() == 1);
}

// Guards against NOT_RUN for a request that another entry has run, when this
// one has no backend server to try.
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

// Guards against an outcome invented for an attempt whose agent restarted.
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

// Guards against dispatching what could not be recorded, and against refusing
// what needs no store.
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
// store's answer to its row was lost.
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

// Guards against one organisation taking every slot.
BOOST_FIXTURE_TEST_CASE(limit_of_organisation_holds, RouterFixture)
{
  this->configuration.mutable_organisations(0)
    ->mutable_limits()
    ->set_max_concurrent_requests(1);
  RunNode node(*this, "e1");
  std::shared_ptr<Reply> first = this->begin(node, request(true));
  std::shared_ptr<Reply> second = this->begin(node, request(true));
  BOOST_REQUIRE(second->given);
  BOOST_TEST(second->result->outcome() == v1::OUTCOME_NOT_RUN);
  BOOST_TEST(second->result->reason() == v1::REASON_QUEUE_FULL);
  this->run_until([&] { return first->given; });
  BOOST_TEST(first->result->outcome() == v1::OUTCOME_SUCCEEDED);
}
