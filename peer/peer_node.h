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
  TimedOut,     ///< No reply in time. The message may have arrived.
  NotSent,      ///< The message was never handed to the transport.
  ListenFailed, ///< The listen address can't be used.
};

/// Who this process is, as its messages say.
struct PeerIdentity
{
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address; ///< host:port where this process listens.
};

/// Sends and receives envelopes over nng: one PULL socket that listens, one
/// PUSH socket for each peer. A connection that carried nothing, not even a
/// heartbeat, for the silence limit is closed and dialled anew. Messages are
/// never resent here; replies are matched by message id, late ones dropped.
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

  /// Sends without waiting for a reply. Fills in message id, sender and
  /// configuration version.
  tl::expected<void, PeerError> send(const std::string& address,
                                     v1::Envelope envelope);

  /// Sends and calls back exactly once, with the reply or an error.
  void request(const std::string& address,
               v1::Envelope envelope,
               kernel::Milliseconds timeout,
               ReplyCallback callback);

  /// Answers a received envelope.
  void reply(const v1::Envelope& received, v1::Envelope answer);

  /// Sets the handler of envelopes that are not replies.
  void on_message(std::function<void(const v1::Envelope&)> handler);

  /// Sets what each sent envelope carries as its configuration version.
  void set_config_version_source(std::function<std::uint64_t()> version);

  const PeerIdentity& self() const { return this->identity; }

private:
  struct State;
  PeerIdentity identity;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::peer
