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

inline constexpr EventInfo KERNEL_EVENTS[] = {
  PROCESS_STARTED,
  PROCESS_STOPPED,
  SETTINGS_INVALID,
};

} // namespace geraniumhinge::kernel
