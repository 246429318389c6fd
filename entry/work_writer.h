#pragma once

#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace geraniumhinge::entry {

struct WorkWriterHooks
{
  /// Called when the change is stored, with the version of its rows.
  std::function<void(const platform::RowChange&, std::uint64_t version)> stored;
  /// Called when a condition of the change failed, with the rows as they are.
  /// `still_owner` is false if the owner's row no longer has the version of the
  /// term.
  std::function<void(bool still_owner,
                     const std::vector<platform::StoredRow>& current)>
    conflict;
};

/// Stores the owner's changes one at a time. A change without a response is
/// sent again; its conditions on row versions let the store apply it only once.
class WorkWriter : public kernel::Task
{
public:
  WorkWriter(kernel::Loop& loop,
             kernel::TimerService& timers,
             platform::Store& store,
             WorkWriterHooks hooks);

  void start_term(std::uint64_t term);
  /// Ignores the response to the change in flight.
  void end_term();

  bool busy() const { return this->in_flight; }

  /// For how long the change in flight has waited for the store; 0 if there is
  /// none.
  std::int64_t wait_ms(std::int64_t now_ms) const
  {
    return this->in_flight ? now_ms - this->written_ms : 0;
  }

  /// Must not be called while busy.
  void write(platform::RowChange change);

private:
  void send();
  void handle_commit_result(const platform::Store::CommitResult& result);
  void handle_conflict(const platform::StoreError& error);
  std::optional<std::uint64_t> applied_version(
    const platform::StoreError& error) const;
  void finish(std::uint64_t version);

  kernel::TimerService& timers;
  platform::Store& store;
  WorkWriterHooks hooks;
  std::uint64_t term = 0;
  std::uint64_t change_number = 0; ///< Identifies late responses.
  platform::RowChange change;
  bool in_flight = false;
  std::int64_t written_ms = 0; ///< Boot time of the last call of `write`.
  int tries = 0;
  kernel::Subscription retry_timer;
};

} // namespace geraniumhinge::entry
