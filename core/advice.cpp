#include "core/advice.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Kept of a ticket's validity for the start to reach the server.
constexpr std::int64_t START_MARGIN_MS = 500;

} // namespace

void
AdviceCache::record_answer(const AdviceRequest& advice_request,
                           const std::vector<AdviceTicket>& tickets,
                           const Pool& pool,
                           std::int64_t requested_ms,
                           std::int64_t validity_ms)
{
  std::int64_t margin_ms = std::min(START_MARGIN_MS, validity_ms / 2);
  std::map<std::string, Answer>& known = this->answers[advice_request.step];
  for (const std::string& id : advice_request.servers) {
    std::map<std::string, PoolServer>::const_iterator server =
      pool.servers.find(id);
    if (server == pool.servers.end())
      continue;
    Answer answer;
    answer.instance = server->second.instance;
    std::vector<AdviceTicket>::const_iterator found = std::find_if(
      tickets.begin(), tickets.end(), [&id](const AdviceTicket& ticket) {
        return ticket.server == id;
      });
    if (found != tickets.end()) {
      answer.good = true;
      answer.ticket = found->ticket;
      answer.expires_ms = requested_ms + validity_ms - margin_ms;
    }
    known[id] = std::move(answer);
  }
}

const AdviceCache::Answer*
AdviceCache::find(const StepKey& step, const PoolServer& server) const
{
  std::map<StepKey, std::map<std::string, Answer>>::const_iterator known =
    this->answers.find(step);
  if (known == this->answers.end())
    return nullptr;
  std::map<std::string, Answer>::const_iterator found =
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
    const Answer* answer = this->find(step, item.second);
    if (answer && answer->good && now_ms < answer->expires_ms)
      valid[item.first] = answer->ticket;
  }
  return valid;
}

bool
AdviceCache::should_request(const StepKey& step,
                            const PoolServer& server,
                            std::int64_t now_ms) const
{
  const Answer* answer = this->find(step, server);
  return !answer || (answer->good && now_ms >= answer->expires_ms);
}

void
AdviceCache::forget(const std::string& workflow)
{
  std::erase_if(
    this->answers,
    [&workflow](
      const std::pair<const StepKey, std::map<std::string, Answer>>& item) {
      return item.first.workflow == workflow;
    });
}

} // namespace geraniumhinge::core
