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
  "The process has finished its work and exits.",
  "None."
};
inline constexpr EventInfo SETTINGS_INVALID{
  102,
  Severity::Error,
  "settings_invalid",
  "A setting is unknown, missing, of the wrong type or out of range.",
  "Correct the setting named by the JSON pointer and restart the process."
};

inline constexpr EventInfo SETTINGS_RELOADED{
  103,
  Severity::Info,
  "settings_reloaded",
  "Changed settings have been applied, except those that need a restart, such "
  "as addresses and names.",
  "Restart the process if `restart` is true."
};
inline constexpr EventInfo SETTINGS_REFUSED{
  104,
  Severity::Error,
  "settings_refused",
  "The changed settings file is invalid; the previous settings stay in "
  "effect.",
  "Correct the setting named by the JSON pointer."
};

inline constexpr EventInfo LOG_LINES_DROPPED{
  105,
  Severity::Warning,
  "log_lines_left_out",
  "Log lines of an event were dropped: the event exceeded its rate limit, or "
  "the reader of the log did not keep up.",
  "Use the metrics for counts; if this happens at low load, check the process "
  "that reads the log."
};

inline constexpr EventInfo KERNEL_EVENTS[] = {
  PROCESS_STARTED,   PROCESS_STOPPED,  SETTINGS_INVALID,
  SETTINGS_RELOADED, SETTINGS_REFUSED, LOG_LINES_DROPPED,
};

} // namespace geraniumhinge::kernel
