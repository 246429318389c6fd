#include "gateway/refusal_log.h"

#include "gateway/events.h"
#include "kernel/clock.h"

#include <fmt/format.h>

namespace geraniumhinge::gateway {

namespace {

constexpr std::int64_t LOG_PERIOD_MS = 10'000;

} // namespace

RefusalLog::RefusalLog(const kernel::Log& log, kernel::Metrics& metrics)
  : log(log)
  , held_bytes(metrics.gauge("http_held_bytes"))
  , connections(metrics.gauge("http_connections"))
{
  for (const NamedValue<RefusalCause>& row : REFUSAL_CAUSE_NAMES)
    this->rows.emplace(row.value,
                       Row{ metrics.counter(fmt::format(
                              "http_refused_total{{cause=\"{}\"}}", row.name)),
                            kernel::EventLimit(LOG_PERIOD_MS) });
}

RequestBudgetHooks
RefusalLog::hooks()
{
  RequestBudgetHooks hooks;
  hooks.refused = [this](RefusalCause cause) { this->record(cause); };
  hooks.checked = [this](std::size_t bytes, std::size_t open) {
    this->held_bytes.set(static_cast<double>(bytes));
    this->connections.set(static_cast<double>(open));
  };
  return hooks;
}

void
RefusalLog::record(RefusalCause cause)
{
  Row& row = this->rows.at(cause);
  row.counter.add();
  std::uint64_t count = row.limit.record(kernel::boot_ms());
  if (count > 0)
    this->log.write(
      REQUESTS_REFUSED,
      { { "cause", name_of(REFUSAL_CAUSE_NAMES, cause) }, { "count", count } });
}

} // namespace geraniumhinge::gateway
