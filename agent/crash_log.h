#pragma once

#include "core/crash.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace geraniumhinge::agent {

/// Keeps the recent crashes of the backend server, for the reports to the
/// owner. An owner may be replaced or lack the store for a while, so each crash
/// is reported more than once.
class CrashLog
{
public:
  /// Records a crash. The second crash of one instance is ignored; returns
  /// whether the crash is new.
  bool record(core::ServerCrash crash, std::int64_t now_ms);

  /// The recent crashes, oldest first. `now_ms` is the boot time.
  std::vector<core::ServerCrash> recent(std::int64_t now_ms) const;

private:
  struct Entry
  {
    core::ServerCrash crash;
    std::int64_t detected_ms = 0; ///< Boot time.
  };

  std::deque<Entry> entries; ///< Oldest first.
};

} // namespace geraniumhinge::agent
