#pragma once

#include "kernel/event.h"

namespace geraniumhinge::peer {

inline constexpr kernel::EventInfo LISTEN_FAILED{
  200,
  kernel::Severity::Error,
  "peer_listen_failed",
  "The process can't listen on the address of its peer port.",
  "Check the address, and whether another process uses the port."
};
inline constexpr kernel::EventInfo CONNECTION_SILENT{
  201,
  kernel::Severity::Warning,
  "peer_connection_silent",
  "A connection was replaced, because heartbeats were not answered or the "
  "peer restarted.",
  "None, unless it occurs often: then check the peer and the network to it."
};
inline constexpr kernel::EventInfo QUEUE_FULL{
  202,
  kernel::Severity::Warning,
  "peer_queue_full",
  "The send queue to a peer is full; a message to the peer was rejected.",
  "Check whether the peer is overloaded or unreachable."
};
inline constexpr kernel::EventInfo MESSAGE_MALFORMED{
  203,
  kernel::Severity::Warning,
  "peer_message_malformed",
  "A received message could not be parsed and was dropped.",
  "Check that all processes run compatible versions."
};

inline constexpr kernel::EventInfo ADDRESS_INVALID{
  204,
  kernel::Severity::Warning,
  "peer_address_invalid",
  "A peer is described with an address that is no IP address and port; it gets "
  "no messages. Written once per address.",
  "Correct or remove the row that names the address."
};

inline constexpr kernel::EventInfo PEER_EVENTS[] = {
  LISTEN_FAILED,     CONNECTION_SILENT, QUEUE_FULL,
  MESSAGE_MALFORMED, ADDRESS_INVALID,
};

} // namespace geraniumhinge::peer
