#include "entry/cli.h"
#include "entry/server.h"
#include "entry/settings.h"

using namespace geraniumhinge;

int
main(int argc, char** argv)
{
  entry::CliHooks hooks;
  hooks.serve = entry::serve;
  hooks.check = [](const std::string& path) {
    tl::expected<entry::EntrySettings, std::vector<kernel::SettingFault>>
      settings = entry::load_settings(path);
    return settings ? std::vector<kernel::SettingFault>{} : settings.error();
  };
  return entry::run_cli(argc, argv, hooks);
}
