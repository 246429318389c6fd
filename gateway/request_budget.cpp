#include "gateway/request_budget.h"

#include <utility>

namespace geraniumhinge::gateway {

namespace {

/// Larger than the requests that callers usually send. Part of the budget is
/// left to requests up to this size.
constexpr std::size_t SMALL_BYTES = 16UL * 1'024;
constexpr std::size_t SMALL_PART_DIVISOR = 4;
/// A handler keeps its own copy of the body, what it parsed, and the change
/// that it sends to the store.
constexpr std::size_t HANDLING_FACTOR = 4;
/// A client that is slowed down by packet loss sends again within 200 ms.
constexpr std::int64_t STALLED_MS = 500;
/// Clients send headers, of at most 16 KiB, at once.
constexpr std::int64_t SLOW_HEADERS_MS = 500;
/// Clients that reuse connections seldom pause for longer under load.
constexpr std::int64_t LONG_IDLE_MS = 5'000;

} // namespace

RequestBudget::RequestBudget(const RequestLimits& limits,
                             RequestBudgetHooks hooks)
  : bounds(limits)
  , hooks(std::move(hooks))
{
}

bool
RequestBudget::admits_connection(std::int64_t now_ms)
{
  if (this->bounds.connections == 0 ||
      this->open_connections < this->bounds.connections)
    return true;
  Connection* victim = this->longest_stalled(now_ms, 0);
  if (!victim)
    victim = this->oldest_headers(now_ms);
  if (!victim)
    victim = this->longest_idle(now_ms);
  if (victim)
    this->refuse(*victim, RefusalCause::Connections);
  else
    this->hooks.refused(RefusalCause::Connections);
  return victim != nullptr;
}

void
RequestBudget::record_refused_connection()
{
  this->hooks.refused(RefusalCause::Connections);
}

RequestBudget::Id
RequestBudget::open(CloseHook close, std::int64_t now_ms)
{
  Connection connection;
  connection.progress_ms = now_ms;
  connection.close = std::move(close);
  this->all.emplace(this->next_id, std::move(connection));
  ++this->open_connections;
  return this->next_id++;
}

void
RequestBudget::close(Id id)
{
  Connection& connection = this->all.at(id);
  if (!connection.refused)
    this->release(connection);
  this->all.erase(id);
}

void
RequestBudget::begin(Id id, std::int64_t now_ms)
{
  Connection& connection = this->all.at(id);
  if (connection.refused || connection.phase != Phase::Idle)
    return;
  connection.phase = Phase::ReceivingHeaders;
  connection.began_ms = now_ms;
  connection.progress_ms = now_ms;
  connection.order = this->next_order++;
}

void
RequestBudget::complete_headers(Id id)
{
  Connection& connection = this->all.at(id);
  if (!connection.refused)
    connection.phase = Phase::ReceivingBody;
}

bool
RequestBudget::receive(Id id, std::size_t bytes, std::int64_t now_ms)
{
  Connection& connection = this->all.at(id);
  connection.progress_ms = now_ms;
  if (!connection.refused && bytes <= connection.bytes)
    return true;
  return this->hold(connection, bytes, this->limit_for(bytes), now_ms);
}

bool
RequestBudget::dispatch(Id id, std::size_t body_bytes, std::int64_t now_ms)
{
  Connection& connection = this->all.at(id);
  if (!this->hold(connection,
                  body_bytes * HANDLING_FACTOR,
                  this->limit_for(body_bytes),
                  now_ms))
    return false;
  connection.phase = Phase::Handling;
  return true;
}

void
RequestBudget::respond(Id id, std::size_t bytes, std::int64_t now_ms)
{
  Connection& connection = this->all.at(id);
  if (connection.refused)
    return;
  connection.phase = Phase::Responding;
  connection.progress_ms = now_ms;
  this->set_bytes(connection, bytes);
}

void
RequestBudget::finish(Id id, std::int64_t now_ms)
{
  Connection& connection = this->all.at(id);
  if (connection.refused)
    return;
  connection.phase = Phase::Idle;
  connection.progress_ms = now_ms;
  this->set_bytes(connection, 0);
}

void
RequestBudget::record_progress(Id id, std::int64_t now_ms)
{
  this->all.at(id).progress_ms = now_ms;
}

void
RequestBudget::set_queued(Id id, std::size_t bytes)
{
  Connection& connection = this->all.at(id);
  if (connection.refused)
    return;
  this->held -= connection.queued;
  connection.queued = bytes;
  this->held += bytes;
}

void
RequestBudget::enforce(std::int64_t now_ms)
{
  this->close_expired(now_ms);
  while (this->bounds.held_bytes > 0 && this->held > this->bounds.held_bytes) {
    Connection* victim = this->longest_stalled(now_ms, 1);
    if (!victim)
      victim = this->newest_large();
    if (!victim)
      break;
    this->refuse(*victim, RefusalCause::HeldBytes);
  }
  this->hooks.checked(this->held, this->open_connections);
}

void
RequestBudget::close_expired(std::int64_t now_ms)
{
  for (Connections::value_type& item : this->all) {
    Connection& connection = item.second;
    if (connection.refused)
      continue;
    bool late = connection.receiving() && this->bounds.request_ms > 0 &&
                now_ms - connection.began_ms >= this->bounds.request_ms;
    bool unread = connection.phase == Phase::Responding &&
                  this->bounds.response_ms > 0 &&
                  now_ms - connection.progress_ms >= this->bounds.response_ms;
    if (late)
      this->refuse(connection, RefusalCause::RequestTimeout);
    else if (unread)
      this->refuse(connection, RefusalCause::ResponseTimeout);
  }
}

bool
RequestBudget::hold(Connection& connection,
                    std::size_t bytes,
                    std::size_t limit,
                    std::int64_t now_ms)
{
  if (connection.refused)
    return false;
  this->set_bytes(connection, bytes);
  while (this->bounds.held_bytes > 0 && this->held > limit) {
    Connection* victim = this->longest_stalled(now_ms, 1, &connection);
    if (!victim)
      victim = this->newest_large();
    if (victim && victim != &connection) {
      this->refuse(*victim, RefusalCause::HeldBytes);
      continue;
    }
    connection.refused = true;
    this->release(connection);
    this->hooks.refused(RefusalCause::HeldBytes);
    return false;
  }
  return true;
}

void
RequestBudget::set_bytes(Connection& connection, std::size_t bytes)
{
  this->held -= connection.bytes;
  connection.bytes = bytes;
  this->held += bytes;
}

void
RequestBudget::refuse(Connection& connection, RefusalCause cause)
{
  connection.refused = true;
  this->release(connection);
  connection.close(cause);
  this->hooks.refused(cause);
}

void
RequestBudget::release(Connection& connection)
{
  this->held -= connection.held();
  connection.bytes = 0;
  connection.queued = 0;
  --this->open_connections;
}

std::size_t
RequestBudget::limit_for(std::size_t body_bytes) const
{
  std::size_t limit = this->bounds.held_bytes;
  return body_bytes <= SMALL_BYTES ? limit : limit - limit / SMALL_PART_DIVISOR;
}

RequestBudget::Connection*
RequestBudget::longest_stalled(std::int64_t now_ms,
                               std::size_t min_bytes,
                               const Connection* except)
{
  Connection* found = nullptr;
  for (Connections::value_type& item : this->all) {
    Connection& connection = item.second;
    bool unfinished =
      connection.receiving() || connection.phase == Phase::Responding;
    if (connection.refused || !unfinished || &connection == except ||
        connection.held() < min_bytes ||
        now_ms - connection.progress_ms < STALLED_MS)
      continue;
    if (!found || connection.progress_ms < found->progress_ms)
      found = &connection;
  }
  return found;
}

RequestBudget::Connection*
RequestBudget::newest_large()
{
  Connection* found = nullptr;
  for (Connections::value_type& item : this->all) {
    Connection& connection = item.second;
    bool unfinished =
      connection.receiving() || connection.phase == Phase::Responding;
    if (connection.refused || !unfinished || connection.held() <= SMALL_BYTES)
      continue;
    if (!found || connection.order > found->order)
      found = &connection;
  }
  return found;
}

RequestBudget::Connection*
RequestBudget::oldest_headers(std::int64_t now_ms)
{
  Connection* found = nullptr;
  for (Connections::value_type& item : this->all) {
    Connection& connection = item.second;
    if (connection.refused || connection.phase != Phase::ReceivingHeaders ||
        now_ms - connection.began_ms < SLOW_HEADERS_MS)
      continue;
    if (!found || connection.order < found->order)
      found = &connection;
  }
  return found;
}

RequestBudget::Connection*
RequestBudget::longest_idle(std::int64_t now_ms)
{
  Connection* found = nullptr;
  for (Connections::value_type& item : this->all) {
    Connection& connection = item.second;
    if (connection.refused || connection.phase != Phase::Idle ||
        now_ms - connection.progress_ms < LONG_IDLE_MS)
      continue;
    if (!found || connection.progress_ms < found->progress_ms)
      found = &connection;
  }
  return found;
}

} // namespace geraniumhinge::gateway
