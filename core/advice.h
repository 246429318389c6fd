#pragma once

#include "core/pool.h"

#include <cstdint>
#include <map>
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

/// Responses of the advice service by step and server. Whether a server may run
/// a step never changes; the tickets expire.
class AdviceCache
{
public:
  /// Records the response to a request sent at `requested_ms`. Servers without
  /// a ticket in the response may not run the step.
  void record_response(const AdviceRequest& advice_request,
                       const std::vector<AdviceTicket>& tickets,
                       std::int64_t requested_ms,
                       std::int64_t ticket_validity_ms);

  /// Valid tickets for a step, by server.
  std::map<std::string, std::string> tickets(const StepKey& step,
                                             const Pool& pool,
                                             std::int64_t now_ms) const;

  /// Whether a request for the server can bring a new ticket: there is no
  /// response yet, or the ticket has expired.
  bool should_request(const StepKey& step,
                      const PoolServer& server,
                      std::int64_t now_ms) const;

  void forget(const std::string& workflow);

private:
  struct CachedAdvice
  {
    ServerInstance instance;
    bool allowed = false;
    std::string ticket;
    std::int64_t expires_ms = 0;
  };

  const CachedAdvice* find(const StepKey& step, const PoolServer& server) const;

  std::map<StepKey, std::map<std::string, CachedAdvice>> cached;
};

} // namespace geraniumhinge::core
