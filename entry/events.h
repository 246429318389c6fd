#pragma once

#include "kernel/event.h"

namespace geraniumhinge::entry {

using kernel::EventInfo;
using kernel::Severity;

inline constexpr EventInfo ENTRY_READY{
  600,
  Severity::Info,
  "entry_ready",
  "The entry has read the store and accepts calls.",
  "None."
};
inline constexpr EventInfo ENTRY_DRAINING{
  601,
  Severity::Info,
  "entry_draining",
  "The entry got SIGTERM, is unready and finishes its work in flight.",
  "None."
};
inline constexpr EventInfo ENTRY_LISTEN_FAILED{
  602,
  Severity::Error,
  "entry_listen_failed",
  "A listen address can't be used.",
  "Check that the address belongs to this VM and that its port is free."
};
inline constexpr EventInfo ENTRY_DOWN{
  603,
  Severity::Warning,
  "entry_down",
  "An entry has sent no heartbeat within the limit.",
  "Check the VM of the entry if it was not replaced on purpose."
};
inline constexpr EventInfo ENTRY_LIVE{ 604,
                                       Severity::Info,
                                       "entry_live",
                                       "An entry has joined or is heard again.",
                                       "None." };
inline constexpr EventInfo SERVER_REGISTERED{
  605,
  Severity::Info,
  "server_registered",
  "Changes of backend servers were committed to the row of their cell.",
  "None."
};
inline constexpr EventInfo SERVER_LOST{
  606,
  Severity::Warning,
  "server_lost",
  "A backend server has been silent for the limit.",
  "Check the VM of the backend server."
};
inline constexpr EventInfo STORE_UNAVAILABLE{
  607,
  Severity::Warning,
  "store_unavailable",
  "The table service did not answer; the step is tried again.",
  "Check the table service if this persists."
};
inline constexpr EventInfo JOB_ACCEPTED{ 608,
                                         Severity::Info,
                                         "job_accepted",
                                         "A job was recorded.",
                                         "None." };
inline constexpr EventInfo JOB_STARTED{
  609,
  Severity::Info,
  "job_started",
  "Every member of a generation of a job has its start message.",
  "None."
};
inline constexpr EventInfo JOB_STOPPING{
  610,
  Severity::Info,
  "job_stopping",
  "The members of a generation are being stopped.",
  "Check the backend servers if the purpose is a lost member."
};
inline constexpr EventInfo JOB_DONE{ 611,
                                     Severity::Info,
                                     "job_done",
                                     "A job has its final outcome.",
                                     "None." };
inline constexpr EventInfo JOB_TAKEN_OVER{
  612,
  Severity::Info,
  "job_taken_over",
  "This entry drives a job that another entry accepted.",
  "None."
};
inline constexpr EventInfo COMMIT_CONFLICT{
  613,
  Severity::Debug,
  "commit_conflict",
  "Another entry changed a row first; the step is decided again.",
  "None."
};
inline constexpr EventInfo LEASE_EXPIRY_ASSUMED{
  614,
  Severity::Warning,
  "lease_lapse_assumed",
  "A member that could not be reached counts as stopped because its lease has "
  "expired.",
  "Check the VM of the backend server."
};
inline constexpr EventInfo RECLAIM_STARTED{
  615,
  Severity::Info,
  "reclaim_started",
  "A job is stopped so that a guarantee can be served.",
  "None."
};
inline constexpr EventInfo ANSWER_NOT_RECORDED{
  616,
  Severity::Warning,
  "answer_not_recorded",
  "The answer of a non-idempotent request could not be recorded yet.",
  "Check the table service."
};
inline constexpr EventInfo ROW_MALFORMED{
  617,
  Severity::Error,
  "row_malformed",
  "A row of the table service can't be parsed and is left alone.",
  "Check which program version wrote the row."
};
inline constexpr EventInfo GUARANTEE_BROKEN{
  618,
  Severity::Error,
  "guarantee_broken",
  "The unused guarantees of a cell no longer pack.",
  "Replace lost VMs or lower the guarantees homed in that zone."
};
inline constexpr EventInfo GUARANTEE_RESTORED{
  619,
  Severity::Info,
  "guarantee_restored",
  "The unused guarantees of a cell pack again.",
  "None."
};

inline constexpr kernel::EventInfo OWNERSHIP_TAKEN{
  620,
  kernel::Severity::Info,
  "ownership_taken",
  "This entry places the work from now on.",
  "None."
};
inline constexpr kernel::EventInfo OWNERSHIP_LOST{
  621,
  kernel::Severity::Info,
  "ownership_lost",
  "Another entry places the work, or this one gave it up.",
  "None, unless it happens often: then check this entry's way to the store."
};
inline constexpr kernel::EventInfo WORK_READ{
  622,
  kernel::Severity::Info,
  "work_read",
  "All rows of the work were read under a new term.",
  "None."
};
inline constexpr kernel::EventInfo WORK_CONFLICT{
  623,
  kernel::Severity::Warning,
  "work_conflict",
  "A transaction of the owner found rows of another version; they are read "
  "anew.",
  "None, unless it happens often."
};
inline constexpr kernel::EventInfo RUN_ENDED{
  624,
  kernel::Severity::Info,
  "run_ended",
  "The end of a run was noted.",
  "None; see the kind of the end."
};
inline constexpr kernel::EventInfo RUN_LOST{
  625,
  kernel::Severity::Warning,
  "run_lost",
  "A run counts as ended, since its backend server's life or lease is over.",
  "Check the backend server or its agent."
};
inline constexpr kernel::EventInfo WORKFLOW_CANCELLED{
  626,
  kernel::Severity::Info,
  "workflow_cancelled",
  "A caller cancelled a workflow; its runs are being stopped.",
  "None."
};
inline constexpr kernel::EventInfo WORKFLOW_ENDED{
  627,
  kernel::Severity::Info,
  "workflow_ended",
  "A workflow reached its outcome.",
  "None."
};
inline constexpr kernel::EventInfo STEP_PLACED{
  628,
  kernel::Severity::Info,
  "step_placed",
  "Backend servers were assigned to tasks of a step.",
  "None."
};
inline constexpr kernel::EventInfo STEP_PREEMPTED{
  629,
  kernel::Severity::Info,
  "step_preempted",
  "A step is being stopped for one that is owed a guarantee.",
  "None."
};
inline constexpr kernel::EventInfo EXPIRY_FAILED{
  630,
  kernel::Severity::Warning,
  "expiry_failed",
  "Rows of ended workflows could not be removed; they will be later.",
  "None, unless it goes on: then check the store."
};
inline constexpr kernel::EventInfo CALL_ANSWERED{
  631,
  kernel::Severity::Info,
  "call_answered",
  "A caller's submission or cancellation was answered, or a call was refused.",
  "See the result."
};
inline constexpr kernel::EventInfo CONFIGURATION_IN_FORCE{
  632,
  kernel::Severity::Info,
  "configuration_in_force",
  "A new configuration is in force here.",
  "None."
};

inline constexpr kernel::EventInfo STEP_RESTARTED{
  633,
  kernel::Severity::Info,
  "step_restarted",
  "Runs are stopped to start elsewhere: they make no progress, or their server "
  "leaves before they can end.",
  "Check the server if the reason is no_progress."
};
inline constexpr kernel::EventInfo ADVICE_FAILED{
  634,
  kernel::Severity::Warning,
  "advice_failed",
  "The advice service did not answer a question; it is asked again.",
  "Check the advice service if this persists; its queues wait for it."
};
inline constexpr kernel::EventInfo ADVICE_GIVEN{
  635,
  kernel::Severity::Info,
  "advice_given",
  "The advice service named the servers that may run a step.",
  "None."
};

inline constexpr EventInfo ENTRY_EVENTS[] = {
  ENTRY_READY,
  ENTRY_DRAINING,
  ENTRY_LISTEN_FAILED,
  ENTRY_DOWN,
  ENTRY_LIVE,
  SERVER_REGISTERED,
  SERVER_LOST,
  STORE_UNAVAILABLE,
  JOB_ACCEPTED,
  JOB_STARTED,
  JOB_STOPPING,
  JOB_DONE,
  JOB_TAKEN_OVER,
  COMMIT_CONFLICT,
  LEASE_EXPIRY_ASSUMED,
  RECLAIM_STARTED,
  ANSWER_NOT_RECORDED,
  ROW_MALFORMED,
  GUARANTEE_BROKEN,
  GUARANTEE_RESTORED,
  OWNERSHIP_TAKEN,
  OWNERSHIP_LOST,
  WORK_READ,
  WORK_CONFLICT,
  RUN_ENDED,
  RUN_LOST,
  WORKFLOW_CANCELLED,
  WORKFLOW_ENDED,
  STEP_PLACED,
  STEP_PREEMPTED,
  EXPIRY_FAILED,
  CALL_ANSWERED,
  CONFIGURATION_IN_FORCE,
  STEP_RESTARTED,
  ADVICE_FAILED,
  ADVICE_GIVEN,
};

} // namespace geraniumhinge::entry
