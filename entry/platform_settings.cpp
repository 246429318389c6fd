#include "entry/platform_settings.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

using kernel::Setting;
using kernel::SettingType;

// clang-format off
constexpr Setting TABLE[] = {
  { "/platform/caller_listen", SettingType::Address, "", 0, 0, "", "Address at which callers of queues are served. The group /platform selects the operators' platform." },
  { "/platform/ready_listen", SettingType::Address, "", 0, 0, "", "Address at which the platform polls whether this entry accepts connections." },
  { "/platform/store_address", SettingType::Address, "", 0, 0, "", "Address of the platform's row store." },
  { "/platform/max_lease_ms", SettingType::Integer, "ms", 500, 600'000, "6000", "Longest lease that a backend server grants." },
  { "/platform/lease_ms", SettingType::Integer, "ms", 500, 600'000, "3000", "Length of the leases that agents request, limited to /platform/max_lease_ms; must be the same for agents and entries. A shorter lease detects lost servers sooner but tolerates only shorter pauses of an agent." },
  { "/platform/orphan_ms", SettingType::Integer, "ms", 500, 600'000, "4000", "How long agents keep renewing leases after the last orders of the owner; must be the same for agents and entries." },
  { "/platform/advice_address", SettingType::Text, "", 0, 0, "\"\"", "Address of the platform's advice service, for queues that need advice; empty if there is none." },
  { "/platform/stop_grace_ms", SettingType::Integer, "ms", 0, 600'000, "0", "Longest time from the stop of a task to its end." },
  { "/platform/checkpoint_s", SettingType::Number, "s", 0.01, 3'600, "2", "Run time between two checkpoints of a task." },
  { "/platform/core_share", SettingType::Number, "", 0.01, 1'024, "1", "Share of a processor core that this entry may use. Entries with a larger share take over the placement of work first." },
  { "/platform/rack_penalty", SettingType::Number, "", 1, 100, "3", "Factor on the duration of a task that does not run in its rack." },
  { "/platform/scarce_capacity", SettingType::Boolean, "", 0, 0, "false", "Where capacity is scarce, weighs what a step gains from stops of other runs against what is lost, and places steps first whose callers can still get most." },
  { "/platform/early_ms", SettingType::Integer, "ms", 0, 60'000, "0", "How long before its due time an occurrence may start." },
  { "/platform/retention_s", SettingType::Integer, "s", 1, 604'800, "150", "How long ended workflows, and cancellings of unknown ones, are kept; a submission is tried for up to 30 s." },
  { "/platform/max_row_bytes", SettingType::Integer, "bytes", 4'096, 16'777'216, "65536", "Longest value of a row that the store accepts. It limits the tasks of a job." },
  { "/platform/config_age_ms", SettingType::Integer, "ms", 200, 60'000, "1800", "Callers are served only while this entry's data on configuration and work is at most this old." },
  { "/platform/evacuation_ms", SettingType::Integer, "ms", 0, 600'000, "0", "Time from an operator's request to evacuate a zone until nothing may start there; 0 if zones are never evacuated. Must be the same for agents and entries. If set, runs start only on orders of an owner that knew the requests as of /platform/config_age_ms ago. Below 4800 ms that age is limited to the time minus 3000 ms." },
  { "/platform/settle_ms", SettingType::Integer, "ms", 0, 10'000, "0", "Longest time for which a new owner places only work of priority 0, and stops no run for it, until all agents have reported to it; 0 turns this off." },
  { "/name", SettingType::Text, "", 0, 0, "", "Name of this entry, unique among the entries." },
  { "/zone", SettingType::Text, "", 0, 0, "", "Availability zone of this entry." },
  { "/peer/listen", SettingType::Address, "", 0, 0, "", "Address at which agents connect." },
  { "/http/listen", SettingType::Address, "", 0, 0, "", "Address for requests that other entries forward, and for /metrics." },
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
constexpr std::int64_t MS_PER_S = 1'000;

const Setting&
row_of(std::string_view pointer)
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
      return kernel::Milliseconds(reader.integer(row_of(pointer)));
    };
  PlatformSettings settings;
  settings.name = reader.text(row_of("/name"));
  settings.zone = reader.text(row_of("/zone"));
  settings.caller_listen = reader.text(row_of("/platform/caller_listen"));
  settings.ready_listen = reader.text(row_of("/platform/ready_listen"));
  settings.relay_listen = reader.text(row_of("/http/listen"));
  settings.peer_listen = reader.text(row_of("/peer/listen"));
  settings.store_address = reader.text(row_of("/platform/store_address"));
  settings.advice_address = reader.text(row_of("/platform/advice_address"));
  settings.stop_grace = duration("/platform/stop_grace_ms");
  settings.checkpoint_period = kernel::Milliseconds(static_cast<std::int64_t>(
    reader.number(row_of("/platform/checkpoint_s")) * MS_PER_S));
  settings.core_share = reader.number(row_of("/platform/core_share"));
  settings.rack_penalty = reader.number(row_of("/platform/rack_penalty"));
  settings.scarce_capacity =
    reader.boolean(row_of("/platform/scarce_capacity"));
  settings.max_lease = duration("/platform/max_lease_ms");
  settings.lease = std::min(duration("/platform/lease_ms"), settings.max_lease);
  settings.orphan_timeout = duration("/platform/orphan_ms");
  settings.max_early = duration("/platform/early_ms");
  settings.retention = duration("/platform/retention_s") * MS_PER_S;
  settings.max_row_bytes =
    static_cast<std::size_t>(reader.integer(row_of("/platform/max_row_bytes")));
  settings.max_config_age = duration("/platform/config_age_ms");
  settings.evacuation = duration("/platform/evacuation_ms");
  settings.settle_limit = duration("/platform/settle_ms");
  tl::expected<kernel::Severity, kernel::SettingFault> level =
    kernel::parse_severity(reader.text(row_of(LEVEL_POINTER)), LEVEL_POINTER);
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

} // namespace geraniumhinge::entry
