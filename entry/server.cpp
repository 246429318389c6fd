#include "entry/server.h"

#include "entry/platform_program.h"
#include "entry/program.h"
#include "kernel/events.h"

#include <csignal>

namespace geraniumhinge::entry {

namespace {

constexpr int EXIT_FAILED = 1;
constexpr int EXIT_UNUSABLE = 2;

int
report_faults(const std::vector<kernel::SettingFault>& faults)
{
  kernel::Log log("entry", kernel::Severity::Info);
  for (const kernel::SettingFault& fault : faults)
    log.write(kernel::SETTINGS_INVALID,
              { { "fault", kernel::describe(fault) } });
  return EXIT_UNUSABLE;
}

/// Settings with the group /platform are for the operators' platform.
bool
is_for_platform(const tl::expected<nlohmann::json, kernel::SettingFault>& root)
{
  return root && root->is_object() && root->contains("platform");
}

} // namespace

std::vector<kernel::SettingFault>
check(const std::string& settings_path)
{
  tl::expected<nlohmann::json, kernel::SettingFault> root =
    kernel::load_settings_file(settings_path);
  if (!root)
    return { root.error() };
  if (is_for_platform(root)) {
    tl::expected<PlatformSettings, std::vector<kernel::SettingFault>> settings =
      read_platform_settings(*root);
    return settings ? std::vector<kernel::SettingFault>{} : settings.error();
  }
  tl::expected<EntrySettings, std::vector<kernel::SettingFault>> settings =
    read_settings(*root);
  return settings ? std::vector<kernel::SettingFault>{} : settings.error();
}

int
serve(const std::string& settings_path)
{
  tl::expected<nlohmann::json, kernel::SettingFault> root =
    kernel::load_settings_file(settings_path);
  if (!root)
    return report_faults({ root.error() });
  if (is_for_platform(root)) {
    tl::expected<PlatformSettings, std::vector<kernel::SettingFault>> settings =
      read_platform_settings(*root);
    return settings ? serve_on_platform(*settings, settings_path)
                    : report_faults(settings.error());
  }
  tl::expected<EntrySettings, std::vector<kernel::SettingFault>> settings =
    read_settings(*root);
  if (!settings)
    return report_faults(settings.error());
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
