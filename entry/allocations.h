#pragma once

#include "entry/cells.h"

#include "geraniumhinge/v1/scheduler.pb.h"
#include "geraniumhinge/v1/state.pb.h"

#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Adds the allocations of a job to the cell rows. False, and the rows are of
/// no use, if a server is gone, not ready or too full, or if a touched cell
/// would lose its witness under `configuration`.
bool
add_allocations(CellMap& cells,
                const v1::JobRow& job,
                bool guaranteed,
                const v1::Configuration& configuration);

/// Removes every allocation of the job.
void
remove_allocations(CellMap& cells, const std::string& job);

/// Zones of the members, each once.
std::vector<std::string>
zones_of(const v1::JobRow& job);

/// Whether the unused guarantees homed in the cell pack.
bool
witness_holds(const v1::CellRow& row, const v1::Configuration& configuration);

} // namespace geraniumhinge::entry
