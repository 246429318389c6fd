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
  { "/http/listen", SettingType::Address, "", 0, 0, "", "Where callers and operators are served." },
  { "/http/advertise", SettingType::Address, "", 0, 0, "\"\"", "HTTP address shown to others, /http/listen if empty." },
  { "/http/max_body_bytes", SettingType::Integer, "bytes", 1024, 16777216, "1048576", "Largest accepted request body." },
  { "/peer/listen", SettingType::Address, "", 0, 0, "", "Where agents and other entries connect." },
  { "/store/table_url", SettingType::Text, "", 0, 0, "", "URL of the table service." },
  { "/store/objects_url", SettingType::Text, "", 0, 0, "", "URL of the object store." },
  { "/store/connections", SettingType::Integer, "", 1, 256, "16", "Connections to the store." },
  { "/store/retry_ms", SettingType::Integer, "ms", 10, 60000, "500", "Pause before a step is tried again after the store failed." },
  { "/operators", SettingType::TextList, "", 0, 0, "[]", "Operators as NAME=DIGEST; the digest is the SHA-256 of the token in lower-case hex." },
  { "/trace/path", SettingType::Text, "", 0, 0, "\"\"", "File that spans are appended to, none if empty." },
  { "/config/poll_ms", SettingType::Integer, "ms", 50, 3000, "1000", "Period of the poll of the configuration row." },
  { "/cells/poll_ms", SettingType::Integer, "ms", 100, 600000, "2000", "Period of the poll of the cell rows." },
  { "/membership/poll_ms", SettingType::Integer, "ms", 100, 60000, "10000", "Period of the poll of the entry rows." },
  { "/membership/heartbeat_ms", SettingType::Integer, "ms", 50, 10000, "400", "Period of the heartbeats between entries." },
  { "/membership/heartbeat_limit_ms", SettingType::Integer, "ms", 100, 60000, "1000", "Silence after which an entry counts as down." },
  { "/membership/dead_row_ms", SettingType::Integer, "ms", 1000, 3600000, "60000", "Age at which the row of a dead entry is deleted." },
  { "/fleet/silence_ms", SettingType::Integer, "ms", 500, 600000, "15000", "Silence after which a backend server is marked lost." },
  { "/fleet/batch_ms", SettingType::Integer, "ms", 0, 2000, "100", "Time over which changes of members are gathered into one transaction." },
  { "/requests/attempt_timeout_ms", SettingType::Integer, "ms", 10, 10000, "300", "Time after which a short request is also tried elsewhere." },
  { "/requests/suspect_ms", SettingType::Integer, "ms", 0, 60000, "5000", "Time for which a backend server that did not answer is avoided." },
  { "/requests/max_attempts", SettingType::Integer, "", 1, 32, "6", "Dispatches of one short request." },
  { "/requests/retry_ratio", SettingType::Number, "", 0, 1, "0.2", "Retries allowed for each request." },
  { "/requests/retry_after_ms", SettingType::Integer, "ms", 10, 60000, "1000", "Retry time told with a refused request." },
  { "/jobs/prepare_timeout_ms", SettingType::Integer, "ms", 10, 10000, "300", "Time after which a member that does not answer is placed elsewhere." },
  { "/jobs/hold_ms", SettingType::Integer, "ms", 500, 60000, "5000", "Time for which agents hold resources before a start." },
  { "/jobs/lease_ms", SettingType::Integer, "ms", 500, 600000, "6000", "Time within which the loss of a member stops the others." },
  { "/jobs/orphan_ms", SettingType::Integer, "ms", 1000, 3600000, "120000", "Time after which an agent that hears no entry stops its tasks." },
  { "/jobs/member_poll_ms", SettingType::Integer, "ms", 100, 600000, "5000", "Period at which the driver asks one member for its state." },
  { "/jobs/stop_grace_ms", SettingType::Integer, "ms", 0, 600000, "2000", "Time that a stopped task has to end by itself." },
  { "/jobs/checkpoint_limit_ms", SettingType::Integer, "ms", 0, 600000, "10000", "Time that a checkpoint may take before the task is stopped without it." },
  { "/jobs/schedule_ms", SettingType::Integer, "ms", 10, 10000, "250", "Period at which queued jobs that did not fit are tried again." },
  { "/jobs/max_generations", SettingType::Integer, "", 1, 1000, "20", "Generations of a job that lose a member before it ends." },
  { "/jobs/max_queue", SettingType::Integer, "jobs", 1, 1000000, "20000", "Jobs without an outcome that this entry drives." },
  { "/jobs/scan_ms", SettingType::Integer, "ms", 500, 3600000, "30000", "Period of the scan of the index of open jobs." },
  { "/jobs/scan_page", SettingType::Integer, "rows", 1, 1000, "500", "Rows read by one step of a scan." },
  { "/retention/rows_s", SettingType::Integer, "s", 1, 2592000, "86400", "Age at which request, marker and finished job rows are deleted." },
  { "/retention/sweep_s", SettingType::Integer, "s", 1, 86400, "600", "Period of the sweep for rows past their retention." },
  { "/drain/grace_ms", SettingType::Integer, "ms", 0, 60000, "1000", "Time from becoming unready to closing the listening socket, for the balancer to notice." },
  { "/policy/weight_completion", SettingType::Number, "", 0, 1, "0.5", "Weight of completion time." },
  { "/policy/weight_fragmentation", SettingType::Number, "", 0, 1, "0.5", "Weight of fragmentation." },
  { "/policy/spare_servers", SettingType::Integer, "", 0, 1000, "1", "Lost backend servers that accepted guarantees must survive." },
};
// clang-format on

constexpr std::size_t DIGEST_LENGTH = 64;

const Setting&
row(std::string_view pointer)
{
  return *std::find_if(
    std::begin(TABLE), std::end(TABLE), [&](const Setting& setting) {
      return setting.pointer == pointer;
    });
}

/// Typed access to the table by pointer.
struct Source
{
  SettingsReader& reader;

  std::string text(std::string_view pointer)
  {
    return this->reader.text(row(pointer));
  }
  Milliseconds ms(std::string_view pointer)
  {
    return Milliseconds(this->reader.integer(row(pointer)));
  }
  Milliseconds seconds(std::string_view pointer)
  {
    return std::chrono::seconds(this->reader.integer(row(pointer)));
  }
  std::int64_t count(std::string_view pointer)
  {
    return this->reader.integer(row(pointer));
  }
  double number(std::string_view pointer)
  {
    return this->reader.number(row(pointer));
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
  for (const std::string& item : reader.list(row("/operators"))) {
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
read_process(Source source, EntrySettings& settings)
{
  settings.name = source.text("/name");
  settings.zone = source.text("/zone");
  settings.http_listen = source.text("/http/listen");
  settings.http_advertise = source.text("/http/advertise");
  if (settings.http_advertise.empty())
    settings.http_advertise = settings.http_listen;
  settings.max_body_bytes = source.count("/http/max_body_bytes");
  settings.peer_listen = source.text("/peer/listen");
  settings.table_url = source.text("/store/table_url");
  settings.objects_url = source.text("/store/objects_url");
  settings.store_connections = source.count("/store/connections");
  settings.store_retry = source.ms("/store/retry_ms");
  settings.trace_path = source.text("/trace/path");
}

void
read_membership(Source source, EntrySettings& settings)
{
  settings.config_poll = source.ms("/config/poll_ms");
  settings.cell_poll = source.ms("/cells/poll_ms");
  settings.entry_poll = source.ms("/membership/poll_ms");
  settings.heartbeat = source.ms("/membership/heartbeat_ms");
  settings.heartbeat_limit = source.ms("/membership/heartbeat_limit_ms");
  settings.dead_row_age = source.ms("/membership/dead_row_ms");
  settings.server_silence = source.ms("/fleet/silence_ms");
  settings.registration_batch = source.ms("/fleet/batch_ms");
}

void
read_requests(Source source, EntrySettings& settings)
{
  settings.attempt_timeout = source.ms("/requests/attempt_timeout_ms");
  settings.suspect_period = source.ms("/requests/suspect_ms");
  settings.max_attempts = source.count("/requests/max_attempts");
  settings.retry_ratio = source.number("/requests/retry_ratio");
  settings.retry_after = source.ms("/requests/retry_after_ms");
}

void
read_jobs(Source source, EntrySettings& settings)
{
  settings.prepare_timeout = source.ms("/jobs/prepare_timeout_ms");
  settings.hold = source.ms("/jobs/hold_ms");
  settings.lease_period = source.ms("/jobs/lease_ms");
  settings.orphan_period = source.ms("/jobs/orphan_ms");
  settings.member_poll = source.ms("/jobs/member_poll_ms");
  settings.stop_grace = source.ms("/jobs/stop_grace_ms");
  settings.checkpoint_limit = source.ms("/jobs/checkpoint_limit_ms");
  settings.schedule_period = source.ms("/jobs/schedule_ms");
  settings.max_generations = source.count("/jobs/max_generations");
  settings.max_queue = source.count("/jobs/max_queue");
  settings.scan_period = source.ms("/jobs/scan_ms");
  settings.scan_page = source.count("/jobs/scan_page");
  settings.retention = source.seconds("/retention/rows_s");
  settings.sweep_period = source.seconds("/retention/sweep_s");
  settings.drain_grace = source.ms("/drain/grace_ms");
  settings.weight_completion = source.number("/policy/weight_completion");
  settings.weight_fragmentation = source.number("/policy/weight_fragmentation");
  settings.spare_servers = source.count("/policy/spare_servers");
}

void
check_conflicts(SettingsReader& reader, const EntrySettings& settings)
{
  if (!settings.http_listen.empty() &&
      settings.http_listen == settings.peer_listen)
    reader.add_fault({ SettingFaultKind::Conflict,
                       "/peer/listen",
                       "an address other than /http/listen" });
  if (settings.heartbeat_limit <= settings.heartbeat)
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
  Source source{ reader };
  EntrySettings settings;
  read_process(source, settings);
  read_operators(reader, settings);
  read_membership(source, settings);
  read_requests(source, settings);
  read_jobs(source, settings);
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
