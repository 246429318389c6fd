#include "agent/settings.h"

#include <string_view>

namespace geraniumhinge::agent {

namespace {

using kernel::Setting;
using kernel::SettingFault;
using kernel::SettingFaultKind;
using kernel::SettingType;

constexpr std::int64_t MS_PER_S = 1'000;

// clang-format off
constexpr Setting TABLE[] = {
  { "/name", SettingType::Text, "", 0, 0, "", "Name of the backend server, unique in the deployment." },
  { "/zone", SettingType::Text, "", 0, 0, "", "Availability zone, the name of the cell." },
  { "/rack", SettingType::Text, "", 0, 0, "", "Rack of the VM." },
  { "/entries", SettingType::AddressList, "", 0, 0, "", "Peer addresses of a balancer or of entries, used for the first contact." },
  { "/peer/listen", SettingType::Address, "", 0, 0, "", "Address at which the agent receives messages of other processes." },
  { "/http/listen", SettingType::Address, "", 0, 0, "", "Address at which the agent serves /metrics." },
  { "/backend/address", SettingType::Address, "", 0, 0, "", "HTTP address of the backend server." },
  { "/backend/call_timeout_ms", SettingType::Integer, "ms", 50, 60'000, "1000", "Timeout of a call to the backend server." },
  { "/backend/checkpoint_timeout_ms", SettingType::Integer, "ms", 100, 600'000, "10000", "Timeout of a checkpoint call to the backend server." },
  { "/backend/wait_ms", SettingType::Integer, "ms", 100, 600'000, "10000", "How long one call waits for the end of a task." },
  { "/backend/retry_ms", SettingType::Integer, "ms", 10, 60'000, "200", "Delay before a failed call is repeated." },
  { "/backend/start_limit_ms", SettingType::Integer, "ms", 100, 600'000, "3000", "A task that can't be started for this long counts as never started." },
  { "/capacity/accelerators", SettingType::Integer, "", 0, 64, "", "Accelerators of the backend server." },
  { "/capacity/slots", SettingType::Integer, "", 1, 64, "8", "Slots of the backend server." },
  { "/capacity/cores", SettingType::Integer, "", 1, 1'024, "", "Cores of the backend server." },
  { "/capacity/memory_mb", SettingType::Integer, "MB", 1, 4'194'304, "", "Memory of the backend server." },
  { "/lease/lease_ms", SettingType::Integer, "ms", 200, 60'000, "4500", "Length of a task's lease, counted from the acknowledgement of a renewal round." },
  { "/lease/round_period_ms", SettingType::Integer, "ms", 50, 20'000, "1500", "Time between two renewal rounds." },
  { "/lease/round_limit_ms", SettingType::Integer, "ms", 50, 20'000, "1500", "Time limit of a renewal round; a round that takes longer fails." },
  { "/lease/start_wait_ms", SettingType::Integer, "ms", 200, 60'000, "6000", "How long a started member waits for its gang to open." },
  { "/lease/max_hold_ms", SettingType::Integer, "ms", 100, 600'000, "30000", "Longest time for which a Prepare may reserve resources." },
  { "/membership/heartbeat_ms", SettingType::Integer, "ms", 100, 60'000, "5000", "Time between two heartbeats to an entry." },
  { "/membership/reply_timeout_ms", SettingType::Integer, "ms", 50, 60'000, "1000", "Timeout of a reply from an entry. After it, the agent announces itself again and contacts the next entry." },
  { "/membership/retry_ms", SettingType::Integer, "ms", 20, 60'000, "500", "Delay before entries are contacted again." },
  { "/membership/refresh_ms", SettingType::Integer, "ms", 500, 3'600'000, "5000", "Time between two reads of the list of entries while the entries send no digest of that list." },
  { "/backend/probe_ms", SettingType::Integer, "ms", 50, 60'000, "1000", "Time between two probes of the backend server; while probes are unanswered, the agent refuses jobs." },
  { "/membership/orphan_ms", SettingType::Integer, "ms", 1'000, 3'600'000, "120000", "Tasks are stopped after this time without a message from any entry." },
  { "/requests/max_timeout_ms", SettingType::Integer, "ms", 100, 600'000, "60000", "Longest run time of a short request." },
  { "/requests/answer_retention_s", SettingType::Integer, "s", 1, 86'400, "600", "How long results of non-idempotent requests are kept for queries." },
  { "/requests/attempt_retention_s", SettingType::Integer, "s", 60, 604'800, "86400", "How long attempts are recorded; at least the retention of request rows." },
  { "/results/retry_ms", SettingType::Integer, "ms", 50, 60'000, "1000", "Delay before an unacknowledged result is sent again." },
  { "/drain/limit_ms", SettingType::Integer, "ms", 0, 86'400'000, "600000", "How long a leaving agent waits for work in flight." },
  { "/trace/path", SettingType::Text, "", 0, 0, "\"\"", "File that spans are appended to; empty for none." },
  { "/log/level", SettingType::Text, "", 0, 0, "\"info\"", "Lowest severity that is logged: debug, info, warning or error." },
  gateway::LIMIT_MEMORY,
  gateway::LIMIT_DESCRIPTORS,
  gateway::LIMIT_HELD,
  gateway::LIMIT_CONNECTIONS,
  gateway::LIMIT_REQUEST,
  gateway::LIMIT_RESPONSE,
};
// clang-format on

constexpr const Setting&
setting(std::string_view pointer)
{
  for (const Setting& row : TABLE) {
    if (row.pointer == pointer)
      return row;
  }
  throw "no such setting"; // A compile error, since pointers are constants.
}

/// Looks up a setting at compile time.
#define SETTING(pointer)                                                       \
  ([]() -> const Setting& {                                                    \
    constexpr const Setting& row = setting(pointer);                           \
    return row;                                                                \
  }())

std::uint32_t
read_amount(kernel::SettingsReader& reader, const Setting& row)
{
  return static_cast<std::uint32_t>(reader.integer(row));
}

kernel::Milliseconds
read_duration(kernel::SettingsReader& reader, const Setting& row)
{
  std::int64_t value = reader.integer(row);
  return kernel::Milliseconds(row.unit == "s" ? value * MS_PER_S : value);
}

void
read_identity(kernel::SettingsReader& reader, AgentSettings& settings)
{
  settings.name = reader.text(SETTING("/name"));
  settings.zone = reader.text(SETTING("/zone"));
  settings.rack = reader.text(SETTING("/rack"));
  settings.entries = reader.list(SETTING("/entries"));
  settings.peer_listen = reader.text(SETTING("/peer/listen"));
  settings.http_listen = reader.text(SETTING("/http/listen"));
  settings.trace_path = reader.text(SETTING("/trace/path"));
}

void
read_capacity(kernel::SettingsReader& reader, CapacitySettings& capacity)
{
  capacity.accelerators =
    read_amount(reader, SETTING("/capacity/accelerators"));
  capacity.slots = read_amount(reader, SETTING("/capacity/slots"));
  capacity.cores = read_amount(reader, SETTING("/capacity/cores"));
  capacity.memory_mb = read_amount(reader, SETTING("/capacity/memory_mb"));
}

void
read_backend(kernel::SettingsReader& reader, BackendSettings& backend)
{
  backend.probe_period = read_duration(reader, SETTING("/backend/probe_ms"));
  backend.address = reader.text(SETTING("/backend/address"));
  backend.call_timeout =
    read_duration(reader, SETTING("/backend/call_timeout_ms"));
  backend.checkpoint_timeout =
    read_duration(reader, SETTING("/backend/checkpoint_timeout_ms"));
  backend.wait_timeout = read_duration(reader, SETTING("/backend/wait_ms"));
  backend.retry_delay = read_duration(reader, SETTING("/backend/retry_ms"));
  backend.start_limit =
    read_duration(reader, SETTING("/backend/start_limit_ms"));
}

void
read_lease(kernel::SettingsReader& reader, LeaseSettings& lease)
{
  lease.length = read_duration(reader, SETTING("/lease/lease_ms"));
  lease.round_period = read_duration(reader, SETTING("/lease/round_period_ms"));
  lease.round_limit = read_duration(reader, SETTING("/lease/round_limit_ms"));
  lease.start_wait = read_duration(reader, SETTING("/lease/start_wait_ms"));
  lease.max_reservation = read_duration(reader, SETTING("/lease/max_hold_ms"));
}

void
read_membership(kernel::SettingsReader& reader, MembershipSettings& membership)
{
  membership.heartbeat_period =
    read_duration(reader, SETTING("/membership/heartbeat_ms"));
  membership.reply_timeout =
    read_duration(reader, SETTING("/membership/reply_timeout_ms"));
  membership.retry_delay =
    read_duration(reader, SETTING("/membership/retry_ms"));
  membership.refresh_period =
    read_duration(reader, SETTING("/membership/refresh_ms"));
  membership.orphan_timeout =
    read_duration(reader, SETTING("/membership/orphan_ms"));
}

void
read_requests(kernel::SettingsReader& reader, RequestSettings& requests)
{
  requests.max_timeout =
    read_duration(reader, SETTING("/requests/max_timeout_ms"));
  requests.answer_retention =
    read_duration(reader, SETTING("/requests/answer_retention_s"));
  requests.attempt_retention =
    read_duration(reader, SETTING("/requests/attempt_retention_s"));
}

kernel::Severity
read_level(kernel::SettingsReader& reader)
{
  const Setting& row = SETTING("/log/level");
  tl::expected<kernel::Severity, SettingFault> level =
    kernel::parse_severity(reader.text(row), row.pointer);
  if (level)
    return *level;
  reader.add_fault(level.error());
  return kernel::Severity::Info;
}

std::string
port_of(const std::string& address)
{
  return address.substr(address.rfind(':') + 1);
}

/// Whether two listen addresses conflict: the ports are equal and so are the
/// hosts. 0.0.0.0 conflicts with every host.
bool
conflict(const std::string& left, const std::string& right)
{
  if (left.empty() || right.empty() || port_of(left) != port_of(right))
    return false;
  std::string left_host = left.substr(0, left.rfind(':'));
  std::string right_host = right.substr(0, right.rfind(':'));
  return left_host == right_host || left_host == "0.0.0.0" ||
         right_host == "0.0.0.0";
}

void
check_ports(kernel::SettingsReader& reader, const AgentSettings& settings)
{
  // Peers connect to the listen address, so it must name one host.
  if (settings.peer_listen.rfind("0.0.0.0:", 0) == 0)
    reader.add_fault({ SettingFaultKind::OutOfRange,
                       "/peer/listen",
                       "the IP address at which peers reach this VM" });
  if (conflict(settings.peer_listen, settings.http_listen))
    reader.add_fault({ SettingFaultKind::Conflict,
                       "/http/listen",
                       "a port other than that of /peer/listen" });
  if (conflict(settings.peer_listen, settings.backend.address) ||
      conflict(settings.http_listen, settings.backend.address))
    reader.add_fault(
      { SettingFaultKind::Conflict,
        "/backend/address",
        "a port other than those of /peer/listen and /http/listen" });
}

void
check_lease(kernel::SettingsReader& reader, const LeaseSettings& lease)
{
  // A lease must outlast one failed renewal round.
  if (lease.length > kernel::Milliseconds(0) &&
      lease.length < lease.round_period + lease.round_limit)
    reader.add_fault(
      { SettingFaultKind::Conflict,
        "/lease/lease_ms",
        "at least /lease/round_period_ms plus /lease/round_limit_ms" });
}

} // namespace

std::span<const Setting>
agent_settings_table()
{
  return TABLE;
}

tl::expected<AgentSettings, std::vector<SettingFault>>
read_agent_settings(nlohmann::json root)
{
  kernel::SettingsReader reader(std::move(root));
  AgentSettings settings;
  read_identity(reader, settings);
  read_capacity(reader, settings.capacity);
  read_backend(reader, settings.backend);
  read_lease(reader, settings.lease);
  read_membership(reader, settings.membership);
  read_requests(reader, settings.requests);
  settings.result_retry_delay =
    read_duration(reader, SETTING("/results/retry_ms"));
  settings.drain_limit = read_duration(reader, SETTING("/drain/limit_ms"));
  settings.log_level = read_level(reader);
  settings.limits = gateway::read_request_limits(reader);
  check_ports(reader, settings);
  check_lease(reader, settings.lease);
  std::vector<SettingFault> faults = reader.finish();
  if (!faults.empty())
    return tl::unexpected(std::move(faults));
  return settings;
}

tl::expected<AgentSettings, std::vector<SettingFault>>
load_agent_settings(const std::string& path)
{
  tl::expected<nlohmann::json, SettingFault> root =
    kernel::load_settings_file(path);
  if (!root)
    return tl::unexpected(std::vector<SettingFault>{ root.error() });
  return read_agent_settings(std::move(*root));
}

} // namespace geraniumhinge::agent
