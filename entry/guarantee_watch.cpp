#include "entry/guarantee_watch.h"

#include "entry/allocations.h"
#include "entry/events.h"

#include <utility>

namespace geraniumhinge::entry {

GuaranteeWatch::GuaranteeWatch(CellCache& cell_cache,
                               const kernel::Log& log,
                               kernel::Metrics& metrics,
                               std::function<const v1::Configuration&()> config,
                               IsPreferred is_preferred)
  : cell_cache(cell_cache)
  , log(log)
  , metrics(metrics)
  , config(std::move(config))
  , is_preferred(std::move(is_preferred))
{
  this->cell_cache.on_change([this] { this->check(); });
}

void
GuaranteeWatch::check()
{
  double broken = 0;
  for (const auto& [zone, cell] : this->cell_cache.all()) {
    if (!this->is_preferred(zone)) {
      this->results.erase(zone);
      continue;
    }
    this->check_cell(zone, cell);
    broken += this->results[zone].broken ? 1 : 0;
  }
  this->metrics.gauge("entry_cells_with_broken_guarantee").set(broken);
}

void
GuaranteeWatch::check_cell(const std::string& zone, const CellView& cell)
{
  CheckResult& last = this->results[zone];
  std::uint64_t config_version = this->config().version();
  if (last.cell_version == cell.version &&
      last.config_version == config_version)
    return;
  last.cell_version = cell.version;
  last.config_version = config_version;
  bool broken = !witness_holds(cell.row, this->config());
  if (std::exchange(last.broken, broken) != broken)
    this->log.write(broken ? GUARANTEE_BROKEN : GUARANTEE_RESTORED,
                    { { "zone", zone }, { "config", config_version } });
}

} // namespace geraniumhinge::entry
