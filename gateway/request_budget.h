#pragma once

#include "kernel/names.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace geraniumhinge::gateway {

/// Bounds on what the clients of one process may use; 0 for no bound.
struct RequestLimits
{
  /// Sum of what requests and unread responses hold.
  std::size_t held_bytes = 0;
  std::size_t connections = 0;
  std::int64_t request_ms = 0;  ///< From a request's first byte to its last.
  std::int64_t response_ms = 0; ///< For which a client reads no response byte.

  bool operator==(const RequestLimits&) const = default;
};

enum class RefusalCause
{
  HeldBytes,
  Connections,
  RequestTimeout,
  ResponseTimeout,
};

inline constexpr NamedValue<RefusalCause> REFUSAL_CAUSE_NAMES[] = {
  { RefusalCause::HeldBytes, "held_bytes" },
  { RefusalCause::Connections, "connections" },
  { RefusalCause::RequestTimeout, "request_timeout" },
  { RefusalCause::ResponseTimeout, "response_timeout" },
};

struct RequestBudgetHooks
{
  /// Counts a refusal.
  std::function<void(RefusalCause)> refused = [](RefusalCause) {};
  /// Gets the held bytes and the number of connections at each check.
  std::function<void(std::size_t, std::size_t)> checked = [](std::size_t,
                                                             std::size_t) {};
};

/// Decides which connections of a process are refused, without any I/O. Shared
/// by the HTTP servers of the process.
///
/// If the bytes exceed the limit, a connection that makes no progress is closed
/// first, the longest without progress before others; if there is none, the
/// newest request whose body or response is large. If there are too many
/// connections, one without progress is closed, else the one with the oldest
/// unfinished headers, else one that was idle for long, else the new one.
/// Requests in a handler are never closed.
class RequestBudget
{
public:
  using Id = std::uint64_t;
  /// Closes the connection. Must not call the budget.
  using CloseHook = std::function<void(RefusalCause)>;

  RequestBudget(const RequestLimits& limits, RequestBudgetHooks hooks);

  const RequestLimits& limits() const { return this->bounds; }

  /// Whether one more connection may be opened. May close another one.
  bool admits_connection(std::int64_t now_ms);
  /// Counts a connection that was refused for lack of descriptors.
  void record_refused_connection();
  Id open(CloseHook close, std::int64_t now_ms);
  void close(Id id);

  /// The first byte of a request has arrived. No effect if that is known.
  void begin(Id id, std::int64_t now_ms);
  void complete_headers(Id id);
  /// The unfinished request holds this many bytes. Returns false, without a
  /// call of the hook, if this connection is to be refused.
  bool receive(Id id, std::size_t bytes, std::int64_t now_ms);
  /// The request is complete, with a body of this size. Returns false, without
  /// a call of the hook, if it must not reach its handler.
  bool dispatch(Id id, std::size_t body_bytes, std::int64_t now_ms);
  /// The response of this size is being sent.
  void respond(Id id, std::size_t bytes, std::int64_t now_ms);
  /// The response is sent.
  void finish(Id id, std::int64_t now_ms);

  /// The client has sent or read a byte.
  void record_progress(Id id, std::int64_t now_ms);
  /// Bytes that the kernel keeps for the connection.
  void set_queued(Id id, std::size_t bytes);
  /// Closes connections past a deadline, and others while the sum exceeds the
  /// limit. To be called several times a second while connections are open.
  void enforce(std::int64_t now_ms);

  std::size_t held_bytes() const { return this->held; }
  std::size_t connections() const { return this->open_connections; }

private:
  enum class Phase
  {
    Idle, ///< No byte of a request has arrived.
    ReceivingHeaders,
    ReceivingBody,
    Handling,
    Responding,
  };

  struct Connection
  {
    Phase phase = Phase::Idle;
    bool refused = false;
    std::size_t bytes = 0;
    std::size_t queued = 0;
    std::int64_t began_ms = 0; ///< First byte of the request.
    std::int64_t progress_ms = 0;
    std::uint64_t order = 0; ///< Of the request; later ones have a higher one.
    CloseHook close;

    std::size_t held() const { return this->bytes + this->queued; }
    bool receiving() const
    {
      return this->phase == Phase::ReceivingHeaders ||
             this->phase == Phase::ReceivingBody;
    }
  };
  using Connections = std::map<Id, Connection>;

  /// Sets what a connection holds and closes others until it fits below
  /// `limit`. Returns false if it can't fit.
  bool hold(Connection& connection,
            std::size_t bytes,
            std::size_t limit,
            std::int64_t now_ms);
  void set_bytes(Connection& connection, std::size_t bytes);
  void refuse(Connection& connection, RefusalCause cause);
  void release(Connection& connection);
  /// Limit of the sum at which a request with this body is refused.
  std::size_t limit_for(std::size_t body_bytes) const;
  /// The request or response without progress for the longest time, of those
  /// that hold at least `min_bytes`.
  Connection* longest_stalled(std::int64_t now_ms,
                              std::size_t min_bytes,
                              const Connection* except = nullptr);
  Connection* newest_large();
  Connection* oldest_headers(std::int64_t now_ms);
  Connection* longest_idle(std::int64_t now_ms);
  void close_expired(std::int64_t now_ms);

  RequestLimits bounds;
  RequestBudgetHooks hooks;
  Connections all;
  Id next_id = 1;
  std::uint64_t next_order = 1;
  std::size_t held = 0;
  std::size_t open_connections = 0;
};

} // namespace geraniumhinge::gateway
