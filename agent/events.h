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
inline constexpr EventInfo LEASE_LAPSED{
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

inline constexpr EventInfo AGENT_EVENTS[] = {
  ENTRIES_CHANGED, NO_ENTRY,        ORPHANED,           LEAVING_STARTED,
  DRAIN_LIMIT,     MEMBER_HELD,     MEMBER_REFUSED,     MEMBER_RUNNING,
  MEMBER_ENDED,    MEMBER_EXPIRED,  LEASE_LAPSED,       GANG_OPENED,
  ROUND_FAILED,    BACKEND_FAILING, HTTP_LISTEN_FAILED, BACKEND_ANSWERING,
};

} // namespace geraniumhinge::agent
