#pragma once

#include "core/operator_config.h"
#include "core/resources.h"
#include "kernel/names.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// One step of a workflow: identical tasks, started together (a gang) or
/// independently of each other.
struct Step
{
  std::uint32_t tasks = 1;
  Resources demand;
  /// Estimated run time of a task, 0 if unknown.
  std::uint32_t estimate_ms = 0;
  /// Indices of earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> dependencies;
  bool checkpoints = false; ///< The tasks write checkpoints.
  bool gang = false;        ///< All tasks run at the same time or none.
  bool same_rack = false;   ///< Runs slower on several racks.
  std::string label;        ///< Required label of a server, empty for none.
  std::string rack;         ///< Rack that stores the data, empty for none.
  /// Limit of tasks on one server, 0 for none.
  std::uint32_t max_per_server = 0;
  bool runs_until_cancelled = false; ///< Runs until the workflow is cancelled.
  bool best_effort = false; ///< Uses only cores that other tasks leave idle.
  /// Tasks of a long-running step that may be unavailable at the same time.
  std::uint32_t max_unavailable = 0;
  std::string image;
  std::uint32_t latency_target_ms = 0;
};

/// A job of several steps as its caller submitted it. Immutable.
struct Workflow
{
  std::string id;
  std::string queue;
  std::string organisation;
  /// Service of the queue at submission. Used when the queue is no longer
  /// configured.
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t max_failures = 1;
  /// Of the queue at submission; set if the steps need tickets.
  std::optional<AdviceSettings> advice{};
  std::string payload; ///< Passed to every task without being interpreted.
  std::vector<Step> steps;
  /// Number of scheduled runs of all steps, 0 for a single immediate run.
  std::uint32_t occurrences = 0;
  std::int64_t first_due_ms = 0; ///< Unix time of occurrence 0.
  std::int64_t period_ms = 0;    ///< Time between two occurrences.
  std::int64_t accepted_ms = 0;  ///< Unix time of the submission.
};

/// One instance of a backend server: server identifier and Unix start time.
struct ServerInstance
{
  std::string id;
  std::int64_t started_ms = 0;

  bool operator==(const ServerInstance&) const = default;
};

/// An attempt of a task on a backend server.
struct Run
{
  std::uint32_t attempt = 0;
  ServerInstance server;
  std::string node;      ///< Node of the server's agent.
  bool stopping = false; ///< A stop was decided; the run has not ended.
  std::string ticket{};  ///< From the advice service, empty for none.
};

struct TaskState
{
  std::uint32_t last_attempt = 0;
  /// Failed attempts. A gang counts them in its first task.
  std::uint32_t failures = 0;
  std::uint32_t failed_attempt = 0; ///< Last attempt counted as a failure.
  /// Attempts that counted as lost and may still be reported as failed, at most
  /// `MAX_LOST_ATTEMPTS`. A gang keeps them in its first task.
  std::vector<std::uint32_t> lost_attempts;
  /// Crashes of backend servers that count against the task (core/crash.h). A
  /// gang counts them in its first task.
  std::uint32_t crashes = 0;
  std::uint32_t early_crashes = 0;   ///< Of these, soon after a start.
  std::uint32_t crashed_attempt = 0; ///< Last attempt counted as a crash.
  bool done = false;
  /// Newest one, empty once the task is done. A gang keeps it in its first
  /// task.
  std::string checkpoint;
  std::optional<Run> run;
};

/// More attempts of a task are not kept; the oldest ones are dropped.
inline constexpr std::size_t MAX_LOST_ATTEMPTS = 4;

enum class Outcome
{
  Open,
  Completed,
  Failed,
  Cancelled,
};

inline constexpr NamedValue<Outcome> OUTCOME_NAMES[] = {
  { Outcome::Open, "open" },
  { Outcome::Completed, "completed" },
  { Outcome::Failed, "failed" },
  { Outcome::Cancelled, "cancelled" },
};

/// How a run ended, as reported by its backend server or its agent.
enum class RunEndKind
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,   ///< The lease of the run expired.
  GangBroken,     ///< Another member of the gang ended.
  GangIncomplete, ///< The other gang members did not start in time.
  NeverStarted,   ///< Never started on the server, and will not start.
  Lost,           ///< The server instance has ended.
  TicketRejected, ///< Never started: the server rejected its ticket.
};

inline constexpr NamedValue<RunEndKind> RUN_END_KIND_NAMES[] = {
  { RunEndKind::Done, "done" },
  { RunEndKind::Failed, "failed" },
  { RunEndKind::Stopped, "stopped" },
  { RunEndKind::LeaseExpired, "lapsed" },
  { RunEndKind::GangBroken, "broken" },
  { RunEndKind::GangIncomplete, "alone" },
  { RunEndKind::NeverStarted, "absent" },
  { RunEndKind::Lost, "lost" },
  { RunEndKind::TicketRejected, "no_ticket" },
};

/// Identifies one task of a workflow.
struct TaskRef
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
};

using StepState = std::vector<TaskState>;
using OccurrenceState = std::vector<StepState>;

/// The state of a workflow.
struct Progress
{
  Outcome outcome = Outcome::Open;
  std::uint32_t next_occurrence = 0; ///< First occurrence not opened yet.
  /// Occurrences that are open and not finished, by number.
  std::map<std::uint32_t, OccurrenceState> open_occurrences;
  bool started = false;      ///< A task was placed.
  std::int64_t ended_ms = 0; ///< Unix time of the outcome, 0 while open.
};

/// A step with tasks that wait for servers.
struct ReadyStep
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
};

/// Whether the steps depend on earlier steps only, and the progress has the
/// workflow's steps and tasks.
bool
is_consistent(const Workflow& workflow, const Progress& progress);

/// Opens the occurrences that are due, at most `early_ms` before their due
/// time; others wait while `max_open` are open. Returns whether any was opened.
bool
open_due_occurrences(
  const Workflow& workflow,
  Progress& progress,
  std::int64_t unix_now_ms,
  std::int64_t early_ms,
  std::size_t max_open = std::numeric_limits<std::size_t>::max());

/// Unix time at which the next occurrence is due; nothing after the last one.
std::optional<std::int64_t>
next_due_ms(const Workflow& workflow, const Progress& progress);

/// The state of a task; null if its occurrence is not open.
TaskState*
find_task(Progress& progress, const TaskRef& task);

/// The task that keeps the failures, crashes and the checkpoint of an existing
/// task: the task itself; of a gang, the first member.
TaskState&
primary_task(const Workflow& workflow, Progress& progress, const TaskRef& task);

/// Steps whose dependencies are done and that have an unfinished task without
/// a run. A gang is listed only when none of its members has a run.
std::vector<ReadyStep>
ready_steps(const Workflow& workflow, const Progress& progress);

/// Applies the end of a run and the checkpoint that the run left (may be
/// empty). The end of another attempt is ignored. The workflow fails when a
/// task or gang reaches `max_failures`. Returns whether anything changed.
bool
apply_run_end(const Workflow& workflow,
              Progress& progress,
              const TaskRef& task,
              std::uint32_t attempt,
              RunEndKind kind,
              const std::string& checkpoint,
              std::uint32_t max_failures);

/// Records that an attempt ended as done after it had counted as lost. The task
/// is done, and its later attempt is stopped. Returns false, without a change,
/// if the attempt was never placed or the task's end is known already.
bool
apply_late_success(const Workflow& workflow,
                   Progress& progress,
                   const TaskRef& task,
                   std::uint32_t attempt);

/// Records that an attempt ended as failed after it had counted as lost. Each
/// attempt counts once. Returns whether anything changed.
bool
apply_late_failure(const Workflow& workflow,
                   Progress& progress,
                   const TaskRef& task,
                   std::uint32_t attempt,
                   std::uint32_t max_failures);

/// Marks every run of the workflow as stopping. Returns whether a run was not
/// stopping before.
bool
stop_all_runs(Progress& progress);

/// Whether any task has a run.
bool
has_runs(const Progress& progress);

/// Calls `visit` with each task that has a run.
void
for_each_run(
  const Progress& progress,
  const std::function<void(const TaskRef&, const TaskState&)>& visit);

/// The name of a task: ID.OCCURRENCE.STEP.INDEX.
std::string
task_name(const std::string& id, const TaskRef& task);

/// Parses a task name; nothing if the name is malformed.
std::optional<std::pair<std::string, TaskRef>>
parse_task_name(const std::string& name);

} // namespace geraniumhinge::core
