#pragma once

#include "core/retry.h"
#include "entry/fleet.h"
#include "entry/membership.h"
#include "entry/server_pick.h"
#include "entry/settings.h"
#include "entry/transport.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/trace.h"
#include "platform/table.h"

#include <functional>

namespace geraniumhinge::entry {

/// Services shared by all short requests.
struct RunContext
{
  kernel::Loop& loop;
  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Table& table;
  Fleet& fleet;
  Membership& membership;
  Transport transport;
  const EntrySettings& settings;
  ServerPicker& picker;
  core::RetryBudget& budget;
};

/// A response without output.
inline v1::RunResponse
run_response(const std::string& request_id,
             v1::Outcome outcome,
             v1::Reason reason)
{
  v1::RunResponse response;
  response.set_request_id(request_id);
  response.set_outcome(outcome);
  response.set_reason(reason);
  return response;
}

/// A NOT_RUN response with the time after which a retry may succeed.
inline v1::RunResponse
not_run(const RunContext& context,
        const std::string& request_id,
        v1::Reason reason)
{
  v1::RunResponse response =
    run_response(request_id, v1::OUTCOME_NOT_RUN, reason);
  response.set_retry_after_ms(context.settings.retry_after.count());
  return response;
}

} // namespace geraniumhinge::entry
