#include "agent/gangs.h"

#include "agent/events.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

namespace {

// Rounds whose acknowledgement times are kept. Only the latest complete one is
// ever needed, which is at most a few rounds back.
constexpr std::size_t KEPT_ROUNDS = 8;

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
             const LeaseSettings& settings,
             Transport transport,
             GangHooks hooks)
  : Task(loop, "gangs")
  , timers(timers)
  , log(log)
  , settings(settings)
  , transport(std::move(transport))
  , hooks(std::move(hooks))
  , rounds_complete(metrics.counter("agent_gang_rounds_complete_total"))
  , rounds_failed(metrics.counter("agent_gang_rounds_failed_total"))
{
}

void
Gangs::started(const MemberId& id, const v1::Prepare& spec)
{
  Node& node = this->nodes[id];
  node.spec = spec;
  // Rounds need the addresses only.
  node.spec.clear_input();
  this->watch_expiry(id, node);
  if (is_lead(id)) {
    this->repeat_rounds(id, node);
    return this->start_round(id);
  }
  std::map<MemberId, EarlyRound>::iterator found = this->early.find(id);
  if (found == this->early.end())
    return;
  EarlyRound early = std::move(found->second);
  this->early.erase(found);
  bool late =
    kernel::boot_ms() - early.received_ms >= this->settings.round_limit.count();
  if (!late)
    this->handle_round(early.round, std::move(early.done));
}

void
Gangs::ended(const MemberId& id, bool succeeded)
{
  Nodes::iterator found = this->nodes.find(id);
  if (found == this->nodes.end())
    return;
  if (!succeeded) {
    this->nodes.erase(found);
    return;
  }
  found->second.task_done = true;
  this->watch_expiry(id, found->second);
}

void
Gangs::watch_expiry(const MemberId& id, Node& node)
{
  // Without a round for the lease period the gang has ended. A started member
  // waits for its first round as well.
  kernel::Milliseconds limit = this->settings.lease +
                               this->settings.round_limit +
                               this->settings.start_wait;
  if (node.task_done)
    limit -= this->settings.start_wait;
  node.expiry =
    this->timers.after(limit, [this, id] { this->nodes.erase(id); });
}

void
Gangs::repeat_rounds(const MemberId& id, Node& node)
{
  node.rounds = this->timers.every(this->settings.round_period,
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
  if (node.round != 0 && !node.acknowledged_ms.empty() && node.waiting != 0) {
    this->rounds_failed.add();
    this->log.write(ROUND_FAILED,
                    { { "job", id.job }, { "missing", node.waiting } });
  }
  node.round++;
  node.round_started_ms = kernel::boot_ms();
  // The lead's own time counts from the start of the round, the earliest time
  // at which any member can have acknowledged it.
  node.acknowledged_ms[node.round] = node.round_started_ms;
  node.answer = nullptr;
  this->run_round(id, node);
}

void
Gangs::handle_round(const v1::GangRound& round, RoundDone done)
{
  MemberId id = id_of(round.key());
  Nodes::iterator found = this->nodes.find(id);
  if (found == this->nodes.end()) {
    if (this->hooks.is_held(id))
      this->store_early_round(id, round, std::move(done));
    return;
  }
  Node& node = found->second;
  if (round.round() <= node.round)
    return;
  node.open = node.open || round.open();
  node.complete_round = std::max(node.complete_round, round.complete_round());
  this->apply(id, node);
  // Applying may have found that the member's time is over.
  if (!node.task_done && !this->hooks.check_deadline(id))
    return;
  node.round = round.round();
  node.answer = std::move(done);
  this->run_round(id, node);
}

void
Gangs::store_early_round(const MemberId& id,
                         const v1::GangRound& round,
                         RoundDone done)
{
  std::int64_t now = kernel::boot_ms();
  std::int64_t oldest = now - this->settings.round_limit.count();
  std::erase_if(this->early,
                [oldest](const std::pair<const MemberId, EarlyRound>& item) {
                  return item.second.received_ms < oldest;
                });
  this->early[id] = { round, std::move(done), now };
}

void
Gangs::apply(const MemberId& id, Node& node)
{
  std::map<std::uint64_t, std::int64_t>::iterator found =
    node.acknowledged_ms.find(node.complete_round);
  if (node.task_done || found == node.acknowledged_ms.end())
    return;
  std::int64_t until = found->second + this->settings.lease.count();
  // A member past its deadline must not be revived by a late round.
  if (!this->hooks.check_deadline(id))
    return;
  if (node.open)
    this->hooks.open(id, until);
  this->hooks.extend(id, until);
}

void
Gangs::run_round(const MemberId& id, Node& node)
{
  this->watch_expiry(id, node);
  while (node.acknowledged_ms.size() > KEPT_ROUNDS)
    node.acknowledged_ms.erase(node.acknowledged_ms.begin());
  std::uint32_t members = static_cast<std::uint32_t>(node.spec.gang_size());
  std::uint32_t first = id.member * GANG_FAN_OUT + 1;
  std::uint32_t end = std::min(first + GANG_FAN_OUT, members);
  node.subtree_done = node.task_done;
  node.waiting = first < end ? end - first : 0;
  if (node.waiting == 0)
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
                          this->settings.round_limit,
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
  bool counts = reply && reply->gang_round_ack().round() == round &&
                node.round == round && node.waiting > 0;
  if (!counts)
    return;
  node.subtree_done = node.subtree_done && reply->gang_round_ack().done();
  if (--node.waiting == 0)
    this->subtree_acknowledged(id, node);
}

void
Gangs::subtree_acknowledged(const MemberId& id, Node& node)
{
  // The process may have been paused since the round came in.
  if (node.task_done)
    return this->acknowledge(id, node);
  if (!this->hooks.check_deadline(id))
    return;
  // A backend server that has ended counts as the loss of its member: without
  // the confirmation the others would run on for another lease.
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
    return this->lead_completed(id, node);
  node.acknowledged_ms[node.round] = kernel::boot_ms();
  this->hooks.acknowledged(id);
  RoundDone answer = std::exchange(node.answer, nullptr);
  if (!answer)
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
  answer(std::move(ack));
}

void
Gangs::lead_completed(const MemberId& id, Node& node)
{
  bool late = kernel::boot_ms() - node.round_started_ms >
              this->settings.round_limit.count();
  if (late) {
    this->rounds_failed.add();
    return;
  }
  this->rounds_complete.add();
  this->hooks.acknowledged(id);
  node.complete_round = node.round;
  if (node.subtree_done) {
    this->nodes.erase(id);
    return;
  }
  bool opens = !std::exchange(node.open, true);
  this->apply(id, node);
  if (!opens)
    return;
  this->log.write(GANG_OPENED,
                  { { "job", id.job }, { "generation", id.generation } });
  // The next round tells the members; it does not wait for its period.
  this->repeat_rounds(id, node);
  this->start_round(id);
}

} // namespace geraniumhinge::agent
