#pragma once

#include "entry/work_view.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"

#include <cstdint>

namespace geraniumhinge::entry {

/// Removes the rows of workflows that ended, and the cancel rows of identifiers
/// without a workflow, a retention period after the owner has read them.
/// Callers see an outcome only once it is stored, which may take as long as an
/// outage of the store. A process that has just started keeps all rows for the
/// whole period.
class RowExpiry : public kernel::Task
{
public:
  RowExpiry(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            kernel::Metrics& metrics,
            platform::Store& store,
            WorkView& view,
            std::int64_t retention_ms);

  /// Starts removing rows as the owner of this term.
  void start_term(std::uint64_t term);
  void end_term();

  void set_retention_ms(std::int64_t changed) { this->retention_ms = changed; }

private:
  void remove_rows();
  void log_malformed_rows();
  void handle_result(const platform::RowChange& removal,
                     const platform::Store::CommitResult& result);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Store& store;
  WorkView& view;
  std::int64_t retention_ms;
  std::uint64_t term = 0; ///< 0 while no rows are removed.
  kernel::Subscription period_timer;
  kernel::Subscription next_timer;
};

/// The transaction of an owner that removes rows which were read before
/// `read_before_ms` (boot time), as many as fit. It depends on the versions of
/// the rows: performed late, it must not remove those of a later submission.
platform::RowChange
make_removal(const WorkView& view,
             std::uint64_t term,
             std::int64_t read_before_ms);

} // namespace geraniumhinge::entry
