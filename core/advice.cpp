#include "core/advice.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Part of a ticket's validity reserved for the start to reach the server.
constexpr std::int64_t START_MARGIN_MS = 500;

} // namespace

void
AdviceCache::record_response(const AdviceRequest& advice_request,
                             const std::vector<AdviceTicket>& tickets,
                             std::int64_t requested_ms,
                             std::int64_t ticket_validity_ms)
{
  std::int64_t margin_ms = std::min(START_MARGIN_MS, ticket_validity_ms / 2);
  std::map<std::string, CachedAdvice>& known =
    this->cached[advice_request.step];
  for (const ServerInstance& server : advice_request.servers) {
    CachedAdvice advice;
    advice.instance = server;
    std::vector<AdviceTicket>::const_iterator found = std::find_if(
      tickets.begin(), tickets.end(), [&server](const AdviceTicket& ticket) {
        return ticket.server == server.id;
      });
    if (found != tickets.end()) {
      advice.allowed = true;
      advice.ticket = found->ticket;
      advice.expires_ms = requested_ms + ticket_validity_ms - margin_ms;
    }
    known[server.id] = std::move(advice);
  }
}

const AdviceCache::CachedAdvice*
AdviceCache::find(const StepKey& step, const PoolServer& server) const
{
  std::map<StepKey, std::map<std::string, CachedAdvice>>::const_iterator known =
    this->cached.find(step);
  if (known == this->cached.end())
    return nullptr;
  std::map<std::string, CachedAdvice>::const_iterator found =
    known->second.find(server.instance.id);
  bool current =
    found != known->second.end() && found->second.instance == server.instance;
  return current ? &found->second : nullptr;
}

std::map<std::string, std::string>
AdviceCache::tickets(const StepKey& step,
                     const Pool& pool,
                     std::int64_t now_ms) const
{
  std::map<std::string, std::string> valid;
  for (const std::pair<const std::string, PoolServer>& item : pool.servers) {
    const CachedAdvice* advice = this->find(step, item.second);
    if (advice && advice->allowed && now_ms < advice->expires_ms)
      valid[item.first] = advice->ticket;
  }
  return valid;
}

bool
AdviceCache::should_request(const StepKey& step,
                            const PoolServer& server,
                            std::int64_t now_ms) const
{
  const CachedAdvice* advice = this->find(step, server);
  return !advice || (advice->allowed && now_ms >= advice->expires_ms);
}

void
AdviceCache::forget(const std::string& workflow)
{
  std::erase_if(
    this->cached,
    [&workflow](
      const std::pair<const StepKey, std::map<std::string, CachedAdvice>>&
        item) { return item.first.workflow == workflow; });
}

} // namespace geraniumhinge::core
