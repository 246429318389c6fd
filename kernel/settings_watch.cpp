#include "kernel/settings_watch.h"

#include <csignal>
#include <utility>

namespace geraniumhinge::kernel {

namespace {

constexpr Milliseconds LOOK_PERIOD{ 5'000 };

} // namespace

SettingsWatch::SettingsWatch(Loop& loop,
                             TimerService& timers,
                             std::string path,
                             Changed changed)
  : path(std::move(path))
  , changed(std::move(changed))
  , last(load_settings_file(this->path))
  , on_signal(loop.watch_signal(SIGHUP, [this] { this->look(); }))
  , on_time(timers.every(LOOK_PERIOD, [this] { this->look(); }))
{
}

void
SettingsWatch::look()
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
