#pragma once

#include "kernel/event.h"

namespace geraniumhinge::agent {

using kernel::EventInfo;
using kernel::Severity;

inline constexpr EventInfo ENTRIES_CHANGED{
  500,
  Severity::Info,
  "agent_entries_changed",
  "The agent announces itself to other entries than before.",
  "None."
};
inline constexpr EventInfo NO_ENTRY{
  501,
  Severity::Warning,
  "agent_no_entry",
  "No entry answers the agent; it keeps trying.",
  "Check that entries run and that the addresses in /entries lead to them."
};
inline constexpr EventInfo ORPHANED{
  502,
  Severity::Error,
  "agent_orphaned",
  "No entry was heard for the orphan period; all tasks are stopped.",
  "Check the network between the agent and the entries."
};
inline constexpr EventInfo LEAVING_STARTED{
  503,
  Severity::Info,
  "agent_leaving",
  "The agent takes no new work and finishes what is in flight.",
  "None."
};
inline constexpr EventInfo DRAIN_LIMIT{
  504,
  Severity::Warning,
  "agent_drain_limit",
  "Work in flight has not ended within the drain limit and is stopped.",
  "Raise /drain/limit_ms if such work should end by itself."
};
inline constexpr EventInfo MEMBER_HELD{ 505,
                                        Severity::Debug,
                                        "agent_member_held",
                                        "Resources are held for a member.",
                                        "None." };
inline constexpr EventInfo MEMBER_REFUSED{
  506,
  Severity::Info,
  "agent_member_refused",
  "A prepare is refused; its generation is refused from now on.",
  "None."
};
inline constexpr EventInfo MEMBER_RUNNING{ 507,
                                           Severity::Info,
                                           "agent_member_running",
                                           "The task of a member is started.",
                                           "None." };
inline constexpr EventInfo MEMBER_ENDED{
  508,
  Severity::Info,
  "agent_member_ended",
  "A member has ended; the outcome and reason are in the fields.",
  "None."
};
inline constexpr EventInfo MEMBER_EXPIRED{
  509,
  Severity::Warning,
  "agent_member_expired",
  "A hold or the wait for the gang ran out; the member never runs.",
  "None, unless it repeats: then check the entries and the other agents."
};
inline constexpr EventInfo LEASE_EXPIRED{
  510,
  Severity::Warning,
  "agent_lease_lapsed",
  "A lease was not renewed in time; the task is stopped.",
  "Check the other members of the gang and the network between them."
};
inline constexpr EventInfo GANG_OPENED{
  511,
  Severity::Info,
  "agent_gang_opened",
  "Every member of a gang is ready; the lead lets the tasks run.",
  "None."
};
inline constexpr EventInfo ROUND_FAILED{
  512,
  Severity::Warning,
  "agent_round_failed",
  "A renewal round was not acknowledged by every member in time.",
  "None, unless it repeats: then check the agents of the gang."
};
inline constexpr EventInfo BACKEND_FAILING{
  513,
  Severity::Warning,
  "agent_backend_failing",
  "The backend server does not answer probes; prepares are refused.",
  "Check the backend server's process."
};
inline constexpr EventInfo HTTP_LISTEN_FAILED{
  514,
  Severity::Error,
  "agent_http_listen_failed",
  "The listen address of the metrics port can't be used.",
  "Check /http/listen and whether another process holds the port."
};
inline constexpr EventInfo BACKEND_ANSWERING{
  515,
  Severity::Info,
  "agent_backend_answering",
  "The backend server answers probes; prepares are accepted.",
  "None."
};

inline constexpr EventInfo SERVER_INSTANCE_STARTED{
  516,
  Severity::Info,
  "server_life_began",
  "A backend server announced itself with a new life.",
  "None."
};
inline constexpr EventInfo SERVER_LISTED{
  517,
  Severity::Info,
  "server_listed",
  "The backend server's runs and ends are known; what runs there is adopted.",
  "None."
};
inline constexpr EventInfo SERVER_STATE_CHANGED{
  518,
  Severity::Info,
  "server_state_changed",
  "The backend server began or ceased to drain.",
  "None."
};
inline constexpr EventInfo SERVER_LEFT{ 519,
                                        Severity::Info,
                                        "server_left",
                                        "The backend server said that it ends.",
                                        "None." };
inline constexpr EventInfo SERVER_LEASE_OVER{
  520,
  Severity::Warning,
  "server_lease_over",
  "The backend server does not answer and every lease granted to it has "
  "expired, or it answers again.",
  "Check the backend server; its tasks start elsewhere."
};
inline constexpr EventInfo FENCING_TOKEN_RAISED{
  521,
  Severity::Warning,
  "fencing_token_raised",
  "The backend server refused the fencing token; a higher one is used.",
  "Check that only one agent runs beside the backend server."
};
inline constexpr EventInfo RUN_START_ANSWERED{
  522,
  Severity::Info,
  "run_start_answered",
  "The backend server answered the start of a run, or the answer is missing.",
  "None; a run whose start is refused is reported to the owner."
};
inline constexpr EventInfo RUN_STOP_ANSWERED{
  523,
  Severity::Info,
  "run_stop_answered",
  "The backend server answered the stop of a run, or the answer is missing.",
  "None."
};
inline constexpr EventInfo OWNER_CHANGED{
  524,
  Severity::Info,
  "owner_changed",
  "Another entry places the work, by a row of the store or by its orders.",
  "None."
};
inline constexpr EventInfo CALL_REJECTED{
  525,
  Severity::Warning,
  "call_rejected",
  "A call to the agent is not one of its interface.",
  "Check who calls the agent's address."
};
inline constexpr EventInfo PACE_CHANGED{
  526,
  Severity::Info,
  "pace_changed",
  "Filling tasks work at another share of their pace, for the response times "
  "of the tasks beside them.",
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
  FENCING_TOKEN_RAISED,
  RUN_START_ANSWERED,
  RUN_STOP_ANSWERED,
  OWNER_CHANGED,
  CALL_REJECTED,
  PACE_CHANGED,
};

} // namespace geraniumhinge::agent
