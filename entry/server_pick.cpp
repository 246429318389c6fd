#include "entry/server_pick.h"

#include <algorithm>
#include <limits>

namespace geraniumhinge::entry {

ServerPicker::ServerPicker(Fleet& fleet, const std::string& own_zone)
  : fleet(fleet)
  , own_zone(this->names.intern(own_zone))
  , seed(kernel::random_id())
{
}

std::optional<PickedServer>
ServerPicker::pick(const std::set<std::string>& tried)
{
  std::optional<PickedServer> picked = this->pick_from(tried, false);
  return picked ? picked : this->pick_from(tried, true);
}

std::optional<PickedServer>
ServerPicker::pick_from(const std::set<std::string>& tried, bool allow_suspects)
{
  std::int64_t now = allow_suspects ? std::numeric_limits<std::int64_t>::max()
                                    : kernel::boot_ms();
  std::vector<core::ServerLoad> loads;
  std::vector<const std::string*> servers;
  for (const auto& [server, view] : this->fleet.servers()) {
    core::ServerLoad load;
    load.in_flight = std::max(view.own_in_flight, view.requests_in_flight);
    load.slots =
      view.member.slots() - std::min(view.member.slots(), view.job_slots);
    load.zone = this->names.intern(view.zone);
    load.available = this->fleet.usable(view, now) && !tried.contains(server);
    loads.push_back(load);
    servers.push_back(&server);
  }
  std::optional<std::size_t> index =
    core::choose_server(loads, this->own_zone, ++this->seed);
  if (!index)
    return std::nullopt;
  std::string server = *servers[*index];
  ServerView* view = this->fleet.find(server);
  ++view->own_in_flight;
  // Guarded: when the program ends, a transport callback may outlive the fleet.
  std::shared_ptr<void> load_guard(
    nullptr, [release = this->fleet.guarded([&fleet = this->fleet, server] {
      ServerView* view = fleet.find(server);
      if (view != nullptr && view->own_in_flight > 0)
        --view->own_in_flight;
    })](void*) mutable { release(); });
  return PickedServer{ server,
                       view->member.agent_address(),
                       view->member.incarnation(),
                       std::move(load_guard) };
}

} // namespace geraniumhinge::entry
