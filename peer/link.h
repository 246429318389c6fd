#pragma once

#include "peer/connection.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace geraniumhinge::peer {

/// A serialised message in the send queue of a link.
struct QueuedMessage
{
  std::uint64_t id = 0;
  std::string bytes;
  std::int64_t queued_ms = 0;
};

/// Result of cancelling a message.
enum class CancelResult
{
  NotSent,      ///< Cancelled before it was sent.
  PossiblySent, ///< May have arrived at the peer.
};

/// Kind of a message, by what the sender expects in return.
enum class PushKind
{
  Request, ///< A reply within a short time.
  OneWay,  ///< No reply. A later heartbeat checks the connection.
  Pong,    ///< No reply, and no heartbeat either.
};

/// Sends messages to one peer: holds the send queue and the connection, and
/// tracks which messages the peer has confirmed by a reply or a pong.
class Link
{
public:
  /// Called on an nng thread at the end of a send, with the number of the
  /// connection and the sequence number of the message.
  using SendDone = std::function<void(std::uint64_t, std::uint64_t, bool sent)>;

  Link(std::string address, SendDone done, std::int64_t now_ms);

  /// Queues a message. Returns false if the queue is full.
  bool push(QueuedMessage message, PushKind kind);
  void push_ping(QueuedMessage message);
  CancelResult cancel(std::uint64_t id);

  /// Handles the end of a send. Returns the size of the message in bytes if it
  /// was sent, else 0.
  std::size_t send_completed(std::uint64_t connection,
                             std::uint64_t sequence,
                             bool sent);

  /// Records that a message sent at `sent_ms` was answered, which confirms all
  /// earlier messages too.
  void confirm_delivery(std::int64_t sent_ms);
  /// Handles the pong to a ping. Returns false if `id` is not a ping in flight.
  bool confirm_ping(std::uint64_t id);

  /// Action that `check` asks the caller to take.
  enum class Due
  {
    Nothing,
    Ping,
    Redial,
    Close, ///< The link is idle.
  };
  Due check(std::int64_t now_ms);

  /// Replaces the connection; returns the old one.
  std::unique_ptr<Connection> redial(std::int64_t now_ms);
  /// Whether the connection may be replaced because of a message from the peer.
  /// It must have a minimum age, which limits the rate of redials.
  bool may_redial(std::int64_t now_ms) const;

  std::uint32_t unanswered_pings() const
  {
    return static_cast<std::uint32_t>(this->pings.size());
  }
  std::uint64_t peer_incarnation = 0;

private:
  void record_unconfirmed(std::int64_t now_ms, PushKind kind);
  void connect();
  void send_next();
  void drop_expired(std::int64_t now_ms);

  std::string address;
  SendDone done;
  std::unique_ptr<Connection> connection;
  std::uint64_t connection_number = 0;
  std::deque<QueuedMessage> queue;
  std::size_t queued_bytes = 0;
  std::optional<QueuedMessage> in_flight;
  std::set<std::uint64_t> pings;
  std::int64_t last_push_ms;
  std::int64_t last_unconfirmed_ms = 0; ///< Time of the last push except pongs.
  std::int64_t last_ping_ms = 0;
  std::int64_t dialled_ms;
  std::int64_t unconfirmed_since_ms = 0; ///< 0 if all messages are confirmed.
  bool expects_reply = false;
};

} // namespace geraniumhinge::peer
