#pragma once

#include "kernel/loop.h"
#include "kernel/settings.h"
#include "kernel/subscription.h"
#include "kernel/timer.h"

#include <functional>
#include <string>

namespace geraniumhinge::kernel {

/// Tells when the content of a settings file has changed: at SIGHUP, and by
/// looking at it from time to time.
class SettingsWatch
{
public:
  using ChangeCallback =
    std::function<void(tl::expected<nlohmann::json, SettingFault>)>;

  SettingsWatch(Loop& loop,
                TimerService& timers,
                std::string path,
                ChangeCallback changed);

private:
  void check_file();

  std::string path;
  ChangeCallback changed;
  tl::expected<nlohmann::json, SettingFault> last;
  Subscription signal_watch;
  Subscription check_timer;
};

} // namespace geraniumhinge::kernel
