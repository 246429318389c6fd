#include "kernel/timer.h"

#include <ev.h>
#include <memory>
#include <utility>

namespace geraniumhinge::kernel {

namespace {

constexpr double S_PER_MS = 0.001;

struct Timer
{
  ev_timer watcher{};
  std::function<void()> fn;
};

} // namespace

TimerService::TimerService(Loop& loop)
  : loop(loop)
{
}

Subscription
TimerService::after(Milliseconds delay, std::function<void()> fn)
{
  return this->start(delay, Milliseconds(0), std::move(fn));
}

Subscription
TimerService::every(Milliseconds period, std::function<void()> fn)
{
  return this->start(period, period, std::move(fn));
}

Subscription
TimerService::start(Milliseconds delay,
                    Milliseconds repeat,
                    std::function<void()> fn)
{
  std::shared_ptr<Timer> timer = std::make_shared<Timer>();
  timer->fn = std::move(fn);
  ev_timer_init(
    &timer->watcher,
    [](struct ev_loop*, ev_timer* w, int) {
      // Copied, because the callback may destroy its own subscription.
      std::function<void()> call = static_cast<Timer*>(w->data)->fn;
      call();
    },
    static_cast<double>(delay.count()) * S_PER_MS,
    static_cast<double>(repeat.count()) * S_PER_MS);
  timer->watcher.data = timer.get();
  struct ev_loop* libev_loop = this->loop.libev_loop();
  // libev caches the current time, which is out of date after a long callback.
  ev_now_update(libev_loop);
  ev_timer_start(libev_loop, &timer->watcher);
  return Subscription(
    [timer, libev_loop] { ev_timer_stop(libev_loop, &timer->watcher); });
}

} // namespace geraniumhinge::kernel
