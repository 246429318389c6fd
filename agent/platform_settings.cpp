#include "agent/platform_settings.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

using kernel::Setting;
using kernel::SettingType;

// clang-format off
constexpr Setting TABLE[] = {
  { "/platform/registry_listen", SettingType::Address, "", 0, 0, "", "Address at which the agent receives the announcements of the backend server on this VM. Its presence selects the operators' platform." },
  { "/platform/store_address", SettingType::Address, "", 0, 0, "", "Address of the platform's row store." },
  { "/platform/service", SettingType::Text, "", 0, 0, "\"\"", "Service of the backend server. A server of another service is not preferred to it. Empty if not known." },
  { "/platform/max_lease_ms", SettingType::Integer, "ms", 500, 600'000, "6000", "Longest lease that the backend server grants." },
  { "/platform/lease_ms", SettingType::Integer, "ms", 500, 600'000, "3000", "Length of the leases that agents request, limited to /platform/max_lease_ms; must be the same for agents and entries. A shorter lease detects lost servers sooner but tolerates only shorter pauses of an agent." },
  { "/platform/orphan_ms", SettingType::Integer, "ms", 500, 600'000, "4000", "How long the agent keeps renewing leases after the last orders of the owner; must be the same for agents and entries." },
  { "/platform/heartbeat_ms", SettingType::Integer, "ms", 10, 60'000, "1500", "Time between two announcements of the backend server. After more than two missing ones the agent starts no runs, since the server's capacity may have changed." },
  { "/platform/report_ms", SettingType::Integer, "ms", 100, 60'000, "1000", "Time between two reports to the owner." },
  { "/platform/evacuation_ms", SettingType::Integer, "ms", 0, 600'000, "0", "Time from an operator's request to evacuate a zone until nothing may start there; 0 if zones are never evacuated. Must be the same for agents and entries. If set, the agent starts runs only on orders that reply to a report of the last 2000 ms." },
  { "/name", SettingType::Text, "", 0, 0, "", "Name of this VM, unique in the deployment." },
  { "/zone", SettingType::Text, "", 0, 0, "", "Availability zone." },
  { "/peer/listen", SettingType::Address, "", 0, 0, "", "Address at which the agent receives messages of other processes." },
  { "/http/listen", SettingType::Address, "", 0, 0, "", "Address at which the agent serves /metrics." },
  { "/log/level", SettingType::Text, "", 0, 0, "\"info\"", "Lowest severity that is logged: debug, info, warning or error." },
  gateway::LIMIT_MEMORY,
  gateway::LIMIT_DESCRIPTORS,
  gateway::LIMIT_HELD,
  gateway::LIMIT_CONNECTIONS,
  gateway::LIMIT_REQUEST,
  gateway::LIMIT_RESPONSE,
};
// clang-format on

constexpr std::string_view LEVEL_POINTER = "/log/level";

const Setting&
setting_of(std::string_view pointer)
{
  return *std::find_if(
    std::begin(TABLE), std::end(TABLE), [pointer](const Setting& row) {
      return row.pointer == pointer;
    });
}

} // namespace

std::span<const Setting>
platform_settings_table()
{
  return TABLE;
}

tl::expected<PlatformSettings, std::vector<kernel::SettingFault>>
read_platform_settings(nlohmann::json root)
{
  kernel::SettingsReader reader(std::move(root));
  std::function<kernel::Milliseconds(std::string_view)> duration =
    [&reader](std::string_view pointer) {
      return kernel::Milliseconds(reader.integer(setting_of(pointer)));
    };
  PlatformSettings settings;
  settings.name = reader.text(setting_of("/name"));
  settings.zone = reader.text(setting_of("/zone"));
  settings.registry_listen =
    reader.text(setting_of("/platform/registry_listen"));
  settings.peer_listen = reader.text(setting_of("/peer/listen"));
  settings.http_listen = reader.text(setting_of("/http/listen"));
  settings.store_address = reader.text(setting_of("/platform/store_address"));
  settings.service = reader.text(setting_of("/platform/service"));
  settings.max_lease = duration("/platform/max_lease_ms");
  settings.lease = std::min(duration("/platform/lease_ms"), settings.max_lease);
  settings.orphan_timeout = duration("/platform/orphan_ms");
  settings.heartbeat_period = duration("/platform/heartbeat_ms");
  settings.report_period = duration("/platform/report_ms");
  settings.evacuation = duration("/platform/evacuation_ms");
  tl::expected<kernel::Severity, kernel::SettingFault> level =
    kernel::parse_severity(reader.text(setting_of(LEVEL_POINTER)),
                           LEVEL_POINTER);
  if (level)
    settings.log_level = *level;
  else
    reader.add_fault(level.error());
  settings.limits = gateway::read_request_limits(reader);
  std::vector<kernel::SettingFault> faults = reader.finish();
  if (!faults.empty())
    return tl::unexpected(std::move(faults));
  return settings;
}

} // namespace geraniumhinge::agent
