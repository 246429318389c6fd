#pragma once

#include "core/resources.h"
#include "kernel/names.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// One step of a workflow: equal tasks that start together or one by one.
struct Step
{
  std::uint32_t tasks = 1;
  Resources demand;
  std::uint32_t estimate_ms = 0; ///< Rough duration of one task, 0 if unknown.
  /// Earlier steps that must be done first.
  std::vector<std::uint32_t> dependencies;
  bool checkpoints = false;
  bool gang = false;      ///< All tasks run at the same time or none.
  bool same_rack = false; ///< Slower when the tasks use several racks.
  std::string label;      ///< Label that a server must have, empty for none.
  std::string rack;       ///< Rack of the data, empty for none.
  std::uint32_t max_per_server = 0;  ///< Tasks on one server, 0 for no limit.
  bool runs_until_cancelled = false; ///< Runs until the workflow is cancelled.
  bool best_effort = false; ///< Takes only cores that others leave idle.
  /// Long-running tasks that may be unavailable at one time.
  std::uint32_t max_unavailable = 0;
  std::string image;
  std::uint32_t latency_target_ms = 0;
};

/// A job of several steps as its caller submitted it. Never changes.
struct Workflow
{
  std::string id;
  std::string queue;
  std::string organisation;
  /// Of the queue at the submission, for when it is no longer configured.
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t max_failures = 1;
  std::string payload; ///< Handed to every task unread.
  std::vector<Step> steps;
  /// Timed runs of all steps, 0 for one at once.
  std::uint32_t occurrences = 0;
  std::int64_t first_due_ms = 0; ///< Unix time of occurrence 0.
  std::int64_t period_ms = 0;    ///< Between two occurrences.
  std::int64_t accepted_ms = 0;  ///< Unix time of the submission.
};

/// One instance of a backend server: its identifier and Unix start time in ms.
struct ServerInstance
{
  std::string id;
  std::int64_t started_ms = 0;

  bool operator==(const ServerInstance&) const = default;
};

/// A task on a backend server.
struct Run
{
  std::uint32_t attempt = 0;
  ServerInstance server;
  std::string node; ///< Of the server's agent.
  bool stopping = false;
  std::string ticket{}; ///< Of the advice service, empty for none.
};

struct TaskState
{
  std::uint32_t last_attempt = 0;
  std::uint32_t failures = 0;       ///< Of a gang: kept in its first task.
  std::uint32_t failed_attempt = 0; ///< Last attempt counted as a failure.
  bool done = false;
  std::string checkpoint; ///< Newest known; of a gang, in its first task.
  std::optional<Run> run;
};

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

/// How a run ended, as its backend server or our agent tells.
enum class RunEndKind
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,   ///< The lease expired.
  GangBroken,     ///< Another member of the gang ended.
  GangIncomplete, ///< The other members of the gang did not come in time.
  NeverStarted,   ///< Never started there, and never will be.
  Lost,           ///< The server's instance has ended.
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
};

/// Names one task of a workflow.
struct TaskRef
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
};

using StepState = std::vector<TaskState>;
using OccurrenceState = std::vector<StepState>;

/// What has become of a workflow so far.
struct Progress
{
  Outcome outcome = Outcome::Open;
  std::uint32_t next_occurrence = 0; ///< Occurrences before it were opened.
  /// Opened and not done.
  std::map<std::uint32_t, OccurrenceState> open_occurrences;
  bool started = false;      ///< A task has started.
  std::int64_t ended_ms = 0; ///< Unix time of the outcome, 0 while open.
};

/// A step that waits for servers.
struct ReadyStep
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
};

/// Opens the occurrences that are due, at most `early_ms` before their time.
/// Returns whether anything changed.
bool
open_due_occurrences(const Workflow& workflow,
                     Progress& progress,
                     std::int64_t unix_now_ms,
                     std::int64_t early_ms);

/// Unix time at which the next occurrence is due, nothing if there is none.
std::optional<std::int64_t>
next_due_ms(const Workflow& workflow, const Progress& progress);

/// The state of a task; null if its occurrence is not open.
TaskState*
find_task(Progress& progress, const TaskRef& task);

/// Steps whose dependencies are done and that have a task without a run. A
/// gang is listed only when none of its members has a run.
std::vector<ReadyStep>
ready_steps(const Workflow& workflow, const Progress& progress);

/// Applies the end of a run, with the checkpoint that it left. An end of
/// another attempt changes nothing.
/// `max_failures` is the number of failures after which the workflow has
/// failed. Returns whether anything changed.
bool
apply_run_end(const Workflow& workflow,
              Progress& progress,
              const TaskRef& task,
              std::uint32_t attempt,
              RunEndKind kind,
              const std::string& checkpoint,
              std::uint32_t max_failures);

/// Marks every run of the workflow as stopping. Returns whether any was not.
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

/// ID.OCCURRENCE.STEP.INDEX
std::string
task_name(const std::string& id, const TaskRef& task);

/// Reads a task name; nothing if it is malformed.
std::optional<std::pair<std::string, TaskRef>>
parse_task_name(const std::string& name);

} // namespace geraniumhinge::core
