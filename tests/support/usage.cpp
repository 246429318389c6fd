#include "tests/support/usage.h"

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace geraniumhinge::tests {

namespace {

constexpr std::size_t KIB = 1'024;
/// State TCP_LISTEN of a line of /proc/net/tcp, whose queue counts connections.
constexpr unsigned int LISTENING = 0x0A;

} // namespace

std::size_t
peak_memory_bytes(pid_t process)
{
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::size_t kib = 0;
  for (std::string line; std::getline(status, line);) {
    if (std::sscanf(line.c_str(), "VmHWM: %zu kB", &kib) == 1) // NOLINT
      return kib * KIB;
  }
  return 0;
}

std::size_t
open_descriptors(pid_t process)
{
  std::error_code error;
  std::filesystem::directory_iterator folder(
    "/proc/" + std::to_string(process) + "/fd", error);
  std::size_t count = 0;
  for (; !error && folder != std::filesystem::directory_iterator();
       folder.increment(error))
    ++count;
  return count;
}

std::size_t
queued_bytes(const std::set<int>& ports)
{
  std::ifstream table("/proc/net/tcp");
  std::size_t sum = 0;
  for (std::string line; std::getline(table, line);) {
    unsigned int port = 0;
    unsigned int state = 0;
    std::size_t unsent = 0;
    std::size_t unread = 0;
    int fields = std::sscanf(line.c_str(), // NOLINT
                             " %*d: %*8x:%x %*8x:%*x %x %zx:%zx",
                             &port,
                             &state,
                             &unsent,
                             &unread);
    if (fields == 4 && state != LISTENING &&
        ports.contains(static_cast<int>(port)))
      sum += unsent + unread;
  }
  return sum;
}

} // namespace geraniumhinge::tests
