#pragma once

#include "peer/peer_node.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace geraniumhinge::tests {

inline int
listen_on_loopback(int port)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  BOOST_REQUIRE(
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  listen(fd, 16);
  return fd;
}

inline int
port_of(int fd)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A loopback address whose port was free at the time of the call.
inline std::string
free_address()
{
  int fd = listen_on_loopback(0);
  std::string address = "127.0.0.1:" + std::to_string(port_of(fd));
  close(fd);
  return address;
}

/// Relays TCP connections to one port. `blackhole` makes all connections open
/// at that moment discard bytes for good; later connections work.
class Relay
{
public:
  explicit Relay(const std::string& target)
    : target_port(std::stoi(target.substr(target.rfind(':') + 1)))
    , listener(listen_on_loopback(0))
    , thread([this] { this->run(); })
  {
  }
  ~Relay()
  {
    this->stopping = true;
    this->thread.join();
    close(this->listener);
  }
  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(port_of(this->listener));
  }
  void blackhole() { this->blackholed_before = this->accepted.load(); }
  int connections() const { return this->accepted; }

private:
  struct Pair
  {
    int ends[2];
    int number;
  };

  void accept_one()
  {
    int client = accept(this->listener, nullptr, nullptr);
    int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(this->target_port));
    // If the connect fails, the pair is closed at its first read.
    (void)connect(
      server, reinterpret_cast<sockaddr*>(&address), sizeof address);
    this->pairs.push_back({ { client, server }, ++this->accepted });
  }

  bool copy(const Pair& pair, int from)
  {
    char bytes[16384];
    ssize_t size = recv(pair.ends[from], bytes, sizeof bytes, MSG_DONTWAIT);
    if (size < 0)
      return true;
    bool blackholed = pair.number <= this->blackholed_before;
    if (size > 0 && !blackholed)
      return send(pair.ends[1 - from], bytes, size, MSG_NOSIGNAL) == size;
    return size > 0;
  }

  void run()
  {
    constexpr int POLL_MS = 5;
    while (!this->stopping) {
      pollfd ready{ this->listener, POLLIN, 0 };
      if (poll(&ready, 1, POLL_MS) > 0)
        this->accept_one();
      std::erase_if(this->pairs, [this](const Pair& pair) {
        if (this->copy(pair, 0) && this->copy(pair, 1))
          return false;
        close(pair.ends[0]);
        close(pair.ends[1]);
        return true;
      });
    }
    for (const Pair& pair : this->pairs) {
      close(pair.ends[0]);
      close(pair.ends[1]);
    }
  }

  int target_port;
  int listener;
  std::atomic<bool> stopping = false;
  std::atomic<int> accepted = 0;
  std::atomic<int> blackholed_before = 0;
  std::list<Pair> pairs;
  std::thread thread;
};

/// An event loop with peer nodes, run until a condition holds.
struct Fixture
{
  kernel::Loop loop;
  kernel::TimerService timers{ this->loop };
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;

  std::unique_ptr<peer::PeerNode> node(const std::string& name,
                                       const std::string& address)
  {
    std::unique_ptr<peer::PeerNode> created = std::make_unique<peer::PeerNode>(
      this->loop,
      this->timers,
      this->log,
      this->metrics,
      peer::PeerIdentity{ name, kernel::random_id(), address });
    BOOST_REQUIRE(created->listen().has_value());
    return created;
  }

  bool run_until(const std::function<bool()>& condition,
                 kernel::Milliseconds bound = kernel::Milliseconds(20'000))
  {
    constexpr kernel::Milliseconds POLL_PERIOD{ 2 };
    std::int64_t end = kernel::boot_ms() + bound.count();
    kernel::Subscription poll =
      this->timers.every(POLL_PERIOD, [this, end, &condition] {
        if (condition() || kernel::boot_ms() > end)
          this->loop.stop();
      });
    this->loop.run();
    return condition();
  }
};

} // namespace geraniumhinge::tests
