#pragma once

#include "core/workflow.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace geraniumhinge::agent {

/// A run that was or may have been on a backend server when it crashed.
struct CrashedRun
{
  std::string task;
  std::uint32_t attempt = 0;
  /// From the start request until the server fell silent, in milliseconds.
  std::int64_t ran_ms = 0;
};

/// An instance of a backend server that ended without announcing it.
struct ServerCrash
{
  core::ServerInstance instance;
  std::int64_t detected_ms = 0; ///< Boot time.
  std::vector<CrashedRun> runs;
};

/// Keeps the recent crashes of the backend server, for the reports to the
/// owner. An owner may be replaced or lack the store for a while, so each crash
/// is reported more than once.
class CrashLog
{
public:
  /// Records a crash. The second crash of one instance is ignored; returns
  /// whether the crash is new.
  bool record(ServerCrash crash);

  /// The recent crashes, oldest first.
  const std::deque<ServerCrash>& recent(std::int64_t now_ms);

private:
  std::deque<ServerCrash> crashes;
};

} // namespace geraniumhinge::agent
