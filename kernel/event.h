#pragma once

#include "kernel/names.h"

#include <string_view>

namespace geraniumhinge::kernel {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error,
};

inline constexpr NamedValue<Severity> SEVERITY_NAMES[] = {
  { Severity::Debug, "debug" },
  { Severity::Info, "info" },
  { Severity::Warning, "warning" },
  { Severity::Error, "error" },
};

/// An entry of the log event catalogue. Each package defines its events in its
/// own `events.h` and has its own range of numbers, which starts at:
/// kernel 100, peer 200, platform 300, gateway 400, agent 500, entry 600.
struct EventInfo
{
  int number;
  Severity severity;
  std::string_view name;        ///< snake_case, unique.
  std::string_view description; ///< What happened to what.
  std::string_view action;      ///< What an operator should do.
};

} // namespace geraniumhinge::kernel
