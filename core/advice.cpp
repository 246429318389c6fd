#include "core/advice.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::core {

namespace {

/// Part of a ticket's validity reserved for the start to reach the server.
constexpr std::int64_t START_MARGIN_MS = 500;
/// A response is used for this long, however late it arrives: the next round
/// places the step and orders its start.
constexpr std::int64_t RESPONSE_USE_MS = 1'000;
/// Most servers in a request for tasks that can start one by one.
constexpr std::size_t MAX_SERVERS_PER_REQUEST = 30;
/// Responses in a row that may bring nothing before requests are delayed. The
/// room that a request was made for may be taken meanwhile.
constexpr std::size_t FREE_UNUSED_RESPONSES = 1;
constexpr std::int64_t FIRST_PAUSE_MS = 1'000;
constexpr std::int64_t MAX_PAUSE_MS = 8'000;

/// Time for which a ticket is used if it is valid from now on.
std::int64_t
usable_ms(const AdviceSettings& settings)
{
  std::int64_t validity_ms = settings.ticket_validity_ms;
  return validity_ms - std::min(START_MARGIN_MS, validity_ms / 2);
}

std::int64_t
pause_ms(std::size_t unused)
{
  if (unused <= FREE_UNUSED_RESPONSES)
    return 0;
  std::int64_t pause = FIRST_PAUSE_MS;
  for (std::size_t count = FREE_UNUSED_RESPONSES + 1;
       count < unused && pause < MAX_PAUSE_MS;
       ++count)
    pause *= 2;
  return pause;
}

} // namespace

std::int64_t
response_ms(const AdviceSettings& settings, std::size_t servers)
{
  return std::int64_t{ settings.base_timeout_ms } +
         std::int64_t{ settings.timeout_per_server_ms } *
           static_cast<std::int64_t>(servers);
}

std::size_t
max_servers_per_request(const AdviceSettings& settings)
{
  if (settings.timeout_per_server_ms == 0)
    return MAX_SERVERS_PER_REQUEST;
  std::int64_t servers =
    (usable_ms(settings) / 2 - std::int64_t{ settings.base_timeout_ms }) /
    settings.timeout_per_server_ms;
  return static_cast<std::size_t>(
    std::clamp<std::int64_t>(servers, 1, MAX_SERVERS_PER_REQUEST));
}

void
AdviceCache::record_response(const AdviceRequest& advice_request,
                             const std::vector<AdviceTicket>& tickets,
                             const AdviceTimes& times,
                             const AdviceSettings& settings)
{
  StepAdvice& step = this->cached[advice_request.step];
  std::int64_t usable = usable_ms(settings);
  std::int64_t expires_ms =
    std::max(times.requested_ms + usable,
             times.responded_ms + std::min(RESPONSE_USE_MS, usable));
  bool brings_news = false;
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
      advice.expires_ms = expires_ms;
    }
    CachedAdvice& known = step.servers[server.id];
    brings_news = brings_news || known.instance != server;
    known = std::move(advice);
  }
  step.denied = false;
  step.unused = brings_news ? 0 : step.unused + 1;
  if (!std::exchange(step.rejection_counted, false))
    step.rejected = 0;
  step.next_request_ms =
    times.responded_ms + pause_ms(std::max(step.unused, step.rejected));
}

void
AdviceCache::record_rejection(const StepKey& step,
                              const Run& run,
                              std::int64_t now_ms)
{
  std::map<StepKey, StepAdvice>::iterator known = this->cached.find(step);
  if (known == this->cached.end())
    return;
  StepAdvice& advice = known->second;
  std::map<std::string, CachedAdvice>::iterator found =
    advice.servers.find(run.server.id);
  if (found != advice.servers.end() && found->second.ticket == run.ticket)
    found->second.expires_ms = 0;
  // All tickets of a response may be rejected.
  if (std::exchange(advice.rejection_counted, true))
    return;
  ++advice.rejected;
  advice.next_request_ms =
    std::max(advice.next_request_ms, now_ms + pause_ms(advice.rejected));
}

void
AdviceCache::record_placement(const StepKey& step)
{
  std::map<StepKey, StepAdvice>::iterator known = this->cached.find(step);
  if (known != this->cached.end())
    known->second.unused = 0;
}

const AdviceCache::CachedAdvice*
AdviceCache::find(const StepKey& step, const PoolServer& server) const
{
  std::map<StepKey, StepAdvice>::const_iterator known = this->cached.find(step);
  if (known == this->cached.end())
    return nullptr;
  std::map<std::string, CachedAdvice>::const_iterator found =
    known->second.servers.find(server.instance.id);
  bool current = found != known->second.servers.end() &&
                 found->second.instance == server.instance;
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

std::set<std::string>
AdviceCache::allowed_servers(const StepKey& step, const Pool& pool) const
{
  std::set<std::string> allowed;
  for (const std::pair<const std::string, PoolServer>& item : pool.servers) {
    const CachedAdvice* advice = this->find(step, item.second);
    if (advice && advice->allowed)
      allowed.insert(item.first);
  }
  return allowed;
}

std::set<std::string>
AdviceCache::possible_servers(const StepKey& step, const Pool& pool) const
{
  std::set<std::string> possible;
  for (const std::pair<const std::string, PoolServer>& item : pool.servers) {
    const CachedAdvice* advice = this->find(step, item.second);
    if (!advice || advice->allowed)
      possible.insert(item.first);
  }
  return possible;
}

bool
AdviceCache::is_known(const StepKey& step, const PoolServer& server) const
{
  return this->find(step, server) != nullptr;
}

std::int64_t
AdviceCache::ticket_expires_ms(const StepKey& step,
                               const PoolServer& server) const
{
  const CachedAdvice* advice = this->find(step, server);
  return advice && advice->allowed ? advice->expires_ms : 0;
}

bool
AdviceCache::may_request(const StepKey& step, std::int64_t now_ms) const
{
  std::map<StepKey, StepAdvice>::const_iterator known = this->cached.find(step);
  return known == this->cached.end() || now_ms >= known->second.next_request_ms;
}

std::size_t
AdviceCache::unused_responses(const StepKey& step) const
{
  std::map<StepKey, StepAdvice>::const_iterator known = this->cached.find(step);
  return known == this->cached.end()
           ? 0
           : std::max(known->second.unused, known->second.rejected);
}

bool
AdviceCache::mark_denied(const StepKey& step)
{
  return !std::exchange(this->cached[step].denied, true);
}

void
AdviceCache::forget(const std::string& workflow)
{
  std::erase_if(this->cached,
                [&workflow](const std::pair<const StepKey, StepAdvice>& item) {
                  return item.first.workflow == workflow;
                });
}

} // namespace geraniumhinge::core
