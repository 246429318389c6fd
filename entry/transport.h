#pragma once

#include "peer/peer_node.h"

#include <functional>
#include <string>

namespace geraniumhinge::entry {

/// The functions of PeerNode that tasks use, as hooks, so that tests can lose
/// and delay messages.
struct Transport
{
  std::function<void(const std::string& address, v1::Envelope envelope)> send;
  std::function<void(const std::string& address,
                     v1::Envelope envelope,
                     kernel::Milliseconds timeout,
                     peer::PeerNode::ReplyCallback done)>
    request;
  std::function<void(const v1::Envelope& received, v1::Envelope reply)> reply;
};

/// Returns hooks that call `node`, which must outlive the hooks.
Transport
transport_of(peer::PeerNode& node);

} // namespace geraniumhinge::entry
