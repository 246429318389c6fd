#pragma once

#include "kernel/subscription.h"

#include <functional>
#include <memory>

struct ev_loop;

namespace geraniumhinge::kernel {

/// The one event loop of a process. All members but `post` may be called on
/// the loop's thread only.
class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until `stop`.
  void run();
  void stop();

  /// Runs `fn` on the loop's thread in a later iteration. Thread-safe.
  void post(std::function<void()> fn);

  /// Calls `fn` with the ready events (EV_READ, EV_WRITE) of `fd`.
  Subscription watch(int fd, int events, std::function<void(int)> fn);

  /// Calls `fn` when the process gets the signal.
  Subscription watch_signal(int signal, std::function<void()> fn);

  struct ev_loop* raw() { return this->loop; }

private:
  struct Inbox;
  struct ev_loop* loop;
  std::unique_ptr<Inbox> inbox;
};

} // namespace geraniumhinge::kernel
