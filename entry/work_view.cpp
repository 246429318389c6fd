#include "entry/work_view.h"

#include "entry/work_rows.h"

#include <algorithm>

namespace geraniumhinge::entry {

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
      item.workflow = decode_workflow(row.value);
      if (item.workflow && item.workflow->id != key.id)
        item.workflow.reset();
      item.workflow_version = row.version;
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
      item.progress_version = row.version;
      item.check();
      return;
    }
    case WorkRowKind::Cancel: {
      WorkItem& item = this->items_by_id[key.id];
      item.cancelled = true;
      item.cancel_version = row.version;
      return;
    }
    case WorkRowKind::Heartbeat:
      this->newest_heartbeat_version =
        std::max(this->newest_heartbeat_version, row.version);
      return;
    case WorkRowKind::Other:
      return;
  }
}

void
WorkView::remove(const platform::StoredRow& row)
{
  // The rows of a workflow are removed together.
  WorkRowKey key = parse_work_key(row.name.key);
  Items::iterator found = this->items_by_id.find(key.id);
  if (key.kind == WorkRowKind::Workflow && found != this->items_by_id.end() &&
      found->second.workflow_version <= row.version)
    this->items_by_id.erase(found);
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
