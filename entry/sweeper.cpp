#include "entry/sweeper.h"

#include "entry/rows.h"

namespace geraniumhinge::entry {

namespace {

platform::TableSweepOptions
options_of(const std::string& prefix, const EntrySettings& settings)
{
  platform::TableSweepOptions options;
  options.prefix = prefix;
  options.period = settings.sweep_period;
  options.retention = settings.retention;
  return options;
}

std::optional<std::int64_t>
request_created_ms(const platform::Row& row)
{
  std::optional<v1::RequestRow> request = parse_row<v1::RequestRow>(row);
  if (!request)
    return std::nullopt;
  return request->created_ms();
}

std::optional<std::int64_t>
job_finished_ms(const platform::Row& row)
{
  std::optional<v1::JobRow> job = parse_row<v1::JobRow>(row);
  if (!job || job->job().state() != v1::JOB_STATE_DONE)
    return std::nullopt;
  return job->job().finished_ms();
}

/// Returns a function that reports whether this entry is the one that sweeps.
std::function<bool()>
sweeps_for_all(const Membership& membership)
{
  return [&membership] {
    std::vector<std::string> names = membership.live_names();
    return !names.empty() && names.front() == membership.self().name();
  };
}

} // namespace

Sweeper::Sweeper(kernel::Loop& loop,
                 kernel::TimerService& timers,
                 const kernel::Log& log,
                 platform::Table& table,
                 const EntrySettings& settings,
                 const Membership& membership)
  : markers(loop,
            timers,
            log,
            table,
            options_of(MARKER_PREFIX, settings),
            platform::marker_created_ms,
            sweeps_for_all(membership))
  , requests(loop,
             timers,
             log,
             table,
             options_of(REQUEST_PREFIX, settings),
             request_created_ms,
             sweeps_for_all(membership))
  , jobs(loop,
         timers,
         log,
         table,
         options_of(JOB_PREFIX, settings),
         job_finished_ms,
         sweeps_for_all(membership))
{
}

} // namespace geraniumhinge::entry
