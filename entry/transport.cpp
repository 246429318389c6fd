#include "entry/transport.h"

namespace geraniumhinge::entry {

Transport
transport_of(peer::PeerNode& node)
{
  Transport transport;
  transport.send = [&node](const std::string& address, v1::Envelope envelope) {
    node.send(address, std::move(envelope));
  };
  transport.request = [&node](const std::string& address,
                              v1::Envelope envelope,
                              kernel::Milliseconds timeout,
                              peer::PeerNode::ReplyCallback done) {
    node.request(address, std::move(envelope), timeout, std::move(done));
  };
  transport.reply = [&node](const v1::Envelope& received, v1::Envelope reply) {
    node.reply(received, std::move(reply));
  };
  return transport;
}

} // namespace geraniumhinge::entry
