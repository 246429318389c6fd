#define BOOST_TEST_MODULE closing
#include "peer/connection.h"
#include "peer/listener.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace geraniumhinge::peer;

namespace {

constexpr int ROUNDS = 300;
constexpr int CONNECTIONS = 4;
constexpr std::size_t MESSAGE_BYTES = 2'000;
constexpr std::chrono::seconds BOUND{ 10 };
constexpr int FIRST_PORT = 11'000; ///< Below the ports that other tests use.
constexpr int PORTS = 900;

/// Listens on the first free port of the range from `port` on.
std::string
listen(Listener& listener, int& port)
{
  for (int tries = 0; tries < PORTS; ++tries) {
    port = FIRST_PORT + (port + 1 - FIRST_PORT) % PORTS;
    std::string address = "127.0.0.1:" + std::to_string(port);
    if (listener.listen(address))
      return address;
  }
  BOOST_FAIL("no free port");
  return {};
}

/// Whether `step` returns within the bound. Runs on a thread of its own, which
/// stays behind if it does not.
bool
returns(std::function<void()> step)
{
  std::packaged_task<void()> task(std::move(step));
  std::future<void> done = task.get_future();
  std::thread(std::move(task)).detach();
  return done.wait_for(BOUND) == std::future_status::ready;
}

/// Closes a listener and its connections while messages arrive.
void
close_while_receiving(int& port)
{
  std::shared_ptr<std::promise<void>> received =
    std::make_shared<std::promise<void>>();
  std::shared_ptr<std::once_flag> once = std::make_shared<std::once_flag>();
  std::shared_ptr<Listener> listener =
    std::make_shared<Listener>([received, once] {
      std::call_once(*once, [&received] { received->set_value(); });
    });
  std::string address = listen(*listener, port);
  std::vector<std::shared_ptr<Connection>> connections;
  for (int index = 0; index < CONNECTIONS; ++index) {
    connections.push_back(
      std::make_shared<Connection>(address, [](std::uint64_t, bool) {}));
    connections.back()->send(std::string(MESSAGE_BYTES, 'x'));
  }
  BOOST_REQUIRE(received->get_future().wait_for(BOUND) ==
                std::future_status::ready);
  bool listener_closed =
    returns([listener = std::move(listener)]() mutable { listener.reset(); });
  bool connections_closed = returns(
    [connections = std::move(connections)]() mutable { connections.clear(); });
  BOOST_REQUIRE(listener_closed);
  BOOST_REQUIRE(connections_closed);
}

} // namespace

// nng_close may block forever while messages arrive.
BOOST_AUTO_TEST_CASE(process_that_still_receives_does_not_end)
{
  int port = FIRST_PORT;
  for (int round = 0; round < ROUNDS; ++round) {
    BOOST_TEST_CONTEXT("round " << round)
    {
      close_while_receiving(port);
    }
  }
}
