#pragma once

#include "gateway/request_budget.h"
#include "kernel/event_limit.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <map>

namespace geraniumhinge::gateway {

/// Counts and logs the refusals of a process, and measures what its clients
/// use.
class RefusalLog
{
public:
  RefusalLog(const kernel::Log& log, kernel::Metrics& metrics);

  RefusalLog(const RefusalLog&) = delete;
  RefusalLog& operator=(const RefusalLog&) = delete;

  /// Hooks that record what a budget does. This object must outlive them.
  RequestBudgetHooks hooks();

private:
  void record(RefusalCause cause);

  struct Row
  {
    kernel::Counter& counter;
    kernel::EventLimit limit;
  };

  const kernel::Log& log;
  kernel::Gauge& held_bytes;
  kernel::Gauge& connections;
  std::map<RefusalCause, Row> rows;
};

} // namespace geraniumhinge::gateway
