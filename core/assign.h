#pragma once

#include "core/pool.h"

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// A request for servers for tasks of one step.
struct AssignRequest
{
  const Step* step = nullptr;
  std::string service;
  std::uint32_t tasks = 0;
  /// Tasks of the step that run already, by server. They count towards
  /// `max_per_server`.
  std::map<std::string, std::uint32_t> running_tasks;
  std::set<std::string> avoided;  ///< Servers that the step must not use.
  std::set<std::string> reserved; ///< Servers reserved for other steps.
  /// The only servers that may run the step; unset if all may.
  std::optional<std::set<std::string>> allowed;
  bool allow_quarantined = false;
  /// Allows several racks, and racks other than the one of the data.
  bool allow_any_rack = false;
  /// Largest factor of a server on the run time with which the step meets its
  /// objective. Servers are chosen by their speed only if their factors differ.
  double max_factor = std::numeric_limits<double>::infinity();
  /// Factor on the run time of a task outside the rack of its data.
  double rack_penalty = 1;
};

/// Resources that one run of the step allocates on its server.
Resources
resources_of_run(const Step& step);

/// Whether the server may run the step, regardless of its free resources.
bool
eligible(const PoolServer& server, const AssignRequest& request);

/// Finds a server for each task: all tasks of a gang or none, otherwise as many
/// as fit. Prefers one rack and the fullest servers, to keep whole servers
/// free. Among servers of different speed, prefers the slowest ones with which
/// the step meets its objective, else those with which it ends soonest. Whether
/// and how many tasks fit does not depend on the speeds. Empty if nothing fits.
std::vector<std::string>
assign(const Pool& pool, const AssignRequest& request);

/// Whether the request fits one rack, or the rack of its data, in a pool of
/// servers without any runs. If not, waiting for such a rack cannot succeed.
bool
fits_one_rack(const Pool& idle_pool, const AssignRequest& request);

} // namespace geraniumhinge::core
