#define BOOST_TEST_MODULE http_limits
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "tests/gateway/loop_fixture.h"

#include <arpa/inet.h>
#include <map>
#include <memory>
#include <optional>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace geraniumhinge;
using namespace geraniumhinge::gateway;

namespace {

constexpr std::size_t MAX_BODY = 1'000'000;
constexpr std::size_t HELD_BYTES = 400'000;
constexpr std::int64_t TIMEOUT_MS = 600;

/// A connection whose calls never block.
struct Connection
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string received;
  bool closed = false;

  explicit Connection(int port)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int result =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    closed = result != 0 && errno != EINPROGRESS;
  }
  ~Connection() { close(fd); }
  Connection(const Connection&) = delete;

  void write(const std::string& text) const
  {
    send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  }
  void write_body(std::size_t declared, std::size_t sent) const
  {
    write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
          std::to_string(declared) + "\r\n\r\n" + std::string(sent, 'x'));
  }
  bool read()
  {
    char buffer[4'096];
    ssize_t size = recv(fd, buffer, sizeof buffer, 0);
    if (size > 0)
      received.append(buffer, static_cast<std::size_t>(size));
    closed = closed || size == 0 || (size < 0 && errno != EAGAIN);
    return closed;
  }
};

struct Fixture : tests::LoopFixture
{
  std::map<RefusalCause, int> refused;
  std::vector<std::pair<HttpRequest, HttpServer::ResponseCallback>> handled;
  RequestBudget budget{ RequestLimits{ HELD_BYTES, 8, TIMEOUT_MS, TIMEOUT_MS },
                        { [this](RefusalCause cause) { ++refused[cause]; },
                          [](std::size_t, std::size_t) {} } };
  std::string response_body = "{}";
  std::unique_ptr<HttpServer> server = this->make_server();
  std::unique_ptr<HttpServer> other = this->make_server();
  HttpClient client{ loop, timers, 8 };

  std::unique_ptr<HttpServer> make_server()
  {
    std::unique_ptr<HttpServer> made = std::make_unique<HttpServer>(
      loop,
      timers,
      "127.0.0.1:0",
      MAX_BODY,
      [this](HttpRequest request, HttpServer::ResponseCallback respond) {
        if (request.path == "/hold") {
          handled.emplace_back(std::move(request), std::move(respond));
          return;
        }
        handled.emplace_back(std::move(request), [](const HttpResponse&) {});
        respond({ 200, "text/plain", response_body, {} });
      },
      &budget);
    BOOST_REQUIRE(made->listen());
    return made;
  }

  HttpClient::Result call(const std::string& body, int port)
  {
    HttpClientRequest request;
    request.method = "POST";
    request.url = tests::url_of(port, "/b");
    request.body = body;
    request.timeout = BOUND;
    std::optional<HttpClient::Result> result;
    client.call(std::move(request),
                [&](HttpClient::Result value) { result = std::move(value); });
    run_until([&] { return result.has_value(); });
    return *result;
  }
};

bool
is_refusal(const std::string& response)
{
  return response.starts_with("HTTP/1.1 503 ") &&
         response.find("Retry-After: 1\r\n") != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_limits, Fixture)

// Guards against two servers of a process that each use the whole budget, and
// against a refused client that isn't told so.
BOOST_AUTO_TEST_CASE(bodies_of_all_servers_share_the_budget)
{
  Connection first(server->port());
  first.write_body(250'000, 249'900);
  run_until([&] { return budget.held_bytes() >= 249'900; });
  Connection second(other->port());
  second.write_body(250'000, 249'900);
  run_until([&] { return first.read() || second.read(); });
  const Connection& refused_one = first.closed ? first : second;
  BOOST_TEST(is_refusal(refused_one.received));
  BOOST_TEST(refused[RefusalCause::HeldBytes] == 1);
  BOOST_TEST(budget.held_bytes() <= HELD_BYTES);
  BOOST_TEST(handled.empty());
  // An ordinary request is served beside the body that stays.
  BOOST_TEST(call("small", server->port())->status == 200);
}

// Guards against a chunked body that takes more than its bytes.
BOOST_AUTO_TEST_CASE(chunked_bodies_count)
{
  Connection chunked(server->port());
  std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
  chunked.write("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                "chunked\r\n\r\n");
  run_until([&] {
    chunked.write(chunk);
    return chunked.read();
  });
  BOOST_TEST(is_refusal(chunked.received));
  BOOST_TEST(handled.empty());
}

// Guards against bodies of tiny chunks, which cost much more processor time
// than their bytes.
BOOST_AUTO_TEST_CASE(tiny_chunks_count_more_than_their_bytes)
{
  constexpr std::size_t CHUNKS = 40'000;
  std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n";
  for (std::size_t count = 0; count < CHUNKS; ++count)
    text += "1\r\nx\r\n";
  Connection tiny(server->port());
  std::size_t sent = 0;
  run_until([&] {
    ssize_t size =
      send(tiny.fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    sent += size > 0 ? static_cast<std::size_t>(size) : 0;
    return tiny.read();
  });
  BOOST_TEST(is_refusal(tiny.received));
  BOOST_TEST(refused[RefusalCause::HeldBytes] == 1);
}

// Guards against a refused request that reaches its handler because its last
// bytes arrive with the refusal.
BOOST_AUTO_TEST_CASE(a_late_request_is_refused_and_never_handled)
{
  Connection slow(server->port());
  slow.write_body(10, 9);
  run_until([&] { return server->in_flight() == 1; });
  run_until([&] { return refused[RefusalCause::RequestTimeout] == 1; });
  slow.write("x");
  run_until([&] { return slow.read(); });
  BOOST_TEST(is_refusal(slow.received));
  BOOST_TEST(handled.empty());
}

// Guards against headers without an end that no deadline covers.
BOOST_AUTO_TEST_CASE(headers_byte_by_byte_meet_the_deadline)
{
  Connection slow(server->port());
  slow.write("GET /");
  run_until([&] {
    slow.write("a");
    return slow.read();
  });
  BOOST_TEST(is_refusal(slow.received));
  BOOST_TEST(refused[RefusalCause::RequestTimeout] == 1);
}

// Guards against a deadline that ends connections between two requests, before
// the first request, or a request that is being handled.
BOOST_AUTO_TEST_CASE(waiting_connections_stay)
{
  Connection fresh(server->port());
  Connection used(server->port());
  used.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  Connection held(server->port());
  held.write("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until([&] { return handled.size() == 2; });
  Connection slow(server->port());
  slow.write("GET /");
  run_until([&] { return refused[RefusalCause::RequestTimeout] == 1; });
  BOOST_TEST(!fresh.read());
  BOOST_TEST(!used.read());
  BOOST_TEST(!held.read());
  for (std::pair<HttpRequest, HttpServer::ResponseCallback>& item : handled)
    item.second({ 200, "text/plain", "late", {} });
  run_until([&] {
    held.read();
    return held.received.ends_with("late");
  });
  used.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until([&] { return handled.size() == 3; });
}

// Guards against a response that stays in memory because nobody reads it.
BOOST_AUTO_TEST_CASE(an_unread_response_is_dropped)
{
  response_body = std::string(300'000, 'r');
  Connection unread(server->port());
  unread.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until([&] { return refused[RefusalCause::ResponseTimeout] == 1; });
  run_until([&] { return server->in_flight() == 0; });
  BOOST_TEST(budget.held_bytes() == 0U);
}

// Guards against slow connections that lock out all others.
BOOST_AUTO_TEST_CASE(slow_connections_make_room)
{
  std::vector<std::unique_ptr<Connection>> crowd;
  for (std::size_t count = 0; count < budget.limits().connections; ++count) {
    crowd.push_back(std::make_unique<Connection>(server->port()));
    crowd.back()->write("GET /");
  }
  run_until([&] { return budget.connections() == crowd.size(); });
  bool served = false;
  for (int tries = 0; tries < 100 && !served; ++tries) {
    HttpClient::Result result = call("x", other->port());
    served = result && result->status == 200;
    run_until([rounds = 0]() mutable { return ++rounds > 20; });
  }
  BOOST_TEST(served);
  BOOST_TEST(budget.connections() <= budget.limits().connections);
}

// Guards against a server that, once descriptors have run out, accepts nothing
// for good.
BOOST_AUTO_TEST_CASE(connections_are_accepted_after_a_lack_of_descriptors)
{
  BOOST_REQUIRE(call("x", server->port())->status == 200);
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  int lowest_free = dup(STDERR_FILENO);
  close(lowest_free);
  Connection lacking(server->port());
  rlimit lowered{ static_cast<rlim_t>(lowest_free) + 4, before.rlim_max };
  setrlimit(RLIMIT_NOFILE, &lowered);
  run_until([&] { return lacking.read(); });
  setrlimit(RLIMIT_NOFILE, &before);
  BOOST_TEST(refused[RefusalCause::Connections] == 1);
  Connection next(server->port());
  next.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until([&] {
    next.read();
    return next.received.starts_with("HTTP/1.1 200 ");
  });
}

BOOST_AUTO_TEST_SUITE_END()
