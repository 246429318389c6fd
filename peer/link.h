#pragma once

#include "peer/connection.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace geraniumhinge::peer {

/// A serialised message that waits to be handed to the transport.
struct QueuedMessage
{
  std::uint64_t id = 0;
  std::string bytes;
  std::int64_t queued_ms = 0;
};

/// What a request's message id still tells about its message.
enum class Withdrawal
{
  NotSent,      ///< Taken back before it was handed over.
  PossiblySent, ///< It may have arrived.
};

/// What is expected after a message.
enum class PushKind
{
  Request, ///< A reply soon.
  OneWay,  ///< Nothing; a heartbeat proves later that the connection works.
  Pong,    ///< Nothing; it only answers a heartbeat.
};

/// The sending side towards one peer: its queue, its connection, and when the
/// connection last proved to carry messages.
class Link
{
public:
  /// Called on a thread of nng: connection number, sequence, result.
  using SendDone = std::function<void(std::uint64_t, std::uint64_t, bool sent)>;

  Link(std::string address, SendDone done, std::int64_t now_ms);

  /// Returns false if the queue is full.
  bool push(QueuedMessage message, PushKind kind);
  void push_ping(QueuedMessage message);
  Withdrawal withdraw(std::uint64_t id);

  /// Handles the end of a hand-over. Returns the size of the message if it was
  /// sent, else 0.
  std::size_t completed(std::uint64_t connection,
                        std::uint64_t sequence,
                        bool sent);

  /// A reply to a message sent at `sent_ms` came in.
  void confirm_delivery(std::int64_t sent_ms);
  bool remove_ping(std::uint64_t id);

  /// What is due at a time.
  enum class Due
  {
    Nothing,
    Ping,
    Redial,
    Close,
  };
  Due check(std::int64_t now_ms);

  /// Replaces the connection; returns the old one.
  std::unique_ptr<Connection> redial(std::int64_t now_ms);
  /// Whether the peer's complaint justifies a new connection.
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
  std::int64_t last_unconfirmed_ms = 0; ///< Of the last push but pongs.
  std::int64_t last_ping_ms = 0;
  std::int64_t dialled_ms;
  std::int64_t unconfirmed_since_ms = 0; ///< 0 if nothing is unproven.
  bool expects_reply = false;
};

} // namespace geraniumhinge::peer
