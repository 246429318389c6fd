#pragma once

#include "entry/settings.h"

#include <string>

namespace geraniumhinge::entry {

/// `geraniumhinge serve`: reads the settings file, serves until SIGTERM, then
/// drains. Returns the exit code.
int
serve(const std::string& settings_path);

} // namespace geraniumhinge::entry
