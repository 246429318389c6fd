#include "core/tuning.h"

namespace geraniumhinge::core {

namespace {

constexpr std::int64_t MINUTE_MS = 60'000;
constexpr std::int64_t HOUR_MS = 60 * MINUTE_MS;
constexpr std::int64_t EARLY_RESERVATION_MS = 20 * MINUTE_MS;
constexpr std::int64_t LATE_RESERVATION_MS = 8 * HOUR_MS;

} // namespace

Tuning
tuning_for(double weight_completion, double weight_fragmentation)
{
  if (weight_fragmentation > weight_completion)
    return { QueueOrder::Arrival, EARLY_RESERVATION_MS };
  if (weight_completion > weight_fragmentation)
    return { QueueOrder::ResponseRatio, LATE_RESERVATION_MS };
  return { QueueOrder::ResponseRatio, EARLY_RESERVATION_MS };
}

} // namespace geraniumhinge::core
