#include "entry/settings.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

using kernel::Setting;
using kernel::SettingFault;
using kernel::SettingFaultKind;
using kernel::SettingsReader;
using kernel::SettingType;

// clang-format off
constexpr Setting TABLE[] = {
  { "/name", SettingType::Text, "", 0, 0, "", "Name of this entry, unique among the entries." },
  { "/zone", SettingType::Text, "", 0, 0, "", "Availability zone of this entry." },
  { "/http/listen", SettingType::Address, "", 0, 0, "", "Address on which callers and operators are served." },
  { "/http/advertise", SettingType::Address, "", 0, 0, "\"\"", "HTTP address announced to others; /http/listen if empty." },
  { "/http/max_body_bytes", SettingType::Integer, "bytes", 1024, 16777216, "1048576", "Largest accepted request body." },
  { "/peer/listen", SettingType::Address, "", 0, 0, "", "Address to which agents and other entries connect." },
  { "/store/table_url", SettingType::Text, "", 0, 0, "", "URL of the table service." },
  { "/store/objects_url", SettingType::Text, "", 0, 0, "", "URL of the object store." },
  { "/store/connections", SettingType::Integer, "", 1, 256, "16", "Connections to the store." },
  { "/store/retry_ms", SettingType::Integer, "ms", 10, 60000, "500", "Delay before a failed call to the store is retried." },
  { "/operators", SettingType::TextList, "", 0, 0, "[]", "Operators as NAME=DIGEST; the digest is the SHA-256 of the token in lower-case hex." },
  { "/trace/path", SettingType::Text, "", 0, 0, "\"\"", "File to which spans are appended; none are written if empty." },
  { "/config/poll_ms", SettingType::Integer, "ms", 50, 3000, "1000", "Period of the poll of the configuration row." },
  { "/cells/poll_ms", SettingType::Integer, "ms", 100, 600000, "2000", "Period of the poll of the cell rows." },
  { "/membership/poll_ms", SettingType::Integer, "ms", 100, 60000, "10000", "Period of the poll of the entry rows." },
  { "/membership/heartbeat_ms", SettingType::Integer, "ms", 50, 10000, "400", "Period of the heartbeats between entries." },
  { "/membership/heartbeat_limit_ms", SettingType::Integer, "ms", 100, 60000, "1000", "Time without a heartbeat after which an entry counts as down." },
  { "/membership/dead_row_ms", SettingType::Integer, "ms", 1000, 3600000, "60000", "Time after which the row of an entry that is down is deleted." },
  { "/fleet/silence_ms", SettingType::Integer, "ms", 500, 600000, "15000", "Time without a message of its agent after which a backend server is marked lost." },
  { "/fleet/batch_ms", SettingType::Integer, "ms", 0, 2000, "100", "Time in which changes of members are collected into one transaction." },
  { "/requests/attempt_timeout_ms", SettingType::Integer, "ms", 10, 10000, "300", "Time without a reply after which a short request is also sent to another backend server, or, if not idempotent, its agent is queried." },
  { "/requests/suspect_ms", SettingType::Integer, "ms", 0, 60000, "5000", "Time for which a backend server that did not answer gets no new work." },
  { "/requests/max_attempts", SettingType::Integer, "", 1, 32, "6", "Largest number of dispatches of one short request." },
  { "/requests/retry_ratio", SettingType::Number, "", 0, 1, "0.2", "Retries allowed per request, on average." },
  { "/requests/retry_after_ms", SettingType::Integer, "ms", 10, 60000, "1000", "Retry delay returned with a refused request." },
  { "/jobs/prepare_timeout_ms", SettingType::Integer, "ms", 10, 10000, "300", "Time limit of Prepare, Start and QueryMember; a member without a reply to Prepare is placed on another backend server." },
  { "/jobs/hold_ms", SettingType::Integer, "ms", 500, 60000, "5000", "Time for which agents reserve resources before a start." },
  { "/jobs/lease_ms", SettingType::Integer, "ms", 500, 600000, "6000", "Time within which the loss of a member stops the others." },
  { "/jobs/orphan_ms", SettingType::Integer, "ms", 1000, 3600000, "120000", "Time without a message of any entry after which an agent stops its tasks." },
  { "/jobs/member_poll_ms", SettingType::Integer, "ms", 100, 600000, "5000", "Period at which the driver queries the state of one member." },
  { "/jobs/stop_grace_ms", SettingType::Integer, "ms", 0, 600000, "2000", "Time that a task has to end by itself after a stop." },
  { "/jobs/checkpoint_limit_ms", SettingType::Integer, "ms", 0, 600000, "10000", "Time that a checkpoint may take before the task is stopped without it." },
  { "/jobs/schedule_ms", SettingType::Integer, "ms", 10, 10000, "250", "Period at which queued jobs that did not fit are tried again." },
  { "/jobs/max_generations", SettingType::Integer, "", 1, 1000, "20", "Number of generations after which a job that loses a member is not started again." },
  { "/jobs/max_queue", SettingType::Integer, "jobs", 1, 1000000, "20000", "Largest number of jobs without an outcome that this entry drives." },
  { "/jobs/scan_ms", SettingType::Integer, "ms", 500, 3600000, "30000", "Period of the scan of the index of open jobs." },
  { "/jobs/scan_page", SettingType::Integer, "rows", 1, 1000, "500", "Rows read by one call of a scan." },
  { "/retention/rows_s", SettingType::Integer, "s", 1, 2592000, "86400", "Age at which request, marker and finished job rows are deleted." },
  { "/retention/sweep_s", SettingType::Integer, "s", 1, 86400, "600", "Period of the sweep for rows past their retention." },
  { "/drain/grace_ms", SettingType::Integer, "ms", 0, 60000, "1000", "Time from becoming unready to closing the listening socket, in which the load balancer stops sending requests." },
  { "/policy/weight_completion", SettingType::Number, "", 0, 1, "0.5", "Weight of completion time." },
  { "/policy/weight_fragmentation", SettingType::Number, "", 0, 1, "0.5", "Weight of fragmentation." },
  { "/policy/spare_servers", SettingType::Integer, "", 0, 1000, "1", "Number of lost backend servers that accepted guarantees must tolerate." },
  gateway::LIMIT_MEMORY,
  gateway::LIMIT_DESCRIPTORS,
  gateway::LIMIT_HELD,
  gateway::LIMIT_CONNECTIONS,
  gateway::LIMIT_REQUEST,
  gateway::LIMIT_RESPONSE,
};
// clang-format on

constexpr std::size_t DIGEST_LENGTH = 64;

const Setting&
setting_at(std::string_view pointer)
{
  return *std::find_if(
    std::begin(TABLE), std::end(TABLE), [&](const Setting& setting) {
      return setting.pointer == pointer;
    });
}

/// Reads settings by pointer, with the types of the table.
struct TableReader
{
  SettingsReader& reader;

  std::string text(std::string_view pointer)
  {
    return this->reader.text(setting_at(pointer));
  }
  Milliseconds ms(std::string_view pointer)
  {
    return Milliseconds(this->reader.integer(setting_at(pointer)));
  }
  Milliseconds seconds(std::string_view pointer)
  {
    return std::chrono::seconds(this->reader.integer(setting_at(pointer)));
  }
  std::int64_t count(std::string_view pointer)
  {
    return this->reader.integer(setting_at(pointer));
  }
  double number(std::string_view pointer)
  {
    return this->reader.number(setting_at(pointer));
  }
};

bool
is_digest(const std::string& text)
{
  return text.size() == DIGEST_LENGTH &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void
read_operators(SettingsReader& reader, EntrySettings& settings)
{
  for (const std::string& item : reader.list(setting_at("/operators"))) {
    std::size_t equals = item.find('=');
    bool valid = equals != std::string::npos && equals > 0 &&
                 is_digest(item.substr(equals + 1));
    if (valid)
      settings.operator_digests[item.substr(0, equals)] =
        item.substr(equals + 1);
    else
      reader.add_fault({ SettingFaultKind::WrongType,
                         "/operators",
                         "NAME=DIGEST with 64 lower-case hex digits" });
  }
}

void
read_process(TableReader table, EntrySettings& settings)
{
  settings.name = table.text("/name");
  settings.zone = table.text("/zone");
  settings.http_listen = table.text("/http/listen");
  settings.http_advertise = table.text("/http/advertise");
  if (settings.http_advertise.empty())
    settings.http_advertise = settings.http_listen;
  settings.max_body_bytes = table.count("/http/max_body_bytes");
  settings.peer_listen = table.text("/peer/listen");
  settings.table_url = table.text("/store/table_url");
  settings.objects_url = table.text("/store/objects_url");
  settings.store_connections = table.count("/store/connections");
  settings.store_retry_delay = table.ms("/store/retry_ms");
  settings.trace_path = table.text("/trace/path");
}

void
read_membership(TableReader table, EntrySettings& settings)
{
  settings.config_poll_period = table.ms("/config/poll_ms");
  settings.cell_poll_period = table.ms("/cells/poll_ms");
  settings.entry_poll_period = table.ms("/membership/poll_ms");
  settings.heartbeat_period = table.ms("/membership/heartbeat_ms");
  settings.heartbeat_limit = table.ms("/membership/heartbeat_limit_ms");
  settings.down_row_age = table.ms("/membership/dead_row_ms");
  settings.server_silence_limit = table.ms("/fleet/silence_ms");
  settings.registration_batch_period = table.ms("/fleet/batch_ms");
}

void
read_requests(TableReader table, EntrySettings& settings)
{
  settings.attempt_timeout = table.ms("/requests/attempt_timeout_ms");
  settings.suspect_period = table.ms("/requests/suspect_ms");
  settings.max_attempts = table.count("/requests/max_attempts");
  settings.retry_ratio = table.number("/requests/retry_ratio");
  settings.retry_after = table.ms("/requests/retry_after_ms");
}

void
read_jobs(TableReader table, EntrySettings& settings)
{
  settings.prepare_timeout = table.ms("/jobs/prepare_timeout_ms");
  settings.reservation_period = table.ms("/jobs/hold_ms");
  settings.lease_length = table.ms("/jobs/lease_ms");
  settings.orphan_timeout = table.ms("/jobs/orphan_ms");
  settings.member_poll_period = table.ms("/jobs/member_poll_ms");
  settings.stop_grace_period = table.ms("/jobs/stop_grace_ms");
  settings.checkpoint_limit = table.ms("/jobs/checkpoint_limit_ms");
  settings.schedule_period = table.ms("/jobs/schedule_ms");
  settings.max_generations = table.count("/jobs/max_generations");
  settings.max_queue = table.count("/jobs/max_queue");
  settings.scan_period = table.ms("/jobs/scan_ms");
  settings.scan_page = table.count("/jobs/scan_page");
  settings.retention = table.seconds("/retention/rows_s");
  settings.sweep_period = table.seconds("/retention/sweep_s");
  settings.drain_grace_period = table.ms("/drain/grace_ms");
  settings.weight_completion = table.number("/policy/weight_completion");
  settings.weight_fragmentation = table.number("/policy/weight_fragmentation");
  settings.spare_servers = table.count("/policy/spare_servers");
}

void
check_conflicts(SettingsReader& reader, const EntrySettings& settings)
{
  if (!settings.http_listen.empty() &&
      settings.http_listen == settings.peer_listen)
    reader.add_fault({ SettingFaultKind::Conflict,
                       "/peer/listen",
                       "an address other than /http/listen" });
  if (settings.heartbeat_limit <= settings.heartbeat_period)
    reader.add_fault({ SettingFaultKind::Conflict,
                       "/membership/heartbeat_limit_ms",
                       "more than /membership/heartbeat_ms" });
  if (settings.weight_completion + settings.weight_fragmentation <= 0)
    reader.add_fault({ SettingFaultKind::Conflict,
                       "/policy",
                       "weights whose sum is more than 0" });
}

} // namespace

std::span<const Setting>
setting_table()
{
  return TABLE;
}

tl::expected<EntrySettings, std::vector<SettingFault>>
read_settings(const nlohmann::json& root)
{
  SettingsReader reader(root);
  TableReader table{ reader };
  EntrySettings settings;
  read_process(table, settings);
  read_operators(reader, settings);
  read_membership(table, settings);
  read_requests(table, settings);
  read_jobs(table, settings);
  settings.limits = gateway::read_request_limits(reader);
  check_conflicts(reader, settings);
  std::vector<SettingFault> faults = reader.finish();
  if (!faults.empty())
    return tl::unexpected(faults);
  return settings;
}

tl::expected<EntrySettings, std::vector<SettingFault>>
load_settings(const std::string& path)
{
  tl::expected<nlohmann::json, SettingFault> root =
    kernel::load_settings_file(path);
  if (!root)
    return tl::unexpected(std::vector<SettingFault>{ root.error() });
  return read_settings(*root);
}

} // namespace geraniumhinge::entry
