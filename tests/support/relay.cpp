#include "tests/support/relay.h"

#include "tests/support/ports.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

namespace {

constexpr int POLL_MS = 10;
constexpr int BACKLOG = 128;
constexpr std::size_t BUFFER_BYTES = 65'536;

/// Both sockets of one connection.
struct Pair
{
  std::array<int, 2> fds{ -1, -1 };
  std::uint64_t epoch = 0;
  bool silent = false;
  bool closed = false;
};

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
    throw std::runtime_error("the relay can't listen");
  return fd;
}

int
dial(const std::string& text)
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

/// Moves what one side sent to the other side, or discards it.
void
move_bytes(Pair& pair, std::size_t from)
{
  std::array<char, BUFFER_BYTES> buffer;
  ssize_t got = recv(pair.fds[from], buffer.data(), buffer.size(), 0);
  // The end of one side of a silent connection stays unnoticed by the other.
  if (got <= 0 && pair.silent) {
    close(std::exchange(pair.fds[from], -1));
    pair.closed = pair.fds[1 - from] < 0;
    return;
  }
  if (got <= 0)
    pair.closed = true;
  if (got <= 0 || pair.silent)
    return;
  if (!write_all(
        pair.fds[1 - from], buffer.data(), static_cast<std::size_t>(got)))
    pair.closed = true;
}

void
close_pair(Pair& pair)
{
  for (int fd : pair.fds) {
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
Relay::silence_existing()
{
  this->silence_epoch++;
}

void
Relay::cut()
{
  this->is_cut = true;
  this->silence_epoch++;
}

void
Relay::heal()
{
  this->is_cut = false;
}

void
Relay::serve(int listener)
{
  std::vector<Pair> pairs;
  while (!this->stopping) {
    std::vector<pollfd> polled{ { listener, POLLIN, 0 } };
    for (const Pair& pair : pairs) {
      polled.push_back({ pair.fds[0], POLLIN, 0 });
      polled.push_back({ pair.fds[1], POLLIN, 0 });
    }
    poll(polled.data(), polled.size(), POLL_MS);
    for (std::size_t i = 0; i < pairs.size(); i++) {
      Pair& pair = pairs[i];
      pair.silent =
        pair.silent || pair.epoch != this->silence_epoch || this->is_cut;
      for (std::size_t side : { 0U, 1U }) {
        if (!pair.closed && polled[1 + 2 * i + side].revents != 0)
          move_bytes(pair, side);
      }
      if (pair.closed)
        close_pair(pair);
    }
    std::erase_if(pairs, [](const Pair& pair) { return pair.closed; });
    if (polled[0].revents == 0)
      continue;
    Pair pair{ { accept(listener, nullptr, nullptr), dial(this->target) },
               this->silence_epoch };
    if (pair.fds[0] >= 0 && pair.fds[1] >= 0)
      pairs.push_back(pair);
    else
      close_pair(pair);
  }
  close(listener);
  std::for_each(pairs.begin(), pairs.end(), close_pair);
}

} // namespace geraniumhinge::tests
