#pragma once

#include "core/operator_config.h"
#include "core/pool.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// Permission to run the tasks of one step on one instance of a server.
struct AdviceTicket
{
  std::string server;
  std::string ticket;
};

/// A request to the advice service for tickets for one step.
struct AdviceRequest
{
  StepKey step;
  /// As known at the request. A ticket is valid for one instance.
  std::vector<ServerInstance> servers;
  std::int64_t timeout_ms = 0;
};

/// When a request to the advice service was sent and its response arrived, in
/// boot time.
struct AdviceTimes
{
  std::int64_t requested_ms = 0;
  std::int64_t responded_ms = 0;
};

/// Time that the advice service takes to respond for this many servers.
std::int64_t
response_ms(const AdviceSettings& settings, std::size_t servers);

/// Most servers to ask about at once for tasks that can start one by one, so
/// that the tickets are valid for long enough after the response.
std::size_t
max_servers_per_request(const AdviceSettings& settings);

/// Responses of the advice service by step and server. Whether a server may run
/// a step never changes; the tickets expire.
class AdviceCache
{
public:
  /// Records a response. Servers without a ticket in the response may not run
  /// the step. A ticket may be valid from the request or from the response
  /// only, which is not specified. It is used while it is valid in either case,
  /// and for a short time after the response.
  void record_response(const AdviceRequest& advice_request,
                       const std::vector<AdviceTicket>& tickets,
                       const AdviceTimes& times,
                       const AdviceSettings& settings);

  /// Records that the start of a run was rejected for its ticket.
  void record_rejection(const StepKey& step,
                        const Run& run,
                        std::int64_t now_ms);

  /// Records that tasks of the step were placed.
  void record_placement(const StepKey& step);

  /// Valid tickets for a step, by server.
  std::map<std::string, std::string> tickets(const StepKey& step,
                                             const Pool& pool,
                                             std::int64_t now_ms) const;

  /// Servers that may run the step, with or without a valid ticket.
  std::set<std::string> allowed_servers(const StepKey& step,
                                        const Pool& pool) const;

  /// Servers that may run the step, and those not asked about yet.
  std::set<std::string> possible_servers(const StepKey& step,
                                         const Pool& pool) const;

  /// Whether the service was asked about this instance of the server.
  bool is_known(const StepKey& step, const PoolServer& server) const;

  /// Boot time until which the step's ticket for the server is used; 0 if there
  /// is none.
  std::int64_t ticket_expires_ms(const StepKey& step,
                                 const PoolServer& server) const;

  /// Whether the step may request tickets now. Requests that bring nothing new,
  /// and after which no task starts, are followed by ever longer pauses.
  bool may_request(const StepKey& step, std::int64_t now_ms) const;

  /// Responses in a row that brought nothing new and started no task.
  std::size_t unused_responses(const StepKey& step) const;

  /// Notes that no server may run the step. Returns whether it is news.
  bool mark_denied(const StepKey& step);

  void forget(const std::string& workflow);

private:
  struct CachedAdvice
  {
    ServerInstance instance;
    bool allowed = false;
    std::string ticket;
    std::int64_t expires_ms = 0;
  };

  struct StepAdvice
  {
    std::map<std::string, CachedAdvice> servers;
    std::size_t unused = 0; ///< Responses in a row without a placement.
    /// Responses in a row whose tickets were rejected.
    std::size_t rejected = 0;
    bool rejection_counted = false; ///< For the last response.
    std::int64_t next_request_ms = 0;
    bool denied = false; ///< `mark_denied` was called since the last response.
  };

  const CachedAdvice* find(const StepKey& step, const PoolServer& server) const;

  std::map<StepKey, StepAdvice> cached;
};

} // namespace geraniumhinge::core
