#pragma once

#include "peer/peer_node.h"

#include <functional>
#include <string>

namespace geraniumhinge::entry {

/// What tasks use of PeerNode, as hooks, so that tests can lose and delay
/// messages.
struct Transport
{
  std::function<void(const std::string& address, v1::Envelope envelope)> send;
  std::function<void(const std::string& address,
                     v1::Envelope envelope,
                     kernel::Milliseconds timeout,
                     peer::PeerNode::ReplyCallback done)>
    request;
  std::function<void(const v1::Envelope& received, v1::Envelope answer)> reply;
};

/// Hooks that use `node`, which must outlive them.
Transport
transport_of(peer::PeerNode& node);

} // namespace geraniumhinge::entry
