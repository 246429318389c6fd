#pragma once

#include "kernel/loop.h"
#include "kernel/settings.h"
#include "kernel/subscription.h"
#include "kernel/timer.h"

#include <functional>
#include <string>

namespace geraniumhinge::kernel {

/// Calls back when the content of a settings file has changed. The file is read
/// at SIGHUP and every 5 s.
class SettingsWatch
{
public:
  using ChangeCallback =
    std::function<void(tl::expected<nlohmann::json, SettingFault>)>;

  SettingsWatch(Loop& loop,
                TimerService& timers,
                std::string path,
                ChangeCallback change_callback);

private:
  void check_file();

  std::string path;
  ChangeCallback change_callback;
  tl::expected<nlohmann::json, SettingFault> last_result;
  Subscription signal_watch;
  Subscription check_timer;
};

} // namespace geraniumhinge::kernel
