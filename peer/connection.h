#pragma once

#include <cstdint>
#include <functional>
#include <nng/nng.h>
#include <string>

namespace geraniumhinge::peer {

/// One dialled PUSH socket with at most one message being handed over.
class Connection
{
public:
  /// Called on a thread of nng, with the sequence number of the message.
  using SendDone = std::function<void(std::uint64_t sequence, bool sent)>;

  Connection(const std::string& address, SendDone done);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool usable() const { return this->opened; }
  bool busy() const { return this->sending; }
  std::uint64_t sequence() const { return this->current; }

  /// Starts to hand over a message. Only while not busy.
  void send(const std::string& bytes);

  /// Ends the hand-over whose callback came in.
  void finish() { this->sending = false; }

  /// Cancels the send of the message being handed over. Returns whether it was
  /// certainly not sent; its callback may still come in and must be ignored.
  bool cancel_send();

private:
  static void completed(void* connection);

  SendDone done;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  bool opened = false;
  bool sending = false;
  std::uint64_t current = 0;
};

} // namespace geraniumhinge::peer
