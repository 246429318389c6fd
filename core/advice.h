#pragma once

#include "core/pool.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// A permission to run the tasks of one step on one instance of a server.
struct AdviceTicket
{
  std::string server;
  std::string ticket;
};

/// What is to be requested of the advice service.
struct AdviceRequest
{
  StepKey step;
  std::vector<std::string> servers;
  std::int64_t timeout_ms = 0;
};

/// What the advice service has said: which servers may run a step, which never
/// changes, and tickets, which expire.
class AdviceCache
{
public:
  /// Records an answer to a request that was sent at `requested_ms`.
  void record_answer(const AdviceRequest& advice_request,
                     const std::vector<AdviceTicket>& tickets,
                     const Pool& pool,
                     std::int64_t requested_ms,
                     std::int64_t validity_ms);

  /// Valid tickets of a step, by server.
  std::map<std::string, std::string> tickets(const StepKey& step,
                                             const Pool& pool,
                                             std::int64_t now_ms) const;

  /// Whether asking for a server can bring a ticket that is not known.
  bool should_request(const StepKey& step,
                      const PoolServer& server,
                      std::int64_t now_ms) const;

  void forget(const std::string& workflow);

private:
  struct Answer
  {
    ServerInstance instance;
    bool good = false;
    std::string ticket;
    std::int64_t expires_ms = 0;
  };

  const Answer* find(const StepKey& step, const PoolServer& server) const;

  std::map<StepKey, std::map<std::string, Answer>> answers;
};

} // namespace geraniumhinge::core
