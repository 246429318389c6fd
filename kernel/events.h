#pragma once

#include "kernel/event.h"

namespace geraniumhinge::kernel {

inline constexpr EventInfo PROCESS_STARTED{ 100,
                                            Severity::Info,
                                            "process_started",
                                            "The process has started.",
                                            "None." };
inline constexpr EventInfo PROCESS_STOPPED{
  101,
  Severity::Info,
  "process_stopped",
  "The process ends after finishing its work.",
  "None."
};
inline constexpr EventInfo SETTINGS_INVALID{
  102,
  Severity::Error,
  "settings_invalid",
  "A setting is unknown, missing, of the wrong type or out of range.",
  "Correct the setting named by the JSON pointer and start again."
};

inline constexpr EventInfo SETTINGS_RELOADED{
  103,
  Severity::Info,
  "settings_reloaded",
  "Changed settings are in force; addresses and names need a restart.",
  "Restart the process if `restart` is true."
};
inline constexpr EventInfo SETTINGS_REFUSED{
  104,
  Severity::Error,
  "settings_refused",
  "A changed settings file can't be used; the running settings stay.",
  "Correct the setting named by the JSON pointer."
};

inline constexpr EventInfo LOG_LINES_DROPPED{
  105,
  Severity::Warning,
  "log_lines_left_out",
  "Lines of an event were left out: too many in a short time, or nobody read "
  "them.",
  "Use the counters; check the reader of the log if it happens at low load."
};

inline constexpr EventInfo KERNEL_EVENTS[] = {
  PROCESS_STARTED,   PROCESS_STOPPED,  SETTINGS_INVALID,
  SETTINGS_RELOADED, SETTINGS_REFUSED, LOG_LINES_DROPPED,
};

} // namespace geraniumhinge::kernel
