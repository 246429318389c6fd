#pragma once

#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/backend.h"

namespace geraniumhinge::agent {

/// Probes the backend server, which can end or hang while its agent runs. If
/// the agent accepted work then, gangs would fail again and again.
class BackendHealth : public kernel::Task
{
public:
  BackendHealth(kernel::Loop& loop,
                kernel::TimerService& timers,
                const kernel::Log& log,
                platform::Backend& backend,
                kernel::Milliseconds probe_period);

  /// Probes at once and then periodically.
  void start();

  /// Whether the last probe was answered; false before the first response.
  bool available() const { return this->answering; }

private:
  void probe();
  void record_probe(bool answered);

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Backend& backend;
  kernel::Milliseconds probe_period;
  kernel::Subscription probe_timer;
  bool probe_in_flight = false;
  bool answering = false;
};

} // namespace geraniumhinge::agent
