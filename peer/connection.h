#pragma once

#include <cstdint>
#include <functional>
#include <nng/nng.h>
#include <string>

namespace geraniumhinge::peer {

/// A dialled PUSH socket with at most one message in flight.
class Connection
{
public:
  /// Called on an nng thread at the end of a send.
  using SendDone = std::function<void(std::uint64_t sequence, bool sent)>;

  Connection(const std::string& address, SendDone done);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool usable() const { return this->opened; }
  bool busy() const { return this->sending; }
  std::uint64_t sequence() const { return this->send_sequence; }

  /// Starts to send a message. Must not be called while busy.
  void send(const std::string& bytes);

  /// Marks the send as ended, after its callback.
  void end_send() { this->sending = false; }

  /// Cancels the send in flight, if any. Returns whether the message was
  /// certainly not sent. The callback may still run and must be ignored.
  bool cancel_send();

private:
  static void completed(void* connection);

  SendDone done;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  bool opened = false;
  bool sending = false;
  std::uint64_t send_sequence = 0;
};

} // namespace geraniumhinge::peer
