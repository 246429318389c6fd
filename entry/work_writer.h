#pragma once

#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"

#include <cstdint>
#include <functional>

namespace geraniumhinge::entry {

struct WorkWriterHooks
{
  /// The change was applied and made this version.
  std::function<void(const platform::RowChange&, std::uint64_t version)>
    applied;
  /// A condition failed. `still_owner` tells whether the owner's row is the
  /// one of the term.
  std::function<void(bool still_owner)> refused;
};

/// Stores the owner's changes one after another. A change without an answer is
/// sent again: it names the versions of its rows, so it is applied once.
class WorkWriter : public kernel::Task
{
public:
  WorkWriter(kernel::Loop& loop,
             kernel::TimerService& timers,
             platform::Store& store,
             WorkWriterHooks hooks);

  void begin(std::uint64_t term);
  /// Takes no more notice of the change in flight.
  void end();

  bool busy() const { return this->in_flight; }

  /// Must not be called while busy.
  void write(platform::RowChange change);

private:
  void send();
  void answered(const platform::Store::CommitResult& result);
  void conflict(const platform::StoreError& error);
  bool applied_before(const platform::StoreError& error) const;
  void finish(std::uint64_t version);

  kernel::TimerService& timers;
  platform::Store& store;
  WorkWriterHooks hooks;
  std::uint64_t term = 0;
  std::uint64_t change_number = 0; ///< Tells answers of earlier changes apart.
  platform::RowChange change;
  bool in_flight = false;
  int tries = 0;
  kernel::Subscription retry;
};

} // namespace geraniumhinge::entry
