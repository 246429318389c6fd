#include "entry/convert.h"

#include "entry/allocations.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

core::Adjacency
to_core(v1::Adjacency adjacency)
{
  switch (adjacency) {
    case v1::ADJACENCY_SERVER:
      return core::Adjacency::Server;
    case v1::ADJACENCY_RACK:
      return core::Adjacency::Rack;
    case v1::ADJACENCY_ZONE:
      return core::Adjacency::Zone;
    default:
      return core::Adjacency::Any;
  }
}

core::ServerState
to_core(v1::ServerState state)
{
  switch (state) {
    case v1::SERVER_STATE_LEAVING:
      return core::ServerState::Leaving;
    case v1::SERVER_STATE_LOST:
      return core::ServerState::Lost;
    case v1::SERVER_STATE_QUARANTINED:
      return core::ServerState::Quarantined;
    default:
      return core::ServerState::Ready;
  }
}

core::Server
to_core(core::Names& names, const std::string& zone, const v1::Member& member)
{
  core::Server server;
  server.name = names.intern(member.server());
  server.rack = names.intern(member.rack());
  server.zone = names.intern(zone);
  server.incarnation = member.incarnation();
  server.accelerators = core::accelerator_mask(member.accelerators());
  server.slots = member.slots();
  server.cores = member.cores();
  server.memory_mb = member.memory_mb();
  server.state = to_core(member.state());
  return server;
}

core::Allocation
to_core(core::Names& names, const v1::Allocation& row, std::uint32_t server)
{
  core::Allocation allocation;
  allocation.job = row.job();
  allocation.generation = row.generation();
  allocation.member = row.member();
  allocation.server = server;
  allocation.accelerators = row.accelerators();
  allocation.cores = row.cores();
  allocation.memory_mb = row.memory_mb();
  allocation.organisation = names.intern(row.organisation());
  allocation.preemptible = row.preemptible();
  allocation.guaranteed = row.guaranteed();
  allocation.started_ms = row.started_ms();
  allocation.claimed_shape_key = row.claim();
  return allocation;
}

} // namespace

core::Shape
to_core(const v1::Shape& shape)
{
  return { std::max(shape.members(), 1U),
           shape.accelerators(),
           shape.cores(),
           shape.memory_mb(),
           to_core(shape.adjacency()) };
}

v1::Shape
from_core(const core::Shape& shape)
{
  v1::Shape result;
  result.set_members(shape.members);
  result.set_accelerators(shape.accelerators);
  result.set_cores(shape.cores);
  result.set_memory_mb(shape.memory_mb);
  // The schema's enum has the same order, but starts with UNSPECIFIED.
  result.set_adjacency(
    static_cast<v1::Adjacency>(static_cast<int>(shape.adjacency) + 1));
  return result;
}

core::Cell
to_core(core::Names& names,
        const v1::CellRow& row,
        const std::function<bool(const std::string&)>& excluded)
{
  core::Cell cell;
  cell.zone = names.intern(row.zone());
  std::map<std::string, std::uint32_t> indexes;
  for (const v1::Member& member : row.members()) {
    core::Server server = to_core(names, row.zone(), member);
    if (server.state == core::ServerState::Ready && excluded(member.server()))
      server.state = core::ServerState::Quarantined;
    indexes[member.server()] = cell.servers.size();
    cell.servers.push_back(server);
  }
  for (const v1::Allocation& allocation : row.allocations()) {
    std::map<std::string, std::uint32_t>::const_iterator found =
      indexes.find(allocation.server());
    if (found != indexes.end())
      cell.allocations.push_back(to_core(names, allocation, found->second));
  }
  return cell;
}

std::vector<core::Guarantee>
to_core(core::Names& names, const v1::Configuration& configuration)
{
  std::vector<core::Guarantee> guarantees;
  for (const v1::Organisation& organisation : configuration.organisations()) {
    for (const v1::Guarantee& row : organisation.guarantees()) {
      core::Guarantee guarantee;
      guarantee.organisation = names.intern(organisation.name());
      guarantee.shape = to_core(row.shape());
      guarantee.count = row.count();
      for (const std::string& zone : row.home_zones())
        guarantee.homes.push_back(names.intern(zone));
      guarantees.push_back(std::move(guarantee));
    }
  }
  return guarantees;
}

std::vector<core::CellState>
Snapshot::states() const
{
  std::vector<core::CellState> result;
  for (std::size_t index = 0; index < this->cells.size(); ++index)
    result.push_back({ &this->cells[index], this->guarantees_by_cell[index] });
  return result;
}

void
Snapshot::drop_claims(const std::string& job)
{
  for (core::Cell& cell : this->cells) {
    std::erase_if(cell.allocations, [&job](const core::Allocation& allocation) {
      return allocation.job == CLAIM_PREFIX + job;
    });
  }
}

void
Snapshot::add_placement(const core::Demand& demand,
                        const core::Placement& placement)
{
  for (std::uint32_t index = 0; index < placement.members.size(); ++index) {
    core::Cell& cell = this->cells[placement.members[index].cell];
    cell.allocations.push_back(
      core::allocation_of(demand, placement, index, 0, 0));
  }
}

Snapshot
make_snapshot(core::Names& names,
              const CellMap& cells,
              const v1::Configuration& configuration,
              const std::function<bool(const std::string&)>& excluded)
{
  Snapshot snapshot;
  std::int64_t now = kernel::unix_ms();
  std::vector<core::Guarantee> guarantees = to_core(names, configuration);
  for (const auto& [zone, view] : cells) {
    v1::CellRow claimed = view.row;
    for (v1::Allocation& claim : effective_claims(view.row, "", now))
      *claimed.add_allocations() = std::move(claim);
    snapshot.cells.push_back(to_core(names, claimed, excluded));
    snapshot.guarantees_by_cell.push_back(
      core::guarantees_of_cell(names.intern(zone), guarantees));
    snapshot.rows.push_back(&view.row);
  }
  return snapshot;
}

std::vector<v1::MemberPlacement>
member_placements(const Snapshot& snapshot, const core::Placement& placement)
{
  std::vector<v1::MemberPlacement> members;
  for (const core::PlacedMember& placed : placement.members) {
    const v1::CellRow& row = *snapshot.rows[placed.cell];
    const v1::Member& server = row.members(static_cast<int>(placed.server));
    v1::MemberPlacement member;
    member.set_server(server.server());
    member.set_zone(row.zone());
    member.set_agent_address(server.agent_address());
    member.set_incarnation(server.incarnation());
    member.set_accelerators(placed.accelerators);
    members.push_back(std::move(member));
  }
  return members;
}

std::vector<core::WeightedShape>
guaranteed_shapes(const v1::Configuration& configuration)
{
  std::vector<core::WeightedShape> shapes;
  for (const v1::Organisation& organisation : configuration.organisations()) {
    for (const v1::Guarantee& guarantee : organisation.guarantees()) {
      core::Shape shape = to_core(guarantee.shape());
      double accelerators = core::total_accelerators(shape) * guarantee.count();
      if (accelerators > 0)
        shapes.push_back({ shape, accelerators });
    }
  }
  return shapes;
}

} // namespace geraniumhinge::entry
