#pragma once

#include "core/pool.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// What is asked for: servers for some tasks of one step.
struct AssignRequest
{
  const Step* step = nullptr;
  std::string service;
  std::uint32_t tasks = 0;
  /// Tasks of the step that run already, by server; for `max_per_server`.
  std::map<std::string, std::uint32_t> running_tasks;
  std::set<std::string> avoided;  ///< Servers that this step should not use.
  std::set<std::string> reserved; ///< Servers kept free for other steps.
  /// The only servers that may run it, if the queue's policy limits them.
  std::optional<std::set<std::string>> allowed;
  /// Whether several racks, or one far from the data, are acceptable.
  bool allow_any_rack = false;
};

/// What a run of the step takes from its server.
Resources
resources_of_run(const Step& step);

/// Whether the server may run the step at all, free capacity aside.
bool
eligible(const PoolServer& server, const AssignRequest& request);

/// Finds a server for each task: all of them for a gang, else as many as fit.
/// Prefers one rack and the fullest servers, to keep whole servers free. Empty
/// if nothing fits.
std::vector<std::string>
assign(const Pool& pool, const AssignRequest& request);

/// Whether an empty pool could hold the request within one rack, or near its
/// data, so that waiting for such a place can succeed.
bool
fits_one_rack(const Pool& pool, const AssignRequest& request);

} // namespace geraniumhinge::core
