#pragma once

#include "bench/policy_replay.h"

#include <string>
#include <vector>

namespace geraniumhinge::bench {

constexpr std::size_t BASELINE_COUNT = 4;

/// One variant per placement rule, without reservation.
inline std::vector<Variant>
baseline_variants()
{
  std::vector<Variant> variants;
  for (std::size_t i = 0; i < BASELINE_COUNT; ++i) {
    Variant variant;
    variant.rule = static_cast<core::PlacementRule>(i);
    variant.name = std::string(core::PLACEMENT_RULE_NAMES[i]);
    variants.push_back(variant);
  }
  return variants;
}

/// The baselines with a reservation for the oldest large job and backfill.
inline std::vector<Variant>
reservation_variants()
{
  std::vector<Variant> variants = baseline_variants();
  for (Variant& variant : variants) {
    variant.name += "+reservation";
    variant.reservation = true;
  }
  return variants;
}

/// The chosen settings of a deployment. They were tuned on seeds 1000 to 1005,
/// which the report does not use.
inline Variant
chosen_variant(const std::string& deployment)
{
  Variant variant;
  variant.name = "chosen";
  variant.rule = core::PlacementRule::FragmentationGradient;
  variant.estimate = true;
  variant.reservation = true;
  if (deployment == "consortium") {
    variant.migrate_after_ms = 20 * MINUTE_MS;
    variant.compaction_period_ms = MINUTE_MS / 3;
    variant.min_compaction_gain = 0.25;
  } else if (deployment == "valcorta") {
    variant.order = core::QueueOrder::ResponseRatio;
    variant.reserve_after_ms = 8 * HOUR_MS;
    variant.migrate_after_ms = 8 * HOUR_MS;
    variant.compaction_period_ms = MINUTE_MS / 3;
    variant.min_compaction_gain = 0.25;
  } else {
    // No compaction: each move compares all jobs, too slow at 4,000 tasks.
    variant.order = core::QueueOrder::ResponseRatio;
  }
  return variant;
}

/// The chosen settings, each time with one mechanism disabled.
inline std::vector<Variant>
ablation_variants(const std::string& deployment)
{
  std::vector<Variant> variants(4, chosen_variant(deployment));
  variants[0].name = "chosen-compaction";
  variants[0].compaction_period_ms = 0;
  variants[1].name = "chosen-migration";
  variants[1].migrate_after_ms = 0;
  variants[2].name = "chosen-estimates";
  variants[2].estimate = false;
  variants[3].name = "chosen-reservation";
  variants[3].reservation = false;
  return variants;
}

} // namespace geraniumhinge::bench
