#include "entry/run_tracker.h"

#include "entry/events.h"
#include "entry/workflow_index.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

core::QuarantineLimits
quarantine_limits()
{
  core::QuarantineLimits limits;
  limits.jobs_per_server = 2;
  limits.suspicion_ms = 8'000;
  limits.retention_ms = 15'000;
  limits.first_quarantine_ms = 6'000;
  limits.max_quarantine_ms = 24'000;
  return limits;
}

core::RunEndKind
end_kind(std::uint32_t number)
{
  return number < std::size(core::RUN_END_KIND_NAMES)
           ? static_cast<core::RunEndKind>(number)
           : core::RunEndKind::Stopped;
}

/// Whether the end is a success and a later attempt of its task has not ended;
/// of a gang, a later attempt of any member. The end must stay unacknowledged
/// until then: no run may start after the success of its task was acknowledged.
bool
must_stop_later_attempt(core::RoundWorkflow& round_workflow,
                        const core::TaskRef& task,
                        const v1::EndReport& end)
{
  if (end_kind(end.kind()) != core::RunEndKind::Done)
    return false;
  const core::TaskState* state = core::find_task(round_workflow.progress, task);
  if (!state || !state->done)
    return false;
  auto later = [&end](const core::TaskState& other) {
    return other.run && other.run->attempt > end.attempt();
  };
  const core::StepState& members =
    round_workflow.progress.open_occurrences.at(task.occurrence)[task.step];
  return round_workflow.definition->steps[task.step].gang
           ? std::any_of(members.begin(), members.end(), later)
           : later(*state);
}

} // namespace

RunTracker::RunTracker(const kernel::Log& log,
                       kernel::Metrics& metrics,
                       ServerTable& servers)
  : log(log)
  , metrics(metrics)
  , servers(servers)
  , failures(quarantine_limits())
{
}

void
RunTracker::reset()
{
  this->progress = {};
  this->checkpoints.clear();
  this->broken_members.clear();
  this->rejected_tickets.clear();
}

void
RunTracker::record_progress(const AgentView& agent, std::int64_t now_ms)
{
  for (const v1::RunReport& run : agent.report.running()) {
    if (!run.checkpoint().empty() &&
        run.checkpoint() != this->checkpoint_of(run.task()))
      this->checkpoints[run.task()] = { run.checkpoint(), now_ms };
    // If the server does not respond to its agent, the report repeats old data.
    if (agent.report.answering())
      this->progress.record_progress(
        run.task(), run.attempt(), run.percent(), now_ms);
  }
}

std::string
RunTracker::checkpoint_of(const std::string& task) const
{
  std::map<std::string, Checkpoint>::const_iterator found =
    this->checkpoints.find(task);
  return found == this->checkpoints.end() ? std::string() : found->second.value;
}

/// When the task's newest checkpoint became known, 0 if it has none.
std::int64_t
RunTracker::saved_ms_of(const std::string& task) const
{
  std::map<std::string, Checkpoint>::const_iterator found =
    this->checkpoints.find(task);
  return found == this->checkpoints.end() ? 0 : found->second.saved_ms;
}

std::map<std::string, AppliedEnds>
RunTracker::apply_ends(std::vector<core::RoundWorkflow>& workflows,
                       std::int64_t now_ms)
{
  WorkflowIndex by_id = index_by_id(workflows);
  std::map<std::string, AppliedEnds> applied;
  for (const std::pair<const std::string, AgentView>& entry :
       this->servers.all()) {
    AppliedEnds& ends = applied[entry.first];
    ends.instance = instance_of(entry.second.report.life());
    std::optional<std::uint64_t> first_unsettled;
    for (const v1::EndReport& end : entry.second.report.ended()) {
      ends.number = std::max<std::uint64_t>(ends.number, end.number());
      std::optional<std::pair<std::string, core::TaskRef>> name =
        core::parse_task_name(end.task());
      WorkflowIndex::iterator round_workflow =
        name ? by_id.find(name->first) : by_id.end();
      if (round_workflow == by_id.end())
        continue;
      this->apply_reported_end(
        *round_workflow->second, entry.second, end, now_ms);
      if (must_stop_later_attempt(*round_workflow->second, name->second, end))
        first_unsettled = std::min(first_unsettled.value_or(end.number()),
                                   std::uint64_t{ end.number() });
    }
    // Ends are acknowledged in order of their numbers.
    if (first_unsettled)
      ends.number = std::min(ends.number, *first_unsettled - 1);
  }
  return applied;
}

void
RunTracker::keep_ends(std::map<std::string, AppliedEnds>& applied,
                      const std::set<std::string>& workflows) const
{
  for (std::pair<const std::string, AppliedEnds>& item : applied) {
    for (const v1::EndReport& end :
         this->servers.find(item.first)->report.ended()) {
      std::optional<std::pair<std::string, core::TaskRef>> name =
        core::parse_task_name(end.task());
      if (name && end.number() > 0 && workflows.contains(name->first))
        item.second.number =
          std::min(item.second.number, std::uint64_t{ end.number() - 1 });
    }
  }
}

void
RunTracker::apply_reported_end(core::RoundWorkflow& round_workflow,
                               const AgentView& agent,
                               const v1::EndReport& end,
                               std::int64_t now_ms)
{
  core::TaskRef ref = core::parse_task_name(end.task())->second;
  const core::TaskState* task = core::find_task(round_workflow.progress, ref);
  bool current = task && task->run && task->run->attempt == end.attempt() &&
                 task->run->server == instance_of(agent.report.life());
  core::RunEndKind kind = end_kind(end.kind());
  if (!current) {
    if (kind == core::RunEndKind::Done)
      this->apply_late_success(round_workflow, agent, ref, end);
    else if (kind == core::RunEndKind::Failed)
      this->apply_late_failure(round_workflow, agent, ref, end);
    return;
  }
  this->apply_end(round_workflow, ref, end, now_ms);
  this->log_run_end(agent, end);
}

void
RunTracker::apply_end(core::RoundWorkflow& round_workflow,
                      const core::TaskRef& ref,
                      const v1::EndReport& end,
                      std::int64_t now_ms)
{
  core::Run run = *core::find_task(round_workflow.progress, ref)->run;
  core::RunEndKind kind = end_kind(end.kind());
  if (kind == core::RunEndKind::TicketRejected)
    this->rejected_tickets.push_back({ step_key(round_workflow, ref), run });
  std::string checkpoint = end.checkpoint();
  if (checkpoint.empty())
    checkpoint = this->checkpoint_of(end.task());
  core::apply_run_end(*round_workflow.definition,
                      round_workflow.progress,
                      ref,
                      end.attempt(),
                      kind,
                      checkpoint,
                      round_workflow.max_failures);
  round_workflow.changed = true;
  this->record_gang_end(round_workflow, ref, end.attempt(), kind);
  this->count_run_end(kind);
  core::NameId server = this->names.intern(run.server.id);
  if (kind == core::RunEndKind::Failed) {
    this->failures.record_failure(
      server, round_workflow.definition->id, now_ms);
    this->failures_by_workflow[round_workflow.definition->id].insert(
      run.server.id);
  } else if (kind == core::RunEndKind::Done) {
    this->failures.record_success(
      server, round_workflow.definition->id, now_ms);
    this->progress.forget(end.task());
  }
}

/// Applies the success of a run that had counted as lost: its server was only
/// silent, and has kept the end.
void
RunTracker::apply_late_success(core::RoundWorkflow& round_workflow,
                               const AgentView& agent,
                               const core::TaskRef& task,
                               const v1::EndReport& end)
{
  if (!core::apply_late_success(*round_workflow.definition,
                                round_workflow.progress,
                                task,
                                end.attempt()))
    return;
  round_workflow.changed = true;
  this->log.write(LATE_SUCCESS,
                  { { "task", end.task() },
                    { "attempt", end.attempt() },
                    { "server", agent.report.life().id() },
                    { "number", end.number() },
                    { "report", agent.report.sequence() } });
}

/// Counts the failure of a run that had counted as lost.
void
RunTracker::apply_late_failure(core::RoundWorkflow& round_workflow,
                               const AgentView& agent,
                               const core::TaskRef& task,
                               const v1::EndReport& end)
{
  if (!core::apply_late_failure(*round_workflow.definition,
                                round_workflow.progress,
                                task,
                                end.attempt(),
                                round_workflow.max_failures))
    return;
  round_workflow.changed = true;
  this->log_run_end(agent, end);
}

void
RunTracker::log_run_end(const AgentView& agent, const v1::EndReport& end)
{
  this->log.write(
    RUN_ENDED,
    { { "task", end.task() },
      { "attempt", end.attempt() },
      { "server", agent.report.life().id() },
      { "kind", name_of(core::RUN_END_KIND_NAMES, end_kind(end.kind())) },
      { "number", end.number() },
      { "report", agent.report.sequence() } });
}

void
RunTracker::count_run_end(core::RunEndKind kind)
{
  this->metrics
    .counter(fmt::format("entry_runs_ended_total{{kind=\"{}\"}}",
                         name_of(core::RUN_END_KIND_NAMES, kind)))
    .add();
}

void
RunTracker::record_gang_end(const core::RoundWorkflow& round_workflow,
                            const core::TaskRef& task,
                            std::uint32_t attempt,
                            core::RunEndKind kind)
{
  if (kind == core::RunEndKind::GangBroken)
    this->broken_members[{ step_key(round_workflow, task), attempt }].insert(
      task.index);
}

/// Whether the end of this run must have broken its gang: all other members of
/// the attempt ended only because the gang was broken. An earlier owner may
/// have recorded another end, so ends that this owner did not see don't count.
bool
RunTracker::must_have_broken_gang(const core::RoundWorkflow& round_workflow,
                                  const core::TaskRef& task,
                                  const core::Run& run) const
{
  std::map<std::pair<core::StepKey, std::uint32_t>,
           std::set<std::uint32_t>>::const_iterator broken =
    this->broken_members.find({ step_key(round_workflow, task), run.attempt });
  if (broken == this->broken_members.end() ||
      broken->second.contains(task.index))
    return false;
  const core::StepState& members =
    round_workflow.progress.open_occurrences.at(task.occurrence)[task.step];
  return broken->second.size() + 1 == members.size();
}

/// Whether a server lists a run that was ordered for its previous instance. An
/// earlier process of the agent sent the start, which arrived late; the agent
/// stops the run. Until then it may run as long as the new instance.
bool
RunTracker::runs_on_new_instance(const std::string& task,
                                 const core::Run& run) const
{
  const AgentView* agent = this->servers.find(run.node);
  return agent && std::any_of(agent->report.running().begin(),
                              agent->report.running().end(),
                              [&task, &run](const v1::RunReport& running) {
                                return running.task() == task &&
                                       running.attempt() == run.attempt;
                              });
}

std::optional<LossCause>
RunTracker::loss_cause(const core::RoundWorkflow& round_workflow,
                       const core::TaskRef& task,
                       const core::Run& run,
                       std::int64_t now_ms) const
{
  std::optional<LossCause> cause =
    this->servers.loss_cause(run.server, run.node, now_ms);
  if (cause == LossCause::InstanceReplaced &&
      this->runs_on_new_instance(
        core::task_name(round_workflow.definition->id, task), run))
    cause = this->servers.loss_cause(
      instance_of(this->servers.find(run.node)->report.life()),
      run.node,
      now_ms);
  if (!cause && this->servers.agent_silent(run.node, now_ms) &&
      this->must_have_broken_gang(round_workflow, task, run))
    return LossCause::GangBroken;
  return cause;
}

void
RunTracker::apply_shared_ends(core::RoundWorkflow& round_workflow,
                              const SharedEnds& shared_ends,
                              std::int64_t now_ms)
{
  std::vector<std::pair<core::TaskRef, v1::EndReport>> ended;
  core::for_each_run(
    round_workflow.progress,
    [&](const core::TaskRef& ref, const core::TaskState& task) {
      const v1::EndReport* end = shared_ends.find(
        core::task_name(round_workflow.definition->id, ref), *task.run);
      if (end)
        ended.emplace_back(ref, *end);
    });
  for (const std::pair<core::TaskRef, v1::EndReport>& item : ended) {
    this->apply_end(round_workflow, item.first, item.second, now_ms);
    this->log.write(
      SHARED_END_APPLIED,
      { { "task", item.second.task() },
        { "attempt", item.second.attempt() },
        { "kind",
          name_of(core::RUN_END_KIND_NAMES, end_kind(item.second.kind())) },
        { "number", item.second.number() } });
  }
}

void
RunTracker::apply_lost_runs(core::RoundWorkflow& round_workflow,
                            std::int64_t now_ms)
{
  struct LostRun
  {
    core::TaskRef task;
    core::Run run;
    LossCause cause;
  };
  std::vector<LostRun> lost;
  core::for_each_run(
    round_workflow.progress,
    [&](const core::TaskRef& ref, const core::TaskState& task) {
      std::optional<LossCause> cause =
        this->loss_cause(round_workflow, ref, *task.run, now_ms);
      if (cause)
        lost.push_back({ ref, *task.run, *cause });
    });
  for (const LostRun& item : lost) {
    std::string name =
      core::task_name(round_workflow.definition->id, item.task);
    core::apply_run_end(*round_workflow.definition,
                        round_workflow.progress,
                        item.task,
                        item.run.attempt,
                        core::RunEndKind::Lost,
                        this->checkpoint_of(name),
                        round_workflow.max_failures);
    this->count_run_end(core::RunEndKind::Lost);
    round_workflow.changed = true;
    const AgentView* agent = this->servers.find(item.run.node);
    std::int64_t age =
      agent && agent->last_seen_ms != 0 ? now_ms - agent->last_seen_ms : -1;
    this->log.write(RUN_LOST,
                    { { "task", name },
                      { "attempt", item.run.attempt },
                      { "server", item.run.server.id },
                      { "node", item.run.node },
                      { "cause", name_of(LOSS_CAUSE_NAMES, item.cause) },
                      { "heard_ms_ago", age } });
  }
}

bool
RunTracker::is_trusted(const std::string& server, std::int64_t now_ms)
{
  return this->failures.server_trust(this->names.intern(server), now_ms) !=
         core::ServerTrust::Quarantined;
}

void
RunTracker::update_history(const std::vector<core::RoundWorkflow>& workflows,
                           core::StepHistory& history,
                           std::int64_t now_ms)
{
  history.percent.clear();
  history.saved_ms.clear();
  history.stalled.clear();
  history.suspects.clear();
  for (const RejectedTicket& item : this->rejected_tickets)
    history.advice.record_rejection(item.step, item.run, now_ms);
  this->rejected_tickets.clear();
  for (const core::RoundWorkflow& round_workflow : workflows) {
    core::for_each_run(
      round_workflow.progress,
      [&](const core::TaskRef& ref, const core::TaskState& task) {
        const core::Step& step = round_workflow.definition->steps[ref.step];
        std::string name = core::task_name(round_workflow.definition->id, ref);
        std::uint32_t attempt = task.run->attempt;
        core::TaskKey key{ step_key(round_workflow, ref), ref.index };
        std::uint32_t percent = this->progress.percent(name, attempt);
        if (percent > 0)
          history.percent[key] = percent;
        std::int64_t saved_ms = this->saved_ms_of(name);
        core::TaskKey primary{ key.first, step.gang ? 0 : ref.index };
        if (saved_ms > 0)
          history.saved_ms[primary] =
            std::max(history.saved_ms[primary], saved_ms);
        // Long-running steps report no progress; best-effort steps may be
        // throttled.
        if (step.runs_until_cancelled || step.best_effort)
          return;
        if (this->progress.lacks_recent_progress(name, attempt))
          history.suspects.insert(task.run->server.id);
        if (this->progress.stalled(name, attempt, step.estimate_ms))
          history.stalled.insert(key);
      });
  }
  for (const std::pair<const std::string, AgentView>& entry :
       this->servers.all()) {
    const std::string& id = entry.second.report.life().id();
    if (!id.empty() && this->failures.suspected(this->names.intern(id), now_ms))
      history.suspects.insert(id);
  }
}

const std::set<std::string>&
RunTracker::failed_on(const std::string& workflow) const
{
  static const std::set<std::string> none;
  std::map<std::string, std::set<std::string>>::const_iterator found =
    this->failures_by_workflow.find(workflow);
  return found == this->failures_by_workflow.end() ? none : found->second;
}

void
RunTracker::record_restart(const core::StepRestart& restart)
{
  const core::StepKey& step = restart.step;
  for (std::uint32_t index : restart.tasks)
    this->progress.record_restart(
      core::task_name(step.workflow, { step.occurrence, step.step, index }));
}

void
RunTracker::forget(const core::Workflow& workflow)
{
  this->failures_by_workflow.erase(workflow.id);
  std::erase_if(
    this->broken_members,
    [&workflow](const std::pair<const std::pair<core::StepKey, std::uint32_t>,
                                std::set<std::uint32_t>>& item) {
      return item.first.first.workflow == workflow.id;
    });
  this->progress.forget_workflow(workflow.id);
  // Task names begin with the workflow's identifier and a dot.
  std::string prefix = workflow.id + '.';
  std::map<std::string, Checkpoint>::iterator checkpoint =
    this->checkpoints.lower_bound(prefix);
  while (checkpoint != this->checkpoints.end() &&
         checkpoint->first.starts_with(prefix))
    checkpoint = this->checkpoints.erase(checkpoint);
}

} // namespace geraniumhinge::entry
