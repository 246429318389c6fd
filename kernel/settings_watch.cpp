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
                             ChangeCallback changed)
  : path(std::move(path))
  , changed(std::move(changed))
  , last(load_settings_file(this->path))
  , signal_watch(loop.watch_signal(SIGHUP, [this] { this->check_file(); }))
  , check_timer(timers.every(CHECK_PERIOD, [this] { this->check_file(); }))
{
}

void
SettingsWatch::check_file()
{
  tl::expected<nlohmann::json, SettingFault> now =
    load_settings_file(this->path);
  bool same = now && this->last ? *now == *this->last
                                : now.has_value() == this->last.has_value();
  if (same)
    return;
  this->last = now;
  this->changed(std::move(now));
}

} // namespace geraniumhinge::kernel
