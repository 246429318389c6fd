#include "entry/status.h"

#include "core/fragmentation.h"
#include "entry/allocations.h"
#include "entry/convert.h"

#include <bit>
#include <set>

namespace geraniumhinge::entry {

namespace {

std::uint32_t
used_accelerators(const v1::CellRow& row, const std::string& server)
{
  std::uint32_t used = 0;
  for (const v1::Allocation& allocation : row.allocations()) {
    if (allocation.server() == server)
      used += std::popcount(allocation.accelerators());
  }
  return used;
}

double
fragmentation_of(const v1::CellRow& row, const v1::Configuration& configuration)
{
  core::Names names;
  core::Cell cell =
    to_core(names, row, [](const std::string&) { return false; });
  core::CellState state{ &cell, {} };
  std::vector<core::WeightedShape> shapes = guaranteed_shapes(configuration);
  return core::fragmentation({ &state, 1 }, shapes).share();
}

} // namespace

Status::Status(Membership& membership,
               Fleet& fleet,
               CellCache& cell_cache,
               DriverTable& drivers,
               Scheduler& scheduler,
               std::function<const v1::Configuration&()> config)
  : membership(membership)
  , fleet(fleet)
  , cell_cache(cell_cache)
  , drivers(drivers)
  , scheduler(scheduler)
  , config(std::move(config))
{
}

v1::BackendServer
Status::server_of(const v1::CellRow& row, const v1::Member& member) const
{
  v1::BackendServer server;
  server.set_name(member.server());
  server.set_zone(row.zone());
  server.set_rack(member.rack());
  server.set_state(this->fleet.quarantined(member.server())
                     ? v1::SERVER_STATE_QUARANTINED
                     : member.state());
  server.set_accelerators(member.accelerators());
  server.set_accelerators_used(used_accelerators(row, member.server()));
  server.set_slots(member.slots());
  server.set_cores(member.cores());
  server.set_memory_mb(member.memory_mb());
  server.set_incarnation(member.incarnation());
  return server;
}

v1::ListBackendServersResponse
Status::servers(const std::string& zone) const
{
  v1::ListBackendServersResponse response;
  for (const auto& [name, cell] : this->cell_cache.all()) {
    if (!zone.empty() && zone != name)
      continue;
    for (const v1::Member& member : cell.row.members())
      *response.add_servers() = this->server_of(cell.row, member);
  }
  return response;
}

void
Status::add_entries(v1::GetStatusResponse& response) const
{
  v1::EntryStatus& self = *response.add_entries();
  self.set_name(this->membership.self().name());
  self.set_zone(this->membership.self().zone());
  self.set_address(this->membership.self().http_address());
  self.set_live(true);
  self.set_ready(!this->membership.is_draining());
  for (const auto& [name, peer] : this->membership.peers()) {
    v1::EntryStatus& entry = *response.add_entries();
    entry.set_name(name);
    entry.set_zone(peer.row.zone());
    entry.set_address(peer.row.http_address());
    entry.set_live(peer.live);
    // Only some entries send heartbeats to this one, which say whether they are
    // draining. The others count as ready.
    entry.set_ready(peer.live && !peer.draining);
  }
}

void
Status::add_cells(v1::GetStatusResponse& response) const
{
  for (const auto& [zone, cell] : this->cell_cache.all()) {
    v1::CellStatus& status = *response.add_cells();
    status.set_zone(zone);
    status.set_version(cell.version);
    status.set_preferred_entry(this->membership.preferred_entry(zone));
    std::uint32_t installed = 0;
    std::uint32_t free = 0;
    std::uint32_t servers = 0;
    for (const v1::Member& member : cell.row.members()) {
      if (member.state() == v1::SERVER_STATE_LOST)
        continue;
      ++servers;
      installed += member.accelerators();
      free +=
        member.accelerators() - used_accelerators(cell.row, member.server());
    }
    status.set_servers(servers);
    status.set_accelerators(installed);
    status.set_accelerators_free(free);
    status.set_witness_holds(witness_holds(cell.row, this->config()));
    status.set_fragmentation(fragmentation_of(cell.row, this->config()));
  }
}

void
Status::add_guarantees(v1::GetStatusResponse& response) const
{
  std::set<std::string> broken;
  for (const v1::CellStatus& cell : response.cells()) {
    if (!cell.witness_holds())
      broken.insert(cell.zone());
  }
  for (const v1::Organisation& organisation : this->config().organisations()) {
    v1::GuaranteeStatus& status = *response.add_guarantees();
    status.set_organisation(organisation.name());
    bool reclaimable = true;
    std::uint32_t guaranteed = 0;
    for (const v1::Guarantee& guarantee : organisation.guarantees()) {
      guaranteed += guarantee.count() *
                    core::total_accelerators(to_core(guarantee.shape()));
      for (const std::string& zone : guarantee.home_zones())
        reclaimable = reclaimable && !broken.contains(zone) &&
                      this->cell_cache.all().contains(zone);
    }
    std::uint32_t used = 0;
    for (const auto& [zone, cell] : this->cell_cache.all()) {
      for (const v1::Allocation& allocation : cell.row.allocations()) {
        if (allocation.guaranteed() &&
            allocation.organisation() == organisation.name())
          used += std::popcount(allocation.accelerators());
      }
    }
    status.set_guaranteed_accelerators(guaranteed);
    status.set_used_accelerators(used);
    status.set_reclaimable(reclaimable);
  }
}

std::vector<core::Cell>
Status::installed(core::Names& names) const
{
  std::vector<core::Cell> result;
  for (const auto& [zone, cell] : this->cell_cache.all())
    result.push_back(
      to_core(names, cell.row, [](const std::string&) { return false; }));
  return result;
}

v1::GetStatusResponse
Status::status() const
{
  v1::GetStatusResponse response;
  response.set_configuration_version(this->config().version());
  this->add_entries(response);
  this->add_cells(response);
  *response.mutable_servers() = this->servers("").servers();
  this->add_guarantees(response);
  response.set_jobs_queued(this->scheduler.queued());
  std::uint32_t running = 0;
  for (const auto& [job, driver] : this->drivers.all())
    running += driver->state() == DriverState::Running ? 1 : 0;
  response.set_jobs_running(running);
  return response;
}

} // namespace geraniumhinge::entry
