#include "entry/fleet.h"

#include <algorithm>

namespace geraniumhinge::entry {

Fleet::Fleet(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             kernel::Metrics& metrics,
             const EntrySettings& settings,
             Transport transport,
             Membership& membership,
             CellCache& cell_cache,
             ConfigHook config)
  : Task(loop, "fleet")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , settings(settings)
  , transport(std::move(transport))
  , membership(membership)
  , cell_cache(cell_cache)
  , config(std::move(config))
{
  this->cell_cache.on_change([this] { this->apply_cells(); });
}

void
Fleet::handle(const v1::Envelope& envelope)
{
  if (envelope.has_hello())
    this->handle_hello(envelope);
  else if (envelope.has_agent_heartbeat())
    this->handle_heartbeat(envelope);
  else if (envelope.has_leaving())
    this->handle_leaving(envelope);
}

void
Fleet::handle_hello(const v1::Envelope& envelope)
{
  const v1::Hello& hello = envelope.hello();
  const std::string& server = hello.member().server();
  if (server.empty() || hello.zone().empty())
    return;
  ServerView& view = this->views[server];
  bool restarted = view.member.incarnation() != hello.member().incarnation();
  view.member = hello.member();
  view.zone = hello.zone();
  view.last_seen_ms = kernel::boot_ms();
  view.leaving = hello.member().state() == v1::SERVER_STATE_LEAVING;
  if (restarted) {
    view.suspect_until_ms = 0;
    view.requests_in_flight = 0;
  }
  this->senders[envelope.sender()] = server;
  this->reply_hello(envelope, server);
  this->notify_listener(server);
}

void
Fleet::reply_hello(const v1::Envelope& envelope, const std::string& server)
{
  v1::Envelope reply;
  for (const v1::EntryRow& row : this->membership.live_rows())
    *reply.mutable_hello_reply()->add_entries() = row;
  reply.mutable_hello_reply()->set_entries_digest(
    this->membership.live_digest());
  *reply.mutable_hello_reply()->mutable_config() = this->config_digest(server);
  this->transport.reply(envelope, std::move(reply));
}

ServerView*
Fleet::find_by_sender(const v1::Envelope& envelope)
{
  std::map<std::string, std::string>::iterator found =
    this->senders.find(envelope.sender());
  if (found == this->senders.end())
    return nullptr;
  ServerView* view = this->find(found->second);
  bool current = view != nullptr &&
                 view->member.incarnation() == envelope.sender_incarnation();
  return current ? view : nullptr;
}

void
Fleet::handle_heartbeat(const v1::Envelope& envelope)
{
  // An agent that gets no Ack sends Hello again.
  ServerView* view = this->find_by_sender(envelope);
  if (view == nullptr)
    return;
  const v1::AgentHeartbeat& heartbeat = envelope.agent_heartbeat();
  view->last_seen_ms = kernel::boot_ms();
  view->requests_in_flight = heartbeat.requests_in_flight();
  view->leaving = heartbeat.leaving();
  v1::Envelope reply;
  reply.mutable_ack()->set_entries_digest(this->membership.live_digest());
  this->transport.reply(envelope, std::move(reply));
  if (envelope.config_version() < this->config().version())
    this->send_digest(*view);
  this->notify_listener(view->member.server());
}

void
Fleet::handle_leaving(const v1::Envelope& envelope)
{
  ServerView* view = this->find_by_sender(envelope);
  if (view == nullptr)
    return;
  view->last_seen_ms = kernel::boot_ms();
  view->leaving = true;
  v1::Envelope reply;
  reply.mutable_ack()->set_entries_digest(this->membership.live_digest());
  this->transport.reply(envelope, std::move(reply));
  this->notify_listener(view->member.server());
}

v1::ConfigDigest
Fleet::config_digest(const std::string& server) const
{
  v1::ConfigDigest digest;
  digest.set_version(this->config().version());
  digest.set_quarantined(this->quarantined(server));
  return digest;
}

void
Fleet::send_digest(const ServerView& view)
{
  v1::Envelope envelope;
  *envelope.mutable_config_digest() = this->config_digest(view.member.server());
  this->transport.send(view.member.agent_address(), std::move(envelope));
}

void
Fleet::push_config()
{
  std::int64_t oldest =
    kernel::boot_ms() - this->settings.server_silence_limit.count();
  for (const auto& [server, view] : this->views) {
    if (view.last_seen_ms > oldest && view.last_seen_ms != 0)
      this->send_digest(view);
  }
}

void
Fleet::apply_cells()
{
  for (auto& [server, view] : this->views)
    view.job_slots = 0;
  for (const auto& [zone, cell] : this->cell_cache.all()) {
    for (const v1::Member& member : cell.row.members()) {
      ServerView& view = this->views[member.server()];
      // An agent that is not silent here has sent newer values than the row.
      // For a silent agent the row may have a newer incarnation.
      std::int64_t oldest =
        kernel::boot_ms() - this->settings.server_silence_limit.count();
      bool seen_lately = view.last_seen_ms != 0 && view.last_seen_ms > oldest;
      view.zone = zone;
      if (!seen_lately)
        view.member = member;
    }
    for (const v1::Allocation& allocation : cell.row.allocations())
      ++this->views[allocation.server()].job_slots;
  }
}

ServerView*
Fleet::find(const std::string& server)
{
  std::map<std::string, ServerView>::iterator found = this->views.find(server);
  return found == this->views.end() ? nullptr : &found->second;
}

bool
Fleet::quarantined(const std::string& server) const
{
  const v1::Configuration& configuration = this->config();
  return std::find(configuration.quarantined_servers().begin(),
                   configuration.quarantined_servers().end(),
                   server) != configuration.quarantined_servers().end();
}

bool
Fleet::usable(const ServerView& view, std::int64_t now_ms) const
{
  bool ready = view.member.state() == v1::SERVER_STATE_READY ||
               view.member.state() == v1::SERVER_STATE_UNSPECIFIED;
  return ready && !view.leaving && view.suspect_until_ms <= now_ms &&
         !view.member.agent_address().empty() &&
         !this->quarantined(view.member.server());
}

void
Fleet::mark_suspect(const std::string& server)
{
  ServerView* view = this->find(server);
  if (view != nullptr)
    view->suspect_until_ms =
      kernel::boot_ms() + this->settings.suspect_period.count();
}

void
Fleet::record_reply(const std::string& server)
{
  ServerView* view = this->find(server);
  if (view == nullptr)
    return;
  view->replied_ms = kernel::boot_ms();
  view->suspect_until_ms = 0;
}

void
Fleet::on_agent_message(std::function<void(const std::string&)> fn)
{
  this->listener = std::move(fn);
}

void
Fleet::notify_listener(const std::string& server)
{
  if (this->listener)
    this->listener(server);
}

} // namespace geraniumhinge::entry
