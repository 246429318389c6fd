#include "entry/work_rows.h"

#include "platform/caller.h"

#include "geraniumhinge/v1/state.pb.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

struct KeyPrefix
{
  WorkRowKind kind;
  char prefix;
};

/// One letter per kind: the store charges by the byte.
constexpr KeyPrefix PREFIXES[] = {
  { WorkRowKind::Workflow, 'j' },
  { WorkRowKind::Progress, 'r' },
  { WorkRowKind::Cancel, 'c' },
};

void
encode_step(const core::Step& step, v1::StepRow& row)
{
  row.set_tasks(step.tasks);
  row.mutable_demand()->set_millicores(step.demand.millicores);
  row.mutable_demand()->set_memory_mb(step.demand.memory_mb);
  row.mutable_demand()->set_accelerators(step.demand.accelerators);
  row.set_estimate_ms(step.estimate_ms);
  for (std::uint32_t earlier : step.dependencies)
    row.add_after(earlier);
  row.set_checkpoints(step.checkpoints);
  row.set_gang(step.gang);
  row.set_same_rack(step.same_rack);
  row.set_label(step.label);
  row.set_rack(step.rack);
  row.set_max_per_server(step.max_per_server);
  row.set_lasting(step.runs_until_cancelled);
  row.set_fills(step.best_effort);
  row.set_max_away(step.max_unavailable);
  row.set_image(step.image);
  row.set_latency_target_ms(step.latency_target_ms);
}

core::Step
decode_step(const v1::StepRow& row)
{
  core::Step step;
  step.tasks = row.tasks();
  step.demand = { row.demand().millicores(),
                  row.demand().memory_mb(),
                  row.demand().accelerators() };
  step.estimate_ms = row.estimate_ms();
  step.dependencies.assign(row.after().begin(), row.after().end());
  step.checkpoints = row.checkpoints();
  step.gang = row.gang();
  step.same_rack = row.same_rack();
  step.label = row.label();
  step.rack = row.rack();
  step.max_per_server = row.max_per_server();
  step.runs_until_cancelled = row.lasting();
  step.best_effort = row.fills();
  step.max_unavailable = row.max_away();
  step.image = row.image();
  step.latency_target_ms = row.latency_target_ms();
  return step;
}

void
encode_advice(const core::AdviceSettings& advice, v1::AdviceSettingsRow& row)
{
  row.set_base_timeout_ms(advice.base_timeout_ms);
  row.set_timeout_per_server_ms(advice.timeout_per_server_ms);
  row.set_ticket_validity_ms(advice.ticket_validity_ms);
}

core::AdviceSettings
decode_advice(const v1::AdviceSettingsRow& row)
{
  return { row.base_timeout_ms(),
           row.timeout_per_server_ms(),
           row.ticket_validity_ms() };
}

void
encode_task(const core::TaskState& task, v1::TaskRow& row)
{
  row.set_last_attempt(task.last_attempt);
  row.set_failures(task.failures);
  row.set_failed_attempt(task.failed_attempt);
  for (std::uint32_t attempt : task.lost_attempts)
    row.add_lost_attempts(attempt);
  row.set_crashes(task.crashes);
  row.set_early_crashes(task.early_crashes);
  row.set_crashed_attempt(task.crashed_attempt);
  row.set_done(task.done);
  row.set_checkpoint(task.checkpoint);
  if (!task.run)
    return;
  row.set_run_attempt(task.run->attempt);
  row.mutable_run_server()->set_id(task.run->server.id);
  row.mutable_run_server()->set_born_ms(task.run->server.started_ms);
  row.mutable_run_server()->set_node(task.run->node);
  row.set_run_stopping(task.run->stopping);
  row.set_run_ticket(task.run->ticket);
}

core::TaskState
decode_task(const v1::TaskRow& row)
{
  core::TaskState task;
  task.last_attempt = row.last_attempt();
  task.failures = row.failures();
  task.failed_attempt = row.failed_attempt();
  // Another writer may have left the row.
  std::size_t lost =
    std::min<std::size_t>(static_cast<std::size_t>(row.lost_attempts_size()),
                          core::MAX_LOST_ATTEMPTS);
  task.lost_attempts.assign(row.lost_attempts().begin(),
                            row.lost_attempts().begin() +
                              static_cast<std::ptrdiff_t>(lost));
  task.crashes = row.crashes();
  task.early_crashes = row.early_crashes();
  task.crashed_attempt = row.crashed_attempt();
  task.done = row.done();
  task.checkpoint = row.checkpoint();
  if (row.run_attempt() > 0)
    task.run = core::Run{ row.run_attempt(),
                          { row.run_server().id(), row.run_server().born_ms() },
                          row.run_server().node(),
                          row.run_stopping(),
                          row.run_ticket() };
  return task;
}

} // namespace

platform::RowName
work_row(WorkRowKind kind, const std::string& id)
{
  if (kind == WorkRowKind::Heartbeat)
    return { platform::WORK_TABLE,
             platform::WORK_PART,
             platform::HEARTBEAT_KEY };
  for (const KeyPrefix& row : PREFIXES) {
    if (row.kind == kind)
      return { platform::WORK_TABLE,
               platform::WORK_PART,
               std::string(1, row.prefix) + '/' + id };
  }
  return {};
}

WorkRowKey
parse_work_key(const std::string& key)
{
  if (key == platform::HEARTBEAT_KEY)
    return { WorkRowKind::Heartbeat, "" };
  if (key.size() < 2 || key[1] != '/')
    return {};
  for (const KeyPrefix& row : PREFIXES) {
    if (key.front() == row.prefix)
      return { row.kind, key.substr(2) };
  }
  return {};
}

platform::RowName
owner_row()
{
  return { platform::OWNER_TABLE, platform::WORK_PART, platform::OWNER_KEY };
}

std::string
encode_workflow(const core::Workflow& workflow)
{
  v1::WorkflowRow row;
  row.set_id(workflow.id);
  row.set_queue(workflow.queue);
  row.set_organisation(workflow.organisation);
  row.set_payload(workflow.payload);
  for (const core::Step& step : workflow.steps)
    encode_step(step, *row.add_steps());
  row.set_occurrences(workflow.occurrences);
  row.set_first_due_ms(workflow.first_due_ms);
  row.set_period_ms(workflow.period_ms);
  row.set_accepted_ms(workflow.accepted_ms);
  row.set_service(workflow.service);
  row.set_priority(workflow.priority);
  row.set_attempts(workflow.max_failures);
  if (workflow.advice)
    encode_advice(*workflow.advice, *row.mutable_advice());
  return row.SerializeAsString();
}

std::optional<core::Workflow>
decode_workflow(const std::string& value)
{
  v1::WorkflowRow row;
  if (!row.ParseFromString(value))
    return std::nullopt;
  core::Workflow workflow;
  workflow.id = row.id();
  workflow.queue = row.queue();
  workflow.organisation = row.organisation();
  workflow.payload = row.payload();
  for (const v1::StepRow& step : row.steps())
    workflow.steps.push_back(decode_step(step));
  workflow.occurrences = row.occurrences();
  workflow.first_due_ms = row.first_due_ms();
  workflow.period_ms = row.period_ms();
  workflow.accepted_ms = row.accepted_ms();
  workflow.service = row.service();
  workflow.priority = row.priority();
  workflow.max_failures = row.attempts();
  if (row.has_advice())
    workflow.advice = decode_advice(row.advice());
  // Another writer may have left the row.
  if (!platform::is_valid(workflow))
    return std::nullopt;
  return workflow;
}

std::string
encode_progress(const core::Progress& progress)
{
  v1::ProgressRow row;
  row.set_outcome(static_cast<std::uint32_t>(progress.outcome));
  row.set_next_occurrence(progress.next_occurrence);
  row.set_started(progress.started);
  row.set_ended_ms(progress.ended_ms);
  for (const std::pair<const std::uint32_t, core::OccurrenceState>& item :
       progress.open_occurrences) {
    v1::OccurrenceRow& occurrence = *row.add_open();
    occurrence.set_number(item.first);
    for (const core::StepState& step : item.second) {
      v1::StepProgressRow& tasks = *occurrence.add_steps();
      for (const core::TaskState& task : step)
        encode_task(task, *tasks.add_tasks());
    }
  }
  return row.SerializeAsString();
}

std::optional<core::Progress>
decode_progress(const std::string& value)
{
  v1::ProgressRow row;
  if (!row.ParseFromString(value) ||
      row.outcome() >= std::size(core::OUTCOME_NAMES))
    return std::nullopt;
  core::Progress progress;
  progress.outcome = static_cast<core::Outcome>(row.outcome());
  progress.next_occurrence = row.next_occurrence();
  progress.started = row.started();
  progress.ended_ms = row.ended_ms();
  for (const v1::OccurrenceRow& occurrence : row.open()) {
    core::OccurrenceState& steps =
      progress.open_occurrences[occurrence.number()];
    for (const v1::StepProgressRow& step : occurrence.steps()) {
      core::StepState& tasks = steps.emplace_back();
      for (const v1::TaskRow& task : step.tasks())
        tasks.push_back(decode_task(task));
    }
  }
  return progress;
}

} // namespace geraniumhinge::entry
