#pragma once

#include "entry/membership.h"
#include "entry/settings.h"
#include "platform/table_sweep.h"

namespace geraniumhinge::entry {

/// Deletes transaction markers, requests and ended jobs past their retention
/// period. Only the live entry with the first name does so.
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
