#define BOOST_TEST_MODULE peer_node
#include "tests/peer/peer_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <vector>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;
using peer::PeerError;
using peer::PeerNode;

namespace {

constexpr kernel::Milliseconds TIMEOUT{ 300 };
constexpr kernel::Milliseconds LONG_TIMEOUT{ 10'000 };

v1::Envelope
job_notice(const std::string& job)
{
  v1::Envelope envelope;
  envelope.mutable_job_notice()->set_job(job);
  return envelope;
}

/// Replies to each notice with the same job name.
void
echo(PeerNode& node)
{
  node.on_message([&node](const v1::Envelope& received) {
    if (received.has_job_notice())
      node.reply(received, job_notice(received.job_notice().job()));
  });
}

/// Sends requests until one gets a reply.
bool
gets_reply_again(Fixture& fixture, PeerNode& node, const std::string& address)
{
  bool answered = false;
  kernel::Subscription requests = fixture.timers.every(TIMEOUT, [&] {
    node.request(address, job_notice("again"), TIMEOUT, [&](auto reply) {
      answered = answered || reply.has_value();
    });
  });
  bool result = fixture.run_until([&] { return answered; });
  requests.reset();
  // Pending callbacks refer to local variables: wait until they have run.
  kernel::Subscription end;
  bool callbacks_done = false;
  end = fixture.timers.after(TIMEOUT * 2, [&] { callbacks_done = true; });
  fixture.run_until([&] { return callbacks_done; });
  return result;
}

} // namespace

// Guards against replies that reach the callback of another request. The server
// replies to 50 requests in reverse order.
BOOST_FIXTURE_TEST_CASE(matches_each_reply_with_its_request, Fixture)
{
  std::string address = free_address();
  std::unique_ptr<PeerNode> server = this->node("server", address);
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  std::vector<v1::Envelope> waiting;
  constexpr int REQUESTS = 50;
  server->on_message([&](const v1::Envelope& received) {
    waiting.push_back(received);
    if (waiting.size() < REQUESTS)
      return;
    for (std::size_t i = waiting.size(); i > 0; i--)
      server->reply(waiting[i - 1],
                    job_notice(waiting[i - 1].job_notice().job()));
  });
  int matched = 0;
  int mismatched = 0;
  for (int i = 0; i < REQUESTS; i++) {
    std::string job = std::to_string(i);
    client->request(address, job_notice(job), LONG_TIMEOUT, [&, job](auto r) {
      (r && r->job_notice().job() == job ? matched : mismatched)++;
    });
  }
  BOOST_TEST(this->run_until([&] { return matched + mismatched == REQUESTS; }));
  BOOST_TEST(matched == REQUESTS);
}

// Guards against a reply that arrives after the timeout, or twice, and is
// passed to a callback.
BOOST_FIXTURE_TEST_CASE(drops_late_and_duplicated_replies, Fixture)
{
  std::string address = free_address();
  std::unique_ptr<PeerNode> server = this->node("server", address);
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  std::vector<v1::Envelope> received;
  server->on_message(
    [&](const v1::Envelope& envelope) { received.push_back(envelope); });
  int calls = 0;
  int timeouts = 0;
  client->request(address, job_notice("a"), TIMEOUT, [&](auto reply) {
    calls++;
    timeouts += !reply && reply.error() == PeerError::TimedOut ? 1 : 0;
  });
  BOOST_TEST(this->run_until([&] { return calls == 1; }));
  BOOST_TEST(timeouts == 1);

  server->reply(received.at(0), job_notice("late"));
  client->request(address, job_notice("b"), LONG_TIMEOUT, [&](auto reply) {
    calls++;
    BOOST_TEST(reply->job_notice().job() == "b");
  });
  BOOST_TEST(this->run_until([&] { return received.size() == 2; }));
  server->reply(received.at(1), job_notice("b"));
  server->reply(received.at(1), job_notice("b"));
  kernel::Counter& dropped =
    this->metrics.counter("peer_replies_dropped_total");
  BOOST_TEST(this->run_until([&] { return dropped.value() == 2; }));
  BOOST_TEST(calls == 2);
}

// Guards against a request that is reported as possibly arrived although there
// was never a connection to the peer.
BOOST_FIXTURE_TEST_CASE(reports_not_sent_without_a_connection, Fixture)
{
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  tl::expected<v1::Envelope, PeerError> result;
  bool called = false;
  client->request(free_address(), job_notice("a"), TIMEOUT, [&](auto reply) {
    called = true;
    result = std::move(reply);
  });
  BOOST_TEST(this->run_until([&] { return called; }));
  BOOST_TEST((!result && result.error() == PeerError::NotSent));
}

// Guards against a silent connection that is kept: it stays open but loses all
// requests.
BOOST_FIXTURE_TEST_CASE(redials_a_connection_that_loses_requests, Fixture)
{
  std::string address = free_address();
  std::unique_ptr<PeerNode> server = this->node("server", address);
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  echo(*server);
  Relay relay(address);
  BOOST_TEST(gets_reply_again(*this, *client, relay.address()));
  relay.blackhole();
  BOOST_TEST(gets_reply_again(*this, *client, relay.address()));
  BOOST_TEST(relay.connections() >= 2);
}

// Guards against a silent connection that loses all replies. Only the replying
// side can replace this connection.
BOOST_FIXTURE_TEST_CASE(redials_a_connection_that_loses_replies, Fixture)
{
  std::string listen = free_address();
  std::unique_ptr<PeerNode> client = this->node("client", listen);
  Relay relay(listen);
  std::string address = free_address();
  std::unique_ptr<PeerNode> server = this->node("server", address);
  // Replies go through the relay.
  server->on_message([&](const v1::Envelope& received) {
    v1::Envelope redirected = received;
    redirected.set_sender_address(relay.address());
    server->reply(redirected, job_notice("answer"));
  });
  BOOST_TEST(gets_reply_again(*this, *client, address));
  relay.blackhole();
  BOOST_TEST(gets_reply_again(*this, *client, address));
  BOOST_TEST(relay.connections() >= 2);
}

// Guards against a silent connection that loses one-way messages and is kept,
// because no reply is expected.
BOOST_FIXTURE_TEST_CASE(redials_a_silent_connection_of_one_way_messages,
                        Fixture)
{
  std::string address = free_address();
  std::unique_ptr<PeerNode> server = this->node("server", address);
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  int received = 0;
  server->on_message([&](const v1::Envelope&) { received++; });
  Relay relay(address);
  kernel::Subscription sends = this->timers.every(TIMEOUT, [&] {
    BOOST_TEST(client->send(relay.address(), job_notice("a")).has_value());
  });
  BOOST_TEST(this->run_until([&] { return received > 0; }));
  relay.blackhole();
  int before = received;
  BOOST_TEST(this->run_until([&] { return received > before + 1; }));
}

// Guards against a sender that keeps a connection to a dead process after the
// peer has restarted on the same address.
BOOST_FIXTURE_TEST_CASE(reaches_a_peer_restarted_on_its_address, Fixture)
{
  std::string address = free_address();
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  for (int round = 0; round < 3; round++) {
    std::unique_ptr<PeerNode> server = this->node("server", address);
    echo(*server);
    BOOST_TEST(gets_reply_again(*this, *client, address));
  }
}

// Guards against a send queue that grows without bound while a peer is
// unreachable.
BOOST_FIXTURE_TEST_CASE(refuses_messages_beyond_the_queue_bound, Fixture)
{
  std::unique_ptr<PeerNode> client = this->node("client", free_address());
  std::string address = free_address();
  constexpr int MESSAGES = 2'000;
  int refused = 0;
  for (int i = 0; i < MESSAGES; i++)
    refused += client->send(address, job_notice("a")) ? 0 : 1;
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused < MESSAGES);
}

// Guards against an address in a row of another writer that stops the messages
// to other peers, or causes a log line with each message.
BOOST_FIXTURE_TEST_CASE(malformed_addresses_cost_no_other_peer, Fixture)
{
  int ends[2] = { -1, -1 };
  BOOST_REQUIRE(::pipe(ends) == 0);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  kernel::Log piped_log("test", kernel::Severity::Info, ends[1]);
  std::string address = free_address();
  std::unique_ptr<PeerNode> server = this->node("server", address);
  echo(*server);
  PeerNode client(this->loop,
                  this->timers,
                  piped_log,
                  this->metrics,
                  { "client", kernel::random_id(), free_address() });
  BOOST_REQUIRE(client.listen().has_value());
  const std::string addresses[] = {
    "",
    "host:",
    "[::1",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:18446744073709551617",
    "a b:80",
    "no-such-host.invalid:80",
    "/../..:80",
    std::string("10.0.0.1\0:80", 12),
    std::string(200, 'x'),
    std::string(200, '9') + ":80",
    std::string(8, '\xff') + ":80",
  };
  constexpr int ROUNDS = 20;
  for (int round = 0; round < ROUNDS; ++round) {
    for (const std::string& malformed : addresses)
      BOOST_TEST(!client.send(malformed, job_notice("a")).has_value());
  }
  v1::Envelope ping;
  ping.mutable_ping();
  ping.set_sender_address("host:");
  client.reply(ping, job_notice("a"));
  BOOST_TEST(gets_reply_again(*this, client, address));
  BOOST_TEST(this->metrics.gauge("peer_links_open").value() <= 2);
  char lines[64 * 1'024];
  ssize_t size = ::read(ends[0], lines, sizeof lines);
  BOOST_TEST(std::count(lines, lines + std::max<ssize_t>(size, 0), '\n') ==
             static_cast<long>(std::size(addresses)));
  ::close(ends[0]);
  ::close(ends[1]);
}
