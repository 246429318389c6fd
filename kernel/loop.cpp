#include "kernel/loop.h"

#include <ev.h>
#include <mutex>
#include <utility>
#include <vector>

namespace geraniumhinge::kernel {

struct Loop::PostQueue
{
  ev_async wakeup{};
  std::mutex mutex;
  std::vector<std::function<void()>> functions;

  void drain()
  {
    std::vector<std::function<void()>> batch;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->functions);
    }
    for (std::function<void()>& fn : batch)
      fn();
  }
};

namespace {

template<typename Watcher, typename Function>
struct Watch
{
  Watcher watcher{};
  Function fn;
  bool active = true;
};

using IoWatch = Watch<ev_io, std::function<void(int)>>;
using SignalWatch = Watch<ev_signal, std::function<void()>>;

} // namespace

Loop::Loop()
  : loop(ev_loop_new(EVFLAG_AUTO))
  , post_queue(std::make_unique<PostQueue>())
{
  ev_async_init(&this->post_queue->wakeup,
                [](struct ev_loop*, ev_async* w, int) {
                  static_cast<PostQueue*>(w->data)->drain();
                });
  this->post_queue->wakeup.data = this->post_queue.get();
  ev_async_start(this->loop, &this->post_queue->wakeup);
}

Loop::~Loop()
{
  ev_async_stop(this->loop, &this->post_queue->wakeup);
  ev_loop_destroy(this->loop);
}

void
Loop::run()
{
  ev_run(this->loop, 0);
}

void
Loop::stop()
{
  ev_break(this->loop, EVBREAK_ALL);
}

void
Loop::post(std::function<void()> fn)
{
  {
    std::lock_guard<std::mutex> lock(this->post_queue->mutex);
    this->post_queue->functions.push_back(std::move(fn));
  }
  ev_async_send(this->loop, &this->post_queue->wakeup);
}

Subscription
Loop::watch(int fd, int events, std::function<void(int)> fn)
{
  std::shared_ptr<IoWatch> watch = std::make_shared<IoWatch>();
  watch->fn = std::move(fn);
  ev_io_init(
    &watch->watcher,
    [](struct ev_loop*, ev_io* w, int ready) {
      // Copied, because the callback may destroy its own subscription.
      std::function<void(int)> call = static_cast<IoWatch*>(w->data)->fn;
      call(ready);
    },
    fd,
    events);
  watch->watcher.data = watch.get();
  ev_io_start(this->loop, &watch->watcher);
  struct ev_loop* libev_loop = this->loop;
  return Subscription(
    [watch, libev_loop] { ev_io_stop(libev_loop, &watch->watcher); });
}

Subscription
Loop::watch_signal(int signal, std::function<void()> fn)
{
  std::shared_ptr<SignalWatch> watch = std::make_shared<SignalWatch>();
  watch->fn = std::move(fn);
  ev_signal_init(
    &watch->watcher,
    [](struct ev_loop*, ev_signal* w, int) {
      std::function<void()> call = static_cast<SignalWatch*>(w->data)->fn;
      call();
    },
    signal);
  watch->watcher.data = watch.get();
  ev_signal_start(this->loop, &watch->watcher);
  struct ev_loop* libev_loop = this->loop;
  return Subscription(
    [watch, libev_loop] { ev_signal_stop(libev_loop, &watch->watcher); });
}

} // namespace geraniumhinge::kernel
