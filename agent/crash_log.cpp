#include "agent/crash_log.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

/// Longer than an outage of the store that an owner survives.
constexpr std::int64_t RETENTION_MS = 30'000;
constexpr std::size_t MAX_ENTRIES = 8;

} // namespace

bool
CrashLog::record(core::ServerCrash crash, std::int64_t now_ms)
{
  bool known = std::any_of(
    this->entries.begin(), this->entries.end(), [&crash](const Entry& entry) {
      return entry.crash.instance == crash.instance;
    });
  if (known)
    return false;
  this->entries.push_back({ std::move(crash), now_ms });
  if (this->entries.size() > MAX_ENTRIES)
    this->entries.pop_front();
  return true;
}

std::vector<core::ServerCrash>
CrashLog::recent(std::int64_t now_ms) const
{
  std::vector<core::ServerCrash> crashes;
  for (const Entry& entry : this->entries) {
    if (now_ms - entry.detected_ms <= RETENTION_MS)
      crashes.push_back(entry.crash);
  }
  return crashes;
}

} // namespace geraniumhinge::agent
