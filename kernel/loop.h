#pragma once

#include "kernel/subscription.h"

#include <functional>
#include <memory>

struct ev_loop;

namespace geraniumhinge::kernel {

/// The event loop of a process, on libev. Only `post` may be called from
/// threads other than the loop's.
class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until `stop` is called.
  void run();
  void stop();

  /// Runs `fn` on the loop's thread in a later iteration. Thread-safe.
  void post(std::function<void()> fn);

  /// Calls `fn` with the events (EV_READ, EV_WRITE) that `fd` is ready for.
  Subscription watch(int fd, int events, std::function<void(int)> fn);

  /// Calls `fn` when the process receives `signal`.
  Subscription watch_signal(int signal, std::function<void()> fn);

  struct ev_loop* libev_loop() { return this->loop; }

private:
  struct PostQueue;
  struct ev_loop* loop;
  std::unique_ptr<PostQueue> post_queue;
};

} // namespace geraniumhinge::kernel
