#pragma once

#include "gateway/request_limits.h"
#include "kernel/clock.h"
#include "kernel/event.h"
#include "kernel/settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::entry {

/// Settings of an entry on the operators' platform.
struct PlatformSettings
{
  std::string name;
  std::string zone;
  std::string caller_listen;
  std::string ready_listen;
  std::string relay_listen;
  std::string peer_listen;
  std::string store_address;
  std::string advice_address; ///< Empty if there is no advice service.
  kernel::Milliseconds max_lease{ 0 };
  kernel::Milliseconds lease{ 0 };
  kernel::Milliseconds orphan_timeout{ 0 };
  kernel::Milliseconds max_early{ 0 };
  kernel::Milliseconds retention{ 0 };
  std::size_t max_row_bytes = 65'536; ///< Longest value of a row.
  kernel::Milliseconds max_config_age{ 0 };
  /// From the request to evacuate a zone until nothing starts there; 0 if the
  /// deployment evacuates no zones.
  kernel::Milliseconds evacuation{ 0 };
  /// Longest time for which a new owner waits for the reports of all agents
  /// before it places work of any priority; 0 for none.
  kernel::Milliseconds settle_limit{ 0 };
  kernel::Milliseconds stop_grace{ 0 };
  kernel::Milliseconds checkpoint_period{ 2'000 };
  double core_share = 1; ///< Share of a processor core that this entry has.
  /// Factor on the duration of a task that does not run in its rack.
  double rack_penalty = 1;
  bool scarce_capacity = false; ///< See docs/design/scarce-capacity.md.
  kernel::Severity log_level = kernel::Severity::Info;
  gateway::RequestLimits limits;
};

std::span<const kernel::Setting>
platform_settings_table();

tl::expected<PlatformSettings, std::vector<kernel::SettingFault>>
read_platform_settings(nlohmann::json root);

} // namespace geraniumhinge::entry
