#define BOOST_TEST_MODULE advice_requester
#include "entry/advice_requester.h"

#include "gateway/http_server.h"
#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr int HTTP_OK = 200;
constexpr int HTTP_TOO_MANY_REQUESTS = 429;
constexpr int CONNECTIONS = 4;
constexpr std::size_t MAX_BODY_BYTES = 65'536;
constexpr char TICKET[] = R"({"good":[["s0","ticket"]]})";

/// An advice service that processes one request after the other, and those too
/// whose caller has left.
struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient http_client{ loop, timers, CONNECTIONS };
  kernel::Milliseconds work{ 0 }; ///< Time that a request takes.
  int busy_responses = 0;         ///< Requests to refuse for a full queue.
  std::size_t requests = 0;
  std::deque<gateway::HttpServer::ResponseCallback> queue;
  kernel::Subscription work_timer;
  gateway::HttpServer service{
    loop,
    timers,
    "127.0.0.1:0",
    MAX_BODY_BYTES,
    [this](const gateway::HttpRequest&,
           gateway::HttpServer::ResponseCallback respond) {
      this->handle(std::move(respond));
    }
  };
  std::size_t responses = 0;

  void handle(gateway::HttpServer::ResponseCallback respond)
  {
    ++requests;
    if (busy_responses > 0) {
      --busy_responses;
      respond({ HTTP_TOO_MANY_REQUESTS, "application/json", "{}", {} });
      return;
    }
    queue.push_back(std::move(respond));
    if (queue.size() == 1)
      process_next();
  }

  void process_next()
  {
    work_timer = timers.after(work, [this] {
      queue.front()({ HTTP_OK, "application/json", TICKET, {} });
      queue.pop_front();
      if (!queue.empty())
        process_next();
    });
  }

  static core::AdviceRequest request(std::int64_t timeout_ms)
  {
    return { { "job", 0, 0 }, { { "s0", 1 } }, timeout_ms };
  }
};

} // namespace

// Guards against requests that all time out behind the one before them, which
// the service still processes: each response would be thrown away.
BOOST_FIXTURE_TEST_CASE(slow_service_is_never_waited_for, Fixture)
{
  constexpr std::int64_t TIMEOUT_MS = 200;
  work = kernel::Milliseconds(500);
  BOOST_REQUIRE(service.listen().has_value());
  platform::AdviceClient client(http_client,
                                "127.0.0.1:" + std::to_string(service.port()));
  entry::AdviceRequester requester(
    loop,
    timers,
    log,
    metrics,
    client,
    [this](const core::AdviceRequest&,
           const std::vector<core::AdviceTicket>& tickets,
           std::int64_t) { responses += tickets.size(); });
  kernel::Subscription rounds =
    timers.every(kernel::Milliseconds(50), [&requester] {
      requester.set_requests({ request(TIMEOUT_MS) });
    });
  run_until([this] { return responses >= 3; });
  BOOST_TEST(requests < 12U);
}

// Guards against a step that gets no advice after its request was refused.
BOOST_FIXTURE_TEST_CASE(refused_request_is_not_sent_again, Fixture)
{
  constexpr std::int64_t TIMEOUT_MS = 2'000;
  busy_responses = 2;
  BOOST_REQUIRE(service.listen().has_value());
  platform::AdviceClient client(http_client,
                                "127.0.0.1:" + std::to_string(service.port()));
  entry::AdviceRequester requester(
    loop,
    timers,
    log,
    metrics,
    client,
    [this](const core::AdviceRequest&,
           const std::vector<core::AdviceTicket>& tickets,
           std::int64_t) { responses += tickets.size(); });
  kernel::Subscription rounds =
    timers.every(kernel::Milliseconds(50), [&requester] {
      requester.set_requests({ request(TIMEOUT_MS) });
    });
  run_until([this] { return responses == 1; });
  BOOST_TEST(requests == 3U);
}
