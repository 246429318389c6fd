#include "entry/run_tracker.h"

#include "entry/events.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

core::QuarantineLimits
quarantine_limits()
{
  core::QuarantineLimits limits;
  limits.jobs_per_server = 2;
  limits.suspicion_ms = 8'000;
  limits.memory_ms = 15'000;
  limits.first_quarantine_ms = 6'000;
  limits.longest_quarantine_ms = 24'000;
  return limits;
}

core::EndKind
end_kind(std::uint32_t number)
{
  return number < std::size(core::END_KIND_NAMES)
           ? static_cast<core::EndKind>(number)
           : core::EndKind::Stopped;
}

core::StepKey
step_key(const core::RoundJob& job, const core::TaskRef& task)
{
  return { job.workflow->id, task.occurrence, task.step };
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
  this->gang_ends.clear();
}

void
RunTracker::reported(const AgentView& agent, std::int64_t now_ms)
{
  for (const v1::RunReport& run : agent.report.running()) {
    if (!run.checkpoint().empty())
      this->checkpoints[run.task()] = run.checkpoint();
    // The lists of a server that does not answer are old.
    if (agent.report.answering())
      this->progress.reported(run.task(), run.attempt(), run.percent(), now_ms);
  }
}

std::string
RunTracker::checkpoint_of(const std::string& task) const
{
  std::map<std::string, std::string>::const_iterator found =
    this->checkpoints.find(task);
  return found == this->checkpoints.end() ? std::string() : found->second;
}

std::map<std::string, TakenEnds>
RunTracker::note_ends(std::vector<core::RoundJob>& jobs, std::int64_t now_ms)
{
  std::map<std::string, core::RoundJob*> by_id;
  for (core::RoundJob& job : jobs)
    by_id[job.workflow->id] = &job;
  std::map<std::string, TakenEnds> taken_in;
  for (const std::pair<const std::string, AgentView>& entry :
       this->servers.all()) {
    TakenEnds& taken = taken_in[entry.first];
    taken.life = life_of(entry.second.report.life());
    for (const v1::EndReport& end : entry.second.report.ended()) {
      taken.number = std::max<std::uint64_t>(taken.number, end.number());
      std::optional<std::pair<std::string, core::TaskRef>> name =
        core::parse_task_name(end.task());
      std::map<std::string, core::RoundJob*>::iterator job =
        name ? by_id.find(name->first) : by_id.end();
      if (job != by_id.end())
        this->note_end(*job->second, entry.second, end, now_ms);
    }
  }
  return taken_in;
}

void
RunTracker::note_end(core::RoundJob& job,
                     const AgentView& agent,
                     const v1::EndReport& end,
                     std::int64_t now_ms)
{
  core::TaskRef ref = core::parse_task_name(end.task())->second;
  const core::TaskState* task = core::find_task(job.progress, ref);
  bool current = task && task->run && task->run->attempt == end.attempt() &&
                 task->run->server == life_of(agent.report.life());
  if (!current)
    return;
  core::EndKind kind = end_kind(end.kind());
  std::string checkpoint = end.checkpoint();
  if (checkpoint.empty())
    checkpoint = this->checkpoint_of(end.task());
  core::apply_end(*job.workflow,
                  job.progress,
                  ref,
                  end.attempt(),
                  kind,
                  checkpoint,
                  job.attempts);
  job.changed = true;
  this->note_gang_end(job, ref, end.attempt(), kind);
  this->count_end(kind);
  this->log.write(RUN_ENDED,
                  { { "task", end.task() },
                    { "attempt", end.attempt() },
                    { "server", agent.report.life().id() },
                    { "kind", name_of(core::END_KIND_NAMES, kind) },
                    { "number", end.number() },
                    { "report", agent.report.sequence() } });
  core::NameId server = this->names.id(agent.report.life().id());
  if (kind == core::EndKind::Failed) {
    this->failures.failed(server, job.workflow->id, now_ms);
    this->failures_by_workflow[job.workflow->id].insert(
      agent.report.life().id());
  } else if (kind == core::EndKind::Done) {
    this->failures.succeeded(server, job.workflow->id, now_ms);
    this->progress.forget(end.task());
  }
}

void
RunTracker::count_end(core::EndKind kind)
{
  this->metrics
    .counter(fmt::format("entry_runs_ended_total{{kind=\"{}\"}}",
                         name_of(core::END_KIND_NAMES, kind)))
    .add();
}

void
RunTracker::note_gang_end(const core::RoundJob& job,
                          const core::TaskRef& task,
                          std::uint32_t attempt,
                          core::EndKind kind)
{
  if (!job.workflow->steps[task.step].gang)
    return;
  GangEnd& end = this->gang_ends[{ step_key(job, task), attempt }];
  if (kind == core::EndKind::Broken)
    end.broken = true;
  else
    end.cause = true;
}

/// Whether the run must be the one whose end broke its gang: all others of its
/// attempt have ended, none of them by itself.
bool
RunTracker::broke_its_gang(const core::RoundJob& job,
                           const core::TaskRef& task,
                           const core::Run& run) const
{
  std::map<std::pair<core::StepKey, std::uint32_t>, GangEnd>::const_iterator
    end = this->gang_ends.find({ step_key(job, task), run.attempt });
  if (end == this->gang_ends.end() || !end->second.broken || end->second.cause)
    return false;
  const core::StepState& members =
    job.progress.open.at(task.occurrence)[task.step];
  return std::count_if(
           members.begin(), members.end(), [](const core::TaskState& member) {
             return member.run.has_value();
           }) == 1;
}

bool
RunTracker::over(const core::RoundJob& job,
                 const core::TaskRef& task,
                 const core::Run& run,
                 std::int64_t now_ms) const
{
  if (this->servers.life_over(run.server, run.node, now_ms))
    return true;
  return this->servers.silent(run.node, now_ms) &&
         this->broke_its_gang(job, task, run);
}

void
RunTracker::note_lost(core::RoundJob& job, std::int64_t now_ms)
{
  std::vector<std::pair<core::TaskRef, core::Run>> lost;
  core::for_each_run(
    job.progress, [&](const core::TaskRef& ref, const core::TaskState& task) {
      if (this->over(job, ref, *task.run, now_ms))
        lost.emplace_back(ref, *task.run);
    });
  for (const std::pair<core::TaskRef, core::Run>& item : lost) {
    std::string name = core::task_name(job.workflow->id, item.first);
    core::apply_end(*job.workflow,
                    job.progress,
                    item.first,
                    item.second.attempt,
                    core::EndKind::Lost,
                    this->checkpoint_of(name),
                    job.attempts);
    this->note_gang_end(
      job, item.first, item.second.attempt, core::EndKind::Lost);
    this->count_end(core::EndKind::Lost);
    job.changed = true;
    const AgentView* agent = this->servers.find(item.second.node);
    std::int64_t age =
      agent && agent->heard_ms != 0 ? now_ms - agent->heard_ms : -1;
    this->log.write(RUN_LOST,
                    { { "task", name },
                      { "attempt", item.second.attempt },
                      { "server", item.second.server.id },
                      { "node", item.second.node },
                      { "heard_ms_ago", age } });
  }
}

bool
RunTracker::trusted(const std::string& server, std::int64_t now_ms)
{
  return this->failures.server_trust(this->names.id(server), now_ms) !=
         core::ServerTrust::Quarantined;
}

void
RunTracker::inform(const std::vector<core::RoundJob>& jobs,
                   core::StepMemory& memory,
                   std::int64_t now_ms)
{
  memory.percent.clear();
  memory.stalled.clear();
  memory.suspects.clear();
  for (const core::RoundJob& job : jobs) {
    core::for_each_run(
      job.progress, [&](const core::TaskRef& ref, const core::TaskState& task) {
        const core::Step& step = job.workflow->steps[ref.step];
        std::string name = core::task_name(job.workflow->id, ref);
        std::uint32_t attempt = task.run->attempt;
        core::TaskKey key{ step_key(job, ref), ref.index };
        std::uint32_t percent = this->progress.percent(name, attempt);
        if (percent > 0)
          memory.percent[key] = percent;
        // Lasting tasks have no progress, and others' pace may be lowered.
        if (step.lasting || step.fills)
          return;
        if (this->progress.standing_still(name, attempt))
          memory.suspects.insert(task.run->server.id);
        if (this->progress.stalled(name, attempt, step.estimate_ms))
          memory.stalled.insert(key);
      });
  }
  for (const std::pair<const std::string, AgentView>& entry :
       this->servers.all()) {
    const std::string& id = entry.second.report.life().id();
    if (!id.empty() && this->failures.suspected(this->names.id(id), now_ms))
      memory.suspects.insert(id);
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
RunTracker::restarted(const core::StepRestart& restart)
{
  const core::StepKey& step = restart.step;
  for (std::uint32_t index : restart.tasks)
    this->progress.restarted(
      core::task_name(step.workflow, { step.occurrence, step.step, index }));
}

void
RunTracker::forget(const core::Workflow& workflow)
{
  this->failures_by_workflow.erase(workflow.id);
  std::erase_if(
    this->gang_ends,
    [&workflow](
      const std::pair<const std::pair<core::StepKey, std::uint32_t>, GangEnd>&
        item) { return item.first.first.workflow == workflow.id; });
  this->progress.forget_workflow(workflow.id);
  // All names of the workflow's tasks begin with its identifier and a dot.
  std::string first = workflow.id + '.';
  std::map<std::string, std::string>::iterator checkpoint =
    this->checkpoints.lower_bound(first);
  while (checkpoint != this->checkpoints.end() &&
         checkpoint->first.starts_with(first))
    checkpoint = this->checkpoints.erase(checkpoint);
}

} // namespace geraniumhinge::entry
