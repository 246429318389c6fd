#pragma once

#include "peer/peer_node.h"

#include <functional>
#include <string>

namespace geraniumhinge::agent {

/// What tasks use of PeerNode, as hooks, so that tests can lose and delay
/// messages.
struct Transport
{
  std::function<void(const std::string& address,
                     v1::Envelope envelope,
                     kernel::Milliseconds timeout,
                     peer::PeerNode::ReplyCallback done)>
    request;
};

} // namespace geraniumhinge::agent
