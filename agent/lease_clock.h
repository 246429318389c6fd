#pragma once

#include <cstdint>

namespace geraniumhinge::agent {

/// What an agent knows about the leases on its backend server and its clock.
/// Times are in milliseconds.
struct LeaseState
{
  std::int64_t granted_until_ms = 0; ///< On the server's clock.
  /// Lower bound of the server's clock now; 0 before the first response.
  std::int64_t min_server_clock_ms = 0;
  /// Time since the arrival of the last response.
  std::int64_t response_age_ms = 0;
  /// Time from the request to the arrival of that response.
  std::int64_t response_took_ms = 0;
};

/// Relates the agent's clock to that of a backend server, and decides when
/// every lease granted on the server has certainly expired. Times are in
/// milliseconds; those of the agent are on the boot clock.
class LeaseClock
{
public:
  /// Starts over for a new instance. The instance may have a lease that an
  /// earlier agent granted, which ends within `max_lease_ms` from now.
  void reset(std::int64_t now_ms, std::int64_t max_lease_ms);

  /// Records the server's clock from the response to a call that was sent at
  /// `sent_ms`. Responses to calls sent earlier than the last one are ignored.
  void record_response(std::int64_t sent_ms,
                       std::int64_t received_ms,
                       std::int64_t server_clock_ms);

  /// Returns the end, on the server's clock, of a lease of the given length.
  /// The lease counts as granted even if the call that carries it is lost.
  std::int64_t grant(std::int64_t now_ms, std::int64_t length_ms);

  /// Whether every granted lease has certainly expired.
  bool expired(std::int64_t now_ms) const;

  LeaseState state(std::int64_t now_ms) const;

private:
  std::int64_t min_server_clock_ms(std::int64_t now_ms) const;

  bool clock_known = false;
  std::int64_t sent_ms = 0;     ///< Of the last answered call.
  std::int64_t received_ms = 0; ///< Of the response to that call.
  /// The server's clock when it answered that call.
  std::int64_t server_time_ms = 0;
  std::int64_t granted_until_ms = 0; ///< On the server's clock.
  /// Latest end, on the agent's clock, of a lease that an earlier agent
  /// granted.
  std::int64_t unknown_grants_until_ms = 0;
};

} // namespace geraniumhinge::agent
