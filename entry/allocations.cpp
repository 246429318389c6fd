#include "entry/allocations.h"

#include "core/check.h"
#include "core/witness.h"
#include "entry/convert.h"
#include "kernel/clock.h"

#include <algorithm>
#include <set>

namespace geraniumhinge::entry {

namespace {

const v1::Member*
find_ready_server(const v1::CellRow& row, const v1::MemberPlacement& placement)
{
  for (const v1::Member& member : row.members()) {
    bool same = member.server() == placement.server() &&
                member.incarnation() == placement.incarnation();
    if (same && member.state() == v1::SERVER_STATE_READY)
      return &member;
  }
  return nullptr;
}

struct UsedResources
{
  std::uint64_t accelerators = 0;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

UsedResources
used_resources(const v1::CellRow& row, const std::string& server)
{
  UsedResources used;
  for (const v1::Allocation& allocation : row.allocations()) {
    if (allocation.server() != server)
      continue;
    used.accelerators |= allocation.accelerators();
    ++used.slots;
    used.cores += allocation.cores();
    used.memory_mb += allocation.memory_mb();
  }
  return used;
}

bool
has_capacity(const v1::Member& server,
             const UsedResources& used,
             const v1::MemberPlacement& placement,
             const v1::Shape& shape)
{
  std::uint64_t installed = core::accelerator_mask(server.accelerators());
  bool accelerators_free =
    (placement.accelerators() & used.accelerators) == 0 &&
    (placement.accelerators() & ~installed) == 0;
  return accelerators_free && used.slots < server.slots() &&
         used.cores + shape.cores() <= server.cores() &&
         used.memory_mb + shape.memory_mb() <= server.memory_mb();
}

/// Removes the claims of the job and all expired claims.
void
remove_claims(v1::CellRow& row, const std::string& job, std::int64_t now_ms)
{
  google::protobuf::RepeatedPtrField<v1::Claim>* claims = row.mutable_claims();
  claims->erase(std::remove_if(claims->begin(),
                               claims->end(),
                               [&](const v1::Claim& claim) {
                                 return claim.job() == job ||
                                        claim.until_ms() <= now_ms;
                               }),
                claims->end());
}

bool
claimed_resources_are_free(const v1::CellRow& row, const v1::Claim& claim)
{
  for (const v1::Member& server : row.members()) {
    if (server.server() != claim.server())
      continue;
    UsedResources used = used_resources(row, server.server());
    return (used.accelerators & claim.accelerators()) == 0 &&
           used.slots < server.slots() &&
           used.cores + claim.cores() <= server.cores() &&
           used.memory_mb + claim.memory_mb() <= server.memory_mb();
  }
  return false;
}

v1::Allocation
make_allocation(const v1::JobRow& job, int member, const GuaranteeUse& use)
{
  const v1::MemberPlacement& placement = job.members(member);
  const v1::Shape& shape = job.job().spec().shape();
  v1::Allocation allocation;
  allocation.set_job(job.job().id());
  allocation.set_generation(job.job().generation());
  allocation.set_member(member);
  allocation.set_server(placement.server());
  allocation.set_accelerators(placement.accelerators());
  allocation.set_cores(shape.cores());
  allocation.set_memory_mb(shape.memory_mb());
  allocation.set_organisation(job.job().organisation());
  allocation.set_preemptible(!use.guaranteed);
  allocation.set_guaranteed(use.guaranteed);
  allocation.set_claim(use.claimed_shape_key);
  allocation.set_started_ms(job.job().started_ms());
  return allocation;
}

bool
add_member(CellMap& cells,
           const v1::JobRow& job,
           int index,
           const GuaranteeUse& use)
{
  const v1::MemberPlacement& placement = job.members(index);
  v1::CellRow& row = cells.at(placement.zone()).row;
  const v1::Member* server = find_ready_server(row, placement);
  if (server == nullptr)
    return false;
  UsedResources used = used_resources(row, placement.server());
  for (const v1::Allocation& claim :
       effective_claims(row, job.job().id(), kernel::unix_ms())) {
    if (claim.server() == placement.server())
      used.accelerators |= claim.accelerators();
  }
  if (!has_capacity(*server, used, placement, job.job().spec().shape()))
    return false;
  *row.add_allocations() = make_allocation(job, index, use);
  return true;
}

bool
never_excluded(const std::string&)
{
  return false;
}

bool
keeps_witness(const v1::CellRow& before,
              const v1::CellRow& after,
              const v1::Configuration& configuration)
{
  core::Names names;
  core::Cell old_cell = to_core(names, before, never_excluded);
  core::Cell new_cell = to_core(names, after, never_excluded);
  std::vector<core::Guarantee> guarantees = to_core(names, configuration);
  std::vector<core::CellGuarantee> cell_guarantees =
    core::guarantees_of_cell(new_cell.zone, guarantees);
  return core::keeps_witness(core::CellState{ &old_cell, cell_guarantees },
                             new_cell);
}

} // namespace

bool
witness_holds(const v1::CellRow& row, const v1::Configuration& configuration)
{
  core::Names names;
  core::Cell cell = to_core(names, row, never_excluded);
  std::vector<core::Guarantee> guarantees = to_core(names, configuration);
  std::vector<core::CellGuarantee> cell_guarantees =
    core::guarantees_of_cell(cell.zone, guarantees);
  return core::find_witness(cell, cell_guarantees).has_value();
}

bool
add_allocations(CellMap& cells,
                const v1::JobRow& job,
                const GuaranteeUse& use,
                const v1::Configuration& configuration)
{
  const CellMap before = cells;
  for (auto& [zone, view] : cells)
    remove_claims(view.row, job.job().id(), kernel::unix_ms());
  for (int index = 0; index < job.members_size(); ++index) {
    if (!add_member(cells, job, index, use))
      return false;
  }
  return std::all_of(cells.begin(), cells.end(), [&](const auto& cell) {
    return keeps_witness(
      before.at(cell.first).row, cell.second.row, configuration);
  });
}

void
add_claims(CellMap& cells,
           const v1::Job& job,
           const std::vector<v1::MemberPlacement>& members,
           std::int64_t now_ms,
           std::int64_t until_ms)
{
  for (auto& [zone, view] : cells)
    remove_claims(view.row, job.id(), now_ms);
  for (const v1::MemberPlacement& member : members) {
    v1::Claim& claim = *cells.at(member.zone()).row.add_claims();
    claim.set_job(job.id());
    claim.set_server(member.server());
    claim.set_accelerators(member.accelerators());
    claim.set_cores(job.spec().shape().cores());
    claim.set_memory_mb(job.spec().shape().memory_mb());
    claim.set_organisation(job.organisation());
    claim.set_until_ms(until_ms);
  }
}

std::vector<v1::Allocation>
effective_claims(const v1::CellRow& row,
                 const std::string& job,
                 std::int64_t now_ms)
{
  std::vector<v1::Allocation> result;
  for (const v1::Claim& claim : row.claims()) {
    bool effective = claim.job() != job && claim.until_ms() > now_ms &&
                     claimed_resources_are_free(row, claim);
    if (!effective)
      continue;
    // Preemptible, because the claim is for a guarantee: the witness may use
    // the claimed resources.
    v1::Allocation allocation;
    allocation.set_job(CLAIM_PREFIX + claim.job());
    allocation.set_server(claim.server());
    allocation.set_accelerators(claim.accelerators());
    allocation.set_cores(claim.cores());
    allocation.set_memory_mb(claim.memory_mb());
    allocation.set_organisation(claim.organisation());
    allocation.set_preemptible(true);
    result.push_back(std::move(allocation));
  }
  return result;
}

void
remove_allocations(CellMap& cells, const std::string& job)
{
  for (auto& [zone, view] : cells) {
    remove_claims(view.row, job, kernel::unix_ms());
    google::protobuf::RepeatedPtrField<v1::Allocation>* allocations =
      view.row.mutable_allocations();
    allocations->erase(std::remove_if(allocations->begin(),
                                      allocations->end(),
                                      [&](const v1::Allocation& row) {
                                        return row.job() == job;
                                      }),
                       allocations->end());
  }
}

std::vector<std::string>
zones_of(const v1::JobRow& job)
{
  std::set<std::string> zones;
  for (const v1::MemberPlacement& member : job.members())
    zones.insert(member.zone());
  return { zones.begin(), zones.end() };
}

} // namespace geraniumhinge::entry
