#include "entry/server_table.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

/// Two reports in a row are missing.
constexpr std::int64_t SILENCE_LIMIT_MS = 2'500;
constexpr std::int64_t PERCENT = 100;
/// A server's clock may be slow by this share.
constexpr std::int64_t CLOCK_SLOWNESS_PERCENT = 2;
/// Covers messages in flight and rounding.
constexpr std::int64_t EXPIRY_SLACK_MS = 500;

/// The report without what changes from one report to the next although the
/// server and its runs have not changed.
std::string
stable_part(v1::ServerReport report)
{
  report.clear_sequence();
  report.clear_term();
  report.clear_orders_sequence();
  report.clear_stays_ms();
  report.clear_running();
  return report.SerializeAsString();
}

/// Whether an earlier process of the agent sent the report. If the last one is
/// silent, it may itself have been known only by a delayed report, or the VM
/// has rebooted.
bool
is_delayed(const AgentView& agent,
           const v1::Envelope& envelope,
           std::int64_t now_ms)
{
  std::int64_t started_ms = envelope.server_report().process_started_ms();
  bool started_earlier =
    started_ms != 0 && started_ms < agent.report.process_started_ms();
  bool is_former =
    agent.former_incarnations.contains(envelope.sender_incarnation());
  return (started_earlier || is_former) &&
         now_ms - agent.last_seen_ms < SILENCE_LIMIT_MS;
}

/// Records the server of the process that the reporting one has replaced.
void
update_former_server(AgentView& agent, const v1::Envelope& envelope)
{
  core::ServerInstance before = instance_of(agent.report.life());
  core::ServerInstance now = instance_of(envelope.server_report().life());
  bool same_process = agent.incarnation == envelope.sender_incarnation();
  bool known = agent.former_server && agent.former_server->instance == before;
  if (!same_process && !known && !before.id.empty() && !agent.report.leaving())
    agent.former_server = FormerServer{ before, agent.last_seen_ms };
  if (agent.former_server && agent.former_server->instance == now)
    agent.former_server.reset();
}

/// Records what the agent knew when it first reported to this owner.
void
update_first_instance(AgentView& agent, const v1::ServerReport& report)
{
  if (agent.last_seen_ms == 0)
    agent.process_is_new = report.life().id().empty() || report.term() == 0;
  if (agent.first_instance.id.empty())
    agent.first_instance = instance_of(report.life());
}

} // namespace

std::int64_t
LeaseBounds::lease_ms() const
{
  return this->granted_ms * PERCENT / (PERCENT - CLOCK_SLOWNESS_PERCENT) +
         EXPIRY_SLACK_MS;
}

ServerTable::ServerTable(const LeaseBounds& bounds)
  : bounds(bounds)
{
}

void
ServerTable::reset(std::int64_t now_ms)
{
  this->agents.clear();
  this->withheld.clear();
  this->agents_listed = false;
  this->owner_since_ms = now_ms;
  this->set_former_owner({ now_ms, {} });
}

void
ServerTable::set_former_owner(const FormerOwner& former)
{
  this->former_owner_until_ms =
    former.confirmed_ms + this->bounds.owner_send_limit_ms;
  this->former_reply_ms.clear();
  for (const SilentAgent& agent : former.silent)
    this->former_reply_ms[agent.node] = former.confirmed_ms - agent.silent_ms;
}

/// Whether the agent's server can be used, or is not expected to be soon. An
/// agent that has just started or resumed waits for the next announcement.
bool
ServerTable::server_is_settled(const AgentView& agent) const
{
  if (agent.report.life().id().empty())
    return agent.no_lease_ms > this->bounds.lease_ms();
  return agent.report.ready() || agent.report.leaving();
}

core::FirstReports
ServerTable::first_reports(std::int64_t now_ms) const
{
  core::FirstReports reports;
  reports.term_age_ms = now_ms - this->owner_since_ms;
  reports.listed = this->agents_listed;
  for (const std::pair<const std::string, AgentView>& entry : this->agents) {
    bool seen = entry.second.last_seen_ms != 0;
    bool silent = !seen && this->former_reply_ms.contains(entry.first);
    reports.agents += silent ? 0 : 1;
    reports.reported += seen && this->server_is_settled(entry.second) ? 1 : 0;
  }
  return reports;
}

/// Latest boot time at which an owner may have replied to a report of the
/// agent.
std::int64_t
ServerTable::last_reply_ms(const std::string& node) const
{
  std::map<std::string, AgentView>::const_iterator agent =
    this->agents.find(node);
  if (agent != this->agents.end() && agent->second.last_seen_ms != 0)
    return agent->second.last_seen_ms;
  std::map<std::string, std::int64_t>::const_iterator former =
    this->former_reply_ms.find(node);
  return former == this->former_reply_ms.end() ? this->former_owner_until_ms
                                               : former->second;
}

std::vector<SilentAgent>
ServerTable::withhold_silent(const std::set<std::string>& nodes,
                             std::int64_t now_ms)
{
  std::vector<SilentAgent> silent;
  for (const std::string& node : nodes) {
    std::map<std::string, AgentView>::const_iterator agent =
      this->agents.find(node);
    std::int64_t seen_ms =
      agent == this->agents.end() ? 0 : agent->second.last_seen_ms;
    if (now_ms - std::max(seen_ms, this->owner_since_ms) <
        this->bounds.orphan_ms)
      continue;
    this->withheld.insert(node);
    silent.push_back({ node, now_ms - this->last_reply_ms(node) });
  }
  return silent;
}

std::vector<AgentView*>
ServerTable::release_withheld(const std::vector<SilentAgent>& silent)
{
  std::set<std::string> released = std::move(this->withheld);
  this->withheld.clear();
  for (const SilentAgent& agent : silent) {
    released.erase(agent.node);
    this->withheld.insert(agent.node);
  }
  std::vector<AgentView*> agents;
  for (const std::string& node : released) {
    AgentView* agent = this->find(node);
    if (agent)
      agents.push_back(agent);
  }
  return agents;
}

AgentView*
ServerTable::apply_report(const v1::Envelope& envelope, std::int64_t now_ms)
{
  const v1::ServerReport& report = envelope.server_report();
  AgentView& agent =
    this->add_agent(envelope.sender(), envelope.sender_address());
  bool same_process = agent.incarnation == envelope.sender_incarnation();
  if (same_process && report.sequence() <= agent.report.sequence())
    return nullptr;
  if (is_delayed(agent, envelope, now_ms))
    return nullptr;
  if (!same_process) {
    agent.former_incarnations.erase(envelope.sender_incarnation());
    agent.former_incarnations.insert(agent.incarnation);
  }
  update_former_server(agent, envelope);
  update_first_instance(agent, report);
  // An agent that has just started does not know its server yet; the instance
  // that was reported before stays.
  agent.incarnation = envelope.sender_incarnation();
  agent.last_seen_ms = now_ms;
  bool same_instance =
    instance_of(agent.report.life()) == instance_of(report.life());
  if (report.life().id().empty()) {
    agent.no_lease_ms = report.no_lease_ms();
    agent.report.set_sequence(report.sequence());
    agent.report.set_process_started_ms(report.process_started_ms());
    *agent.report.mutable_crashes() = report.crashes();
    agent.report.set_ready(false);
    // Once over, leases stay over until the agent reports an instance.
    if (report.lease_over())
      agent.report.set_lease_over(true);
    agent.report_changed = true;
    return &agent;
  }
  agent.no_lease_ms = 0;
  if (!same_instance)
    agent.stored_ends = 0;
  agent.report_changed =
    !same_process || stable_part(agent.report) != stable_part(report);
  agent.report = report;
  return &agent;
}

AgentView&
ServerTable::add_agent(const std::string& node, const std::string& address)
{
  AgentView& agent = this->agents[node];
  agent.node = node;
  agent.address = address;
  return agent;
}

AgentView*
ServerTable::find(const std::string& node)
{
  std::map<std::string, AgentView>::iterator found = this->agents.find(node);
  return found == this->agents.end() ? nullptr : &found->second;
}

std::optional<LossCause>
ServerTable::loss_cause(const core::ServerInstance& instance,
                        const std::string& node,
                        std::int64_t now_ms) const
{
  std::map<std::string, AgentView>::const_iterator found =
    this->agents.find(node);
  if (found != this->agents.end()) {
    const AgentView& agent = found->second;
    bool reported = !agent.report.life().id().empty();
    if (reported && instance_of(agent.report.life()) != instance)
      return LossCause::InstanceReplaced;
    if (agent.report.lease_over())
      return LossCause::LeasesExpired;
    // All leases are from before the agent's process started.
    if (agent.no_lease_ms > this->bounds.lease_ms())
      return LossCause::ServerUnknown;
  }
  if (now_ms - this->last_reply_ms(node) > this->bounds.expiry_ms())
    return LossCause::AgentSilent;
  return std::nullopt;
}

const FormerServer*
ServerTable::crashed_former_server(const AgentView& agent,
                                   std::int64_t now_ms) const
{
  if (!agent.former_server)
    return nullptr;
  bool replaced =
    this->loss_cause(agent.former_server->instance, agent.node, now_ms) ==
    LossCause::InstanceReplaced;
  return replaced ? &*agent.former_server : nullptr;
}

bool
ServerTable::ended_unseen(const core::ServerInstance& instance,
                          const std::string& node) const
{
  std::map<std::string, AgentView>::const_iterator found =
    this->agents.find(node);
  if (found == this->agents.end() || !found->second.process_is_new)
    return false;
  const AgentView& agent = found->second;
  core::ServerInstance now = instance_of(agent.report.life());
  bool reported = std::any_of(agent.report.crashes().begin(),
                              agent.report.crashes().end(),
                              [&instance](const v1::CrashReport& crash) {
                                return instance_of(crash.life()) == instance;
                              });
  return !now.id.empty() && now == agent.first_instance && now != instance &&
         !reported;
}

bool
ServerTable::may_have_crashed(const core::ServerInstance& instance,
                              const std::string& node,
                              std::int64_t now_ms) const
{
  std::map<std::string, AgentView>::const_iterator found =
    this->agents.find(node);
  if (found == this->agents.end())
    return false;
  const AgentView& agent = found->second;
  bool reported_before =
    agent.former_server && agent.former_server->instance == instance;
  bool never_reported = agent.process_is_new && agent.first_instance.id.empty();
  return (reported_before || never_reported) &&
         this->loss_cause(instance, node, now_ms) == LossCause::ServerUnknown;
}

bool
ServerTable::is_found(const core::ServerInstance& instance,
                      const std::string& node) const
{
  std::map<std::string, AgentView>::const_iterator found =
    this->agents.find(node);
  if (found == this->agents.end())
    return false;
  const AgentView& agent = found->second;
  return instance_of(agent.report.life()) == instance &&
         (!agent.former_server || agent.former_server->instance != instance);
}

bool
ServerTable::agent_silent(const std::string& node, std::int64_t now_ms) const
{
  std::map<std::string, AgentView>::const_iterator found =
    this->agents.find(node);
  return found != this->agents.end() && found->second.last_seen_ms != 0 &&
         now_ms - found->second.last_seen_ms >= SILENCE_LIMIT_MS;
}

std::optional<std::int64_t>
ServerTable::min_stay_ms(const AgentView& agent, std::int64_t now_ms) const
{
  if (!agent.report.leaving())
    return std::nullopt;
  std::int64_t since_ms = now_ms - agent.last_seen_ms;
  return std::max<std::int64_t>(agent.report.stays_ms() - since_ms, 0);
}

bool
ServerTable::accepts_work(const AgentView& agent, std::int64_t now_ms) const
{
  return agent.last_seen_ms != 0 &&
         now_ms - agent.last_seen_ms < SILENCE_LIMIT_MS &&
         agent.report.ready() && agent.report.listed() &&
         !agent.report.lease_over();
}

core::ServerInstance
instance_of(const v1::ServerLifeRow& row)
{
  return { row.id(), row.born_ms() };
}

core::PoolServer
pool_server(const v1::ServerReport& report)
{
  core::PoolServer server;
  server.instance = instance_of(report.life());
  server.service = report.service();
  server.zone = report.zone();
  server.rack = report.rack();
  server.labels.insert(report.labels().begin(), report.labels().end());
  server.capacity = { report.room().millicores(),
                      report.room().memory_mb(),
                      report.room().accelerators() };
  return server;
}

} // namespace geraniumhinge::entry
