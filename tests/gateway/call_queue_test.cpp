#define BOOST_TEST_MODULE call_queue
#include "gateway/http_client.h"
#include "gateway/http_server.h"
#include "tests/gateway/loop_fixture.h"

#include <vector>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

// Guards against a start request that is sent after its time limit because it
// waited for a connection: the bound on starts in an evacuated zone counts from
// the call.
BOOST_FIXTURE_TEST_CASE(queued_call_is_sent_after_its_time_limit, LoopFixture)
{
  constexpr int CALLS = 3;
  constexpr kernel::Milliseconds TIMEOUT{ 300 };
  int received = 0;
  std::vector<gateway::HttpServer::ResponseCallback> unanswered;
  gateway::HttpServer server(
    loop,
    timers,
    "127.0.0.1:0",
    1'000,
    [&](const gateway::HttpRequest&,
        gateway::HttpServer::ResponseCallback respond) {
      ++received;
      unanswered.push_back(std::move(respond));
    });
  BOOST_REQUIRE(server.listen().has_value());
  gateway::HttpClient client(loop, timers, 1);
  int failed = 0;
  for (int index = 0; index < CALLS; ++index) {
    gateway::HttpClientRequest call;
    call.url = url_of(server.port(), "/");
    call.timeout = TIMEOUT;
    client.call(std::move(call),
                [&failed](const gateway::HttpClient::Result& result) {
                  failed += result ? 0 : 1;
                });
  }
  run_until([&failed] { return failed == CALLS; });
  BOOST_TEST(received == 1);
}
