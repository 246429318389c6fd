#pragma once

#include <functional>
#include <mutex>
#include <nng/nng.h>
#include <string>
#include <vector>

namespace geraniumhinge::peer {

/// One listening PULL socket. Collects messages in order of arrival and stops
/// reading while too many wait, so that senders see the backpressure.
class Listener
{
public:
  /// `ready` is called on a thread of nng once messages wait for `take`.
  explicit Listener(std::function<void()> ready);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  bool listen(const std::string& address);

  std::vector<std::string> take_messages();

private:
  static void received(void* listener);
  void store(nng_msg* message);

  std::function<void()> ready;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  std::mutex mutex;
  std::vector<std::string> messages;
  bool paused = false;
};

} // namespace geraniumhinge::peer
