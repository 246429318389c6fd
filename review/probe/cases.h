#pragma once

#include "review/probe/world.h"

#include <string>

namespace geraniumhinge::review {

/// Runs one case against a deployment whose programs have not been started.
/// Without trouble, it does the same without the disruption.
using Case = Verdict (*)(World& world, bool trouble);

/// The case with this name; null if there is none.
Case
find_case(const std::string& name);

Verdict
cancelled_before_stored(World& world, bool trouble);
Verdict
gang_failure_behind_a_freeze(World& world, bool trouble);
Verdict
given_up_after_crashes(World& world, bool trouble);
Verdict
lasting_task_not_restarted(World& world, bool trouble);
Verdict
healthy_worker_not_used(World& world, bool trouble);
Verdict
machines_lost_with_owner(World& world, bool trouble);
Verdict
workers_added_beside_advice(World& world, bool trouble);
Verdict
route_removed(World& world, bool trouble);
Verdict
waiting_job_not_counted(World& world, bool trouble);

} // namespace geraniumhinge::review
