#include "peer/link.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::peer {

namespace {

constexpr std::size_t MAX_QUEUED_MESSAGES = 1'024;
constexpr std::size_t MAX_QUEUED_BYTES = 16UL * 1'024 * 1'024;
// Older messages are dropped. The timeouts of all control messages are shorter,
// so no receiver can use a message that waited longer.
constexpr std::int64_t MAX_QUEUED_MS = 5'000;
// Short, so that a silent connection that lost a renewal round of a gang is
// replaced in time for the next round, 1.5 s later.
constexpr std::int64_t PING_AFTER_REQUEST_MS = 400;
// Longer than after a request, because no caller waits for a reply. Keeps
// heartbeats of one-way messages rare.
constexpr std::int64_t PING_AFTER_SEND_MS = 2'000;
constexpr std::int64_t PING_PERIOD_MS = 400;
constexpr std::size_t PINGS_BEFORE_REDIAL = 2;
constexpr std::int64_t MIN_REDIAL_PERIOD_MS = 1'000;
constexpr std::int64_t IDLE_LIMIT_MS = 60'000;

} // namespace

Link::Link(std::string address, SendDone done, std::int64_t now_ms)
  : address(std::move(address))
  , done(std::move(done))
  , last_push_ms(now_ms)
  , dialled_ms(now_ms)
{
  this->connect();
}

void
Link::connect()
{
  std::uint64_t number = ++this->connection_number;
  this->connection = std::make_unique<Connection>(
    this->address,
    [done = this->done, number](std::uint64_t sequence, bool sent) {
      done(number, sequence, sent);
    });
}

bool
Link::push(QueuedMessage message, PushKind kind)
{
  if (!this->connection->usable() ||
      this->queue.size() >= MAX_QUEUED_MESSAGES ||
      this->queued_bytes + message.bytes.size() > MAX_QUEUED_BYTES)
    return false;
  this->last_push_ms = message.queued_ms;
  this->record_unconfirmed(message.queued_ms, kind);
  this->queued_bytes += message.bytes.size();
  this->queue.push_back(std::move(message));
  this->send_next();
  return true;
}

void
Link::record_unconfirmed(std::int64_t now_ms, PushKind kind)
{
  // If a pong started heartbeats, two idle peers would send pings and pongs to
  // each other forever.
  if (kind == PushKind::Pong)
    return;
  this->last_unconfirmed_ms = now_ms;
  if (this->unconfirmed_since_ms == 0) {
    this->unconfirmed_since_ms = now_ms;
    this->expects_reply = false;
  }
  this->expects_reply = this->expects_reply || kind == PushKind::Request;
}

void
Link::push_ping(QueuedMessage message)
{
  this->last_ping_ms = message.queued_ms;
  this->pings.insert(message.id);
  this->queued_bytes += message.bytes.size();
  this->queue.push_back(std::move(message));
  this->send_next();
}

void
Link::send_next()
{
  if (this->in_flight || this->queue.empty() || !this->connection->usable())
    return;
  this->in_flight = std::move(this->queue.front());
  this->queue.pop_front();
  this->queued_bytes -= this->in_flight->bytes.size();
  this->connection->send(this->in_flight->bytes);
}

CancelResult
Link::cancel(std::uint64_t id)
{
  std::deque<QueuedMessage>::iterator found =
    std::find_if(this->queue.begin(),
                 this->queue.end(),
                 [id](const QueuedMessage& item) { return item.id == id; });
  if (found != this->queue.end()) {
    this->queued_bytes -= found->bytes.size();
    this->queue.erase(found);
    return CancelResult::NotSent;
  }
  if (!this->in_flight || this->in_flight->id != id)
    return CancelResult::PossiblySent;
  bool cancelled = this->connection->cancel_send();
  this->in_flight.reset();
  this->send_next();
  return cancelled ? CancelResult::NotSent : CancelResult::PossiblySent;
}

std::size_t
Link::send_completed(std::uint64_t connection,
                     std::uint64_t sequence,
                     bool sent)
{
  bool current = connection == this->connection_number && this->in_flight &&
                 sequence == this->connection->sequence();
  if (!current)
    return 0;
  std::size_t size = this->in_flight->bytes.size();
  this->connection->end_send();
  this->in_flight.reset();
  this->send_next();
  return sent ? size : 0;
}

void
Link::confirm_delivery(std::int64_t sent_ms)
{
  this->pings.clear();
  bool newer_unconfirmed = this->last_unconfirmed_ms > sent_ms;
  this->unconfirmed_since_ms =
    newer_unconfirmed ? this->last_unconfirmed_ms : 0;
}

bool
Link::confirm_ping(std::uint64_t id)
{
  if (this->pings.count(id) == 0)
    return false;
  this->confirm_delivery(this->last_ping_ms);
  return true;
}

void
Link::drop_expired(std::int64_t now_ms)
{
  while (!this->queue.empty() &&
         now_ms - this->queue.front().queued_ms > MAX_QUEUED_MS) {
    this->queued_bytes -= this->queue.front().bytes.size();
    this->queue.pop_front();
  }
}

Link::Due
Link::check(std::int64_t now_ms)
{
  this->drop_expired(now_ms);
  if (this->unconfirmed_since_ms == 0) {
    bool idle = this->queue.empty() && !this->in_flight &&
                now_ms - this->last_push_ms > IDLE_LIMIT_MS;
    return idle ? Due::Close : Due::Nothing;
  }
  std::int64_t limit =
    this->expects_reply ? PING_AFTER_REQUEST_MS : PING_AFTER_SEND_MS;
  if (now_ms - this->unconfirmed_since_ms < limit ||
      now_ms - this->last_ping_ms < PING_PERIOD_MS)
    return Due::Nothing;
  return this->pings.size() < PINGS_BEFORE_REDIAL ? Due::Ping : Due::Redial;
}

bool
Link::may_redial(std::int64_t now_ms) const
{
  return now_ms - this->dialled_ms > MIN_REDIAL_PERIOD_MS;
}

std::unique_ptr<Connection>
Link::redial(std::int64_t now_ms)
{
  if (this->in_flight) {
    if (this->connection->cancel_send()) {
      this->queued_bytes += this->in_flight->bytes.size();
      this->queue.push_front(std::move(*this->in_flight));
    }
    this->in_flight.reset();
  }
  std::unique_ptr<Connection> old = std::move(this->connection);
  this->pings.clear();
  this->dialled_ms = now_ms;
  // With an empty queue, heartbeats start again only with the next message.
  // Otherwise a peer that never comes back would be redialled forever.
  this->unconfirmed_since_ms = this->queue.empty() ? 0 : now_ms;
  this->connect();
  this->send_next();
  return old;
}

} // namespace geraniumhinge::peer
