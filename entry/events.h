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
  "The entry received SIGTERM or SIGINT, is unready and finishes its work in "
  "flight.",
  "None."
};
inline constexpr EventInfo ENTRY_LISTEN_FAILED{
  602,
  Severity::Error,
  "entry_listen_failed",
  "The entry cannot listen on one of its addresses.",
  "Check that the address belongs to this VM and that its port is free."
};
inline constexpr EventInfo ENTRY_DOWN{
  603,
  Severity::Warning,
  "entry_down",
  "An entry has sent no heartbeat within the limit.",
  "Check the VM of the entry if it was not replaced on purpose."
};
inline constexpr EventInfo ENTRY_LIVE{
  604,
  Severity::Info,
  "entry_live",
  "An entry has joined, or its heartbeats arrive again.",
  "None."
};
inline constexpr EventInfo SERVER_REGISTERED{
  605,
  Severity::Info,
  "server_registered",
  "Changed backend servers were committed to the row of their cell.",
  "None."
};
inline constexpr EventInfo SERVER_LOST{
  606,
  Severity::Warning,
  "server_lost",
  "A backend server was not seen within the limit.",
  "Check the VM of the backend server."
};
inline constexpr EventInfo STORE_UNAVAILABLE{
  607,
  Severity::Warning,
  "store_unavailable",
  "The table service did not respond; the operation is retried.",
  "Check the table service if this persists."
};
inline constexpr EventInfo JOB_ACCEPTED{ 608,
                                         Severity::Info,
                                         "job_accepted",
                                         "A job was accepted and stored.",
                                         "None." };
inline constexpr EventInfo JOB_STARTED{
  609,
  Severity::Info,
  "job_started",
  "Every member of a generation of a job has received its start message.",
  "None."
};
inline constexpr EventInfo JOB_STOPPING{
  610,
  Severity::Info,
  "job_stopping",
  "The members of a generation are being stopped.",
  "Check the backend servers if the field purpose is "
  "STOP_PURPOSE_MEMBER_LOST."
};
inline constexpr EventInfo JOB_DONE{ 611,
                                     Severity::Info,
                                     "job_done",
                                     "A job ended with its final outcome.",
                                     "None." };
inline constexpr EventInfo JOB_TAKEN_OVER{
  612,
  Severity::Info,
  "job_taken_over",
  "This entry took over a job that another entry accepted.",
  "None."
};
inline constexpr EventInfo COMMIT_CONFLICT{
  613,
  Severity::Debug,
  "commit_conflict",
  "Another entry changed a row first; the decision is made again on the new "
  "row.",
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
  "A job is being stopped to free resources for a guarantee.",
  "None."
};
inline constexpr EventInfo OUTCOME_NOT_RECORDED{
  616,
  Severity::Warning,
  "answer_not_recorded",
  "The outcome of a non-idempotent request could not be stored; the write is "
  "retried.",
  "Check the table service."
};
inline constexpr EventInfo ROW_MALFORMED{
  617,
  Severity::Error,
  "row_malformed",
  "A row of the table service cannot be parsed and is ignored.",
  "Check which program version wrote the row."
};
inline constexpr EventInfo GUARANTEE_BROKEN{
  618,
  Severity::Error,
  "guarantee_broken",
  "The unused guarantees of a cell no longer fit on its backend servers.",
  "Replace the lost VMs of that zone or lower the guarantees that have their "
  "home there."
};
inline constexpr EventInfo GUARANTEE_RESTORED{
  619,
  Severity::Info,
  "guarantee_restored",
  "The unused guarantees of a cell fit on its backend servers again.",
  "None."
};

inline constexpr kernel::EventInfo OWNERSHIP_TAKEN{
  620,
  kernel::Severity::Info,
  "ownership_taken",
  "This entry became the owner and places the work.",
  "None."
};
inline constexpr kernel::EventInfo OWNERSHIP_LOST{
  621,
  kernel::Severity::Info,
  "ownership_lost",
  "This entry is no longer the owner: another entry took over, or this entry "
  "released ownership.",
  "None. If it happens often, check the network between this entry and the "
  "store."
};
inline constexpr kernel::EventInfo WORK_READ{
  622,
  kernel::Severity::Info,
  "work_read",
  "As the new owner, this entry has read all rows of the work.",
  "None."
};
inline constexpr kernel::EventInfo FORMER_OWNER_READ{
  640,
  kernel::Severity::Info,
  "former_owner_read",
  "As the new owner, this entry knows until when the former one may have sent "
  "orders; `silent_agents` had no orders from it for longer.",
  "None."
};
inline constexpr kernel::EventInfo WORK_CONFLICT{
  623,
  kernel::Severity::Warning,
  "work_conflict",
  "A transaction of the owner failed because a row had another version; all "
  "rows are read again.",
  "None, unless it happens often."
};
inline constexpr kernel::EventInfo RUN_ENDED{
  624,
  kernel::Severity::Info,
  "run_ended",
  "The end of a run was recorded.",
  "None. The field kind says how the run ended."
};
inline constexpr kernel::EventInfo RUN_LOST{
  625,
  kernel::Severity::Warning,
  "run_lost",
  "A run counts as lost because the instance of its backend server ended or "
  "its lease expired. The field cause says how the owner knows.",
  "Check the backend server or its agent."
};
inline constexpr kernel::EventInfo LATE_SUCCESS{
  636,
  kernel::Severity::Warning,
  "late_success",
  "A run that had counted as lost ended as done; its task is done, and the "
  "later attempt is stopped.",
  "Check why the backend server was silent for longer than its lease."
};
inline constexpr kernel::EventInfo ROW_OVERSIZED{
  637,
  kernel::Severity::Error,
  "row_oversized",
  "The state of a job did not fit into a row of the store. The longest "
  "checkpoints were dropped, so that their tasks start from the beginning, and "
  "if that was not enough, placements. Unless `stored`, its changes wait; "
  "other jobs go on.",
  "Submit the job as several smaller ones, or with shorter checkpoints."
};
inline constexpr kernel::EventInfo CRASH_COUNTED{
  638,
  kernel::Severity::Warning,
  "crash_counted",
  "A backend server crashed, and the crash counts against a task that may have "
  "caused it. At a limit the task is given up and its job fails.",
  "If given_up is true, look into the job's task; it crashes its servers."
};
inline constexpr kernel::EventInfo CRASH_WITHDRAWN{
  639,
  kernel::Severity::Info,
  "crash_withdrawn",
  "A backend server was found again that may have crashed while its agent "
  "restarted; the crash no longer counts against the task.",
  "Check why the backend server was silent for longer than its lease."
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
  "Tasks of a step are being stopped to free resources for a more urgent one.",
  "None."
};
inline constexpr kernel::EventInfo EXPIRY_FAILED{
  630,
  kernel::Severity::Warning,
  "expiry_failed",
  "Rows of ended workflows could not be removed; the removal is retried.",
  "None. If it persists, check the store."
};
inline constexpr kernel::EventInfo CALL_ANSWERED{
  631,
  kernel::Severity::Info,
  "call_answered",
  "The entry responded to a submission or cancellation, or refused a call.",
  "None. The field result contains the result of the call."
};
inline constexpr kernel::EventInfo CONFIGURATION_IN_FORCE{
  632,
  kernel::Severity::Info,
  "configuration_in_force",
  "A new configuration is in force in this entry.",
  "None."
};

inline constexpr kernel::EventInfo STEP_RESTARTED{
  633,
  kernel::Severity::Info,
  "step_restarted",
  "Runs of a step are stopped and start again on other servers, because the "
  "runs make no progress, their server leaves before they can end, or they "
  "have not started in a zone that is being evacuated.",
  "Check the server if the reason is no_progress."
};
inline constexpr kernel::EventInfo ADVICE_FAILED{
  634,
  kernel::Severity::Warning,
  "advice_failed",
  "The advice service refused a request or sent no valid response; the request "
  "is sent again.",
  "Check the advice service if this persists; queues that need advice wait."
};
inline constexpr kernel::EventInfo ADVICE_GIVEN{
  635,
  kernel::Severity::Info,
  "advice_given",
  "The advice service named the servers that may run a step.",
  "None."
};
inline constexpr kernel::EventInfo ADVICE_UNUSED{
  641,
  kernel::Severity::Warning,
  "advice_unused",
  "Several responses of the advice service in a row brought nothing new, and "
  "no task of the step has started with their tickets; requests for the step "
  "are made less often.",
  "If it persists, compare the time that the service takes with the validity "
  "of its tickets, and check whether the step fits on the servers allowed."
};
inline constexpr kernel::EventInfo SHARED_END_APPLIED{
  643,
  kernel::Severity::Info,
  "shared_end_applied",
  "The former owner had heard of the end of a run and could not store it; this "
  "entry, the new owner, stores it.",
  "None."
};
inline constexpr kernel::EventInfo AGENTS_REPORTED{
  649,
  kernel::Severity::Info,
  "agents_reported",
  "As the new owner, this entry now places all work: all agents have reported, "
  "or the limit of the setting settle_ms has passed.",
  "If reported is below agents, check whether the missing agents run."
};
inline constexpr kernel::EventInfo ADVICE_DENIED{
  642,
  kernel::Severity::Warning,
  "advice_denied",
  "The advice service allows none of the servers of the queue's service to run "
  "the step; it waits for other servers.",
  "Check the policy of the queue, or cancel the job."
};
inline constexpr EventInfo SPEEDS_DIFFER{
  647,
  Severity::Info,
  "speeds_differ",
  "The speeds of backend servers have been found to differ, or (differ=false) "
  "no longer do. nodes= counts those that differ from the median.",
  "None. If a machine is slower than others of its kind, check it."
};
inline constexpr EventInfo SPEEDS_MALFORMED{
  648,
  Severity::Warning,
  "speeds_malformed",
  "The stored speeds of backend servers can't be parsed; they are learned "
  "again.",
  "Check which program version wrote the row speeds."
};

inline constexpr EventInfo ZONE_CLOSED{
  644,
  Severity::Info,
  "zone_closed",
  "An operator requests the evacuation of a zone: nothing more is placed on "
  "its backend servers, and what was placed there and has not started is "
  "placed elsewhere. Running work is left to end.",
  "None. Remove the row evacuate/ZONE of the table op to open the zone again."
};
inline constexpr EventInfo ZONE_OPENED{
  645,
  Severity::Info,
  "zone_opened",
  "The request to evacuate a zone was removed; its backend servers are used "
  "again.",
  "None."
};
inline constexpr EventInfo STEP_HELD{
  646,
  Severity::Warning,
  "step_held",
  "A step finds no servers and would fit in a zone that is being evacuated. It "
  "waits for servers of other zones, or until the zone opens. Logged once for "
  "each evacuation by each owner.",
  "Open the zone, or add backend servers to other zones, if the step is urgent."
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
  OUTCOME_NOT_RECORDED,
  ROW_MALFORMED,
  GUARANTEE_BROKEN,
  GUARANTEE_RESTORED,
  OWNERSHIP_TAKEN,
  OWNERSHIP_LOST,
  WORK_READ,
  FORMER_OWNER_READ,
  WORK_CONFLICT,
  RUN_ENDED,
  RUN_LOST,
  LATE_SUCCESS,
  ROW_OVERSIZED,
  CRASH_COUNTED,
  CRASH_WITHDRAWN,
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
  ADVICE_UNUSED,
  ADVICE_DENIED,
  SHARED_END_APPLIED,
  SPEEDS_DIFFER,
  SPEEDS_MALFORMED,
  ZONE_CLOSED,
  ZONE_OPENED,
  STEP_HELD,
  AGENTS_REPORTED,
};

} // namespace geraniumhinge::entry
