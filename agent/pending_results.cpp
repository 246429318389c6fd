#include "agent/pending_results.h"

#include <utility>

namespace geraniumhinge::agent {

PendingResults::PendingResults(
  kernel::Loop& loop,
  kernel::TimerService& timers,
  kernel::Milliseconds retry_delay,
  Transport transport,
  std::function<std::vector<std::string>()> entries)
  : Task(loop, "results")
  , timers(timers)
  , retry_delay(retry_delay)
  , transport(std::move(transport))
  , entries(std::move(entries))
{
}

void
PendingResults::add(v1::MemberDone done, const std::string& driver)
{
  MemberId id = id_of(done.key());
  Waiting& item = this->waiting[id];
  item.done = std::move(done);
  item.driver = driver;
  this->send(id);
}

const v1::MemberDone*
PendingResults::find(const MemberId& id) const
{
  std::map<MemberId, Waiting>::const_iterator found = this->waiting.find(id);
  return found == this->waiting.end() ? nullptr : &found->second.done;
}

void
PendingResults::set_driver(const MemberId& id, const std::string& driver)
{
  std::map<MemberId, Waiting>::iterator found = this->waiting.find(id);
  if (found != this->waiting.end())
    found->second.driver = driver;
}

std::string
PendingResults::next_address(const Waiting& item) const
{
  // Every second message goes to the driver, the others to the entries in turn.
  std::vector<std::string> others = this->entries();
  bool to_driver = item.attempts % 2 == 0 || others.empty();
  return to_driver ? item.driver : others[item.attempts / 2 % others.size()];
}

void
PendingResults::send(const MemberId& id)
{
  std::map<MemberId, Waiting>::iterator found = this->waiting.find(id);
  if (found == this->waiting.end())
    return;
  Waiting& item = found->second;
  v1::Envelope envelope;
  *envelope.mutable_member_done() = item.done;
  std::string address = this->next_address(item);
  item.attempts++;
  this->transport.request(
    address,
    std::move(envelope),
    this->retry_delay,
    this->guarded([this, id](const peer::PeerNode::Reply& reply) {
      if (reply && reply->has_ack()) {
        this->waiting.erase(id);
        return;
      }
      std::map<MemberId, Waiting>::iterator found = this->waiting.find(id);
      if (found != this->waiting.end())
        found->second.retry_timer =
          this->timers.after(this->retry_delay, [this, id] { this->send(id); });
    }));
}

} // namespace geraniumhinge::agent
