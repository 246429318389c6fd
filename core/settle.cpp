#include "core/settle.h"

namespace geraniumhinge::core {

bool
is_settling(const FirstReports& reports, std::int64_t limit_ms)
{
  bool complete = reports.listed && reports.reported >= reports.agents;
  return !complete && reports.term_age_ms < limit_ms;
}

} // namespace geraniumhinge::core
