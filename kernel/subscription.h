#pragma once

#include <functional>
#include <utility>

namespace geraniumhinge::kernel {

/// Keeps a timer or watcher active. Destroying the subscription cancels the
/// callback, and the callback itself may destroy it.
class Subscription
{
public:
  Subscription() = default;
  explicit Subscription(std::function<void()> cancel)
    : cancel(std::move(cancel))
  {
  }
  Subscription(Subscription&& other) noexcept
    : cancel(std::exchange(other.cancel, nullptr))
  {
  }
  Subscription& operator=(Subscription&& other) noexcept
  {
    if (this != &other) {
      this->reset();
      this->cancel = std::exchange(other.cancel, nullptr);
    }
    return *this;
  }
  Subscription(const Subscription&) = delete;
  Subscription& operator=(const Subscription&) = delete;
  ~Subscription() { this->reset(); }

  void reset()
  {
    std::function<void()> action = std::exchange(this->cancel, nullptr);
    if (action)
      action();
  }
  bool active() const { return static_cast<bool>(this->cancel); }

private:
  std::function<void()> cancel;
};

} // namespace geraniumhinge::kernel
