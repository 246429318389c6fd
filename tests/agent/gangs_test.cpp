#define BOOST_TEST_MODULE gangs
#include "tests/agent/agent_fixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;
using platform::TaskState;

namespace {

/// A gang with one member on each server, and a simulated network.
struct Gang : Fixture
{
  std::vector<std::unique_ptr<Server>> servers;
  std::set<std::size_t> disconnected; ///< Servers without a network.
  kernel::Subscription leases;

  void create(std::size_t size)
  {
    for (std::size_t i = 0; i < size; i++)
      this->add_server(i);
    for (std::size_t i = 0; i < size; i++) {
      v1::Prepare prepare;
      *prepare.mutable_key() = this->key(i);
      prepare.set_hold_ms(10'000);
      for (std::size_t member = 0; member < size; member++) {
        v1::MemberPlacement& placed = *prepare.add_gang();
        placed.set_agent_address(std::to_string(member));
        placed.set_incarnation(INCARNATION + member);
      }
      BOOST_REQUIRE(this->servers[i]->members.prepare(prepare, "driver", {}) ==
                    v1::PREPARE_RESULT_HELD);
    }
    this->leases = this->timers.every(kernel::Milliseconds(5), [this] {
      for (std::unique_ptr<Server>& server : this->servers)
        server->backend.expire();
    });
  }

  void add_server(std::size_t index)
  {
    this->servers.push_back(
      std::make_unique<Server>(*this, INCARNATION + index));
    Server& server = *this->servers.back();
    agent::Transport transport;
    transport.request = [this, index](const std::string& address,
                                      const v1::Envelope& envelope,
                                      kernel::Milliseconds,
                                      const auto& done) {
      std::size_t target = std::stoul(address);
      this->loop.post([this, index, target, envelope, done] {
        this->deliver(index, target, envelope, done);
      });
    };
    server.gangs = std::make_unique<agent::Gangs>(this->loop,
                                                  this->timers,
                                                  this->log,
                                                  server.metrics,
                                                  server.settings.lease,
                                                  transport,
                                                  server.gang_hooks());
  }

  void deliver(std::size_t from,
               std::size_t to,
               const v1::Envelope& envelope,
               const peer::PeerNode::ReplyCallback& done)
  {
    if (this->disconnected.count(from) != 0 ||
        this->disconnected.count(to) != 0)
      return;
    this->servers[to]->gangs->handle_round(
      envelope.gang_round(), [this, from, to, done](v1::GangRoundAck ack) {
        v1::Envelope reply;
        *reply.mutable_gang_round_ack() = std::move(ack);
        if (this->disconnected.count(from) == 0 &&
            this->disconnected.count(to) == 0)
          this->loop.post([done, reply] { done(reply); });
      });
  }

  v1::MemberKey key(std::size_t member) const
  {
    return this->servers[member]->key(1, static_cast<std::uint32_t>(member));
  }

  void start(std::size_t first, std::size_t end)
  {
    for (std::size_t i = first; i < end; i++)
      this->servers[i]->members.start(this->key(i), "driver");
  }

  std::size_t running() const
  {
    std::size_t count = 0;
    for (const std::unique_ptr<Server>& server : this->servers)
      count += server->backend.running();
    return count;
  }

  void finish(std::size_t member, TaskState state)
  {
    this->servers[member]->backend.finish(
      { "job-1", static_cast<std::uint32_t>(member) }, state);
  }

  void run_for(kernel::Milliseconds duration)
  {
    std::int64_t end = kernel::boot_ms() + duration.count();
    this->run_until([end] { return kernel::boot_ms() >= end; });
  }

  /// Disconnects one server and expects all tasks to end within the lease plus
  /// the round limit, with an allowance for timers on a busy machine.
  void expect_loss_stops_all(std::size_t lost)
  {
    constexpr std::int64_t ALLOWANCE_MS = 200;
    const agent::LeaseSettings lease = short_settings().lease;
    std::int64_t disconnected_ms = kernel::boot_ms();
    this->disconnected.insert(lost);
    BOOST_TEST(this->run_until([this] { return this->running() == 0; }));
    for (const std::unique_ptr<Server>& server : this->servers) {
      for (const auto& [key, task] : server->backend.tasks)
        BOOST_TEST(task.ended_ms - disconnected_ms <=
                   lease.length.count() + lease.round_limit.count() +
                     ALLOWANCE_MS);
    }
  }
};

constexpr std::size_t THREE_LEVELS = 74; // 1 + 8 + 64 + 1.

} // namespace

// Guards against members that run before every member of the gang has started.
BOOST_FIXTURE_TEST_CASE(opens_only_when_every_member_has_started, Gang)
{
  this->create(THREE_LEVELS);
  this->start(0, THREE_LEVELS - 1);
  this->run_for(2 * short_settings().lease.round_period);
  BOOST_TEST(this->running() == 0);
  this->start(THREE_LEVELS - 1, THREE_LEVELS);
  BOOST_TEST(
    this->run_until([this] { return this->running() == THREE_LEVELS; }));
}

// Guards against a gang that keeps its resources forever because one member
// never starts.
BOOST_FIXTURE_TEST_CASE(ends_when_a_member_never_starts, Gang)
{
  this->create(3);
  this->start(0, 2);
  BOOST_TEST(this->run_until([this] {
    return this->servers[0]->members.active() == 0 &&
           this->servers[1]->members.active() == 0;
  }));
  BOOST_TEST(this->servers[1]->backend.tasks.empty());
  BOOST_TEST(this->servers[2]->members.query(this->key(2)).state() ==
             v1::MEMBER_STATE_HELD);
  // Member 1 acknowledged a round, so it must not report NEVER_STARTED.
  BOOST_TEST(this->servers[1]->members.query(this->key(1)).state() ==
             v1::MEMBER_STATE_STOPPED);
}

// Guards against members that run on after a leaf of the tree is lost.
BOOST_FIXTURE_TEST_CASE(loss_of_a_leaf_stops_all, Gang)
{
  this->create(THREE_LEVELS);
  this->start(0, THREE_LEVELS);
  BOOST_REQUIRE(
    this->run_until([this] { return this->running() == THREE_LEVELS; }));
  this->run_for(2 * short_settings().lease.length);
  BOOST_TEST(this->running() == THREE_LEVELS);
  this->expect_loss_stops_all(THREE_LEVELS - 1);
}

// Guards against members that run on after the lead is lost.
BOOST_FIXTURE_TEST_CASE(loss_of_the_lead_stops_all, Gang)
{
  this->create(4);
  this->start(0, 4);
  BOOST_REQUIRE(this->run_until([this] { return this->running() == 4; }));
  this->expect_loss_stops_all(0);
}

// Guards against a finished member that stops acknowledging rounds, which would
// let the leases of the other members expire.
BOOST_FIXTURE_TEST_CASE(finished_member_keeps_the_gang_alive, Gang)
{
  this->create(3);
  this->start(0, 3);
  BOOST_REQUIRE(this->run_until([this] { return this->running() == 3; }));
  this->finish(1, TaskState::Succeeded);
  this->finish(0, TaskState::Succeeded);
  this->run_for(2 * short_settings().lease.length);
  BOOST_TEST(this->running() == 1);
  this->finish(2, TaskState::Succeeded);
  BOOST_TEST(this->run_until([this] {
    return this->servers[0]->gangs->size() == 0 &&
           this->servers[1]->gangs->size() == 0;
  }));
  for (const std::unique_ptr<Server>& server : this->servers)
    BOOST_TEST(server->results.at(0).outcome() == v1::OUTCOME_SUCCEEDED);
}

// Guards against members that run on after the task of another one has failed.
BOOST_FIXTURE_TEST_CASE(failed_member_stops_the_rest, Gang)
{
  this->create(3);
  this->start(0, 3);
  BOOST_REQUIRE(this->run_until([this] { return this->running() == 3; }));
  this->finish(2, TaskState::Failed);
  BOOST_TEST(this->run_until([this] { return this->running() == 0; }));
  BOOST_TEST(this->servers[2]->results.at(0).outcome() == v1::OUTCOME_FAILED);
  BOOST_TEST(
    this->run_until([this] { return !this->servers[1]->results.empty(); }));
  BOOST_TEST(this->servers[1]->results.at(0).outcome() == v1::OUTCOME_UNKNOWN);
}
