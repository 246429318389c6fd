#pragma once

#include "entry/cells.h"

#include "geraniumhinge/v1/scheduler.pb.h"
#include "geraniumhinge/v1/state.pb.h"

#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Prefix of the job in the allocation that stands for a claim.
inline constexpr char CLAIM_PREFIX[] = "claim:";

/// How a placement uses the organisation's guarantee.
struct GuaranteeUse
{
  bool guaranteed = false;
  std::uint64_t claimed_shape_key = 0; ///< Key of the shape it consumes.
};

/// Adds the allocations of a job to the cell rows. False, and the rows are of
/// no use, if a server is gone, not ready or too full, or if a touched cell
/// would lose its witness under `configuration`. In a cell that lost it by a
/// failure, no more guaranteed shapes may break.
bool
add_allocations(CellMap& cells,
                const v1::JobRow& job,
                const GuaranteeUse& use,
                const v1::Configuration& configuration);

/// Claims the resources of a placement for a job, in place of its earlier
/// claims. Claims that are void are removed.
void
add_claims(CellMap& cells,
           const v1::Job& job,
           const std::vector<v1::MemberPlacement>& members,
           std::int64_t now_ms,
           std::int64_t until_ms);

/// The claims of other jobs that hold free resources now, as allocations.
/// Those still occupied by the jobs to be stopped are left out.
std::vector<v1::Allocation>
effective_claims(const v1::CellRow& row,
                 const std::string& job,
                 std::int64_t now_ms);

/// Removes every allocation and claim of the job.
void
remove_allocations(CellMap& cells, const std::string& job);

/// Zones of the members, each once.
std::vector<std::string>
zones_of(const v1::JobRow& job);

/// Whether the unused guarantees homed in the cell pack.
bool
witness_holds(const v1::CellRow& row, const v1::Configuration& configuration);

} // namespace geraniumhinge::entry
