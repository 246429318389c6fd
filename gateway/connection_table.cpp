#include "gateway/connection_table.h"

#include "kernel/clock.h"

#include <utility>

namespace geraniumhinge::gateway {

namespace {

/// libmicrohttpd reports neither the first byte of a request nor how much of a
/// response is read, so the kernel is asked.
constexpr kernel::Milliseconds SWEEP_PERIOD{ 200 };

/// Each piece of a body costs processor time, however small it is. Counted like
/// this, a body of 1 MiB in chunks of one byte still fits into the budget of
/// the smallest entry, but not many of them.
constexpr std::size_t PIECE_BYTES = 8;

} // namespace

ConnectionTable::ConnectionTable(kernel::TimerService& timers,
                                 RequestBudget& budget,
                                 std::function<void()> schedule_run)
  : timers(timers)
  , budget(budget)
  , schedule_run(std::move(schedule_run))
{
}

ConnectionTable::~ConnectionTable()
{
  for (const std::pair<MHD_Connection* const, TrackedConnection>& item :
       this->connections)
    this->budget.close(item.second.id);
}

bool
ConnectionTable::admits()
{
  if (has_spare_descriptors())
    return this->budget.admits_connection(kernel::boot_ms());
  this->budget.record_refused_connection();
  return false;
}

void
ConnectionTable::open(MHD_Connection* connection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  TrackedConnection& tracked = this->connections[connection];
  tracked.fd = info->connect_fd;
  // References to elements of the map stay valid.
  tracked.id =
    this->budget.open([this, &tracked](RefusalCause) { this->refuse(tracked); },
                      kernel::boot_ms());
  if (this->connections.size() == 1)
    this->sweep_timer =
      this->timers.every(SWEEP_PERIOD, [this] { this->sweep(); });
}

void
ConnectionTable::close(MHD_Connection* connection)
{
  std::unordered_map<MHD_Connection*, TrackedConnection>::iterator found =
    this->connections.find(connection);
  if (found == this->connections.end())
    return;
  this->budget.close(found->second.id);
  this->connections.erase(found);
  if (this->connections.empty())
    this->sweep_timer.reset();
}

bool
ConnectionTable::begin(Exchange& exchange)
{
  TrackedConnection& tracked = this->connections.at(exchange.connection);
  exchange.tracked = &tracked;
  tracked.exchange = &exchange;
  tracked.receiving = true;
  this->budget.begin(tracked.id, kernel::boot_ms());
  this->budget.complete_headers(tracked.id);
  return !tracked.refused;
}

bool
ConnectionTable::receive(Exchange& exchange, std::size_t capacity)
{
  TrackedConnection& tracked = *exchange.tracked;
  if (tracked.refused)
    return false;
  std::size_t bytes = capacity + ++exchange.pieces * PIECE_BYTES;
  bool accepted = this->budget.receive(tracked.id, bytes, kernel::boot_ms());
  if (!accepted)
    this->refuse(tracked);
  return accepted;
}

bool
ConnectionTable::dispatch(Exchange& exchange)
{
  return this->budget.dispatch(
    exchange.tracked->id, exchange.request.body.size(), kernel::boot_ms());
}

void
ConnectionTable::respond(Exchange& exchange)
{
  this->budget.respond(
    exchange.tracked->id, exchange.response->body.size(), kernel::boot_ms());
}

void
ConnectionTable::finish(MHD_Connection* connection)
{
  std::unordered_map<MHD_Connection*, TrackedConnection>::iterator found =
    this->connections.find(connection);
  if (found == this->connections.end())
    return;
  TrackedConnection& tracked = found->second;
  tracked.exchange = nullptr;
  tracked.receiving = false;
  tracked.last = probe_connection(tracked.fd);
  tracked.request_begin = tracked.last.received_bytes;
  this->budget.finish(tracked.id, kernel::boot_ms());
}

void
ConnectionTable::refuse(TrackedConnection& tracked)
{
  tracked.refused = true;
  bool responding = tracked.exchange && tracked.exchange->response;
  if (tracked.receiving && !responding)
    refuse_connection(tracked.fd);
  else
    reset_connection(tracked.fd);
  // The connection closes only when libmicrohttpd runs again.
  if (tracked.exchange && !tracked.exchange->dispatched)
    std::string().swap(tracked.exchange->request.body);
  this->schedule_run();
}

void
ConnectionTable::sweep()
{
  std::int64_t now_ms = kernel::boot_ms();
  for (std::pair<MHD_Connection* const, TrackedConnection>& item :
       this->connections) {
    if (!item.second.refused)
      this->sweep_connection(item.second, now_ms);
  }
  this->budget.enforce(now_ms);
}

void
ConnectionTable::sweep_connection(TrackedConnection& tracked,
                                  std::int64_t now_ms)
{
  ConnectionProbe probe = probe_connection(tracked.fd);
  if (!tracked.exchange && probe.received_bytes > tracked.request_begin) {
    tracked.receiving = true;
    this->budget.begin(tracked.id, now_ms);
  }
  bool responding = tracked.exchange && tracked.exchange->response;
  bool progressed = responding
                      ? probe.read_bytes != tracked.last.read_bytes
                      : probe.received_bytes != tracked.last.received_bytes;
  if (progressed)
    this->budget.record_progress(tracked.id, now_ms);
  this->budget.set_queued(tracked.id, probe.queued_bytes);
  tracked.last = probe;
}

} // namespace geraniumhinge::gateway
