#include "gateway/request_limits.h"

#include <algorithm>

namespace geraniumhinge::gateway {

namespace {

constexpr std::size_t KIB = 1'024;
constexpr std::size_t MIB = KIB * KIB;
/// The rest is for the process without requests, and for the parse of a body.
constexpr std::size_t HELD_DIVISOR = 8;
/// The rest is for the store, other entries and agents (docs/CAPACITY.md has
/// the expected numbers).
constexpr std::size_t DESCRIPTOR_DIVISOR = 3;
/// A connection takes its buffer of 16 KiB in the server, and about as much for
/// its socket.
constexpr std::size_t CONNECTION_BYTES = 32 * KIB;
constexpr std::size_t CONNECTION_DIVISOR = 4;

std::size_t
derive_connections(std::size_t memory_bytes, std::size_t descriptors)
{
  std::size_t by_memory = memory_bytes / CONNECTION_DIVISOR / CONNECTION_BYTES;
  std::size_t by_descriptors = descriptors / DESCRIPTOR_DIVISOR;
  if (memory_bytes == 0 || descriptors == 0)
    return std::max(by_memory, by_descriptors);
  return std::min(by_memory, by_descriptors);
}

} // namespace

RequestLimits
derive_limits(std::size_t memory_bytes,
              std::size_t descriptors,
              RequestLimits given)
{
  if (given.held_bytes == 0)
    given.held_bytes = memory_bytes / HELD_DIVISOR;
  if (given.connections == 0)
    given.connections = derive_connections(memory_bytes, descriptors);
  if (given.held_bytes == 0 && given.connections == 0)
    return {};
  return given;
}

RequestLimits
read_request_limits(kernel::SettingsReader& reader)
{
  RequestLimits given;
  given.held_bytes = static_cast<std::size_t>(reader.integer(LIMIT_HELD)) * KIB;
  given.connections =
    static_cast<std::size_t>(reader.integer(LIMIT_CONNECTIONS));
  given.request_ms = reader.integer(LIMIT_REQUEST);
  given.response_ms = reader.integer(LIMIT_RESPONSE);
  return derive_limits(
    static_cast<std::size_t>(reader.number(LIMIT_MEMORY) * MIB),
    static_cast<std::size_t>(reader.integer(LIMIT_DESCRIPTORS)),
    given);
}

} // namespace geraniumhinge::gateway
