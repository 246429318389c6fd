#define BOOST_TEST_MODULE requests
#include "agent/requests.h"
#include "tests/agent/agent_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

struct OneServer : Fixture
{
  FakeBackend backend;
  agent::AgentSettings settings = short_settings();
  kernel::Tracer tracer{ "test", "" };
  agent::AllocatedResources allocated{ this->settings.capacity };
  agent::Requests requests{
    this->loop,     this->metrics,           this->tracer,
    this->backend,  this->settings.requests, INCARNATION,
    this->allocated
  };
  std::vector<v1::AgentRunReply> replies;

  void send(std::uint64_t attempt,
            bool query_only = false,
            std::uint64_t incarnation = INCARNATION)
  {
    v1::AgentRun run;
    run.set_attempt(attempt);
    run.set_incarnation(incarnation);
    run.set_timeout_ms(1'000);
    run.set_query_only(query_only);
    this->requests.handle(run, {}, [this](v1::AgentRunReply reply) {
      this->replies.push_back(std::move(reply));
    });
  }
  v1::AgentRunResult last() const
  {
    return this->replies.at(this->replies.size() - 1).result();
  }
};

} // namespace

// Guards against a non-idempotent attempt that runs twice because its message
// is repeated.
BOOST_FIXTURE_TEST_CASE(runs_an_attempt_once, OneServer)
{
  this->send(1);
  this->send(1);
  BOOST_TEST(this->backend.runs.size() == 1);
  this->backend.runs[0].second("answer");
  BOOST_TEST(this->replies.size() == 2);
  this->send(1);
  this->send(1, true);
  BOOST_TEST(this->backend.runs.size() == 1);
  BOOST_TEST(this->replies.at(3).output() == "answer");
  BOOST_TEST(this->allocated.slots_used() == 0);
}

// Guards against an attempt that runs after a query for it was answered with
// REFUSED, because its message arrives late.
BOOST_FIXTURE_TEST_CASE(refuses_an_attempt_after_a_query, OneServer)
{
  this->send(1, true);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_REFUSED);
  this->send(1);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_REFUSED);
  BOOST_TEST(this->backend.runs.empty());
}

// Guards against a query that is answered with REFUSED although another
// incarnation of the agent may have run the attempt.
BOOST_FIXTURE_TEST_CASE(does_not_answer_for_another_incarnation, OneServer)
{
  this->send(1, true, INCARNATION + 1);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_UNKNOWN);
  this->send(1, false, INCARNATION + 1);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_REFUSED);
  BOOST_TEST(this->backend.runs.empty());
}

// Guards against a call with an ambiguous effect that is reported as refused.
BOOST_FIXTURE_TEST_CASE(reports_the_effect_of_a_failed_call, OneServer)
{
  using platform::BackendError;
  const std::pair<BackendError, v1::AgentRunResult> cases[] = {
    { BackendError::NoAnswer, v1::AGENT_RUN_RESULT_UNKNOWN },
    { BackendError::Repeated, v1::AGENT_RUN_RESULT_UNKNOWN },
    { BackendError::Failed, v1::AGENT_RUN_RESULT_FAILED },
    { BackendError::Unreachable, v1::AGENT_RUN_RESULT_REFUSED },
  };
  std::uint64_t attempt = 0;
  for (const std::pair<BackendError, v1::AgentRunResult>& item : cases) {
    this->send(++attempt);
    this->backend.runs.back().second(tl::unexpected(item.first));
    BOOST_TEST(this->last() == item.second);
  }
}

// Guards against requests that run without a free slot or while the agent
// leaves, and against a refused attempt that runs when it is sent again.
BOOST_FIXTURE_TEST_CASE(refuses_without_a_slot_and_while_leaving, OneServer)
{
  for (std::uint64_t attempt = 1; attempt <= 9; attempt++)
    this->send(attempt);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_REFUSED);
  BOOST_TEST(this->replies.back().slots_used() == 8);
  this->backend.runs[0].second("answer");
  this->send(9);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_REFUSED);
  this->requests.leave();
  this->send(10);
  BOOST_TEST(this->last() == v1::AGENT_RUN_RESULT_REFUSED);
  BOOST_TEST(this->backend.runs.size() == 8);
}
