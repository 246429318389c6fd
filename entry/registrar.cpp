#include "entry/registrar.h"

#include "entry/events.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds SILENCE_CHECK_PERIOD{ 500 };
constexpr std::int64_t MAX_CHECK_GAP_MS = 3'000;

v1::Member*
find_member(v1::CellRow& row, const std::string& server)
{
  for (v1::Member& member : *row.mutable_members()) {
    if (member.server() == server)
      return &member;
  }
  return nullptr;
}

/// Writes the members into the row; returns false if nothing has changed.
bool
merge_members(v1::CellRow& row,
              const std::map<std::string, v1::Member>& members)
{
  bool changed = false;
  for (const auto& [server, member] : members) {
    v1::Member* present = find_member(row, server);
    if (present != nullptr &&
        present->SerializeAsString() == member.SerializeAsString())
      continue;
    if (present == nullptr)
      present = row.add_members();
    *present = member;
    changed = true;
  }
  return changed;
}

/// The member from its agent's message, with the state to register.
v1::Member
member_to_register(const ServerView& view)
{
  v1::Member member = view.member;
  member.set_state(view.leaving ? v1::SERVER_STATE_LEAVING
                                : v1::SERVER_STATE_READY);
  return member;
}

} // namespace

Registrar::Registrar(kernel::Loop& loop,
                     kernel::TimerService& timers,
                     const kernel::Log& log,
                     const EntrySettings& settings,
                     Membership& membership,
                     Fleet& fleet,
                     CellCache& cell_cache)
  : Task(loop, "registrar")
  , timers(timers)
  , log(log)
  , settings(settings)
  , membership(membership)
  , fleet(fleet)
  , cell_cache(cell_cache)
{
}

void
Registrar::start()
{
  this->started_ms = kernel::boot_ms();
  this->fleet.on_agent_message(
    [this](const std::string& server) { this->check_server(server); });
  this->membership.on_change([this] { this->check_all(); });
  this->silence_timer =
    this->timers.every(SILENCE_CHECK_PERIOD, [this] { this->check_silence(); });
  this->check_all();
}

bool
Registrar::is_preferred(const std::string& zone) const
{
  return this->membership.preferred_entry(zone) ==
         this->membership.self().name();
}

const v1::Member*
Registrar::find_registered(const std::string& zone,
                           const std::string& server) const
{
  CellMap::const_iterator cell = this->cell_cache.all().find(zone);
  if (cell == this->cell_cache.all().end())
    return nullptr;
  for (const v1::Member& member : cell->second.row.members()) {
    if (member.server() == server)
      return &member;
  }
  return nullptr;
}

void
Registrar::check_server(const std::string& server)
{
  const ServerView* view = this->fleet.find(server);
  if (view == nullptr || view->last_seen_ms == 0 || this->started_ms == 0)
    return;
  const v1::Member* present = this->find_registered(view->zone, server);
  // A server marked as lost whose agent sends messages here is alive, whichever
  // entry marked it.
  bool alive_but_lost = present != nullptr &&
                        present->state() == v1::SERVER_STATE_LOST &&
                        present->incarnation() == view->member.incarnation();
  if (!this->is_preferred(view->zone) && !alive_but_lost)
    return;
  v1::Member member = member_to_register(*view);
  bool same = present != nullptr &&
              present->SerializeAsString() == member.SerializeAsString();
  if (!same)
    this->add_pending(view->zone, std::move(member));
}

void
Registrar::check_all()
{
  std::int64_t oldest =
    kernel::boot_ms() - this->settings.server_silence_limit.count();
  for (const auto& [server, view] : this->fleet.servers()) {
    if (view.last_seen_ms > oldest)
      this->check_server(server);
  }
}

void
Registrar::check_silence()
{
  std::int64_t now = kernel::boot_ms();
  // A long gap means that this process was paused: heartbeats may still wait in
  // its own queues.
  if (now - this->checked_ms > MAX_CHECK_GAP_MS)
    this->preferred_since_ms.clear();
  this->checked_ms = now;
  for (const auto& [zone, cell] : this->cell_cache.all()) {
    if (!this->is_preferred(zone)) {
      this->preferred_since_ms.erase(zone);
      continue;
    }
    std::int64_t preferred_since_ms =
      this->preferred_since_ms.emplace(zone, now).first->second;
    for (const v1::Member& member : cell.row.members()) {
      const ServerView* view = this->fleet.find(member.server());
      std::int64_t last_seen_ms = view == nullptr ? 0 : view->last_seen_ms;
      bool silent = now - std::max(last_seen_ms, preferred_since_ms) >=
                    this->settings.server_silence_limit.count();
      if (!silent || member.state() == v1::SERVER_STATE_LOST)
        continue;
      v1::Member lost = member;
      lost.set_state(v1::SERVER_STATE_LOST);
      this->log.write(SERVER_LOST, { { "server", member.server() } });
      this->add_pending(zone, std::move(lost));
    }
  }
}

void
Registrar::add_pending(const std::string& zone, v1::Member member)
{
  std::string server = member.server();
  this->pending[zone][server] = std::move(member);
  if (!this->batch_timer.active())
    this->batch_timer =
      this->timers.after(this->settings.registration_batch_period,
                         [this] { this->commit_pending(); });
}

void
Registrar::commit_pending()
{
  this->batch_timer.reset();
  std::vector<std::string> zones;
  for (const auto& [zone, members] : this->pending)
    zones.push_back(zone);
  for (const std::string& zone : zones) {
    if (!this->committing_zones.contains(zone))
      this->commit_zone(zone);
  }
}

void
Registrar::commit_zone(const std::string& zone)
{
  std::map<std::string, v1::Member> members = std::move(this->pending[zone]);
  this->pending.erase(zone);
  this->committing_zones.insert(zone);
  std::size_t count = members.size();
  CellUpdate update;
  update.zones = { zone };
  update.change = [zone, members = std::move(members)](CellMap& cells) {
    return merge_members(cells.at(zone).row, members);
  };
  this->cell_cache.update(
    std::move(update),
    this->guarded([this, zone, count](const CellCache::UpdateResult& result) {
      this->committing_zones.erase(zone);
      if (result)
        this->log.write(SERVER_REGISTERED,
                        { { "zone", zone }, { "servers", count } });
      // After a failure, the next heartbeat or silence check adds the members
      // again.
      if (!this->pending.empty())
        this->commit_pending();
    }));
}

} // namespace geraniumhinge::entry
