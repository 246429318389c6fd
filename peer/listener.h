#pragma once

#include <functional>
#include <mutex>
#include <nng/nng.h>
#include <string>
#include <vector>

namespace geraniumhinge::peer {

/// A listening PULL socket. Queues received messages in order of arrival. Stops
/// reading while the queue is full, so that senders get backpressure.
class Listener
{
public:
  /// `ready` is called on an nng thread when the queue becomes non-empty.
  explicit Listener(std::function<void()> ready);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  bool listen(const std::string& address);

  /// Returns all queued messages and removes them from the queue.
  std::vector<std::string> take_messages();

private:
  static void received(void* listener);
  void store(nng_msg* message);

  std::function<void()> ready;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  std::mutex mutex;
  std::vector<std::string> messages;
  std::size_t waiting_bytes = 0; ///< Sum of `messages`.
  bool paused = false;
};

} // namespace geraniumhinge::peer
