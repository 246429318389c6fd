#define BOOST_TEST_MODULE unstored_ends
#include "entry/unstored_ends.h"

#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr char NODE[] = "node-1";
constexpr char TASK[] = "5c0e7a21d94b36f8.0.0.0";
constexpr std::int64_t NOW_MS = 100'000;
const core::ServerInstance INSTANCE{ "i-1", 1 };

/// An owner that waits for the store, and one agent.
struct Fixture : LoopFixture
{
  entry::ServerTable servers{ entry::LeaseBounds{} };
  std::int64_t store_wait_ms = 0;
  std::vector<v1::UnstoredEnds> sent;
  entry::EndSharer sharer{ timers, servers, hooks() };
  v1::Envelope envelope;
  v1::ServerReport& report = *envelope.mutable_server_report();

  Fixture()
  {
    envelope.set_sender(NODE);
    envelope.set_sender_incarnation(1);
    report.mutable_life()->set_id(INSTANCE.id);
    report.mutable_life()->set_born_ms(INSTANCE.started_ms);
  }

  entry::EndSharerHooks hooks()
  {
    entry::EndSharerHooks hooks;
    hooks.store_wait_ms = [this] { return store_wait_ms; };
    hooks.send = [this](const v1::UnstoredEnds& message) {
      sent.push_back(message);
    };
    return hooks;
  }

  void add_end(std::uint64_t number)
  {
    v1::EndReport& end = *report.add_ended();
    end.set_number(number);
    end.set_task(TASK);
    end.set_attempt(static_cast<std::uint32_t>(number));
    report.set_sequence(report.sequence() + 1);
    BOOST_REQUIRE(servers.apply_report(envelope, kernel::boot_ms()) != nullptr);
  }

  void wait(std::int64_t duration_ms)
  {
    std::int64_t end_ms = kernel::boot_ms() + duration_ms;
    run_until([end_ms] { return kernel::boot_ms() >= end_ms; });
  }
};

core::Run
run(std::uint32_t attempt, const core::ServerInstance& instance = INSTANCE)
{
  return { attempt, instance, NODE, false, "" };
}

v1::UnstoredEnds
message(const std::string& task, std::uint32_t attempt)
{
  v1::UnstoredEnds message;
  v1::ServerEnds& server = *message.add_servers();
  server.mutable_life()->set_id(INSTANCE.id);
  server.mutable_life()->set_born_ms(INSTANCE.started_ms);
  v1::EndReport& end = *server.add_ended();
  end.set_task(task);
  end.set_attempt(attempt);
  return message;
}

} // namespace

// Guards against messages for each end while the store serves, and for each end
// again while it does not.
BOOST_FIXTURE_TEST_CASE(ends_are_shared_again_and_again, Fixture)
{
  constexpr std::int64_t SEVERAL_PERIODS_MS = 1'000;
  add_end(1);
  wait(SEVERAL_PERIODS_MS);
  BOOST_TEST(sent.empty());
  servers.find(NODE)->stored_ends = 1;
  add_end(2);
  store_wait_ms = SEVERAL_PERIODS_MS;
  wait(SEVERAL_PERIODS_MS);
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_REQUIRE(sent[0].servers(0).ended_size() == 1);
  BOOST_TEST(sent[0].servers(0).ended(0).number() == 2U);
  add_end(3);
  run_until([this] { return sent.size() == 2; });
  BOOST_TEST(sent[1].servers(0).ended(0).number() == 3U);
}

// A new instance numbers its ends from the start.
BOOST_FIXTURE_TEST_CASE(end_of_a_new_instance_is_not_shared, Fixture)
{
  add_end(5);
  store_wait_ms = 1'000;
  run_until([this] { return sent.size() == 1; });
  report.mutable_life()->set_born_ms(2);
  report.clear_ended();
  add_end(1);
  run_until([this] { return sent.size() == 2; });
  BOOST_TEST(sent[1].servers(0).life().born_ms() == 2);
}

// Guards against an end that is taken for that of another run.
BOOST_AUTO_TEST_CASE(shared_end_of_another_run_is_applied)
{
  entry::SharedEnds ends;
  ends.add(message(TASK, 2), NOW_MS);
  BOOST_TEST(ends.find(TASK, run(2)) != nullptr);
  BOOST_TEST(ends.find(TASK, run(1)) == nullptr);
  BOOST_TEST(ends.find(TASK, run(2, { "i-1", 2 })) == nullptr);
  BOOST_TEST(ends.find("5c0e7a21d94b36f8.0.0.1", run(2)) == nullptr);
}

// Guards against ends that are kept for good, and against odd names.
BOOST_AUTO_TEST_CASE(shared_ends_are_kept_for_good)
{
  constexpr std::int64_t LATER_MS = 61'000;
  entry::SharedEnds ends;
  ends.add(message(TASK, 1), NOW_MS);
  ends.add(message("no task", 1), NOW_MS);
  BOOST_TEST(ends.find("no task", run(1)) == nullptr);
  ends.add({}, NOW_MS + LATER_MS);
  BOOST_TEST(ends.find(TASK, run(1)) == nullptr);
}
