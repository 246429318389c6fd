#include "entry/unstored_ends.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds SHARE_PERIOD{ 250 };
/// Longer than the store needs for a change while it serves.
constexpr std::int64_t MIN_STORE_WAIT_MS = 400;
/// The next owner applies them within its first rounds, and takes over long
/// before.
constexpr std::int64_t KEPT_MS = 60'000;
/// Bounds the memory for ends of one minute.
constexpr std::size_t MAX_KEPT_ENDS = 20'000;

} // namespace

EndSharer::EndSharer(kernel::TimerService& timers,
                     const ServerTable& servers,
                     EndSharerHooks hooks)
  : servers(servers)
  , hooks(std::move(hooks))
  , timer(timers.every(SHARE_PERIOD, [this] { this->share(); }))
{
}

void
EndSharer::share()
{
  if (this->hooks.store_wait_ms() < MIN_STORE_WAIT_MS)
    return;
  v1::UnstoredEnds message;
  for (const std::pair<const std::string, AgentView>& item :
       this->servers.all()) {
    v1::ServerEnds ends = this->take_new_ends(item.second);
    if (ends.ended_size() > 0)
      *message.add_servers() = std::move(ends);
  }
  if (message.servers_size() > 0)
    this->hooks.send(message);
}

v1::ServerEnds
EndSharer::take_new_ends(const AgentView& agent)
{
  Shared& shared = this->shared_by_node[agent.node];
  core::ServerInstance instance = instance_of(agent.report.life());
  if (shared.instance != instance)
    shared = { instance, 0 };
  v1::ServerEnds ends;
  ends.set_node(agent.node);
  *ends.mutable_life() = agent.report.life();
  std::uint64_t known = std::max(shared.number, agent.stored_ends);
  for (const v1::EndReport& end : agent.report.ended()) {
    if (end.number() <= known)
      continue;
    *ends.add_ended() = end;
    shared.number = std::max<std::uint64_t>(shared.number, end.number());
  }
  return ends;
}

void
SharedEnds::add(const v1::UnstoredEnds& message, std::int64_t now_ms)
{
  this->drop_old(now_ms);
  for (const v1::ServerEnds& server : message.servers()) {
    for (const v1::EndReport& end : server.ended()) {
      if (this->ends.size() >= MAX_KEPT_ENDS)
        return;
      if (core::parse_task_name(end.task()))
        this->ends[{ end.task(), end.attempt() }] = {
          instance_of(server.life()), end, now_ms
        };
    }
  }
}

void
SharedEnds::drop_old(std::int64_t now_ms)
{
  std::erase_if(this->ends, [now_ms](const Ends::value_type& item) {
    return now_ms - item.second.received_ms > KEPT_MS;
  });
}

const v1::EndReport*
SharedEnds::find(const std::string& task, const core::Run& run) const
{
  Ends::const_iterator found = this->ends.find({ task, run.attempt });
  bool same = found != this->ends.end() && found->second.instance == run.server;
  return same ? &found->second.end : nullptr;
}

} // namespace geraniumhinge::entry
