#pragma once

#include "core/pool.h"
#include "core/round.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// Work of one service, by the resources that it uses over time.
struct ServiceLoad
{
  Resources capacity;          ///< Of all servers that accept work.
  std::vector<Resources> free; ///< Of each of these servers.
  /// Expected work that is still of value, in resources times ms, by priority.
  std::map<std::uint32_t, Resources> work;
};

struct FleetLoad
{
  std::map<std::string, ServiceLoad> services;
  /// Accelerators of the workflows within a guarantee, by organisation.
  std::map<std::string, std::int64_t> guaranteed_use;
};

/// The load after a scheduling round. `pool` holds the resources that are still
/// free.
FleetLoad
measure_load(const std::vector<RoundWorkflow>& workflows,
             const Pool& pool,
             std::int64_t unix_now_ms);

/// Whether the job would stay within the guarantee of its organisation.
bool
fits_guarantee(const FleetLoad& load,
               const RoundWorkflow& job,
               std::int64_t guaranteed_accelerators);

/// Time after which a refused job may be submitted again, in ms; empty if the
/// job is to be accepted. A job is refused if it can't start within the time
/// for which its result is of value to its caller. `guaranteed`: the job is
/// within its organisation's guarantee.
std::optional<std::int64_t>
refusal_ms(const FleetLoad& load, const RoundWorkflow& job, bool guaranteed);

} // namespace geraniumhinge::core
