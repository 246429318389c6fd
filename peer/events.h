#pragma once

#include "kernel/event.h"

namespace geraniumhinge::peer {

inline constexpr kernel::EventInfo LISTEN_FAILED{
  200,
  kernel::Severity::Error,
  "peer_listen_failed",
  "The listen address of the peer port can't be used.",
  "Check the address and whether another process holds the port."
};
inline constexpr kernel::EventInfo CONNECTION_SILENT{
  201,
  kernel::Severity::Warning,
  "peer_connection_silent",
  "A connection left heartbeats unanswered and is dialled anew.",
  "None, unless it repeats: then check the peer and the network to it."
};
inline constexpr kernel::EventInfo QUEUE_FULL{
  202,
  kernel::Severity::Warning,
  "peer_queue_full",
  "The send queue to a peer is full; messages to it are refused.",
  "Check whether the peer is overloaded or unreachable."
};
inline constexpr kernel::EventInfo MESSAGE_MALFORMED{
  203,
  kernel::Severity::Warning,
  "peer_message_malformed",
  "A message could not be parsed and is dropped.",
  "Check that all processes run compatible versions."
};

inline constexpr kernel::EventInfo PEER_EVENTS[] = {
  LISTEN_FAILED,
  CONNECTION_SILENT,
  QUEUE_FULL,
  MESSAGE_MALFORMED,
};

} // namespace geraniumhinge::peer
