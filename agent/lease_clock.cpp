#include "agent/lease_clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

/// A server's clock may run slower than the agent's by at most this much.
constexpr std::int64_t MAX_CLOCK_SLOWNESS_PERCENT = 2;
constexpr std::int64_t PERCENT = 100;
/// Allows for rounding and for the time in which runs end after the expiry.
constexpr std::int64_t EXPIRY_SLACK_MS = 200;

std::int64_t
slowest_clock_ms(std::int64_t elapsed_ms)
{
  return elapsed_ms * (PERCENT - MAX_CLOCK_SLOWNESS_PERCENT) / PERCENT;
}

} // namespace

void
LeaseClock::reset(std::int64_t now_ms, std::int64_t max_lease_ms)
{
  *this = {};
  this->unknown_grants_until_ms =
    now_ms + max_lease_ms * PERCENT / (PERCENT - MAX_CLOCK_SLOWNESS_PERCENT) +
    EXPIRY_SLACK_MS;
}

void
LeaseClock::record_response(std::int64_t sent_ms,
                            std::int64_t received_ms,
                            std::int64_t server_clock_ms)
{
  if (this->clock_known && sent_ms < this->sent_ms)
    return;
  this->clock_known = true;
  this->sent_ms = sent_ms;
  this->received_ms = received_ms;
  this->server_time_ms = server_clock_ms;
}

std::int64_t
LeaseClock::grant(std::int64_t now_ms, std::int64_t length_ms)
{
  std::int64_t until_ms =
    this->server_time_ms + (now_ms - this->received_ms) + length_ms;
  this->granted_until_ms = std::max(this->granted_until_ms, until_ms);
  return until_ms;
}

bool
LeaseClock::expired(std::int64_t now_ms) const
{
  if (now_ms < this->unknown_grants_until_ms)
    return false;
  if (!this->clock_known)
    return true;
  return this->min_server_clock_ms(now_ms) >
         this->granted_until_ms + EXPIRY_SLACK_MS;
}

/// The server read its clock before the response arrived, possibly long after
/// the request was sent.
std::int64_t
LeaseClock::min_server_clock_ms(std::int64_t now_ms) const
{
  return this->server_time_ms + slowest_clock_ms(now_ms - this->received_ms);
}

LeaseState
LeaseClock::state(std::int64_t now_ms) const
{
  LeaseState state;
  state.granted_until_ms = this->granted_until_ms;
  if (!this->clock_known)
    return state;
  state.min_server_clock_ms = this->min_server_clock_ms(now_ms);
  state.response_age_ms = now_ms - this->received_ms;
  state.response_took_ms = this->received_ms - this->sent_ms;
  return state;
}

} // namespace geraniumhinge::agent
