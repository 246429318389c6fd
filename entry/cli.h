#pragma once

#include "entry/cli_remote.h"
#include "kernel/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Functions of the rest of the program that commands call.
struct CliHooks
{
  /// Runs an entry with a settings file until it is stopped; returns the exit
  /// code.
  std::function<int(const std::string& settings_path)> serve;
  /// Validates a settings file.
  std::function<std::vector<kernel::SettingFault>(const std::string& path)>
    check;
};

/// Runs the command that the arguments name. Returns the exit code of the
/// process: 0 success, 1 failure, 2 unusable arguments or settings.
int
run_cli(int argc,
        const char* const* argv,
        const CliHooks& hooks,
        CliStreams streams = {});

} // namespace geraniumhinge::entry
