#pragma once

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/table.h"

#include "geraniumhinge/v1/state.pb.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::entry {

/// A cell row as this entry last read or wrote it.
struct CellView
{
  v1::CellRow row;
  std::uint64_t version = 0;
};

using CellMap = std::map<std::string, CellView>;

enum class UpdateErrorKind
{
  Refused,     ///< The change does not apply to the latest rows.
  Conflict,    ///< A row other than a cell changed; nothing was applied.
  Unavailable, ///< Certainly not applied.
  Ambiguous,   ///< May have been, or may still be, applied.
};

struct UpdateError
{
  UpdateErrorKind kind;
  std::string key; ///< Of the row in conflict.
};

/// One transaction over cell rows and others.
struct CellUpdate
{
  /// Changes the rows of `zones` in place, or returns false if the change does
  /// not apply to them. Called again with newer rows after a conflict.
  using Change = std::function<bool(CellMap&)>;

  std::vector<std::string> zones;
  Change change;
  platform::Transaction other_rows; ///< Checks and writes of other rows.
};

/// This entry's copies of the cell rows, and the transactions on them. Only
/// the version checks make a placement safe; the copies may be old.
class Cells : public kernel::Task
{
public:
  /// New versions of the rows written by `CellUpdate::rest`, in order.
  using UpdateResult = tl::expected<std::vector<std::uint64_t>, UpdateError>;
  using UpdateDone = std::function<void(const UpdateResult&)>;

  Cells(kernel::Loop& loop,
        kernel::TimerService& timers,
        const kernel::Log& log,
        kernel::Metrics& metrics,
        platform::Table& table,
        kernel::Milliseconds poll_period);

  /// Reads all cells, tries until the store answers, then polls.
  void start(std::function<void()> loaded);

  const CellMap& all() const { return this->cells; }

  /// Reads all cells anew; calls back with whether the store answered.
  void refresh(const std::function<void(bool)>& done);

  /// Commits a change. Updates of one zone are queued in this process, so that
  /// they conflict only with other entries.
  void update(CellUpdate update, UpdateDone done);

  /// Calls `fn` after cells were read or written.
  void on_change(std::function<void()> fn);

private:
  struct Pending
  {
    CellUpdate update;
    UpdateDone done;
    int conflicts = 0;
    bool reread = false;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void poll();
  void apply(const platform::Row& row);
  void run_queue();
  bool overlaps_busy(const Pending& pending) const;
  void attempt(const PendingPtr& pending);
  void commit(const PendingPtr& pending, CellMap changed);
  void committed(const PendingPtr& pending,
                 const CellMap& changed,
                 const std::vector<std::uint64_t>& versions);
  void failed(const PendingPtr& pending, const platform::TableError& error);
  void reread(const PendingPtr& pending);
  void finish(const PendingPtr& pending, const UpdateResult& result);
  void changed() const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Table& table;
  kernel::Milliseconds poll_period;
  kernel::Subscription poll_timer;
  bool polling = false;
  CellMap cells;
  std::deque<PendingPtr> queue;
  std::set<std::string> busy;
  std::vector<std::function<void()>> listeners;
};

} // namespace geraniumhinge::entry
