#pragma once

#include "core/round.h"
#include "entry/evacuations.h"
#include "entry/server_table.h"

#include <cstdint>
#include <set>
#include <vector>

namespace geraniumhinge::entry {

/// Runs in evacuated zones that were placed and have not started: their agent
/// has reported since the last time at which they could start, and does not
/// list them as running. Runs of agents that have not reported since are left
/// out, because they may be running.
std::set<core::TaskKey>
runs_to_recall(const std::vector<core::RoundWorkflow>& workflows,
               const ServerTable& servers,
               const Evacuations& evacuations,
               std::int64_t now_ms);

} // namespace geraniumhinge::entry
