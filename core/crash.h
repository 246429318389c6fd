#pragma once

#include "core/workflow.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// Crashes soon after the start after which a task is given up.
inline constexpr std::uint32_t MAX_EARLY_CRASHES = 3;
/// Crashes of any kind after which a task is given up. Higher, since the
/// servers of a long task may crash for other reasons.
inline constexpr std::uint32_t MAX_CRASHES = 5;
/// A run that has lasted longer did not crash its server by starting.
inline constexpr std::int64_t EARLY_CRASH_MS = 500;

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
  ServerInstance instance;
  std::vector<CrashedRun> runs;
};

/// A run that may have caused a crash.
struct BlamedRun
{
  CrashedRun run;
  bool early = false; ///< The server crashed soon after the run's start.
};

/// The runs that may have caused a crash: those that had just started, or all
/// runs on the server if none had.
std::vector<BlamedRun>
blamed_runs(const ServerCrash& crash);

/// Counts a crash against the task of a blamed run, once for each attempt. The
/// workflow fails when the task or its gang reaches a limit; a long-running
/// task only by crashes soon after its start. Returns whether anything changed.
bool
apply_crash(const Workflow& workflow,
            Progress& progress,
            const TaskRef& task,
            const BlamedRun& blamed);

/// Takes back a crash that counted against a task, but not as one soon after a
/// start, since the server runs on. Returns whether anything changed.
bool
withdraw_crash(const Workflow& workflow,
               Progress& progress,
               const TaskRef& task);

} // namespace geraniumhinge::core
