#include "agent/report_log.h"

namespace geraniumhinge::agent {

std::uint64_t
ReportLog::record(std::int64_t now_ms, std::int64_t retention_ms)
{
  while (!this->sent_times_ms.empty() &&
         now_ms - this->sent_times_ms.front() > retention_ms)
    this->sent_times_ms.pop_front();
  this->sent_times_ms.push_back(now_ms);
  return ++this->last_sequence;
}

std::optional<std::int64_t>
ReportLog::sent_ms(std::uint64_t sequence) const
{
  std::uint64_t oldest = this->last_sequence + 1 - this->sent_times_ms.size();
  if (sequence < oldest || sequence > this->last_sequence)
    return std::nullopt;
  return this->sent_times_ms[sequence - oldest];
}

} // namespace geraniumhinge::agent
