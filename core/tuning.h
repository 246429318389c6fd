#pragma once

#include "core/queue.h"

#include <cstdint>

namespace geraniumhinge::core {

/// How the queue is run for a deployment.
struct Tuning
{
  QueueOrder order = QueueOrder::ResponseRatio;
  /// Wait after which the oldest large job gets a reservation.
  std::int64_t reserve_after_ms = 0;
};

/// The variant that was measured best for the weights of the two measures
/// (docs/policy.md). An early reservation keeps large jobs from starving; it
/// also leaves accelerators idle, which costs completion time.
Tuning
tuning_for(double weight_completion, double weight_fragmentation);

} // namespace geraniumhinge::core
