#pragma once

#include "bench/policy_replay.h"

#include <string>
#include <vector>

namespace geraniumhinge::bench {

constexpr std::size_t BASELINES = 4;

/// The single candidates without reservation.
inline std::vector<Variant>
baselines()
{
  std::vector<Variant> all;
  for (std::size_t i = 0; i < BASELINES; ++i) {
    Variant one;
    one.rule = static_cast<core::PlacementRule>(i);
    one.name = std::string(core::PLACEMENT_RULE_NAMES[i]);
    all.push_back(one);
  }
  return all;
}

/// The candidates with backfill behind a reservation for the oldest large job.
inline std::vector<Variant>
reserving()
{
  std::vector<Variant> all = baselines();
  for (Variant& one : all) {
    one.name += "+reservation";
    one.reservation = true;
  }
  return all;
}

/// The chosen settings of a deployment. Chosen on seeds 1000 to 1005, which the
/// report does not use.
inline Variant
chosen(const std::string& deployment)
{
  Variant one;
  one.name = "chosen";
  one.rule = core::PlacementRule::FragmentationGradient;
  one.estimate = true;
  one.reservation = true;
  if (deployment == "consortium") {
    one.migrate_after_ms = 20 * MINUTE;
    one.compact_every_ms = MINUTE / 3;
    one.compact_gain = 0.25;
  } else if (deployment == "valcorta") {
    one.order = core::QueueOrder::ResponseRatio;
    one.reserve_after_ms = 8 * HOUR;
    one.migrate_after_ms = 8 * HOUR;
    one.compact_every_ms = MINUTE / 3;
    one.compact_gain = 0.25;
  } else {
    // A compaction move compares every job: too slow at 4,000 tasks.
    one.order = core::QueueOrder::ResponseRatio;
  }
  return one;
}

/// The chosen settings with one mechanism removed at a time.
inline std::vector<Variant>
ablations(const std::string& deployment)
{
  std::vector<Variant> all(4, chosen(deployment));
  all[0].name = "chosen-compaction";
  all[0].compact_every_ms = 0;
  all[1].name = "chosen-migration";
  all[1].migrate_after_ms = 0;
  all[2].name = "chosen-estimates";
  all[2].estimate = false;
  all[3].name = "chosen-reservation";
  all[3].reservation = false;
  return all;
}

} // namespace geraniumhinge::bench
