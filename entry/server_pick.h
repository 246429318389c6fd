#pragma once

#include "core/route.h"
#include "entry/fleet.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace geraniumhinge::entry {

/// A backend server chosen for a short request. The request counts as load of
/// the server until `load_guard` is destroyed.
struct PickedServer
{
  std::string server;
  std::string agent_address;
  std::uint64_t incarnation = 0;
  std::shared_ptr<void> load_guard;
};

/// Chooses backend servers for short requests by their load.
class ServerPicker
{
public:
  ServerPicker(Fleet& fleet, const std::string& own_zone);

  /// Returns the least loaded server that is not in `tried`. Suspect servers,
  /// which did not reply recently, are chosen only if there is no other.
  std::optional<PickedServer> pick(const std::set<std::string>& tried);

private:
  std::optional<PickedServer> pick_from(const std::set<std::string>& tried,
                                        bool allow_suspects);

  Fleet& fleet;
  core::Names names;
  core::NameId own_zone;
  std::uint64_t seed;
};

} // namespace geraniumhinge::entry
