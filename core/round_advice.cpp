// Requests tickets from the advice service for steps that can't be placed yet.

#include "core/round_state.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Most servers in one request to the advice service.
constexpr std::size_t MAX_REQUEST_SERVERS = 100;
/// Servers in a request for a gang, unless it needs more. Some of them may not
/// be allowed to run it.
constexpr std::size_t GANG_REQUEST_SERVERS = 30;
/// Added to the response time according to the advice service's settings.
constexpr std::int64_t TIMEOUT_MARGIN_MS = 1'000;

void
add_once(std::vector<ServerInstance>& servers, const ServerInstance& server)
{
  if (std::find(servers.begin(), servers.end(), server) == servers.end())
    servers.push_back(server);
}

} // namespace

/// Servers on which the step fits now, if it gets tickets for them. Prefers
/// those that are known to be allowed.
std::vector<std::string>
SchedulingRound::servers_with_room(const WaitingStep& waiting) const
{
  AssignRequest request = waiting.request;
  request.allowed =
    this->history.advice.allowed_servers(waiting.key, this->pool);
  std::vector<std::string> servers = assign(this->pool, request);
  if (servers.size() == request.tasks)
    return servers;
  request.allowed =
    this->history.advice.possible_servers(waiting.key, this->pool);
  std::vector<std::string> possible = assign(this->pool, request);
  return possible.size() > servers.size() ? possible : servers;
}

/// Requests tickets for the servers `planned` for the step. If it is not known
/// that these suffice, also asks about servers that may run the step instead.
void
SchedulingRound::request_advice(const WaitingStep& waiting,
                                const std::vector<std::string>& planned)
{
  const StepKey& key = waiting.key;
  const AdviceCache& advice = this->history.advice;
  if (!advice.may_request(key, this->now_ms))
    return;
  const AdviceSettings& settings = *waiting.round_workflow.advice;
  bool gang = waiting.request.step->gang;
  // The members of a gang need tickets that are valid at the same time.
  std::int64_t needed_until_ms =
    gang ? this->now_ms + response_ms(settings, planned.size()) : this->now_ms;
  AdviceRequest advice_request;
  advice_request.step = key;
  std::vector<ServerInstance>& requested = advice_request.servers;
  bool may_not_suffice = planned.size() < waiting.request.tasks;
  for (const std::string& id : planned) {
    const PoolServer& server = this->pool.servers.at(id);
    may_not_suffice = may_not_suffice || !advice.is_known(key, server);
    if (advice.ticket_expires_ms(key, server) <= needed_until_ms)
      add_once(requested, server.instance);
  }
  // If one request can't cover all, the next one covers those left out.
  std::stable_sort(
    requested.begin(),
    requested.end(),
    [this, &advice, &key](const ServerInstance& left,
                          const ServerInstance& right) {
      return advice.ticket_expires_ms(key, this->pool.servers.at(left.id)) <
             advice.ticket_expires_ms(key, this->pool.servers.at(right.id));
    });
  std::size_t limit =
    gang
      ? std::clamp(requested.size(), GANG_REQUEST_SERVERS, MAX_REQUEST_SERVERS)
      : max_servers_per_request(settings);
  if (requested.size() > limit)
    requested.resize(limit);
  if (may_not_suffice)
    this->add_servers_to_learn(waiting, limit, requested);
  if (requested.empty()) {
    if (this->is_denied(waiting) && this->history.advice.mark_denied(key))
      this->result.denied_steps.push_back(key);
    return;
  }
  advice_request.timeout_ms =
    response_ms(settings, requested.size()) + TIMEOUT_MARGIN_MS;
  this->result.advice_requests.push_back(std::move(advice_request));
}

/// Whether there are servers for the step, none of which may run it.
bool
SchedulingRound::is_denied(const WaitingStep& waiting) const
{
  AssignRequest request = waiting.request;
  request.allowed.reset();
  std::set<std::string> possible =
    this->history.advice.possible_servers(waiting.key, this->pool);
  bool has_servers = false;
  for (const std::pair<const std::string, PoolServer>& item :
       this->pool.servers) {
    if (!eligible(item.second, request))
      continue;
    if (possible.contains(item.first))
      return false;
    has_servers = true;
  }
  return has_servers;
}

/// Adds eligible servers about which the service was not asked yet, those with
/// the most free accelerators first.
void
SchedulingRound::add_servers_to_learn(
  const WaitingStep& waiting,
  std::size_t limit,
  std::vector<ServerInstance>& requested) const
{
  AssignRequest request = waiting.request;
  request.allowed.reset();
  std::vector<std::pair<std::int64_t, std::string>> unknown;
  for (const std::pair<const std::string, PoolServer>& item :
       this->pool.servers) {
    if (eligible(item.second, request) &&
        !this->history.advice.is_known(waiting.key, item.second))
      unknown.emplace_back(-this->pool.free.at(item.first).accelerators,
                           item.first);
  }
  std::sort(unknown.begin(), unknown.end());
  for (const std::pair<std::int64_t, std::string>& item : unknown) {
    if (requested.size() >= limit)
      return;
    add_once(requested, this->pool.servers.at(item.second).instance);
  }
}

} // namespace geraniumhinge::core
