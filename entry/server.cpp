#include "entry/server.h"

#include "entry/program.h"
#include "kernel/events.h"

#include <csignal>

namespace geraniumhinge::entry {

namespace {

constexpr int EXIT_FAILED = 1;
constexpr int EXIT_UNUSABLE = 2;

} // namespace

int
serve(const std::string& settings_path)
{
  tl::expected<EntrySettings, std::vector<kernel::SettingFault>> settings =
    load_settings(settings_path);
  if (!settings) {
    kernel::Log log("entry", kernel::Severity::Info);
    for (const kernel::SettingFault& fault : settings.error())
      log.write(kernel::SETTINGS_INVALID,
                { { "fault", kernel::describe(fault) } });
    return EXIT_UNUSABLE;
  }
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  kernel::Log log(settings->name, kernel::Severity::Info);
  Program program(loop, timers, log, *settings);
  kernel::Subscription terminate =
    loop.watch_signal(SIGTERM, [&program] { program.drain(); });
  kernel::Subscription interrupt =
    loop.watch_signal(SIGINT, [&program] { program.drain(); });
  log.write(kernel::PROCESS_STARTED, { { "zone", settings->zone } });
  if (!program.start())
    return EXIT_FAILED;
  loop.run();
  log.write(kernel::PROCESS_STOPPED);
  return 0;
}

} // namespace geraniumhinge::entry
