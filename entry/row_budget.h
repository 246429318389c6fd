#pragma once

#include "core/workflow.h"

#include <cstddef>

namespace geraniumhinge::entry {

// The whole state of a workflow is one row of the store, whose size is limited.
// Sizes are in bytes.

/// Whether the workflow's rows stay within the limit, whatever becomes of its
/// tasks, as long as its runs and open occurrences are limited as below.
bool
fits_rows(const core::Workflow& workflow, std::size_t max_row_bytes);

/// Most occurrences that may be open at the same time, at least one.
std::size_t
max_open_occurrences(const core::Workflow& workflow, std::size_t max_row_bytes);

/// Most tasks that may run at the same time, at least the largest gang.
std::size_t
max_runs(const core::Workflow& workflow,
         const core::Progress& progress,
         std::size_t max_row_bytes);

/// What was left out of a state so that it fits its row.
struct RowReduction
{
  std::size_t checkpoints = 0;
  std::size_t placements = 0; ///< Runs that were not stored before.
};

/// Reduces a state that is longer than its row may be: drops the longest
/// checkpoints, and if that is not enough, the last of the runs that `stored`
/// does not have; of a gang all or none.
RowReduction
reduce_to_row(const core::Workflow& workflow,
              core::Progress& progress,
              const core::Progress& stored,
              std::size_t max_row_bytes);

} // namespace geraniumhinge::entry
