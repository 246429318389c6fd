#include "agent/crash_log.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

/// Longer than an outage of the store that an owner survives.
constexpr std::int64_t RETENTION_MS = 30'000;
constexpr std::size_t MAX_CRASHES = 8;

} // namespace

bool
CrashLog::record(ServerCrash crash)
{
  bool known = std::any_of(
    this->crashes.begin(), this->crashes.end(), [&](const ServerCrash& other) {
      return other.instance == crash.instance;
    });
  if (known)
    return false;
  this->crashes.push_back(std::move(crash));
  if (this->crashes.size() > MAX_CRASHES)
    this->crashes.pop_front();
  return true;
}

const std::deque<ServerCrash>&
CrashLog::recent(std::int64_t now_ms)
{
  while (!this->crashes.empty() &&
         now_ms - this->crashes.front().detected_ms > RETENTION_MS)
    this->crashes.pop_front();
  return this->crashes;
}

} // namespace geraniumhinge::agent
