#include "peer/peer_node.h"

#include "kernel/address.h"
#include "kernel/clock.h"
#include "peer/events.h"
#include "peer/link.h"
#include "peer/listener.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumhinge::peer {

namespace {

constexpr kernel::Milliseconds CHECK_PERIOD{ 200 };
// A replaced connection stays open this long, so that messages in its buffers
// still arrive if the connection works after all.
constexpr std::int64_t RETIRED_LINGER_MS = 1'000;
// Later invalid addresses are refused without a log line.
constexpr std::size_t MAX_LOGGED_ADDRESSES = 1'000;

struct PendingRequest
{
  std::string address;
  std::int64_t sent_ms = 0;
  PeerNode::ReplyCallback callback;
  kernel::Subscription timeout;
};

struct RetiredConnection
{
  std::unique_ptr<Connection> connection;
  std::int64_t close_ms = 0;
};

} // namespace

struct PeerNode::State
{
  PeerNode& node;
  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Counter& bytes_sent;
  kernel::Counter& bytes_received;
  kernel::Counter& messages_sent;
  kernel::Counter& messages_received;
  kernel::Counter& replies_dropped;
  kernel::Counter& queue_refusals;
  kernel::Counter& redials;
  kernel::Counter& invalid_addresses;
  kernel::Gauge& open_links;
  std::set<std::string> logged_addresses; ///< Invalid ones.
  std::function<void(const v1::Envelope&)> handler;
  std::function<std::uint64_t()> config_version;
  std::map<std::string, std::unique_ptr<Link>> links;
  std::unordered_map<std::uint64_t, PendingRequest> pending;
  std::vector<RetiredConnection> retired;
  std::uint64_t next_id = kernel::random_id();
  kernel::Subscription check_timer;
  std::unique_ptr<Listener> listener;

  State(PeerNode& node,
        kernel::TimerService& timers,
        const kernel::Log& log,
        kernel::Metrics& metrics);

  Link& link(const std::string& address);
  bool accepts_address(const std::string& address);
  bool push(const std::string& address, v1::Envelope& envelope, PushKind kind);
  QueuedMessage pack(v1::Envelope& envelope);
  void receive_all();
  void receive(const std::string& bytes);
  void record_sender(const v1::Envelope& envelope);
  void handle_reply(const v1::Envelope& envelope);
  void handle_ping(const v1::Envelope& envelope);
  void ping(Link& link);
  void redial(const std::string& address, Link& link);
  void check_links();
  void handle_timeout(std::uint64_t id);
};

PeerNode::State::State(PeerNode& node,
                       kernel::TimerService& timers,
                       const kernel::Log& log,
                       kernel::Metrics& metrics)
  : node(node)
  , timers(timers)
  , log(log)
  , bytes_sent(metrics.counter("peer_bytes_sent_total"))
  , bytes_received(metrics.counter("peer_bytes_received_total"))
  , messages_sent(metrics.counter("peer_messages_sent_total"))
  , messages_received(metrics.counter("peer_messages_received_total"))
  , replies_dropped(metrics.counter("peer_replies_dropped_total"))
  , queue_refusals(metrics.counter("peer_queue_refusals_total"))
  , redials(metrics.counter("peer_redials_total"))
  , invalid_addresses(metrics.counter("peer_invalid_addresses_total"))
  , open_links(metrics.gauge("peer_links_open"))
{
  this->check_timer =
    timers.every(CHECK_PERIOD, [this] { this->check_links(); });
  this->listener = std::make_unique<Listener>(
    [&node, this] { node.post([this] { this->receive_all(); }); });
}

Link&
PeerNode::State::link(const std::string& address)
{
  std::unique_ptr<Link>& found = this->links[address];
  if (!found) {
    Link::SendDone done =
      [this, address](std::uint64_t number, std::uint64_t sequence, bool sent) {
        this->node.post([this, address, number, sequence, sent] {
          std::map<std::string, std::unique_ptr<Link>>::iterator found =
            this->links.find(address);
          if (found == this->links.end())
            return;
          std::size_t size =
            found->second->send_completed(number, sequence, sent);
          this->bytes_sent.add(size);
          this->messages_sent.add(size == 0 ? 0 : 1);
        });
      };
    found = std::make_unique<Link>(address, std::move(done), kernel::boot_ms());
    this->open_links.set(static_cast<double>(this->links.size()));
  }
  return *found;
}

QueuedMessage
PeerNode::State::pack(v1::Envelope& envelope)
{
  const PeerIdentity& self = this->node.self();
  envelope.set_message_id(this->next_id++);
  envelope.set_sender(self.name);
  envelope.set_sender_incarnation(self.incarnation);
  envelope.set_sender_address(self.address);
  if (this->config_version)
    envelope.set_config_version(this->config_version());
  return { envelope.message_id(),
           envelope.SerializeAsString(),
           kernel::boot_ms() };
}

/// Whether the address can be dialled. A dialler of any other text would retry
/// without end, and names block the threads that resolve addresses.
bool
PeerNode::State::accepts_address(const std::string& address)
{
  if (kernel::is_address(address))
    return true;
  this->invalid_addresses.add();
  bool log_line = this->logged_addresses.size() < MAX_LOGGED_ADDRESSES &&
                  this->logged_addresses.insert(address).second;
  if (log_line)
    this->log.write(ADDRESS_INVALID, { { "peer", address } });
  return false;
}

bool
PeerNode::State::push(const std::string& address,
                      v1::Envelope& envelope,
                      PushKind kind)
{
  if (!this->accepts_address(address))
    return false;
  bool queued = this->link(address).push(this->pack(envelope), kind);
  if (!queued) {
    this->queue_refusals.add();
    this->log.write(QUEUE_FULL, { { "peer", address } });
  }
  return queued;
}

void
PeerNode::State::receive_all()
{
  for (const std::string& bytes : this->listener->take_messages())
    this->receive(bytes);
}

void
PeerNode::State::receive(const std::string& bytes)
{
  this->bytes_received.add(bytes.size());
  this->messages_received.add();
  v1::Envelope envelope;
  if (!envelope.ParseFromString(bytes)) {
    this->log.write(MESSAGE_MALFORMED, { { "bytes", bytes.size() } });
    return;
  }
  this->record_sender(envelope);
  if (envelope.reply_to() != 0)
    this->handle_reply(envelope);
  else if (envelope.has_ping())
    this->handle_ping(envelope);
  else if (this->handler)
    this->handler(envelope);
}

void
PeerNode::State::record_sender(const v1::Envelope& envelope)
{
  std::map<std::string, std::unique_ptr<Link>>::iterator found =
    this->links.find(envelope.sender_address());
  if (found == this->links.end())
    return;
  Link& link = *found->second;
  bool restarted = link.peer_incarnation != 0 &&
                   link.peer_incarnation != envelope.sender_incarnation();
  link.peer_incarnation = envelope.sender_incarnation();
  // The old connection may still lead to a VM that ended without closing it.
  if (restarted && link.may_redial(kernel::boot_ms()))
    this->redial(found->first, link);
}

void
PeerNode::State::handle_reply(const v1::Envelope& envelope)
{
  std::unordered_map<std::uint64_t, PendingRequest>::iterator found =
    this->pending.find(envelope.reply_to());
  if (found != this->pending.end()) {
    PendingRequest pending = std::move(found->second);
    this->pending.erase(found);
    this->link(pending.address).confirm_delivery(pending.sent_ms);
    pending.timeout.reset();
    pending.callback(envelope);
    return;
  }
  for (const std::pair<const std::string, std::unique_ptr<Link>>& item :
       this->links) {
    if (item.second->confirm_ping(envelope.reply_to()))
      return;
  }
  this->replies_dropped.add();
}

void
PeerNode::State::handle_ping(const v1::Envelope& envelope)
{
  // Unanswered pings of the peer mean that our pongs were lost: the connection
  // from here to the peer is silent.
  if (!this->accepts_address(envelope.sender_address()))
    return;
  Link& link = this->link(envelope.sender_address());
  if (envelope.ping().unanswered() > 0 && link.may_redial(kernel::boot_ms()))
    this->redial(envelope.sender_address(), link);
  v1::Envelope pong;
  pong.mutable_pong();
  this->node.reply(envelope, std::move(pong));
}

void
PeerNode::State::ping(Link& link)
{
  v1::Envelope envelope;
  envelope.mutable_ping()->set_unanswered(link.unanswered_pings());
  link.push_ping(this->pack(envelope));
}

void
PeerNode::State::redial(const std::string& address, Link& link)
{
  std::int64_t now = kernel::boot_ms();
  this->redials.add();
  this->log.write(CONNECTION_SILENT, { { "peer", address } });
  this->retired.push_back({ link.redial(now), now + RETIRED_LINGER_MS });
}

void
PeerNode::State::check_links()
{
  std::int64_t now = kernel::boot_ms();
  std::erase_if(this->retired, [now](const RetiredConnection& item) {
    return now >= item.close_ms;
  });
  std::vector<std::string> idle;
  for (const std::pair<const std::string, std::unique_ptr<Link>>& item :
       this->links) {
    Link::Due due = item.second->check(now);
    if (due == Link::Due::Ping)
      this->ping(*item.second);
    else if (due == Link::Due::Redial)
      this->redial(item.first, *item.second);
    else if (due == Link::Due::Close)
      idle.push_back(item.first);
  }
  for (const std::string& address : idle)
    this->links.erase(address);
  this->open_links.set(static_cast<double>(this->links.size()));
}

void
PeerNode::State::handle_timeout(std::uint64_t id)
{
  std::unordered_map<std::uint64_t, PendingRequest>::iterator found =
    this->pending.find(id);
  if (found == this->pending.end())
    return;
  PendingRequest pending = std::move(found->second);
  this->pending.erase(found);
  CancelResult result = this->link(pending.address).cancel(id);
  pending.callback(tl::unexpected(result == CancelResult::NotSent
                                    ? PeerError::NotSent
                                    : PeerError::TimedOut));
}

PeerNode::PeerNode(kernel::Loop& loop,
                   kernel::TimerService& timers,
                   const kernel::Log& log,
                   kernel::Metrics& metrics,
                   PeerIdentity identity)
  : Task(loop, "peer")
  , identity(std::move(identity))
  , state(std::make_unique<State>(*this, timers, log, metrics))
{
}

PeerNode::~PeerNode() = default;

tl::expected<void, PeerError>
PeerNode::listen()
{
  if (this->state->listener->listen(this->identity.address))
    return {};
  this->state->log.write(LISTEN_FAILED,
                         { { "address", this->identity.address } });
  return tl::unexpected(PeerError::ListenFailed);
}

tl::expected<void, PeerError>
PeerNode::send(const std::string& address, v1::Envelope envelope)
{
  if (this->state->push(address, envelope, PushKind::OneWay))
    return {};
  return tl::unexpected(PeerError::NotSent);
}

void
PeerNode::request(const std::string& address,
                  v1::Envelope envelope,
                  kernel::Milliseconds timeout,
                  ReplyCallback callback)
{
  if (!this->state->push(address, envelope, PushKind::Request)) {
    this->post([callback = std::move(callback)] {
      callback(tl::unexpected(PeerError::NotSent));
    });
    return;
  }
  std::uint64_t id = envelope.message_id();
  PendingRequest pending;
  pending.address = address;
  pending.sent_ms = kernel::boot_ms();
  pending.callback = std::move(callback);
  pending.timeout = this->state->timers.after(
    timeout, [state = this->state.get(), id] { state->handle_timeout(id); });
  this->state->pending.emplace(id, std::move(pending));
}

void
PeerNode::reply(const v1::Envelope& received, v1::Envelope envelope)
{
  envelope.set_reply_to(received.message_id());
  PushKind kind = envelope.has_pong() ? PushKind::Pong : PushKind::OneWay;
  this->state->push(received.sender_address(), envelope, kind);
}

void
PeerNode::on_message(std::function<void(const v1::Envelope&)> handler)
{
  this->state->handler = std::move(handler);
}

void
PeerNode::set_config_version_source(
  std::function<std::uint64_t()> config_version)
{
  this->state->config_version = std::move(config_version);
}

} // namespace geraniumhinge::peer
