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

namespace geraniumhinge::agent {

/// Settings of an agent on the operators' platform.
struct PlatformSettings
{
  std::string name;
  std::string zone;
  std::string registry_listen;
  std::string peer_listen;
  std::string http_listen;
  std::string store_address;
  std::string service;
  kernel::Milliseconds max_lease{ 0 };
  kernel::Milliseconds lease{ 0 };
  kernel::Milliseconds orphan_timeout{ 0 };
  kernel::Milliseconds heartbeat_period{ 0 };
  kernel::Milliseconds report_period{ 0 };
  /// From the request to evacuate a zone until nothing starts there; 0 if the
  /// deployment evacuates no zones.
  kernel::Milliseconds evacuation{ 0 };
  kernel::Severity log_level = kernel::Severity::Info;
  gateway::RequestLimits limits;
};

std::span<const kernel::Setting>
platform_settings_table();

tl::expected<PlatformSettings, std::vector<kernel::SettingFault>>
read_platform_settings(nlohmann::json root);

} // namespace geraniumhinge::agent
