#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace geraniumhinge::tests {

/// Passes TCP connections on to a target, and can fail as networks do.
class Relay
{
public:
  explicit Relay(std::string target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& address() const { return this->listen_address; }

  /// Discards every byte of the connections that exist now, without closing
  /// them. New connections work.
  void silence_existing();
  /// Discards every byte both ways, on new connections as well.
  void cut();
  /// Discards the bytes of one way only: what the target sends arrives, what
  /// is sent to it does not.
  void cut_towards_target();
  /// Resets every connection that exists now.
  void reset_existing();
  /// Holds each piece of data back for so long.
  void delay(int milliseconds);
  /// Passes bytes on new connections again, without delay. Silenced ones stay
  /// silent.
  void heal();

private:
  void serve(int listener);

  std::string target;
  std::string listen_address;
  std::atomic<bool> stopping{ false };
  std::atomic<bool> is_cut{ false };
  std::atomic<bool> is_half_cut{ false };
  std::atomic<int> delay_ms{ 0 };
  std::atomic<std::uint64_t> reset_epoch{ 0 };
  std::atomic<std::uint64_t> silence_epoch{ 0 };
  std::thread thread;
};

} // namespace geraniumhinge::tests
