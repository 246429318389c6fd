#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::tests {

struct CrowdPlan
{
  std::string address;
  std::size_t connections = 0;
  std::string text;            ///< Sent on each connection.
  std::size_t send_bytes = 0;  ///< Sent before `release`; the rest follows it.
  std::size_t piece_bytes = 0; ///< Largest piece of one round.
  std::size_t rounds_per_piece = 1;
  bool reads = true; ///< Whether responses are read.
};

/// Connections to one server that all send the same text and stay open.
class Crowd
{
public:
  explicit Crowd(CrowdPlan plan);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends a piece on each connection that takes one, and reads what arrived.
  void advance();
  /// Lets all connections send the whole text.
  void release();

  /// Whether the server's host has received all that each connection may send,
  /// or the connection was closed.
  bool has_sent() const;
  /// Whether each connection has received a response or was closed.
  bool is_answered() const;
  /// Number of rounds since a byte was last sent.
  std::size_t quiet_rounds() const { return this->rounds_without_sent; }

private:
  struct Connection
  {
    int fd = -1;
    std::size_t sent = 0;
    bool answered = false;
    bool closed = false;
  };

  void open(Connection& connection) const;
  void send_piece(Connection& connection);
  void read_responses(Connection& connection) const;

  CrowdPlan plan;
  std::vector<Connection> connections;
  std::size_t rounds = 0;
  std::size_t rounds_without_sent = 0;
};

} // namespace geraniumhinge::tests
