#pragma once

#include "entry/cell_cache.h"

#include "geraniumhinge/v1/scheduler.pb.h"
#include "geraniumhinge/v1/state.pb.h"

#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Prefix of the job id in the allocation made from a claim.
inline constexpr char CLAIM_PREFIX[] = "claim:";

/// How a placement uses the organisation's guarantee.
struct GuaranteeUse
{
  bool guaranteed = false;
  std::uint64_t claimed_shape_key = 0; ///< Key of the shape it consumes.
};

/// Adds the allocations of a job to the cell rows. Returns false, with rows
/// that must not be used, if a server is missing, not ready or has too few free
/// resources, or if a changed cell would lose its witness under
/// `configuration`. If a failure has already broken the witness of a cell,
/// the change must not break more guaranteed shapes.
bool
add_allocations(CellMap& cells,
                const v1::JobRow& job,
                const GuaranteeUse& use,
                const v1::Configuration& configuration);

/// Claims the resources of a placement for a job, in place of the job's earlier
/// claims. Expired claims are removed.
void
add_claims(CellMap& cells,
           const v1::Job& job,
           const std::vector<v1::MemberPlacement>& members,
           std::int64_t now_ms,
           std::int64_t until_ms);

/// The claims of other jobs on resources that are free now, as allocations.
/// Claims on resources that the jobs to be stopped still use are not included.
std::vector<v1::Allocation>
effective_claims(const v1::CellRow& row,
                 const std::string& job,
                 std::int64_t now_ms);

/// Removes every allocation and claim of the job.
void
remove_allocations(CellMap& cells, const std::string& job);

/// Zones of the members, without duplicates.
std::vector<std::string>
zones_of(const v1::JobRow& job);

/// Whether the unused guarantees with their home in the cell pack at the same
/// time, which means that the cell has a witness.
bool
witness_holds(const v1::CellRow& row, const v1::Configuration& configuration);

} // namespace geraniumhinge::entry
