#pragma once

#include "geraniumhinge/v1/scheduler.pb.h"

#include <string>

namespace geraniumhinge::entry {

/// Formats the status as text tables of entries, cells, backend servers and
/// organisations.
std::string
format_status(const v1::GetStatusResponse& status);

} // namespace geraniumhinge::entry
