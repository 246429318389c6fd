#pragma once

#include "entry/cell_cache.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace geraniumhinge::entry {

/// Logs when the resources of a cell's guarantees can no longer be reclaimed,
/// and when they can be again, for the cells whose preferred entry this is.
class GuaranteeWatch
{
public:
  using IsPreferred = std::function<bool(const std::string& zone)>;

  GuaranteeWatch(CellCache& cell_cache,
                 const kernel::Log& log,
                 kernel::Metrics& metrics,
                 std::function<const v1::Configuration&()> config,
                 IsPreferred is_preferred);

  /// Checks the cells that have changed, or all after a change of
  /// configuration.
  void check();

private:
  struct CheckResult
  {
    std::uint64_t cell_version = 0;
    std::uint64_t config_version = 0;
    bool broken = false;
  };

  void check_cell(const std::string& zone, const CellView& cell);

  CellCache& cell_cache;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  std::function<const v1::Configuration&()> config;
  IsPreferred is_preferred;
  std::map<std::string, CheckResult> results;
};

} // namespace geraniumhinge::entry
