#pragma once

#include "kernel/loop.h"

#include <functional>
#include <memory>
#include <string>

namespace geraniumhinge::kernel {

/// Base of every task. A task owns its sockets and state and is reached only
/// through messages: functions posted to its mailbox, run in order on the
/// loop's thread, and dropped once the task is gone.
class Task
{
public:
  Task(Loop& loop, std::string name);
  virtual ~Task() = default;
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /// Queues a message. Thread-safe.
  void post(std::function<void()> message);

  /// Wraps `fn` so that it does nothing once this task is gone. For callbacks
  /// handed to other services.
  template<typename Function>
  auto guarded(Function fn)
  {
    return [alive = std::weak_ptr<bool>(this->alive),
            fn = std::move(fn)](auto&&... args) mutable {
      if (alive.lock())
        fn(std::forward<decltype(args)>(args)...);
    };
  }

  const std::string& name() const { return this->task_name; }

protected:
  Loop& loop;

private:
  std::string task_name;
  std::shared_ptr<bool> alive;
};

} // namespace geraniumhinge::kernel
