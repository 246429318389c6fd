#pragma once

#include "kernel/loop.h"

#include <functional>
#include <memory>
#include <string>

namespace geraniumhinge::kernel {

/// Base class of tasks. A task owns its sockets and state. Other threads reach
/// a task only by messages, which are functions posted to the task: they run in
/// order on the loop's thread and are dropped if the task was destroyed.
class Task
{
public:
  Task(Loop& loop, std::string name);
  virtual ~Task() = default;
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /// Queues a message. Thread-safe.
  void post(std::function<void()> message);

  /// Wraps a callback for another service. The wrapped callback does nothing
  /// after this task is destroyed.
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
