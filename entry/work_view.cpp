#include "entry/work_view.h"

#include "entry/work_rows.h"
#include "kernel/clock.h"

#include "geraniumhinge/v1/state.pb.h"

#include <algorithm>
#include <set>

namespace geraniumhinge::entry {

namespace {

std::string
key_of(WorkRowKind kind, const std::string& id)
{
  return work_row(kind, id).key;
}

} // namespace

void
WorkItem::forget_progress()
{
  this->progress_readable = this->progress_version < this->workflow_version;
  this->progress = {};
  this->progress_version = 0;
  this->check();
}

void
WorkItem::forget_workflow(std::uint64_t version)
{
  WorkItem left;
  if (this->cancel_version > version) {
    left.cancelled = true;
    left.cancel_version = this->cancel_version;
    left.cancel_read_ms = this->cancel_read_ms;
  }
  *this = std::move(left);
}

void
WorkItem::check()
{
  this->usable = this->workflow && this->progress_readable &&
                 core::is_consistent(*this->workflow, this->progress);
}

void
WorkView::apply(const platform::RowPage& page)
{
  for (const platform::StoredRow& row : page.rows)
    this->apply(row);
  for (const platform::StoredRow& row : page.unreadable)
    this->mark_unreadable(row);
}

void
WorkView::replace(const platform::RowPage& page)
{
  // Rows without a readable name may be any of those that seem to be missing.
  if (page.malformed_rows == page.unreadable.size())
    this->drop_missing(page);
  this->apply(page);
}

void
WorkView::drop_missing(const platform::RowPage& page)
{
  std::set<std::string> present;
  for (const platform::StoredRow& row : page.rows)
    present.insert(row.name.key);
  for (const platform::StoredRow& row : page.unreadable)
    present.insert(row.name.key);
  // Rows written after the page was read are newer than the page.
  std::erase_if(this->items_by_id, [&](const Items::value_type& entry) {
    const WorkItem& item = entry.second;
    bool has_only_cancel =
      item.workflow_version == 0 &&
      present.contains(key_of(WorkRowKind::Cancel, entry.first));
    return std::max({ item.workflow_version,
                      item.progress_version,
                      item.cancel_version }) <= page.version &&
           !present.contains(key_of(WorkRowKind::Workflow, entry.first)) &&
           !has_only_cancel;
  });
  for (Items::value_type& entry : this->items_by_id) {
    WorkItem& item = entry.second;
    if (item.progress_version != 0 && item.progress_version <= page.version &&
        !present.contains(key_of(WorkRowKind::Progress, entry.first)))
      item.forget_progress();
    if (item.cancel_version <= page.version &&
        !present.contains(key_of(WorkRowKind::Cancel, entry.first)))
      item.cancel_version = 0;
  }
}

void
WorkView::apply(const platform::StoredRow& row)
{
  if (row.removed) {
    this->remove(row);
    return;
  }
  WorkRowKey key = parse_work_key(row.name.key);
  switch (key.kind) {
    case WorkRowKind::Workflow: {
      WorkItem& item = this->items_by_id[key.id];
      if (row.version <= item.workflow_version)
        return;
      // The row of a workflow never changes: this is a new workflow.
      bool is_new = item.workflow_version != 0;
      item.workflow = decode_workflow(row.value);
      if (item.workflow && item.workflow->id != key.id)
        item.workflow.reset();
      item.workflow_version = row.version;
      if (is_new && item.progress_version < row.version)
        item.forget_progress();
      // A workflow that was cancelled before it was stored is stored together
      // with its cancel row.
      item.cancelled = item.cancelled && item.cancel_version >= row.version;
      item.check();
      return;
    }
    case WorkRowKind::Progress: {
      WorkItem& item = this->items_by_id[key.id];
      if (row.version <= item.progress_version)
        return;
      std::optional<core::Progress> progress = decode_progress(row.value);
      item.progress_readable = progress.has_value();
      if (progress)
        item.progress = std::move(*progress);
      if (item.progress.outcome != core::Outcome::Open &&
          item.outcome_read_ms == 0)
        item.outcome_read_ms = kernel::boot_ms();
      item.progress_version = row.version;
      item.check();
      return;
    }
    case WorkRowKind::Cancel:
      apply_cancel(this->items_by_id[key.id], row);
      return;
    case WorkRowKind::Heartbeat:
      this->apply_heartbeat(row);
      return;
    case WorkRowKind::Other:
      return;
  }
}

void
WorkView::apply_cancel(WorkItem& item, const platform::StoredRow& row)
{
  if (row.version <= item.cancel_version)
    return;
  item.cancelled = row.version >= item.workflow_version;
  item.cancel_version = row.version;
  item.cancel_read_ms = kernel::boot_ms();
}

void
WorkView::apply_heartbeat(const platform::StoredRow& row)
{
  if (row.version <= this->newest_heartbeat.version)
    return;
  this->newest_heartbeat = { row.version, 0, kernel::boot_ms(), {} };
  v1::PulseRow heartbeat;
  if (!heartbeat.ParseFromString(row.value))
    return;
  this->newest_heartbeat.term = heartbeat.term();
  for (const v1::SilentAgentRow& agent : heartbeat.silent())
    this->newest_heartbeat.silent.push_back(
      { agent.node(), agent.silent_ms() });
}

std::set<std::string>
WorkView::nodes_with_runs() const
{
  std::set<std::string> nodes;
  for (const std::pair<const std::string, WorkItem>& entry : this->items_by_id)
    core::for_each_run(
      entry.second.progress,
      [&nodes](const core::TaskRef&, const core::TaskState& task) {
        nodes.insert(task.run->node);
      });
  return nodes;
}

void
WorkView::remove(const platform::StoredRow& row)
{
  WorkRowKey key = parse_work_key(row.name.key);
  Items::iterator found = this->items_by_id.find(key.id);
  if (found == this->items_by_id.end())
    return;
  WorkItem& item = found->second;
  switch (key.kind) {
    case WorkRowKind::Workflow:
      // The owner removes the rows of a workflow together.
      if (item.workflow_version <= row.version)
        item.forget_workflow(row.version);
      break;
    case WorkRowKind::Progress:
      if (item.progress_version <= row.version)
        item.forget_progress();
      break;
    case WorkRowKind::Cancel:
      if (item.cancel_version <= row.version)
        item.cancel_version = 0;
      break;
    default:
      break;
  }
  if (item.workflow_version == 0 && item.progress_version == 0 &&
      item.cancel_version == 0)
    this->items_by_id.erase(found);
}

void
WorkView::mark_unreadable(const platform::StoredRow& row)
{
  WorkRowKey key = parse_work_key(row.name.key);
  Items::iterator found = this->items_by_id.find(key.id);
  if (found == this->items_by_id.end())
    return;
  WorkItem& item = found->second;
  if (key.kind == WorkRowKind::Workflow &&
      row.version > item.workflow_version) {
    item.workflow.reset();
    item.workflow_version = row.version;
  }
  if (key.kind == WorkRowKind::Progress &&
      row.version > item.progress_version) {
    item.progress_readable = false;
    item.progress_version = row.version;
  }
  if (key.kind == WorkRowKind::Cancel)
    item.cancel_version = std::max(item.cancel_version, row.version);
  item.check();
}

const WorkItem*
WorkView::find(const std::string& id) const
{
  Items::const_iterator found = this->items_by_id.find(id);
  bool known = found != this->items_by_id.end() && found->second.workflow;
  return known ? &found->second : nullptr;
}

std::uint64_t
count_waiting_workflows(const WorkView& view, const std::string& queue)
{
  std::uint64_t count = 0;
  for (const std::pair<const std::string, WorkItem>& entry : view.items()) {
    const WorkItem& item = entry.second;
    if (item.workflow && item.workflow->queue == queue && !item.cancelled &&
        item.workflow->occurrences == 0 && !item.progress.started &&
        item.progress.outcome == core::Outcome::Open)
      ++count;
  }
  return count;
}

} // namespace geraniumhinge::entry
