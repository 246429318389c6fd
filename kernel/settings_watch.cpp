#include "kernel/settings_watch.h"

#include <csignal>
#include <utility>

namespace geraniumhinge::kernel {

namespace {

constexpr Milliseconds CHECK_PERIOD{ 5'000 };

} // namespace

SettingsWatch::SettingsWatch(Loop& loop,
                             TimerService& timers,
                             std::string path,
                             ChangeCallback change_callback)
  : path(std::move(path))
  , change_callback(std::move(change_callback))
  , last_result(load_settings_file(this->path))
  , signal_watch(loop.watch_signal(SIGHUP, [this] { this->check_file(); }))
  , check_timer(timers.every(CHECK_PERIOD, [this] { this->check_file(); }))
{
}

void
SettingsWatch::check_file()
{
  tl::expected<nlohmann::json, SettingFault> result =
    load_settings_file(this->path);
  bool unchanged = result && this->last_result
                     ? *result == *this->last_result
                     : result.has_value() == this->last_result.has_value();
  if (unchanged)
    return;
  this->last_result = result;
  this->change_callback(std::move(result));
}

} // namespace geraniumhinge::kernel
