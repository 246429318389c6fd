#define BOOST_TEST_MODULE agent_process
#include "tests/agent/agent_process.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

struct AnnouncedAgent : EntryStandin
{
  AgentProcess process{ "server-1", this->address };
  std::string agent = this->process.peer_address;

  AnnouncedAgent()
  {
    BOOST_REQUIRE(this->run_until([this] { return !this->agents.empty(); }));
  }

  v1::Envelope run_message(std::uint64_t attempt, const std::string& input)
  {
    v1::Envelope envelope;
    envelope.mutable_agent_run()->set_attempt(attempt);
    envelope.mutable_agent_run()->set_input(input);
    envelope.mutable_agent_run()->set_timeout_ms(10'000);
    return envelope;
  }

  v1::MemberKey key()
  {
    v1::MemberKey key;
    key.set_job("job-1");
    key.set_generation(1);
    key.set_incarnation(this->agents["server-1"].incarnation());
    return key;
  }

  v1::PrepareResult prepare()
  {
    v1::Envelope envelope;
    *envelope.mutable_prepare()->mutable_key() = this->key();
    envelope.mutable_prepare()->set_accelerators(3);
    envelope.mutable_prepare()->set_hold_ms(10'000);
    envelope.mutable_prepare()->mutable_input()->set_inline_(
      R"({"run_ms":300,"output":"done"})");
    return this->call(this->agent, envelope).prepare_reply().result();
  }
};

} // namespace

// Guards against an agent process that can't be reached, can't run a request or
// a task, or does not deliver the result.
BOOST_FIXTURE_TEST_CASE(runs_a_request_and_a_task, AnnouncedAgent)
{
  v1::Envelope reply =
    this->call(this->agent, this->run_message(7, "plain answer"));
  BOOST_TEST(reply.agent_run_reply().result() == v1::AGENT_RUN_RESULT_DONE);
  BOOST_TEST(reply.agent_run_reply().output() == "plain answer");
  BOOST_TEST(this->prepare() == v1::PREPARE_RESULT_HELD);
  v1::Envelope start;
  *start.mutable_start()->mutable_key() = this->key();
  BOOST_TEST(this->call(this->agent, start).start_reply().state() ==
             v1::MEMBER_STATE_STARTED);
  BOOST_TEST(this->run_until([this] { return !this->results.empty(); }));
  BOOST_TEST(this->results[0].outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->results[0].output().inline_() == "done");
}

// Guards against an agent that, after SIGTERM, aborts work in flight, accepts
// new work, does not announce that it leaves, or exits early at a second
// signal.
BOOST_FIXTURE_TEST_CASE(finishes_work_in_flight_before_it_exits, AnnouncedAgent)
{
  v1::AgentRunReply run_reply;
  this->entry->request(
    this->agent,
    this->run_message(7, R"({"run_ms":1000,"output":"whole"})"),
    kernel::Milliseconds(10'000),
    [&run_reply](auto reply) {
      if (reply)
        run_reply = reply->agent_run_reply();
    });
  // The reply arrives after the first run has begun, since messages keep their
  // order.
  this->call(this->agent, this->run_message(8, "second"));
  this->process.agent->signal(SIGTERM);
  BOOST_TEST(this->run_until([this] { return this->left; }));
  this->process.agent->signal(SIGTERM);
  BOOST_TEST(this->prepare() == v1::PREPARE_RESULT_LEAVING);
  v1::Envelope refused = this->call(this->agent, this->run_message(9, "late"));
  BOOST_TEST(refused.agent_run_reply().result() ==
             v1::AGENT_RUN_RESULT_REFUSED);
  BOOST_TEST(this->run_until([&] { return this->process.agent->exited(); }));
  BOOST_TEST(this->process.agent->exit_code == 0);
  BOOST_TEST(run_reply.output() == "whole");
}
