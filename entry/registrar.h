#pragma once

#include "entry/cell_cache.h"
#include "entry/fleet.h"
#include "entry/membership.h"
#include "entry/settings.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include <map>
#include <set>
#include <string>

namespace geraniumhinge::entry {

/// Updates the members of the cell rows from the messages of the agents. The
/// preferred entry of a cell registers new, changed, leaving and lost backend
/// servers, several in one transaction.
class Registrar : public kernel::Task
{
public:
  Registrar(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            const EntrySettings& settings,
            Membership& membership,
            Fleet& fleet,
            CellCache& cell_cache);

  /// Starts the registration and the checks for silent servers.
  void start();

private:
  void check_server(const std::string& server);
  void check_all();
  void check_silence();
  bool is_preferred(const std::string& zone) const;
  const v1::Member* find_registered(const std::string& zone,
                                    const std::string& server) const;
  void add_pending(const std::string& zone, v1::Member member);
  void commit_pending();
  void commit_zone(const std::string& zone);

  kernel::TimerService& timers;
  const kernel::Log& log;
  const EntrySettings& settings;
  Membership& membership;
  Fleet& fleet;
  CellCache& cell_cache;
  std::int64_t started_ms = 0;
  std::int64_t checked_ms = 0;
  kernel::Subscription silence_timer;
  kernel::Subscription batch_timer;
  /// Members to write, by zone and server.
  std::map<std::string, std::map<std::string, v1::Member>> pending;
  std::set<std::string> committing_zones;
  std::map<std::string, std::int64_t> preferred_since_ms;
};

} // namespace geraniumhinge::entry
