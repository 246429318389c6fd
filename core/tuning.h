#pragma once

#include "core/queue.h"

#include <cstdint>

namespace geraniumhinge::core {

/// Parameters of the queue for a deployment.
struct Tuning
{
  QueueOrder order = QueueOrder::ResponseRatio;
  /// Wait after which the oldest large job gets a reservation.
  std::int64_t reserve_after_ms = 0;
};

/// The best parameters for the weights of completion time and fragmentation
/// (measurements in docs/policy.md). An early reservation prevents starvation
/// of large jobs, but leaves accelerators idle, which costs completion time.
Tuning
tuning_for(double weight_completion, double weight_fragmentation);

} // namespace geraniumhinge::core
