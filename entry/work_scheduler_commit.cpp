// The part of WorkScheduler that stores the changes of a round.

#include "entry/work_scheduler.h"

#include "entry/events.h"
#include "entry/row_budget.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

/// The store accepts 100 entries per transaction: conditions and writes.
constexpr std::size_t MAX_ENTRIES_PER_COMMIT = 100;
/// A workflow needs at most two conditions and a write.
constexpr std::size_t MAX_ENTRIES_PER_WORKFLOW = 3;
/// The store accepts 1 MB per transaction, in which values are encoded as
/// base64.
constexpr std::size_t MAX_BYTES_PER_COMMIT = 640'000;

} // namespace

bool
WorkScheduler::store_changes(RoundInput& round)
{
  std::set<std::string> placed;
  for (const core::StepPlacement& placement : round.result.placements)
    placed.insert(placement.step.workflow);
  platform::RowChange change;
  change.conditions.push_back({ owner_row(), this->term });
  std::set<std::string> deferred;
  std::size_t bytes = 0;
  for (core::RoundWorkflow& round_workflow : round.workflows) {
    if (!round_workflow.changed)
      continue;
    const std::string& id = round_workflow.definition->id;
    if (round_workflow.progress.outcome != core::Outcome::Open &&
        round_workflow.progress.ended_ms == 0)
      round_workflow.progress.ended_ms = kernel::unix_ms();
    std::string value = this->encode_row(round_workflow);
    std::size_t entries = change.conditions.size() + change.writes.size();
    if (value.size() > this->limits.max_row_bytes ||
        entries + MAX_ENTRIES_PER_WORKFLOW > MAX_ENTRIES_PER_COMMIT ||
        bytes + value.size() > MAX_BYTES_PER_COMMIT) {
      deferred.insert(id);
      round_workflow.changed = false;
      continue;
    }
    bytes += value.size();
    platform::RowName row = work_row(WorkRowKind::Progress, id);
    const WorkItem* item = this->view.find(id);
    change.conditions.push_back({ row, item->progress_version });
    // The store may apply the change long after the decision; nothing may start
    // once a caller has cancelled the workflow.
    if (placed.contains(id))
      change.conditions.push_back(
        { work_row(WorkRowKind::Cancel, id), item->cancel_version });
    change.writes.push_back({ row, std::move(value) });
  }
  // A later round stores the ends of these workflows.
  if (!deferred.empty())
    this->tracker.keep_ends(round.applied_ends, deferred);
  if (change.writes.empty())
    return false;
  this->pending_ends = this->ended_runs(round);
  this->pending = std::move(round);
  this->writer.write(std::move(change));
  return true;
}

/// The row of a workflow's progress, which is reduced if it is too long.
std::string
WorkScheduler::encode_row(core::RoundWorkflow& round_workflow)
{
  std::string value = encode_progress(round_workflow.progress);
  if (value.size() <= this->limits.max_row_bytes)
    return value;
  const std::string& id = round_workflow.definition->id;
  RowReduction reduction = reduce_to_row(*round_workflow.definition,
                                         round_workflow.progress,
                                         this->view.find(id)->progress,
                                         this->limits.max_row_bytes);
  std::size_t bytes = value.size();
  value = encode_progress(round_workflow.progress);
  std::uint64_t rows = this->oversized_rows.record(kernel::boot_ms());
  if (rows > 0)
    this->log.write(ROW_OVERSIZED,
                    { { "job", id },
                      { "bytes", bytes },
                      { "checkpoints", reduction.checkpoints },
                      { "placements", reduction.placements },
                      { "stored", value.size() <= this->limits.max_row_bytes },
                      { "rows", rows } });
  return value;
}

std::set<RunName>
WorkScheduler::ended_runs(const RoundInput& round) const
{
  std::set<RunName> ended;
  for (const core::RoundWorkflow& round_workflow : round.workflows) {
    if (!round_workflow.changed)
      continue;
    const std::string& id = round_workflow.definition->id;
    std::set<RunName> left;
    core::for_each_run(
      round_workflow.progress,
      [&left, &id](const core::TaskRef& ref, const core::TaskState& task) {
        left.emplace(core::task_name(id, ref), task.run->attempt);
      });
    core::for_each_run(
      this->view.find(id)->progress,
      [&](const core::TaskRef& ref, const core::TaskState& task) {
        RunName run{ core::task_name(id, ref), task.run->attempt };
        if (!left.contains(run))
          ended.insert(std::move(run));
      });
  }
  return ended;
}

void
WorkScheduler::handle_conflict(bool still_owner,
                               const std::vector<platform::StoredRow>& current)
{
  this->pending_ends.clear();
  this->log.write(WORK_CONFLICT,
                  { { "term", this->term }, { "owner", still_owner } });
  if (!still_owner)
    this->hooks.term_superseded();
  else if (this->apply_cancels(current))
    this->schedule_decision();
  else
    this->hooks.reload_rows();
}

/// Applies the cancels among the rows that a change depended on. Returns
/// whether they were the only rows that differed from those known.
bool
WorkScheduler::apply_cancels(const std::vector<platform::StoredRow>& current)
{
  bool cancelled = false;
  bool others_differ = false;
  for (const platform::StoredRow& row : current) {
    WorkRowKey key = parse_work_key(row.name.key);
    const WorkItem* item = this->view.find(key.id);
    if (key.kind == WorkRowKind::Cancel) {
      cancelled = cancelled || !item || row.version > item->cancel_version;
      this->view.apply(row);
    } else if (key.kind == WorkRowKind::Progress) {
      others_differ =
        others_differ || !item || row.version != item->progress_version;
    }
  }
  return cancelled && !others_differ;
}

void
WorkScheduler::handle_stored(const platform::RowChange& change,
                             std::uint64_t version)
{
  std::set<std::string> nodes;
  for (const platform::RowValue& write : change.writes)
    this->view.apply(
      platform::StoredRow{ write.name, write.value, version, false });
  this->log_round(this->pending);
  nodes.merge(this->mark_ends_stored(this->pending.applied_ends));
  for (const core::RoundWorkflow& round_workflow : this->pending.workflows) {
    if (!round_workflow.changed)
      continue;
    core::for_each_run(
      round_workflow.progress,
      [&nodes](const core::TaskRef&, const core::TaskState& task) {
        nodes.insert(task.run->node);
      });
    if (round_workflow.progress.outcome == core::Outcome::Open)
      continue;
    this->tracker.forget(*round_workflow.definition);
    this->samples.forget(round_workflow.definition->id);
    // Until its last run has ended, decisions depend on when that was placed.
    if (!core::has_runs(round_workflow.progress))
      this->history.forget(round_workflow.definition->id);
  }
  this->pending = {};
  this->pending_ends.clear();
  for (const std::string& node : nodes) {
    AgentView* agent = this->servers.find(node);
    if (agent && agent->last_seen_ms != 0)
      this->send_orders(*agent);
  }
  this->schedule_decision();
}

} // namespace geraniumhinge::entry
