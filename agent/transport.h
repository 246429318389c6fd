#pragma once

#include "peer/peer_node.h"

#include <functional>
#include <string>

namespace geraniumhinge::agent {

/// The calls of PeerNode that the agent's tasks use. Tests replace these calls
/// to lose and delay messages.
struct Transport
{
  std::function<void(const std::string& address,
                     v1::Envelope envelope,
                     kernel::Milliseconds timeout,
                     peer::PeerNode::ReplyCallback done)>
    request;
};

} // namespace geraniumhinge::agent
