#pragma once

#include "entry/settings.h"

#include "kernel/settings.h"

#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// `geraniumhinge serve`: reads the settings file, serves until SIGTERM or
/// SIGINT, then drains. Returns the exit code.
int
serve(const std::string& settings_path);

/// Returns all faults of a settings file, which may be for this program's own
/// deployment or for the operators' platform.
std::vector<kernel::SettingFault>
check(const std::string& settings_path);

} // namespace geraniumhinge::entry
