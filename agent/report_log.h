#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace geraniumhinge::agent {

/// Numbers the reports to the owner and keeps the times at which they were
/// sent. Orders count as fresh as the report that they reply to, however long
/// they or this process were delayed. Times are boot times in milliseconds.
class ReportLog
{
public:
  /// Returns the number of a report that is sent now. Reports that are older
  /// than `retention_ms` are dropped.
  std::uint64_t record(std::int64_t now_ms, std::int64_t retention_ms);

  /// Number of the last report, 0 before the first one.
  std::uint64_t last() const { return this->last_sequence; }

  /// Time at which a report was sent; nothing if it was dropped.
  std::optional<std::int64_t> sent_ms(std::uint64_t sequence) const;

private:
  std::uint64_t last_sequence = 0;
  std::deque<std::int64_t> sent_times_ms; ///< The newest reports, oldest first.
};

} // namespace geraniumhinge::agent
