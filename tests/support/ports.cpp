#include "tests/support/ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumhinge::tests {

namespace {

// Below the kernel's range for outgoing connections: such a connection could
// take the port before the caller binds it.
constexpr int FIRST_PORT = 12'000;
constexpr int LAST_PORT = 32'000;
constexpr int TRIES = 1'000;

/// Binds the port and keeps it bound until the process ends, so that no other
/// process takes it before it is used. A socket that is bound to it later with
/// SO_REUSEADDR may still listen.
bool
reserve(int port)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return false;
  }
  // Set only now: two processes must not both bind the port as reusable.
  int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  return true;
}

} // namespace

std::string
free_address()
{
  static std::mt19937 random{ std::random_device{}() };
  std::uniform_int_distribution<int> ports(FIRST_PORT, LAST_PORT);
  for (int i = 0; i < TRIES; i++) {
    int port = ports(random);
    if (reserve(port))
      return "127.0.0.1:" + std::to_string(port);
  }
  throw std::runtime_error("no free port found");
}

} // namespace geraniumhinge::tests
