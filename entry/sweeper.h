#pragma once

#include "entry/membership.h"
#include "entry/settings.h"
#include "platform/table_sweep.h"

namespace geraniumhinge::entry {

/// Deletes rows past their retention period: markers, requests and jobs that
/// have ended. One entry does it for all.
class Sweeper
{
public:
  Sweeper(kernel::Loop& loop,
          kernel::TimerService& timers,
          const kernel::Log& log,
          platform::Table& table,
          const EntrySettings& settings,
          const Membership& membership);

private:
  platform::TableSweep markers;
  platform::TableSweep requests;
  platform::TableSweep jobs;
};

} // namespace geraniumhinge::entry
