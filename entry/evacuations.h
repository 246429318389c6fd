#pragma once

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform/store.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace geraniumhinge::entry {

/// The zones that operators evacuate: nothing is placed there, and runs that
/// were placed earlier may start only for a limited time. Times are boot times
/// in milliseconds.
class Evacuations
{
public:
  /// `evacuate_ms`: time from the acknowledgement of a request until nothing
  /// may start in the zone; 0 if the deployment has not set it.
  Evacuations(const kernel::Log& log,
              kernel::Metrics& metrics,
              std::int64_t evacuate_ms);

  void set_evacuate_ms(std::int64_t evacuate_ms);

  /// Applies all rows of the operators' table. No row that is new to this entry
  /// was written before `known_until_ms`; 0 if that is not known. Returns
  /// whether zones were closed or opened.
  bool replace(const platform::RowPage& page, std::int64_t known_until_ms);

  /// Applies changed rows of the operators' table, as `replace`.
  bool apply(const platform::RowPage& page, std::int64_t known_until_ms);

  bool none() const { return this->closures.empty(); }

  bool is_closed(const std::string& zone) const
  {
    return this->closures.contains(zone);
  }

  /// Whether runs that were placed earlier may start in the zone.
  bool allows_starts(const std::string& zone, std::int64_t now_ms) const;

  /// Whether runs in the zone that have not started must be recalled.
  bool must_recall(const std::string& zone, std::int64_t now_ms) const;

  /// Time from which no run may start in the closed zone; 0 if it is not known
  /// when the zone was closed.
  std::int64_t starts_end_ms(const std::string& zone) const;

  /// Closed zones in which no run may start any more.
  std::set<std::string> zones_without_starts(std::int64_t now_ms) const;

  /// Greatest age of this entry's data on the operators' table at which its
  /// orders may start runs; 0 if the deployment evacuates no zones.
  std::int64_t max_data_age_ms(std::int64_t config_age_ms) const;

private:
  /// For how long after the request runs that were placed earlier may start.
  std::int64_t grace_ms() const;
  bool close(const std::string& zone, std::int64_t known_until_ms);
  bool open(const std::string& zone);
  void report(const std::string& zone, bool closed);

  const kernel::Log& log;
  kernel::Metrics& metrics;
  std::int64_t evacuate_ms;
  /// Earliest time at which each closed zone may have been closed, 0 if not
  /// known.
  std::map<std::string, std::int64_t> closures;
  std::set<std::string> reported; ///< Zones with a gauge.
};

} // namespace geraniumhinge::entry
