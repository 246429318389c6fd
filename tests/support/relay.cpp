#include "tests/support/relay.h"

#include "tests/support/ports.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <deque>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

namespace {

constexpr int POLL_MS = 10;
constexpr int BACKLOG = 128;
constexpr std::size_t BUFFER_BYTES = 65'536;

/// Received data that is forwarded at `due_ms`.
struct Chunk
{
  std::int64_t due_ms = 0;
  std::size_t to = 0; ///< Side that receives the data.
  std::string data;
};

/// The two sockets of a forwarded connection: the caller's and the target's.
struct Connection
{
  std::array<int, 2> fds{ -1, -1 };
  std::uint64_t blackhole_epoch_seen = 0;
  std::uint64_t reset_epoch = 0;
  bool blackholed = false;
  bool blackholed_to_target = false; ///< Data to the target is discarded.
  bool closed = false;
  std::deque<Chunk> chunks{};
};

constexpr std::size_t TARGET_SIDE = 1;

std::int64_t
now_ms()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
parse_address(const std::string& text)
{
  std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int
open_listener(const std::string& text)
{
  sockaddr_in address = parse_address(text);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  int bound =
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (bound != 0 || listen(fd, BACKLOG) != 0)
    throw std::runtime_error("the relay can't listen on its address");
  return fd;
}

int
connect_to(const std::string& text)
{
  sockaddr_in address = parse_address(text);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int result =
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result == 0)
    return fd;
  close(fd);
  return -1;
}

bool
write_all(int fd, const char* data, std::size_t size)
{
  while (size > 0) {
    ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    data += sent;
    size -= static_cast<std::size_t>(sent);
  }
  return true;
}

/// Receives data from one side, and queues it for the delay or discards it.
void
receive(Connection& connection, std::size_t from, int delay_ms)
{
  std::array<char, BUFFER_BYTES> buffer;
  ssize_t received =
    recv(connection.fds[from], buffer.data(), buffer.size(), 0);
  // On a blackholed connection, a close by one side is not forwarded to the
  // other side.
  if (received <= 0 && connection.blackholed) {
    close(std::exchange(connection.fds[from], -1));
    connection.closed = connection.fds[1 - from] < 0;
    return;
  }
  if (received <= 0)
    connection.closed = true;
  bool is_discarded = connection.blackholed ||
                      (connection.blackholed_to_target && from != TARGET_SIDE);
  if (received <= 0 || is_discarded)
    return;
  connection.chunks.push_back(
    { now_ms() + delay_ms,
      1 - from,
      std::string(buffer.data(), static_cast<std::size_t>(received)) });
}

void
send_due(Connection& connection)
{
  while (!connection.closed && !connection.chunks.empty() &&
         connection.chunks.front().due_ms <= now_ms()) {
    Chunk chunk = std::move(connection.chunks.front());
    connection.chunks.pop_front();
    if (!connection.blackholed && !write_all(connection.fds[chunk.to],
                                             chunk.data.data(),
                                             chunk.data.size()))
      connection.closed = true;
  }
}

void
reset_connection(Connection& connection)
{
  linger abort_on_close{ 1, 0 };
  for (int fd : connection.fds) {
    if (fd >= 0)
      setsockopt(
        fd, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof(abort_on_close));
  }
  connection.closed = true;
}

void
close_sockets(Connection& connection)
{
  for (int fd : connection.fds) {
    if (fd >= 0)
      close(fd);
  }
}

} // namespace

Relay::Relay(std::string target)
  : target(std::move(target))
  , listen_address(free_address())
{
  int listener = open_listener(this->listen_address);
  this->thread = std::thread([this, listener] { this->serve(listener); });
}

Relay::~Relay()
{
  this->stopping = true;
  this->thread.join();
}

void
Relay::blackhole_existing()
{
  this->blackhole_epoch++;
}

void
Relay::blackhole()
{
  this->is_blackholed = true;
  this->blackhole_epoch++;
}

void
Relay::blackhole_to_target()
{
  this->is_target_blackholed = true;
}

void
Relay::reset_existing()
{
  this->reset_epoch++;
}

void
Relay::delay(int milliseconds)
{
  this->delay_ms = milliseconds;
}

void
Relay::heal()
{
  this->is_blackholed = false;
  this->is_target_blackholed = false;
  this->delay_ms = 0;
}

void
Relay::serve(int listener)
{
  std::vector<Connection> connections;
  while (!this->stopping) {
    std::vector<pollfd> polled{ { listener, POLLIN, 0 } };
    for (const Connection& connection : connections) {
      polled.push_back({ connection.fds[0], POLLIN, 0 });
      polled.push_back({ connection.fds[1], POLLIN, 0 });
    }
    poll(polled.data(), polled.size(), POLL_MS);
    for (std::size_t i = 0; i < connections.size(); i++) {
      Connection& connection = connections[i];
      connection.blackholed =
        connection.blackholed ||
        connection.blackhole_epoch_seen != this->blackhole_epoch ||
        this->is_blackholed;
      connection.blackholed_to_target =
        connection.blackholed_to_target || this->is_target_blackholed;
      if (connection.reset_epoch != this->reset_epoch)
        reset_connection(connection);
      for (std::size_t side : { 0U, 1U }) {
        if (!connection.closed && polled[1 + 2 * i + side].revents != 0)
          receive(connection, side, this->delay_ms);
      }
      send_due(connection);
      if (connection.closed)
        close_sockets(connection);
    }
    std::erase_if(connections, [](const Connection& connection) {
      return connection.closed;
    });
    if (polled[0].revents == 0)
      continue;
    Connection connection{ { accept(listener, nullptr, nullptr),
                             connect_to(this->target) },
                           this->blackhole_epoch,
                           this->reset_epoch };
    if (connection.fds[0] >= 0 && connection.fds[1] >= 0)
      connections.push_back(connection);
    else
      close_sockets(connection);
  }
  close(listener);
  std::for_each(connections.begin(), connections.end(), close_sockets);
}

} // namespace geraniumhinge::tests
