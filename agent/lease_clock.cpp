#include "agent/lease_clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

/// A server's clock may lose this share of the time.
constexpr std::int64_t SLOWNESS_PERCENT = 2;
constexpr std::int64_t PERCENT = 100;
/// For the end of the runs after the expiry, and rounding.
constexpr std::int64_t EXPIRY_SLACK_MS = 200;

std::int64_t
slowest(std::int64_t elapsed_ms)
{
  return elapsed_ms * (PERCENT - SLOWNESS_PERCENT) / PERCENT;
}

} // namespace

void
LeaseClock::reset(std::int64_t now_ms, std::int64_t max_lease_ms)
{
  *this = {};
  this->unknown_until_ms =
    now_ms + max_lease_ms * PERCENT / (PERCENT - SLOWNESS_PERCENT) +
    EXPIRY_SLACK_MS;
}

void
LeaseClock::record_answer(std::int64_t sent_ms,
                          std::int64_t received_ms,
                          std::int64_t server_clock_ms)
{
  if (this->is_known && sent_ms < this->sent_ms)
    return;
  this->is_known = true;
  this->sent_ms = sent_ms;
  this->received_ms = received_ms;
  this->server_ms = server_clock_ms;
}

std::int64_t
LeaseClock::grant(std::int64_t now_ms, std::int64_t length_ms)
{
  std::int64_t until =
    this->server_ms + (now_ms - this->received_ms) + length_ms;
  this->granted_until_ms = std::max(this->granted_until_ms, until);
  return until;
}

bool
LeaseClock::expired(std::int64_t now_ms) const
{
  if (now_ms < this->unknown_until_ms)
    return false;
  if (!this->is_known)
    return true;
  std::int64_t earliest = this->server_ms + slowest(now_ms - this->sent_ms);
  return earliest > this->granted_until_ms + EXPIRY_SLACK_MS;
}

} // namespace geraniumhinge::agent
