#pragma once

#include "entry/cells.h"
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

/// Keeps the members of the cell rows in step with the announcements of the
/// agents: the preferred entry of a cell registers new, changed, leaving and
/// lost backend servers, several in one transaction.
class Registrar : public kernel::Task
{
public:
  Registrar(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            const EntrySettings& settings,
            Membership& membership,
            Fleet& fleet,
            Cells& cells);

  /// Starts the watch for silent servers.
  void start();

private:
  void check(const std::string& server);
  void check_all();
  void check_silence();
  bool owns(const std::string& zone) const;
  const v1::Member* registered(const std::string& zone,
                               const std::string& server) const;
  void queue(const std::string& zone, v1::Member member);
  void flush();
  void commit(const std::string& zone);

  kernel::TimerService& timers;
  const kernel::Log& log;
  const EntrySettings& settings;
  Membership& membership;
  Fleet& fleet;
  Cells& cells;
  std::int64_t watching_since_ms = 0;
  std::int64_t checked_ms = 0;
  kernel::Subscription silence_timer;
  kernel::Subscription batch_timer;
  /// Zone to server to its new value.
  std::map<std::string, std::map<std::string, v1::Member>> pending;
  std::set<std::string> committing;
  std::map<std::string, std::int64_t> owned_since_ms;
};

} // namespace geraniumhinge::entry
