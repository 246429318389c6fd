#include "agent/backend_health.h"

#include "agent/events.h"

#include <utility>

namespace geraniumhinge::agent {

BackendHealth::BackendHealth(kernel::Loop& loop,
                             kernel::TimerService& timers,
                             const kernel::Log& log,
                             platform::Backend& backend,
                             kernel::Milliseconds period)
  : Task(loop, "backend_health")
  , timers(timers)
  , log(log)
  , backend(backend)
  , period(period)
{
}

void
BackendHealth::start()
{
  this->probes = this->timers.every(this->period, [this] { this->probe(); });
  this->probe();
}

void
BackendHealth::probe()
{
  if (std::exchange(this->probing, true))
    return;
  using Usage = std::vector<platform::TaskUsage>;
  this->backend.usage(this->guarded(
    [this](const tl::expected<Usage, platform::BackendError>& result) {
      this->probing = false;
      bool silent =
        !result && (result.error() == platform::BackendError::Unreachable ||
                    result.error() == platform::BackendError::NoAnswer);
      this->record_probe(!silent);
    }));
}

void
BackendHealth::record_probe(bool answered)
{
  if (std::exchange(this->answering, answered) != answered)
    this->log.write(answered ? BACKEND_ANSWERING : BACKEND_FAILING);
}

} // namespace geraniumhinge::agent
