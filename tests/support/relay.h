#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace geraniumhinge::tests {

/// Forwards TCP connections to a target and injects network faults.
class Relay
{
public:
  explicit Relay(std::string target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& address() const { return this->listen_address; }

  /// Discards all data of the existing connections without closing them. New
  /// connections work.
  void blackhole_existing();
  /// Discards all data in both directions, on existing and new connections.
  void blackhole();
  /// Discards data sent to the target, on existing and new connections. Data
  /// from the target still arrives.
  void blackhole_to_target();
  /// Resets (RST) every existing connection.
  void reset_existing();
  /// Delays each received chunk of data.
  void delay(int milliseconds);
  /// Ends the delay, and forwards data on new connections again. Connections
  /// that were blackholed remain so.
  void heal();

private:
  void serve(int listener);

  std::string target;
  std::string listen_address;
  std::atomic<bool> stopping{ false };
  std::atomic<bool> is_blackholed{ false };
  std::atomic<bool> is_target_blackholed{ false };
  std::atomic<int> delay_ms{ 0 };
  std::atomic<std::uint64_t> reset_epoch{ 0 };
  std::atomic<std::uint64_t> blackhole_epoch{ 0 };
  std::thread thread;
};

} // namespace geraniumhinge::tests
