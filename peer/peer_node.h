#pragma once

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace geraniumhinge::peer {

enum class PeerError
{
  TimedOut,     ///< No reply in time; the message may have arrived.
  NotSent,      ///< The message was not and will not be sent.
  ListenFailed, ///< The process can't listen on its address.
};

/// Identity of this process, sent with each message.
struct PeerIdentity
{
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address; ///< host:port where this process listens.
};

/// Sends and receives envelopes over nng, with one listening PULL socket and
/// one PUSH socket per peer. A connection whose heartbeats stay unanswered is
/// replaced. Messages that were sent are not sent again. Replies are matched to
/// requests by message id; late replies are dropped.
class PeerNode : public kernel::Task
{
public:
  using Reply = tl::expected<v1::Envelope, PeerError>;
  using ReplyCallback = std::function<void(Reply)>;

  PeerNode(kernel::Loop& loop,
           kernel::TimerService& timers,
           const kernel::Log& log,
           kernel::Metrics& metrics,
           PeerIdentity identity);
  ~PeerNode() override;

  tl::expected<void, PeerError> listen();

  /// Queues a one-way message. Sets message id, sender and configuration
  /// version of the envelope.
  tl::expected<void, PeerError> send(const std::string& address,
                                     v1::Envelope envelope);

  /// Sends a request. Calls back exactly once, with the reply or an error.
  void request(const std::string& address,
               v1::Envelope envelope,
               kernel::Milliseconds timeout,
               ReplyCallback callback);

  /// Sends a reply to a received envelope.
  void reply(const v1::Envelope& received, v1::Envelope envelope);

  /// Sets the handler of received envelopes that are neither replies nor pings.
  void on_message(std::function<void(const v1::Envelope&)> handler);

  /// Sets the source of the configuration version in sent envelopes.
  void set_config_version_source(std::function<std::uint64_t()> config_version);

  const PeerIdentity& self() const { return this->identity; }

private:
  struct State;
  PeerIdentity identity;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::peer
