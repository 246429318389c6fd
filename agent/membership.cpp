#include "agent/membership.h"

#include "agent/events.h"
#include "core/route.h"
#include "kernel/clock.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

constexpr std::size_t TARGET_COUNT = 2;
// Changes within this time are sent in one heartbeat.
constexpr kernel::Milliseconds CHANGE_DELAY{ 50 };
constexpr std::int64_t CONFIG_REQUEST_PERIOD_MS = 1'000;

} // namespace

Membership::Membership(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       const kernel::Log& log,
                       const AgentSettings& settings,
                       Transport transport,
                       MembershipHooks hooks)
  : Task(loop, "membership")
  , timers(timers)
  , log(log)
  , settings(settings)
  , transport(std::move(transport))
  , hooks(std::move(hooks))
  , last_seen_ms(kernel::boot_ms())
{
}

void
Membership::start()
{
  this->contact_next_entry();
  this->heartbeat_timer =
    this->timers.every(this->settings.membership.heartbeat_period,
                       [this] { this->send_heartbeats(); });
  this->refresh_timer = this->timers.every(
    this->settings.membership.refresh_period, [this] { this->refresh(); });
}

void
Membership::refresh()
{
  // If entries send a digest of their list with each acknowledgement, the list
  // is read only when that digest changes.
  if (this->entries_digest == 0)
    this->contact_next_entry();
}

std::string
Membership::next_contact()
{
  // The addresses in the settings may be those of a balancer, so they are tried
  // even when entries are known.
  std::vector<std::string> candidates = this->settings.entries;
  for (const v1::EntryRow& entry : this->entries)
    candidates.push_back(entry.peer_address());
  return candidates[this->next_address++ % candidates.size()];
}

void
Membership::contact_next_entry()
{
  this->send_hello(this->next_contact(), true);
}

void
Membership::schedule_contact()
{
  if (!std::exchange(this->no_entry_logged, true))
    this->log.write(NO_ENTRY);
  this->contact_timer =
    this->timers.after(this->settings.membership.retry_delay,
                       [this] { this->contact_next_entry(); });
}

void
Membership::send_hello(const std::string& address, bool discovering)
{
  v1::Envelope envelope;
  *envelope.mutable_hello() = this->hooks.hello();
  this->transport.request(
    address,
    std::move(envelope),
    this->settings.membership.reply_timeout,
    this->guarded([this, discovering](const peer::PeerNode::Reply& reply) {
      if (reply && reply->has_hello_reply())
        this->apply_entries(*reply);
      else if (discovering)
        this->schedule_contact();
    }));
}

void
Membership::apply_entries(const v1::Envelope& envelope)
{
  this->last_seen_ms = kernel::boot_ms();
  this->no_entry_logged = false;
  const v1::HelloReply& reply = envelope.hello_reply();
  this->entries.assign(reply.entries().begin(), reply.entries().end());
  if (this->entries.empty()) {
    v1::EntryRow sender;
    sender.set_name(envelope.sender());
    sender.set_peer_address(envelope.sender_address());
    this->entries.push_back(std::move(sender));
  }
  this->entries_digest = reply.entries_digest();
  this->apply_config(reply.config());
  this->choose_targets();
}

void
Membership::choose_targets()
{
  std::vector<std::string> names;
  for (const v1::EntryRow& entry : this->entries)
    names.push_back(entry.name());
  std::vector<std::string> new_targets;
  for (std::size_t index :
       core::rendezvous_order(this->settings.zone, names, TARGET_COUNT))
    new_targets.push_back(this->entries[index].peer_address());
  if (new_targets == this->targets)
    return;
  std::vector<std::string> old_targets =
    std::exchange(this->targets, new_targets);
  this->log.write(
    ENTRIES_CHANGED,
    { { "preferred", new_targets.empty() ? "" : new_targets.front() },
      { "backup", new_targets.size() < 2 ? "" : new_targets.back() } });
  for (const std::string& address : new_targets) {
    bool known = std::find(old_targets.begin(), old_targets.end(), address) !=
                 old_targets.end();
    if (!known)
      this->send_hello(address, false);
  }
}

void
Membership::send_heartbeats()
{
  if (this->targets.empty())
    return;
  for (const std::string& address : this->targets)
    this->send_heartbeat(address);
}

void
Membership::send_heartbeat(const std::string& address)
{
  v1::Envelope envelope;
  *envelope.mutable_agent_heartbeat() = this->hooks.heartbeat();
  this->transport.request(
    address,
    std::move(envelope),
    this->settings.membership.reply_timeout,
    this->guarded([this, address](const peer::PeerNode::Reply& reply) {
      if (reply)
        return this->handle_heartbeat_reply(*reply);
      // The entry has ended, or has restarted and does not know this agent.
      this->send_hello(address, false);
      this->contact_next_entry();
    }));
}

void
Membership::handle_heartbeat_reply(const v1::Envelope& envelope)
{
  this->record_contact(envelope);
  std::uint64_t digest = envelope.ack().entries_digest();
  if (digest != 0 && digest != this->entries_digest)
    this->send_hello(envelope.sender_address(), false);
}

void
Membership::announce_change()
{
  if (this->change_timer.active())
    return;
  this->change_timer = this->timers.after(CHANGE_DELAY, [this] {
    this->change_timer.reset();
    this->send_heartbeats();
  });
}

void
Membership::record_contact(const v1::Envelope& envelope)
{
  std::int64_t now = kernel::boot_ms();
  this->last_seen_ms = now;
  bool behind = envelope.config_version() > this->version &&
                now - this->config_requested_ms >= CONFIG_REQUEST_PERIOD_MS;
  if (!behind)
    return;
  this->config_requested_ms = now;
  this->send_hello(envelope.sender_address(), false);
}

bool
Membership::seen_within(kernel::Milliseconds period) const
{
  return kernel::boot_ms() - this->last_seen_ms < period.count();
}

void
Membership::handle(const v1::Envelope& envelope)
{
  if (envelope.has_config_digest())
    return this->apply_config(envelope.config_digest());
  if (envelope.has_hello_reply())
    return this->apply_entries(envelope);
  if (!envelope.has_entry_down())
    return;
  const v1::EntryDown& down = envelope.entry_down();
  std::erase_if(this->entries, [&down](const v1::EntryRow& entry) {
    return entry.name() == down.entry() &&
           entry.incarnation() == down.incarnation();
  });
  this->choose_targets();
}

void
Membership::apply_config(const v1::ConfigDigest& digest)
{
  // Messages of several entries arrive in any order; an older configuration is
  // ignored.
  if (digest.version() < this->version)
    return;
  this->version = digest.version();
  this->hooks.config(digest);
}

std::vector<std::string>
Membership::addresses() const
{
  std::vector<std::string> result = this->targets;
  for (const v1::EntryRow& entry : this->entries) {
    const std::string& address = entry.peer_address();
    if (std::find(result.begin(), result.end(), address) == result.end())
      result.push_back(address);
  }
  return result;
}

void
Membership::leave()
{
  for (const std::string& address : this->targets) {
    if (this->acknowledged_leaving.count(address) == 0)
      this->send_leaving(address);
  }
  this->leave_timer = this->timers.after(this->settings.membership.retry_delay,
                                         [this] { this->leave(); });
}

bool
Membership::has_left() const
{
  return std::all_of(this->targets.begin(),
                     this->targets.end(),
                     [this](const std::string& address) {
                       return this->acknowledged_leaving.count(address) != 0;
                     });
}

void
Membership::send_leaving(const std::string& address)
{
  v1::Envelope envelope;
  envelope.mutable_leaving();
  this->transport.request(
    address,
    std::move(envelope),
    this->settings.membership.reply_timeout,
    this->guarded([this, address](const peer::PeerNode::Reply& reply) {
      if (reply)
        this->acknowledged_leaving.insert(address);
    }));
}

} // namespace geraniumhinge::agent
