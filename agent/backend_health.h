#pragma once

#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/backend.h"

namespace geraniumhinge::agent {

/// Probes the backend server, which can end or hang while its agent lives. An
/// agent that took work for it then would make gangs fail again and again.
class BackendHealth : public kernel::Task
{
public:
  BackendHealth(kernel::Loop& loop,
                kernel::TimerService& timers,
                const kernel::Log& log,
                platform::Backend& backend,
                kernel::Milliseconds period);

  /// Probes at once and then once in each period.
  void start();

  /// Whether the last probe was answered. False before the first answer.
  bool available() const { return this->answering; }

private:
  void probe();
  void record_probe(bool answered);

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Backend& backend;
  kernel::Milliseconds period;
  kernel::Subscription probes;
  bool probing = false;
  bool answering = false;
};

} // namespace geraniumhinge::agent
