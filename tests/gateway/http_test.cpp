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
constexpr char WHOLE[] = "whole"; // End of an answer that is not cut short.

sockaddr_in
loopback(int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A blocking socket for requests and answers that no library would send.
struct RawSocket
{
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  RawSocket() = default;
  explicit RawSocket(int fd)
    : fd(fd)
  {
  }
  RawSocket(const RawSocket&) = delete;
  ~RawSocket() { this->shut(); }

  void shut()
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
  int listen_any()
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
  std::vector<std::pair<HttpRequest, HttpServer::Respond>> received;
  std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(
    loop,
    timers,
    "127.0.0.1:0",
    MAX_BODY,
    [this](HttpRequest request, HttpServer::Respond respond) {
      received.emplace_back(std::move(request), std::move(respond));
    });
  std::deque<std::optional<HttpClient::Result>> results;
  int port = 0;

  Fixture()
  {
    BOOST_REQUIRE(server->listen());
    port = server->port();
  }

  HttpCall call_of(const std::string& body, int to = 0)
  {
    HttpCall call;
    call.url = tests::url_of(to ? to : port, "/echo?x=1");
    call.body = body;
    call.timeout = BOUND;
    return call;
  }

  /// Starts a call; the result is there once it has ended.
  const std::optional<HttpClient::Result>& start(HttpCall call)
  {
    std::optional<HttpClient::Result>& result = results.emplace_back();
    client.call(std::move(call),
                [&](HttpClient::Result value) { result = std::move(value); });
    return result;
  }
  /// The result of a call that the peer answers, or fails, by itself.
  HttpClient::Result result_of(HttpCall call)
  {
    const std::optional<HttpClient::Result>& result = start(std::move(call));
    run_until([&] { return result.has_value(); });
    return *result;
  }
};

/// A peer that answers each request with the next of its answers, and closes
/// the connection after one that is cut short or when there is none left.
struct RawPeer
{
  kernel::Loop& loop;
  std::vector<std::string> answers;
  RawSocket listener;
  int port = listener.listen_any();
  std::vector<std::unique_ptr<RawSocket>> accepted;
  std::vector<kernel::Subscription> watches;
  std::size_t requests = 0;

  RawPeer(kernel::Loop& loop, std::vector<std::string> answers)
    : loop(loop)
    , answers(std::move(answers))
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
        if (open && ++requests <= answers.size()) {
          peer->write(answers[requests - 1]);
          if (answers[requests - 1].ends_with(WHOLE))
            return;
        }
        watches[index].reset();
        peer->shut();
      }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, Fixture)

// Guards against answers that reach another request when they are late and in
// another order.
BOOST_AUTO_TEST_CASE(late_answers_reach_their_own_requests)
{
  constexpr std::size_t CALLS = 50;
  std::vector<std::string> answers(CALLS);
  std::size_t finished = 0;
  for (std::size_t i = 0; i < CALLS; ++i)
    client.call(call_of(std::to_string(i)), [&, i](HttpClient::Result result) {
      answers[i] = result ? result->body : "failed";
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
    BOOST_TEST(answers[i] == "answer to " + std::to_string(i));
}

// Guards against an oversized body that reaches the handler, or whose sender
// gets a reset instead of the reason.
BOOST_AUTO_TEST_CASE(oversized_bodies_are_answered_with_413)
{
  for (std::size_t size : { MAX_BODY + 1, 7 * MAX_BODY, 20 * MAX_BODY }) {
    HttpClient::Result result = result_of(call_of(std::string(size, 'x')));
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 413);
    BOOST_TEST(result->body.find("at most 1000 bytes") != std::string::npos);
  }
  HttpCall chunked = call_of(std::string(2 * MAX_BODY, 'x'));
  chunked.headers["Transfer-Encoding"] = "chunked";
  BOOST_TEST(result_of(chunked)->status == 413);
  BOOST_TEST(received.empty());
}

// Guards against a request that is cut short and handled all the same, and
// against a slow one that is taken for whole.
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
  truncated.shut();
  run_until([&] { return server->in_flight() == 1; });
  BOOST_TEST(received.empty());
  slow.write("34");
  run_until([&] { return !received.empty(); });
  BOOST_TEST(received[0].first.body == "1234");
}

// Guards against a sender that stalls or sends no HTTP and holds up others.
BOOST_AUTO_TEST_CASE(a_stalled_or_broken_sender_delays_nobody)
{
  RawSocket stalled;
  stalled.connect_to(port);
  stalled.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1");
  RawSocket broken;
  broken.connect_to(port);
  broken.write(std::string(100'000, '\xff') + "\r\n\r\n");
  constexpr std::size_t CALLS = 500;
  std::size_t answered = 0;
  for (std::size_t i = 0; i < CALLS; ++i)
    client.call(call_of(std::string(i, 'x')), [&](HttpClient::Result result) {
      answered += result && result->status == 200 ? 1 : 0;
    });
  run_until([&] {
    for (std::pair<HttpRequest, HttpServer::Respond>& item : received)
      item.second(HttpResponse{});
    received.clear();
    return answered == CALLS;
  });
  BOOST_TEST(server->in_flight() == 1);
}

// Guards against an answer that is lost because its handler forgot it.
BOOST_AUTO_TEST_CASE(a_dropped_request_is_answered_with_500)
{
  const std::optional<HttpClient::Result>& result = start(call_of("x"));
  run_until([&] { return !received.empty(); });
  BOOST_TEST(received[0].first.query["x"] == "1");
  received.clear();
  run_until([&] { return result.has_value(); });
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST((*result)->status == 500);
}

// Guards against a drain that ends before the answers in flight are written,
// or that goes on accepting connections.
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

// Guards against a sender that stalls in its body and holds up a drain.
BOOST_AUTO_TEST_CASE(drain_gives_up_on_a_body_that_does_not_arrive)
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

// Guards against a server that aborts when it ends with unanswered requests.
BOOST_AUTO_TEST_CASE(a_destroyed_server_closes_its_connections)
{
  const std::optional<HttpClient::Result>& result = start(call_of("x"));
  run_until([&] { return !received.empty(); });
  server.reset();
  received[0].second(HttpResponse{});
  run_until([&] { return result.has_value(); });
  BOOST_TEST((result->error() == HttpClientError::NoAnswer));
}

// Guards against a hidden resend: libcurl repeats a request by itself when a
// reused connection closes before any answer byte.
BOOST_AUTO_TEST_CASE(a_request_on_a_reused_connection_is_sent_once)
{
  RawPeer peer(loop, { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" });
  BOOST_TEST(result_of(call_of("first", peer.port))->status == 200);
  HttpClient::Result second = result_of(call_of("second", peer.port));
  BOOST_REQUIRE(!second);
  BOOST_TEST((second.error() == HttpClientError::NoAnswer));
  BOOST_TEST(peer.requests == 2);
}

// Guards against a request that is called not sent although a peer has it, and
// the reverse.
BOOST_AUTO_TEST_CASE(failures_say_whether_the_request_was_sent)
{
  RawSocket silent;
  HttpCall call = call_of("x", silent.listen_any());
  call.timeout = kernel::Milliseconds(100);
  BOOST_TEST((result_of(call).error() == HttpClientError::NoAnswer));

  RawSocket closed;
  int closed_port = closed.listen_any();
  closed.shut();
  BOOST_TEST(
    (result_of(call_of("x", closed_port)).error() == HttpClientError::Refused));

  RawPeer cut(loop, { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" });
  BOOST_TEST(
    (result_of(call_of("x", cut.port)).error() == HttpClientError::NoAnswer));
}

BOOST_AUTO_TEST_SUITE_END()
