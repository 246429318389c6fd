#pragma once

#include "core/workflow.h"
#include "entry/server_table.h"
#include "platform/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// A workflow as read from the rows of the store.
struct WorkItem
{
  std::optional<core::Workflow> workflow; ///< Empty until its row was read.
  std::uint64_t workflow_version = 0;
  core::Progress progress;
  std::uint64_t progress_version = 0; ///< 0 until the owner wrote the row.
  /// Boot time at which the stored outcome was first read, 0 while open.
  std::int64_t outcome_read_ms = 0;
  bool progress_readable = true;
  /// The rows were read and fit each other. The owner leaves other items alone.
  bool usable = false;
  /// A caller has cancelled the workflow, or this identifier before the
  /// workflow was stored.
  bool cancelled = false;
  /// Of the row, also if it can't be read or was written for an earlier
  /// workflow of this identifier; 0 if there is none.
  std::uint64_t cancel_version = 0;
  /// Boot time at which this version was first read.
  std::int64_t cancel_read_ms = 0;

  /// Sets `usable` after a row has changed.
  void check();

  /// Forgets the workflow and its rows, removed at `version`. Keeps a cancel
  /// row that was written since.
  void forget_workflow(std::uint64_t version);

  /// Forgets the removed row of the progress. If another writer removed it,
  /// what has run is unknown, and the item is not usable until the row is
  /// written again. If it is older than the row of the workflow, it was that of
  /// an earlier workflow with the same identifier.
  void forget_progress();
};

/// The newest heartbeat row of an owner.
struct OwnerHeartbeat
{
  std::uint64_t version = 0;
  std::uint64_t term = 0; ///< 0 if the row can't be read.
  /// Boot time at which this version was first read.
  std::int64_t read_ms = 0;
  std::vector<SilentAgent> silent;
};

/// The rows of all workflows, kept up to date from the changes of the store.
/// Older rows never replace newer ones.
class WorkView
{
public:
  using Items = std::map<std::string, WorkItem>;

  /// Applies changed and removed rows.
  void apply(const platform::RowPage& page);
  void apply(const platform::StoredRow& row);

  /// Applies all rows of the table, and drops those that it no longer has.
  void replace(const platform::RowPage& page);

  /// The item of a stored workflow; null if there is none.
  const WorkItem* find(const std::string& id) const;
  /// Also has the cancel rows of identifiers without a workflow.
  const Items& items() const { return this->items_by_id; }

  const OwnerHeartbeat& heartbeat() const { return this->newest_heartbeat; }

  /// Nodes of the servers that have runs.
  std::set<std::string> nodes_with_runs() const;

private:
  void remove(const platform::StoredRow& row);
  static void apply_cancel(WorkItem& item, const platform::StoredRow& row);
  void apply_heartbeat(const platform::StoredRow& row);
  void mark_unreadable(const platform::StoredRow& row);
  void drop_missing(const platform::RowPage& page);

  Items items_by_id;
  OwnerHeartbeat newest_heartbeat;
};

/// Counts the accepted workflows of a queue that have not started. Workflows
/// with timed occurrences are not counted.
std::uint64_t
count_waiting_workflows(const WorkView& view, const std::string& queue);

} // namespace geraniumhinge::entry
