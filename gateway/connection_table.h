#pragma once

#include "gateway/connection_probe.h"
#include "gateway/http_exchange.h"
#include "gateway/request_budget.h"
#include "kernel/subscription.h"
#include "kernel/timer.h"

#include <functional>
#include <memory>
#include <microhttpd.h>
#include <unordered_map>

namespace geraniumhinge::gateway {

/// A connection of one server that counts against a budget.
struct TrackedConnection
{
  int fd = -1;
  RequestBudget::Id id = 0;
  Exchange* exchange = nullptr; ///< Null while no headers are complete.
  bool receiving = false;       ///< A byte of the next request has arrived.
  bool refused = false;
  std::uint64_t request_begin = 0; ///< Bytes received before the next request.
  ConnectionProbe last;
};

/// Tells a budget what the connections of one server hold, and closes those
/// that it refuses.
class ConnectionTable
{
public:
  ConnectionTable(kernel::TimerService& timers,
                  RequestBudget& budget,
                  std::function<void()> schedule_run);
  ~ConnectionTable();
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  /// Whether one more connection may be accepted.
  bool admits();
  void open(MHD_Connection* connection);
  void close(MHD_Connection* connection);

  /// The headers of a request are complete. Returns false if its connection is
  /// being closed.
  bool begin(Exchange& exchange);
  /// A piece of the body has arrived, and its buffer gets this capacity.
  /// Returns false if the connection was refused.
  bool receive(Exchange& exchange, std::size_t capacity);
  /// Returns false if the request must not reach its handler.
  bool dispatch(Exchange& exchange);
  void respond(Exchange& exchange);
  void finish(MHD_Connection* connection);

private:
  void refuse(TrackedConnection& tracked);
  void sweep();
  void sweep_connection(TrackedConnection& tracked, std::int64_t now_ms);

  kernel::TimerService& timers;
  RequestBudget& budget;
  std::function<void()> schedule_run;
  std::unordered_map<MHD_Connection*, TrackedConnection> connections;
  kernel::Subscription sweep_timer;
};

} // namespace geraniumhinge::gateway
