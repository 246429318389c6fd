#pragma once

#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

#include "geraniumhinge/v1/state.pb.h"

#include <functional>
#include <string>

namespace geraniumhinge::entry {

struct OwnershipHooks
{
  /// This entry owns the work under a new term; its rows must be read anew.
  std::function<void(std::uint64_t term)> acquired;
  std::function<void()> lost;
  /// Version of the newest heartbeat that was read.
  std::function<std::uint64_t()> heartbeat_version;
  /// Boot time since which changes of the work arrive without a failure, 0 if
  /// they do not.
  std::function<std::int64_t()> watch_healthy_since_ms;
  /// Boot time at which the newest answered call for changes was sent.
  std::function<std::int64_t()> confirmed_ms;
};

/// Which entry places the work. Any entry takes over from an owner that sends
/// no heartbeat; it needs not wait, since each transaction of an owner
/// names the version of the owner's row, its term, and fails once that changed.
class Ownership : public kernel::Task
{
public:
  Ownership(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            platform::Store& store,
            std::string entry,
            std::string peer_address,
            OwnershipHooks hooks);

  void start();

  /// Gives the work up, so that another entry takes over at once.
  void release();

  bool owns() const { return this->own_term != 0; }
  std::uint64_t term() const { return this->own_term; }
  const std::string& owner_address() const { return this->address; }

  /// A transaction failed because the term is over.
  void term_superseded();

private:
  void handle_rows(const platform::RowPage& page);
  void check();
  bool owner_silent(std::int64_t now_ms);
  void claim();
  void claimed(const platform::Store::CommitResult& result);
  void become_owner(std::uint64_t term);
  void lose_ownership();
  void write_heartbeat();
  v1::OwnerRow own_row() const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Store& store;
  std::string entry;
  std::string peer_address;
  std::uint64_t incarnation;
  OwnershipHooks hooks;
  platform::TableWatcher watcher;
  std::uint64_t row_version = 0;
  bool vacant = true;  ///< No owner, or it gave the work up.
  std::string address; ///< The owner's.
  std::uint64_t own_term = 0;
  std::uint64_t heartbeats = 0;
  std::uint64_t seen_heartbeat = 0;
  std::int64_t seen_heartbeat_ms = 0; ///< Boot time of its first sight.
  std::int64_t heartbeat_timeout_ms;
  bool claiming = false;
  bool heartbeat_in_flight = false;
  bool released = false;
  kernel::Subscription check_timer;
  kernel::Subscription heartbeat_timer;
};

} // namespace geraniumhinge::entry
