#include "kernel/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace geraniumhinge::kernel {

namespace {

constexpr int MAX_PORT = 65535;

} // namespace

bool
is_address(const std::string& text)
{
  std::size_t colon = text.rfind(':');
  // inet_pton would read a host only up to a zero byte.
  if (colon == std::string::npos || text.find('\0') != std::string::npos)
    return false;
  std::string host = text.substr(0, colon);
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  int port = 0;
  std::from_chars_result result = std::from_chars(first, last, port);
  if (result.ec != std::errc() || result.ptr != last || port < 1 ||
      port > MAX_PORT)
    return false;
  in_addr parsed{};
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

} // namespace geraniumhinge::kernel
