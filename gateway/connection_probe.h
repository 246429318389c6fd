#pragma once

#include <cstddef>
#include <cstdint>

namespace geraniumhinge::gateway {

/// What the kernel knows of a TCP connection.
struct ConnectionProbe
{
  std::uint64_t received_bytes = 0; ///< Since its start, read or not.
  std::uint64_t read_bytes = 0;     ///< That the client has acknowledged.
  std::size_t queued_bytes = 0;     ///< Received and unread, or unacknowledged.
};

ConnectionProbe
probe_connection(int fd);

/// Whether the process can open a few more descriptors. libmicrohttpd stops
/// accepting, or calls accept in a loop, once accept fails for lack of them.
bool
has_spare_descriptors();

/// Limits the kernel's buffers of the connections that `listen_fd` accepts.
void
limit_buffers(int listen_fd);

/// Sends status 503 with Retry-After as far as the socket takes it, and shuts
/// the connection down.
void
refuse_connection(int fd);

/// Closes the connection and drops what the client has not read.
void
reset_connection(int fd);

} // namespace geraniumhinge::gateway
