#pragma once

#include "kernel/event.h"

namespace geraniumhinge::entry {

inline constexpr kernel::EventInfo CONFIG_APPLIED{
  650,
  kernel::Severity::Info,
  "config_applied",
  "A configuration version is in force in this entry.",
  "None."
};
inline constexpr kernel::EventInfo CONFIG_MALFORMED{
  651,
  kernel::Severity::Error,
  "config_malformed",
  "The configuration row cannot be parsed; the version in force stays.",
  "Check which program version wrote the row config."
};
inline constexpr kernel::EventInfo CONFIG_ROW_OLDER{
  652,
  kernel::Severity::Warning,
  "config_row_older",
  "The store returned a configuration that is older than the one in force; the "
  "older one is ignored.",
  "None. If it persists, the table service has lost writes."
};
inline constexpr kernel::EventInfo CONFIG_CHANGED{
  653,
  kernel::Severity::Info,
  "config_changed",
  "An operator changed the configuration through this entry.",
  "None."
};

inline constexpr kernel::EventInfo CONFIG_EVENTS[] = {
  CONFIG_APPLIED,
  CONFIG_MALFORMED,
  CONFIG_ROW_OLDER,
  CONFIG_CHANGED,
};

} // namespace geraniumhinge::entry
