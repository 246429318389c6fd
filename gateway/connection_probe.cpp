#include "gateway/connection_probe.h"

#include <cerrno>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumhinge::gateway {

namespace {

/// The kernel doubles it. Enough for 200 Mbit/s at a round trip of 1 ms.
constexpr int BUFFER_BYTES = 32 * 1'024;
/// Left to connections that the process opens itself.
constexpr rlim_t SPARE_DESCRIPTORS = 16;
constexpr std::string_view REFUSAL =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
  "Content-Type: application/json\r\nContent-Length: 2\r\n"
  "Connection: close\r\n\r\n{}";

std::size_t
queue_of(int fd, unsigned long request)
{
  int bytes = 0;
  bool known = ioctl(fd, request, &bytes) == 0 && bytes > 0; // NOLINT
  return known ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

ConnectionProbe
probe_connection(int fd)
{
  ConnectionProbe probe;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
    probe.received_bytes = info.tcpi_bytes_received;
    probe.read_bytes = info.tcpi_bytes_acked;
  }
  probe.queued_bytes = queue_of(fd, SIOCINQ) + queue_of(fd, SIOCOUTQ);
  return probe;
}

bool
has_spare_descriptors()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  // The kernel gives out the lowest free number.
  int lowest_free = dup(STDERR_FILENO);
  if (lowest_free >= 0)
    close(lowest_free);
  else if (errno != EMFILE && errno != ENFILE)
    return true;
  return lowest_free >= 0 &&
         static_cast<rlim_t>(lowest_free) + SPARE_DESCRIPTORS < limit.rlim_cur;
}

void
limit_buffers(int listen_fd)
{
  setsockopt(
    listen_fd, SOL_SOCKET, SO_RCVBUF, &BUFFER_BYTES, sizeof BUFFER_BYTES);
  setsockopt(
    listen_fd, SOL_SOCKET, SO_SNDBUF, &BUFFER_BYTES, sizeof BUFFER_BYTES);
}

void
refuse_connection(int fd)
{
  send(fd, REFUSAL.data(), REFUSAL.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(fd, SHUT_RDWR);
}

void
reset_connection(int fd)
{
  linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  shutdown(fd, SHUT_RDWR);
}

} // namespace geraniumhinge::gateway
