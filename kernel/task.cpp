#include "kernel/task.h"

#include <utility>

namespace geraniumhinge::kernel {

Task::Task(Loop& loop, std::string name)
  : loop(loop)
  , task_name(std::move(name))
  , alive(std::make_shared<bool>(true))
{
}

void
Task::post(std::function<void()> message)
{
  this->loop.post(this->guarded(std::move(message)));
}

} // namespace geraniumhinge::kernel
