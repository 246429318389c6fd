#include "agent/backend_health.h"

#include "agent/events.h"

#include <utility>

namespace geraniumhinge::agent {

BackendHealth::BackendHealth(kernel::Loop& loop,
                             kernel::TimerService& timers,
                             const kernel::Log& log,
                             platform::Backend& backend,
                             kernel::Milliseconds probe_period)
  : Task(loop, "backend_health")
  , timers(timers)
  , log(log)
  , backend(backend)
  , probe_period(probe_period)
{
}

void
BackendHealth::start()
{
  this->probe_timer =
    this->timers.every(this->probe_period, [this] { this->probe(); });
  this->probe();
}

void
BackendHealth::probe()
{
  if (std::exchange(this->probe_in_flight, true))
    return;
  using Usage = std::vector<platform::TaskUsage>;
  this->backend.usage(this->guarded(
    [this](const tl::expected<Usage, platform::BackendError>& result) {
      this->probe_in_flight = false;
      bool unanswered =
        !result && (result.error() == platform::BackendError::Unreachable ||
                    result.error() == platform::BackendError::NoAnswer);
      this->record_probe(!unanswered);
    }));
}

void
BackendHealth::record_probe(bool answered)
{
  if (std::exchange(this->answering, answered) != answered)
    this->log.write(answered ? BACKEND_ANSWERING : BACKEND_FAILING);
}

} // namespace geraniumhinge::agent
