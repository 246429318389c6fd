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

/// A piece of data on its way.
struct Piece
{
  std::int64_t due_ms = 0;
  std::size_t to = 0; ///< Side that it goes to.
  std::string data;
};

/// Both sockets of one connection: the caller's and the target's.
struct Pair
{
  std::array<int, 2> fds{ -1, -1 };
  std::uint64_t epoch = 0;
  std::uint64_t reset_epoch = 0;
  bool silent = false;
  bool deaf = false; ///< The target hears nothing.
  bool closed = false;
  std::deque<Piece> pieces{};
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

/// Takes what one side sent, to be passed on after the delay, or discards it.
void
take_bytes(Pair& pair, std::size_t from, int delay_ms)
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
  bool discarded = pair.silent || (pair.deaf && from != TARGET_SIDE);
  if (got <= 0 || discarded)
    return;
  pair.pieces.push_back(
    { now_ms() + delay_ms,
      1 - from,
      std::string(buffer.data(), static_cast<std::size_t>(got)) });
}

void
pass_due(Pair& pair)
{
  while (!pair.closed && !pair.pieces.empty() &&
         pair.pieces.front().due_ms <= now_ms()) {
    Piece piece = std::move(pair.pieces.front());
    pair.pieces.pop_front();
    if (!pair.silent &&
        !write_all(pair.fds[piece.to], piece.data.data(), piece.data.size()))
      pair.closed = true;
  }
}

void
reset(Pair& pair)
{
  linger at_once{ 1, 0 };
  for (int fd : pair.fds) {
    if (fd >= 0)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
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
Relay::cut_towards_target()
{
  this->is_half_cut = true;
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
  this->is_cut = false;
  this->is_half_cut = false;
  this->delay_ms = 0;
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
      pair.deaf = pair.deaf || this->is_half_cut;
      if (pair.reset_epoch != this->reset_epoch)
        reset(pair);
      for (std::size_t side : { 0U, 1U }) {
        if (!pair.closed && polled[1 + 2 * i + side].revents != 0)
          take_bytes(pair, side, this->delay_ms);
      }
      pass_due(pair);
      if (pair.closed)
        close_pair(pair);
    }
    std::erase_if(pairs, [](const Pair& pair) { return pair.closed; });
    if (polled[0].revents == 0)
      continue;
    Pair pair{ { accept(listener, nullptr, nullptr), dial(this->target) },
               this->silence_epoch,
               this->reset_epoch };
    if (pair.fds[0] >= 0 && pair.fds[1] >= 0)
      pairs.push_back(pair);
    else
      close_pair(pair);
  }
  close(listener);
  std::for_each(pairs.begin(), pairs.end(), close_pair);
}

} // namespace geraniumhinge::tests
