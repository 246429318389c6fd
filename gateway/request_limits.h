#pragma once

#include "gateway/request_budget.h"
#include "kernel/settings.h"

namespace geraniumhinge::gateway {

// Settings of each program that serves HTTP.
inline constexpr kernel::Setting LIMIT_MEMORY{
  "/limits/memory_mb",
  kernel::SettingType::Number,
  "MB",
  0,
  4'194'304,
  "0",
  "Memory that this process may use. Requests and unread responses hold at "
  "most an eighth of it, and connections are limited; 0 for no bound."
};
inline constexpr kernel::Setting LIMIT_DESCRIPTORS{
  "/limits/max_descriptors",
  kernel::SettingType::Integer,
  "",
  0,
  1'048'576,
  "0",
  "Descriptors that this process may open. HTTP connections use at most a "
  "third of them; 0 for no bound."
};
inline constexpr kernel::Setting LIMIT_HELD{
  "/limits/held_kb",
  kernel::SettingType::Integer,
  "KB",
  0,
  4'194'304,
  "0",
  "Sum of what requests and unread responses hold; 0 derives it from "
  "/limits/memory_mb."
};
inline constexpr kernel::Setting LIMIT_CONNECTIONS{
  "/limits/connections",
  kernel::SettingType::Integer,
  "",
  0,
  4'096,
  "0",
  "HTTP connections of all callers; 0 derives the number from "
  "/limits/memory_mb and /limits/max_descriptors."
};
inline constexpr kernel::Setting LIMIT_REQUEST{
  "/limits/request_ms",
  kernel::SettingType::Integer,
  "ms",
  100,
  600'000,
  "5000",
  "Longest time from the first byte of a request to its last. Only with a "
  "limit of memory or descriptors."
};
inline constexpr kernel::Setting LIMIT_RESPONSE{
  "/limits/response_ms",
  kernel::SettingType::Integer,
  "ms",
  100,
  600'000,
  "5000",
  "A connection is closed if its client reads nothing of a response for this "
  "time. Only with a limit of memory or descriptors."
};

/// Bounds for a process with this memory and so many descriptors; 0 for none.
/// Zero fields of `given` are derived.
RequestLimits
derive_limits(std::size_t memory_bytes,
              std::size_t descriptors,
              RequestLimits given);

/// Reads the settings above.
RequestLimits
read_request_limits(kernel::SettingsReader& reader);

} // namespace geraniumhinge::gateway
