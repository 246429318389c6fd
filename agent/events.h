#pragma once

#include "kernel/event.h"

namespace geraniumhinge::agent {

using kernel::EventInfo;
using kernel::Severity;

inline constexpr EventInfo ENTRIES_CHANGED{
  500,
  Severity::Info,
  "agent_entries_changed",
  "The preferred entry or the backup of the agent has changed.",
  "None."
};
inline constexpr EventInfo NO_ENTRY{
  501,
  Severity::Warning,
  "agent_no_entry",
  "No entry replies to the agent; the agent retries.",
  "Check that entries run and that the addresses in /entries reach them."
};
inline constexpr EventInfo ORPHANED{
  502,
  Severity::Error,
  "agent_orphaned",
  "No message of an entry arrived within the orphan timeout; all tasks are "
  "stopped.",
  "Check the network between the agent and the entries."
};
inline constexpr EventInfo LEAVING_STARTED{
  503,
  Severity::Info,
  "agent_leaving",
  "The agent drains: it refuses new work and finishes the work in flight.",
  "None."
};
inline constexpr EventInfo DRAIN_LIMIT{
  504,
  Severity::Warning,
  "agent_drain_limit",
  "Work in flight did not end within the drain limit and is stopped.",
  "Raise /drain/limit_ms if such work needs more time."
};
inline constexpr EventInfo MEMBER_HELD{ 505,
                                        Severity::Debug,
                                        "agent_member_held",
                                        "Resources are reserved for a member.",
                                        "None." };
inline constexpr EventInfo MEMBER_REFUSED{
  506,
  Severity::Info,
  "agent_member_refused",
  "The agent refused a Prepare; it refuses that generation from now on.",
  "None."
};
inline constexpr EventInfo MEMBER_RUNNING{
  507,
  Severity::Info,
  "agent_member_running",
  "The agent starts the task of a member.",
  "None."
};
inline constexpr EventInfo MEMBER_ENDED{
  508,
  Severity::Info,
  "agent_member_ended",
  "A member has ended; its outcome and reason are in the fields.",
  "None."
};
inline constexpr EventInfo MEMBER_EXPIRED{
  509,
  Severity::Warning,
  "agent_member_expired",
  "The reservation of a member expired or its gang did not open in time; the "
  "member never runs.",
  "None; if it repeats, check the entries and the other agents of the gang."
};
inline constexpr EventInfo LEASE_EXPIRED{
  510,
  Severity::Warning,
  "agent_lease_lapsed",
  "A lease was not renewed in time; its task was stopped.",
  "Check the other members of the gang and the network between them."
};
inline constexpr EventInfo GANG_OPENED{
  511,
  Severity::Info,
  "agent_gang_opened",
  "Every member of a gang has started; the lead opens the gang.",
  "None."
};
inline constexpr EventInfo ROUND_FAILED{
  512,
  Severity::Warning,
  "agent_round_failed",
  "A renewal round was not acknowledged by every member in time.",
  "None; if it repeats, check the agents of the gang."
};
inline constexpr EventInfo BACKEND_FAILING{
  513,
  Severity::Warning,
  "agent_backend_failing",
  "The backend server does not answer probes; the agent refuses new members.",
  "Check the backend server's process."
};
inline constexpr EventInfo HTTP_LISTEN_FAILED{
  514,
  Severity::Error,
  "agent_http_listen_failed",
  "The agent can't listen on one of the addresses in the fields.",
  "Check these addresses in the settings and whether another process uses one "
  "of the ports."
};
inline constexpr EventInfo BACKEND_ANSWERING{
  515,
  Severity::Info,
  "agent_backend_answering",
  "The backend server answers probes; the agent accepts new members.",
  "None."
};

inline constexpr EventInfo SERVER_INSTANCE_STARTED{
  516,
  Severity::Info,
  "server_life_began",
  "A backend server announced a new instance.",
  "None."
};
inline constexpr EventInfo SERVER_LISTED{
  517,
  Severity::Info,
  "server_listed",
  "The agent read the running and ended runs of the backend server and took "
  "over the running ones.",
  "None."
};
inline constexpr EventInfo SERVER_STATE_CHANGED{
  518,
  Severity::Info,
  "server_state_changed",
  "The backend server started or stopped draining, or its capacity changed.",
  "None."
};
inline constexpr EventInfo SERVER_LEFT{
  519,
  Severity::Info,
  "server_left",
  "The backend server announced that it shuts down.",
  "None."
};
inline constexpr EventInfo SERVER_LEASE_OVER{
  520,
  Severity::Warning,
  "server_lease_over",
  "All runs of the backend server count as ended (over=true), because its "
  "instance ended or every lease granted to it has expired, with the times "
  "that this follows from; or they no longer count as ended (over=false).",
  "Check the backend server; its tasks start on other servers."
};
inline constexpr EventInfo SERVER_CRASHED{
  529,
  Severity::Warning,
  "server_crashed",
  "The instance of the backend server ended without an announcement. The field "
  "runs lists the tasks that were or may have been on it, each with the time "
  "since its start request.",
  "If one task was on several servers that crashed, look into that task."
};
inline constexpr EventInfo FENCING_TOKEN_RAISED{
  521,
  Severity::Warning,
  "fencing_token_raised",
  "The backend server refused the fencing token; the agent uses a higher one.",
  "Check that only one agent runs beside the backend server."
};
inline constexpr EventInfo RUN_START_ANSWERED{
  522,
  Severity::Info,
  "run_start_answered",
  "A call to start a run ended: the backend server responded or the call "
  "failed.",
  "None; the agent reports a refused start to the owner."
};
inline constexpr EventInfo RUN_STOP_ANSWERED{
  523,
  Severity::Info,
  "run_stop_answered",
  "A call to stop a run ended: the backend server responded or the call "
  "failed.",
  "None."
};
inline constexpr EventInfo OWNER_CHANGED{
  524,
  Severity::Info,
  "owner_changed",
  "Another entry owns the work, according to the store or to its orders.",
  "None."
};
inline constexpr EventInfo CALL_REJECTED{
  525,
  Severity::Warning,
  "call_rejected",
  "The agent received a call that is not part of its interface.",
  "Check which client calls the agent's address."
};
inline constexpr EventInfo PACE_CHANGED{
  526,
  Severity::Info,
  "pace_changed",
  "The pace of best-effort tasks was adapted to the response times of the "
  "tasks beside them.",
  "None."
};
inline constexpr EventInfo SERVER_ROWS_MALFORMED{
  528,
  Severity::Warning,
  "server_rows_malformed",
  "The number of rows that can't be read in the backend server's lists of "
  "tasks has changed. The other rows are used, and no end is acknowledged "
  "meanwhile.",
  "Check the version of the backend server."
};
inline constexpr EventInfo ANNOUNCEMENT_IGNORED{
  530,
  Severity::Warning,
  "announcement_ignored",
  "An announcement names another instance than the one that answers the agent, "
  "or contradicts what this instance announced before. The current instance "
  "stays in use.",
  "Find the program that sends announcements to this agent."
};
inline constexpr EventInfo ENDS_ACKNOWLEDGED{
  527,
  Severity::Info,
  "ends_acknowledged",
  "The agent lets the backend server drop the ends up to a number, which the "
  "owner has stored.",
  "None."
};

inline constexpr EventInfo AGENT_EVENTS[] = {
  ENTRIES_CHANGED,
  NO_ENTRY,
  ORPHANED,
  LEAVING_STARTED,
  DRAIN_LIMIT,
  MEMBER_HELD,
  MEMBER_REFUSED,
  MEMBER_RUNNING,
  MEMBER_ENDED,
  MEMBER_EXPIRED,
  LEASE_EXPIRED,
  GANG_OPENED,
  ROUND_FAILED,
  BACKEND_FAILING,
  HTTP_LISTEN_FAILED,
  BACKEND_ANSWERING,
  SERVER_INSTANCE_STARTED,
  SERVER_LISTED,
  SERVER_STATE_CHANGED,
  SERVER_LEFT,
  SERVER_LEASE_OVER,
  SERVER_CRASHED,
  FENCING_TOKEN_RAISED,
  RUN_START_ANSWERED,
  RUN_STOP_ANSWERED,
  OWNER_CHANGED,
  CALL_REJECTED,
  PACE_CHANGED,
  ENDS_ACKNOWLEDGED,
  SERVER_ROWS_MALFORMED,
  ANNOUNCEMENT_IGNORED,
};

} // namespace geraniumhinge::agent
