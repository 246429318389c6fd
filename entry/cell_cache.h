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
  Refused,     ///< The change is not possible on the latest rows.
  Conflict,    ///< A row other than a cell changed; nothing was applied.
  Unavailable, ///< Not applied.
  Ambiguous,   ///< May be applied, already or later.
};

struct UpdateError
{
  UpdateErrorKind kind;
  std::string key; ///< Of the row in conflict.
};

/// One transaction on cell rows and other rows.
struct CellUpdate
{
  /// Changes the rows of `zones` in place; returns false if the change is not
  /// possible on them. Called again with newer rows after a conflict.
  using Change = std::function<bool(CellMap&)>;

  std::vector<std::string> zones;
  Change change;
  platform::Transaction other_rows; ///< Checks and writes of other rows.
};

/// This entry's copies of the cell rows, and the transactions on them. The
/// copies may be outdated: only the version checks of a commit make a placement
/// safe.
class CellCache : public kernel::Task
{
public:
  /// New versions of the rows written by `CellUpdate::other_rows`, in order.
  using UpdateResult = tl::expected<std::vector<std::uint64_t>, UpdateError>;
  using UpdateDone = std::function<void(const UpdateResult&)>;

  CellCache(kernel::Loop& loop,
            kernel::TimerService& timers,
            const kernel::Log& log,
            kernel::Metrics& metrics,
            platform::Table& table,
            kernel::Milliseconds poll_period);

  /// Reads all cells, with retries until the store responds, then polls.
  void start(std::function<void()> loaded);

  const CellMap& all() const { return this->cells; }

  /// Reads all cells again; `done` gets whether the store responded.
  void refresh(const std::function<void(bool)>& done);

  /// Commits a change. Updates of one zone run one after another, so that only
  /// updates of other entries conflict with them.
  void update(CellUpdate update, UpdateDone done);

  /// Calls `fn` after cells were read or written.
  void on_change(std::function<void()> fn);

private:
  struct PendingUpdate
  {
    CellUpdate update;
    UpdateDone done;
    int conflicts = 0;
    bool read_from_store = false;
  };
  using PendingUpdatePtr = std::shared_ptr<PendingUpdate>;

  void poll();
  void apply(const platform::Row& row);
  void start_ready_updates();
  bool overlaps_busy_zone(const PendingUpdate& pending) const;
  void attempt(const PendingUpdatePtr& pending);
  void commit(const PendingUpdatePtr& pending, CellMap changed);
  void handle_commit(const PendingUpdatePtr& pending,
                     const CellMap& changed,
                     const std::vector<std::uint64_t>& versions);
  void handle_failure(const PendingUpdatePtr& pending,
                      const platform::TableError& error);
  void read_again(const PendingUpdatePtr& pending);
  void finish(const PendingUpdatePtr& pending, const UpdateResult& result);
  void notify_listeners() const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Table& table;
  kernel::Milliseconds poll_period;
  kernel::Subscription poll_timer;
  bool poll_in_flight = false;
  CellMap cells;
  std::deque<PendingUpdatePtr> queue;
  std::set<std::string> busy_zones;
  std::vector<std::function<void()>> listeners;
};

} // namespace geraniumhinge::entry
