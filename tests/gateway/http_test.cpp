#define BOOST_TEST_MODULE http
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "tests/gateway/loop_fixture.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <ev.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace geraniumhinge;
using namespace geraniumhinge::gateway;

namespace {

constexpr std::size_t MAX_BODY = 1'000;
// End of the body of a complete response.
constexpr char COMPLETE_END[] = "whole";

sockaddr_in
loopback(int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A blocking socket, for malformed or incomplete requests and responses.
struct RawSocket
{
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  RawSocket() = default;
  explicit RawSocket(int fd)
    : fd(fd)
  {
  }
  RawSocket(const RawSocket&) = delete;
  ~RawSocket() { this->close_socket(); }

  void close_socket()
  {
    if (this->fd >= 0)
      close(std::exchange(this->fd, -1));
  }
  void connect_to(int port)
  {
    sockaddr_in address = loopback(port);
    BOOST_REQUIRE_EQUAL(
      connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof address),
      0);
  }
  int listen_on_free_port()
  {
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    BOOST_REQUIRE_EQUAL(
      bind(this->fd, reinterpret_cast<sockaddr*>(&address), size), 0);
    BOOST_REQUIRE_EQUAL(listen(this->fd, 16), 0);
    getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  void write(const std::string& text)
  {
    BOOST_REQUIRE_EQUAL(send(this->fd, text.data(), text.size(), MSG_NOSIGNAL),
                        static_cast<ssize_t>(text.size()));
  }
};

struct Fixture : tests::LoopFixture
{
  HttpClient client{ loop, timers, 64 };
  std::vector<std::pair<HttpRequest, HttpServer::ResponseCallback>> received;
  std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
    loop,
    timers,
    "127.0.0.1:0",
    MAX_BODY,
    [this](HttpRequest request, HttpServer::ResponseCallback respond) {
      received.emplace_back(std::move(request), std::move(respond));
    });
  std::deque<std::optional<HttpClient::Result>> results;
  int port = 0;

  Fixture()
  {
    BOOST_REQUIRE(server->listen());
    port = server->port();
  }

  HttpClientRequest call_of(const std::string& body, int to = 0)
  {
    HttpClientRequest call;
    call.url = tests::url_of(to ? to : port, "/echo?x=1");
    call.body = body;
    call.timeout = BOUND;
    return call;
  }

  /// Starts a call. The returned result is set when the call has ended.
  const std::optional<HttpClient::Result>& start(HttpClientRequest call)
  {
    std::optional<HttpClient::Result>& result = results.emplace_back();
    client.call(std::move(call),
                [&](HttpClient::Result value) { result = std::move(value); });
    return result;
  }
  /// Makes a call and waits for its result. The peer must end the call without
  /// help from the test.
  HttpClient::Result result_of(HttpClientRequest call)
  {
    const std::optional<HttpClient::Result>& result = start(std::move(call));
    run_until([&] { return result.has_value(); });
    return *result;
  }
};

/// A server that sends the next of `responses` for each request. It closes the
/// connection after an incomplete response and when no response is left.
struct ScriptedServer
{
  kernel::Loop& loop;
  std::vector<std::string> responses;
  RawSocket listener;
  int port = listener.listen_on_free_port();
  std::vector<std::unique_ptr<RawSocket>> accepted;
  std::vector<kernel::Subscription> watches;
  std::size_t requests = 0;

  ScriptedServer(kernel::Loop& loop, std::vector<std::string> responses)
    : loop(loop)
    , responses(std::move(responses))
  {
    watches.push_back(
      loop.watch(listener.fd, EV_READ, [this](int) { accept_one(); }));
  }
  void accept_one()
  {
    accepted.push_back(
      std::make_unique<RawSocket>(accept(listener.fd, nullptr, nullptr)));
    RawSocket* peer = accepted.back().get();
    watches.push_back(
      loop.watch(peer->fd, EV_READ, [this, peer, index = watches.size()](int) {
        char buffer[4096];
        bool open = recv(peer->fd, buffer, sizeof buffer, 0) > 0;
        if (open && ++requests <= responses.size()) {
          peer->write(responses[requests - 1]);
          if (responses[requests - 1].ends_with(COMPLETE_END))
            return;
        }
        watches[index].reset();
        peer->close_socket();
      }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, Fixture)

// Guards against responses that reach the wrong request: 50 requests are in
// flight and get their responses in reverse order.
BOOST_AUTO_TEST_CASE(responses_in_reverse_order_reach_their_requests)
{
  constexpr std::size_t CALLS = 50;
  std::vector<std::string> bodies(CALLS);
  std::size_t finished = 0;
  for (std::size_t i = 0; i < CALLS; ++i)
    client.call(call_of(std::to_string(i)), [&, i](HttpClient::Result result) {
      bodies[i] = result ? result->body : "failed";
      ++finished;
    });
  run_until([&] { return received.size() == CALLS; });
  while (!received.empty()) {
    HttpResponse response;
    response.body = "answer to " + received.back().first.body;
    received.back().second(response);
    received.pop_back();
  }
  run_until([&] { return finished == CALLS; });
  for (std::size_t i = 0; i < CALLS; ++i)
    BOOST_TEST(bodies[i] == "answer to " + std::to_string(i));
}

// Guards against an oversized body that reaches the handler, and against a
// client that gets a connection reset instead of status 413.
BOOST_AUTO_TEST_CASE(oversized_bodies_get_status_413)
{
  for (std::size_t size : { MAX_BODY + 1, 7 * MAX_BODY, 20 * MAX_BODY }) {
    HttpClient::Result result = result_of(call_of(std::string(size, 'x')));
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 413);
    BOOST_TEST(result->body.find("at most 1000 bytes") != std::string::npos);
  }
  HttpClientRequest chunked = call_of(std::string(2 * MAX_BODY, 'x'));
  chunked.headers["Transfer-Encoding"] = "chunked";
  BOOST_TEST(result_of(chunked)->status == 413);
  BOOST_TEST(received.empty());
}

// Guards against a handler that gets an incomplete body: from a client that
// closes its connection early, or from one that sends the rest later.
BOOST_AUTO_TEST_CASE(truncated_requests_never_reach_the_handler)
{
  RawSocket truncated;
  truncated.connect_to(port);
  truncated.write(
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
  RawSocket slow;
  slow.connect_to(port);
  slow.write("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n12");
  run_until([&] { return server->in_flight() == 2; });
  truncated.close_socket();
  run_until([&] { return server->in_flight() == 1; });
  BOOST_TEST(received.empty());
  slow.write("34");
  run_until([&] { return !received.empty(); });
  BOOST_TEST(received[0].first.body == "1234");
}

// Guards against a client that stalls, or sends bytes that are not HTTP, and
// thereby delays the requests of others.
BOOST_AUTO_TEST_CASE(a_stalled_or_malformed_request_delays_no_others)
{
  RawSocket stalled;
  stalled.connect_to(port);
  stalled.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1");
  RawSocket broken;
  broken.connect_to(port);
  broken.write(std::string(100'000, '\xff') + "\r\n\r\n");
  constexpr std::size_t CALLS = 500;
  std::size_t succeeded = 0;
  for (std::size_t i = 0; i < CALLS; ++i)
    client.call(call_of(std::string(i, 'x')), [&](HttpClient::Result result) {
      succeeded += result && result->status == 200 ? 1 : 0;
    });
  run_until([&] {
    for (std::pair<HttpRequest, HttpServer::ResponseCallback>& item : received)
      item.second(HttpResponse{});
    received.clear();
    return succeeded == CALLS;
  });
  BOOST_TEST(server->in_flight() == 1);
}

// Guards against a request that never gets a response because its handler
// destroyed the ResponseCallback without a call.
BOOST_AUTO_TEST_CASE(a_dropped_request_gets_status_500)
{
  const std::optional<HttpClient::Result>& result = start(call_of("x"));
  run_until([&] { return !received.empty(); });
  BOOST_TEST(received[0].first.query["x"] == "1");
  received.clear();
  run_until([&] { return result.has_value(); });
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST((*result)->status == 500);
}

// Guards against a drain that ends before the response of a request in flight
// is written, and against one that still accepts connections.
BOOST_AUTO_TEST_CASE(drain_waits_for_requests_in_flight)
{
  const std::optional<HttpClient::Result>& result = start(call_of("x"));
  run_until([&] { return !received.empty(); });
  bool drained = false;
  server->drain([&] { drained = true; });
  BOOST_TEST((result_of(call_of("y")).error() == HttpClientError::Refused));
  BOOST_TEST(!drained);
  received[0].second(HttpResponse{});
  run_until([&] { return drained && result.has_value(); });
  BOOST_TEST(result->has_value());
}

// Guards against a drain that never ends because a client stalls within its
// request body.
BOOST_AUTO_TEST_CASE(drain_ignores_a_body_that_does_not_arrive)
{
  RawSocket stalled;
  stalled.connect_to(port);
  stalled.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1");
  run_until([&] { return server->in_flight() == 1; });
  bool drained = false;
  server->drain([&] { drained = true; });
  run_until([&] { return drained; });
  BOOST_TEST(received.empty());
}

// Guards against a server that aborts the process when it is destroyed while a
// request has no response.
BOOST_AUTO_TEST_CASE(a_destroyed_server_closes_its_connections)
{
  const std::optional<HttpClient::Result>& result = start(call_of("x"));
  run_until([&] { return !received.empty(); });
  server.reset();
  received[0].second(HttpResponse{});
  run_until([&] { return result.has_value(); });
  BOOST_TEST((result->error() == HttpClientError::Ambiguous));
}

// Guards against a request that is sent twice: libcurl resends it when a reused
// connection closes before the first byte of the response.
BOOST_AUTO_TEST_CASE(a_request_on_a_reused_connection_is_sent_once)
{
  ScriptedServer peer(loop,
                      { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" });
  BOOST_TEST(result_of(call_of("first", peer.port))->status == 200);
  HttpClient::Result second = result_of(call_of("second", peer.port));
  BOOST_REQUIRE(!second);
  BOOST_TEST((second.error() == HttpClientError::Ambiguous));
  BOOST_TEST(peer.requests == 2);
}

// Guards against a request that is reported as not sent although the peer has
// received it, and the reverse.
BOOST_AUTO_TEST_CASE(failures_say_whether_the_request_was_sent)
{
  RawSocket silent;
  HttpClientRequest call = call_of("x", silent.listen_on_free_port());
  call.timeout = kernel::Milliseconds(100);
  BOOST_TEST((result_of(call).error() == HttpClientError::Ambiguous));

  RawSocket closed;
  int closed_port = closed.listen_on_free_port();
  closed.close_socket();
  BOOST_TEST(
    (result_of(call_of("x", closed_port)).error() == HttpClientError::Refused));

  ScriptedServer truncating(
    loop, { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" });
  BOOST_TEST((result_of(call_of("x", truncating.port)).error() ==
              HttpClientError::Ambiguous));
}

BOOST_AUTO_TEST_SUITE_END()
