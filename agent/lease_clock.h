#pragma once

#include <cstdint>

namespace geraniumhinge::agent {

/// Relates our clock to a backend server's, and tells when the lease that was
/// granted there has surely expired. All times are in milliseconds; ours are
/// on the boot clock.
class LeaseClock
{
public:
  /// An instance that is new to us may hold a lease that an earlier agent
  /// granted, of at most `max_lease_ms` from now on.
  void reset(std::int64_t now_ms, std::int64_t max_lease_ms);

  /// The server answered a call that was sent at `sent_ms` with its clock.
  void record_answer(std::int64_t sent_ms,
                     std::int64_t received_ms,
                     std::int64_t server_clock_ms);

  /// The end, on the server's clock, of a lease of the given length. Counts as
  /// granted from now on, whether or not the call that carries it arrives.
  std::int64_t grant(std::int64_t now_ms, std::int64_t length_ms);

  /// Whether the server's clock is known.
  bool known() const { return this->is_known; }

  /// Whether every granted lease has surely expired.
  bool expired(std::int64_t now_ms) const;

private:
  bool is_known = false;
  std::int64_t sent_ms = 0;          ///< Of the newest answered call.
  std::int64_t received_ms = 0;      ///< Of its answer.
  std::int64_t server_ms = 0;        ///< The server's clock in between.
  std::int64_t granted_until_ms = 0; ///< On the server's clock.
  std::int64_t unknown_until_ms = 0; ///< On ours, for earlier grants.
};

} // namespace geraniumhinge::agent
