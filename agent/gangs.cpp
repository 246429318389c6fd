#include "agent/gangs.h"

#include "agent/events.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

// Rounds whose acknowledgement times are kept. Only the time of the latest
// complete round is used, which is at most a few rounds old.
constexpr std::size_t MAX_KEPT_ROUNDS = 8;

bool
is_lead(const MemberId& id)
{
  return id.member == 0;
}

} // namespace

Gangs::Gangs(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             kernel::Metrics& metrics,
             const LeaseSettings& lease_settings,
             Transport transport,
             GangHooks hooks)
  : Task(loop, "gangs")
  , timers(timers)
  , log(log)
  , lease_settings(lease_settings)
  , transport(std::move(transport))
  , hooks(std::move(hooks))
  , rounds_complete(metrics.counter("agent_gang_rounds_complete_total"))
  , rounds_failed(metrics.counter("agent_gang_rounds_failed_total"))
{
}

void
Gangs::member_started(const MemberId& id, const v1::Prepare& spec)
{
  Node& node = this->nodes[id];
  node.spec = spec;
  // Renewal rounds use only the addresses and incarnations of the members.
  node.spec.clear_input();
  this->restart_expiry_timer(id, node);
  if (is_lead(id)) {
    this->schedule_rounds(id, node);
    return this->start_round(id);
  }
  std::map<MemberId, EarlyRound>::iterator found = this->early_rounds.find(id);
  if (found == this->early_rounds.end())
    return;
  EarlyRound early_round = std::move(found->second);
  this->early_rounds.erase(found);
  bool late = kernel::boot_ms() - early_round.received_ms >=
              this->lease_settings.round_limit.count();
  if (!late)
    this->handle_round(early_round.round, std::move(early_round.done));
}

void
Gangs::member_ended(const MemberId& id, bool succeeded)
{
  Nodes::iterator found = this->nodes.find(id);
  if (found == this->nodes.end())
    return;
  if (!succeeded) {
    this->nodes.erase(found);
    return;
  }
  found->second.task_done = true;
  this->restart_expiry_timer(id, found->second);
}

void
Gangs::restart_expiry_timer(const MemberId& id, Node& node)
{
  // A gang has ended if no renewal round arrives within the lease plus the
  // round limit. Until its task has ended, a member also waits `start_wait`,
  // since its first round may still be due.
  kernel::Milliseconds timeout = this->lease_settings.length +
                                 this->lease_settings.round_limit +
                                 this->lease_settings.start_wait;
  if (node.task_done)
    timeout -= this->lease_settings.start_wait;
  node.expiry_timer =
    this->timers.after(timeout, [this, id] { this->nodes.erase(id); });
}

void
Gangs::schedule_rounds(const MemberId& id, Node& node)
{
  node.round_timer = this->timers.every(this->lease_settings.round_period,
                                        [this, id] { this->start_round(id); });
}

void
Gangs::start_round(const MemberId& id)
{
  Nodes::iterator found = this->nodes.find(id);
  if (found == this->nodes.end())
    return;
  Node& node = found->second;
  if (!node.task_done && !this->hooks.check_deadline(id)) {
    this->nodes.erase(id);
    return;
  }
  if (node.round != 0 && !node.acknowledged_ms.empty() &&
      node.missing_acks != 0) {
    this->rounds_failed.add();
    this->log.write(ROUND_FAILED,
                    { { "job", id.job }, { "missing", node.missing_acks } });
  }
  node.round++;
  node.round_started_ms = kernel::boot_ms();
  // The lead's lease counts from the start of the round, the earliest time at
  // which a member can have acknowledged the round.
  node.acknowledged_ms[node.round] = node.round_started_ms;
  node.reply_to_parent = nullptr;
  this->propagate_round(id, node);
}

void
Gangs::handle_round(const v1::GangRound& round, RoundDone done)
{
  MemberId id = id_of(round.key());
  Nodes::iterator found = this->nodes.find(id);
  if (found == this->nodes.end()) {
    if (this->hooks.is_reserved(id))
      this->store_early_round(id, round, std::move(done));
    return;
  }
  Node& node = found->second;
  if (round.round() <= node.round)
    return;
  node.open = node.open || round.open();
  node.complete_round = std::max(node.complete_round, round.complete_round());
  this->apply_complete_round(id, node);
  // The member's deadline may have passed before the lease was extended.
  if (!node.task_done && !this->hooks.check_deadline(id))
    return;
  node.round = round.round();
  node.reply_to_parent = std::move(done);
  this->propagate_round(id, node);
}

void
Gangs::store_early_round(const MemberId& id,
                         const v1::GangRound& round,
                         RoundDone done)
{
  std::int64_t now = kernel::boot_ms();
  std::int64_t oldest = now - this->lease_settings.round_limit.count();
  std::erase_if(this->early_rounds,
                [oldest](const std::pair<const MemberId, EarlyRound>& item) {
                  return item.second.received_ms < oldest;
                });
  this->early_rounds[id] = { round, std::move(done), now };
}

void
Gangs::apply_complete_round(const MemberId& id, Node& node)
{
  std::map<std::uint64_t, std::int64_t>::iterator found =
    node.acknowledged_ms.find(node.complete_round);
  if (node.task_done || found == node.acknowledged_ms.end())
    return;
  std::int64_t until = found->second + this->lease_settings.length.count();
  // A late round must not renew a member whose deadline has passed.
  if (!this->hooks.check_deadline(id))
    return;
  if (node.open)
    this->hooks.open(id, until);
  this->hooks.extend(id, until);
}

void
Gangs::propagate_round(const MemberId& id, Node& node)
{
  this->restart_expiry_timer(id, node);
  while (node.acknowledged_ms.size() > MAX_KEPT_ROUNDS)
    node.acknowledged_ms.erase(node.acknowledged_ms.begin());
  std::uint32_t members = static_cast<std::uint32_t>(node.spec.gang_size());
  std::uint32_t first = id.member * GANG_FAN_OUT + 1;
  std::uint32_t end = std::min(first + GANG_FAN_OUT, members);
  node.subtree_done = node.task_done;
  node.missing_acks = first < end ? end - first : 0;
  if (node.missing_acks == 0)
    return this->subtree_acknowledged(id, node);
  for (std::uint32_t child = first; child < end; child++)
    this->send_round(id, node, child);
}

void
Gangs::send_round(const MemberId& id, const Node& node, std::uint32_t child)
{
  const v1::MemberPlacement& placed = node.spec.gang(static_cast<int>(child));
  v1::Envelope envelope;
  v1::GangRound& round = *envelope.mutable_gang_round();
  round.mutable_key()->set_job(id.job);
  round.mutable_key()->set_generation(id.generation);
  round.mutable_key()->set_member(child);
  round.mutable_key()->set_incarnation(placed.incarnation());
  round.set_round(node.round);
  round.set_complete_round(node.complete_round);
  round.set_open(node.open);
  this->transport.request(placed.agent_address(),
                          std::move(envelope),
                          this->lease_settings.round_limit,
                          this->guarded([this, id, number = node.round](
                                          const peer::PeerNode::Reply& reply) {
                            this->child_replied(id, number, reply);
                          }));
}

void
Gangs::child_replied(const MemberId& id,
                     std::uint64_t round,
                     const peer::PeerNode::Reply& reply)
{
  Nodes::iterator found = this->nodes.find(id);
  if (found == this->nodes.end())
    return;
  Node& node = found->second;
  bool is_current = reply && reply->gang_round_ack().round() == round &&
                    node.round == round && node.missing_acks > 0;
  if (!is_current)
    return;
  node.subtree_done = node.subtree_done && reply->gang_round_ack().done();
  if (--node.missing_acks == 0)
    this->subtree_acknowledged(id, node);
}

void
Gangs::subtree_acknowledged(const MemberId& id, Node& node)
{
  // The process may have been paused since the round arrived, so the deadline
  // is checked again.
  if (node.task_done)
    return this->acknowledge(id, node);
  if (!this->hooks.check_deadline(id))
    return;
  // A member whose backend server has ended counts as lost. Without this
  // confirmation the other members would run for another lease.
  this->hooks.confirm_running(id, this->guarded([this, id, round = node.round] {
    Nodes::iterator found = this->nodes.find(id);
    if (found != this->nodes.end() && found->second.round == round)
      this->acknowledge(id, found->second);
  }));
}

void
Gangs::acknowledge(const MemberId& id, Node& node)
{
  if (!node.task_done && !this->hooks.check_deadline(id))
    return;
  if (is_lead(id))
    return this->complete_lead_round(id, node);
  node.acknowledged_ms[node.round] = kernel::boot_ms();
  this->hooks.record_acknowledged(id);
  RoundDone reply_to_parent = std::exchange(node.reply_to_parent, nullptr);
  if (!reply_to_parent)
    return;
  v1::GangRoundAck ack;
  std::uint32_t parent = (id.member - 1) / GANG_FAN_OUT;
  *ack.mutable_key() = node.spec.key();
  ack.mutable_key()->set_member(parent);
  ack.mutable_key()->set_incarnation(
    node.spec.gang(static_cast<int>(parent)).incarnation());
  ack.set_round(node.round);
  ack.set_member(id.member);
  ack.set_done(node.subtree_done);
  reply_to_parent(std::move(ack));
}

void
Gangs::complete_lead_round(const MemberId& id, Node& node)
{
  bool late = kernel::boot_ms() - node.round_started_ms >
              this->lease_settings.round_limit.count();
  if (late) {
    this->rounds_failed.add();
    return;
  }
  this->rounds_complete.add();
  this->hooks.record_acknowledged(id);
  node.complete_round = node.round;
  if (node.subtree_done) {
    this->nodes.erase(id);
    return;
  }
  bool opens = !std::exchange(node.open, true);
  this->apply_complete_round(id, node);
  if (!opens)
    return;
  this->log.write(GANG_OPENED,
                  { { "job", id.job }, { "generation", id.generation } });
  // The next round announces the opening to the members and starts at once.
  this->schedule_rounds(id, node);
  this->start_round(id);
}

} // namespace geraniumhinge::agent
