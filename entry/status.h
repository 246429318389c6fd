#pragma once

#include "core/cell.h"
#include "entry/cell_cache.h"
#include "entry/fleet.h"
#include "entry/membership.h"
#include "entry/scheduler.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Reports the state of the system to operators, from this entry's copies of
/// the rows and its view of the other entries.
class Status
{
public:
  Status(Membership& membership,
         Fleet& fleet,
         CellCache& cell_cache,
         DriverTable& drivers,
         Scheduler& scheduler,
         std::function<const v1::Configuration&()> config);

  /// Returns the fleet, converted to the types of `core`.
  std::vector<core::Cell> installed(core::Names& names) const;
  v1::GetStatusResponse status() const;
  /// Returns the backend servers of one availability zone, or of all zones if
  /// `zone` is empty.
  v1::ListBackendServersResponse servers(const std::string& zone) const;

private:
  void add_entries(v1::GetStatusResponse& response) const;
  void add_cells(v1::GetStatusResponse& response) const;
  void add_guarantees(v1::GetStatusResponse& response) const;
  v1::BackendServer server_of(const v1::CellRow& row,
                              const v1::Member& member) const;

  Membership& membership;
  Fleet& fleet;
  CellCache& cell_cache;
  DriverTable& drivers;
  Scheduler& scheduler;
  std::function<const v1::Configuration&()> config;
};

} // namespace geraniumhinge::entry
