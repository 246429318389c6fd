#pragma once

#include "gateway/request_limits.h"
#include "kernel/clock.h"
#include "kernel/settings.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

using kernel::Milliseconds;

/// Settings of `geraniumhinge serve`. Periods in milliseconds unless named
/// otherwise; ranges and defaults are in the table of `setting_table`.
struct EntrySettings
{
  std::string name;
  std::string zone;
  std::string http_listen;
  std::string http_advertise;
  std::string peer_listen;
  std::string table_url;
  std::string objects_url;
  std::string trace_path;
  std::map<std::string, std::string> operator_digests; ///< Name to digest.
  std::size_t max_body_bytes = 0;
  int store_connections = 0;

  Milliseconds config_poll_period{ 0 };
  Milliseconds cell_poll_period{ 0 };
  Milliseconds entry_poll_period{ 0 };
  Milliseconds heartbeat_period{ 0 };
  Milliseconds heartbeat_limit{ 0 };
  Milliseconds down_row_age{ 0 };
  Milliseconds server_silence_limit{ 0 };
  Milliseconds registration_batch_period{ 0 };

  Milliseconds attempt_timeout{ 0 };
  Milliseconds suspect_period{ 0 };
  int max_attempts = 0;
  double retry_ratio = 0;
  Milliseconds retry_after{ 0 };

  Milliseconds prepare_timeout{ 0 };
  Milliseconds reservation_period{ 0 };
  Milliseconds lease_length{ 0 };
  Milliseconds orphan_timeout{ 0 };
  Milliseconds member_poll_period{ 0 };
  Milliseconds stop_grace_period{ 0 };
  Milliseconds checkpoint_limit{ 0 };
  Milliseconds schedule_period{ 0 };
  Milliseconds store_retry_delay{ 0 };
  int max_generations = 0;

  Milliseconds scan_period{ 0 };
  std::size_t scan_page = 0;
  Milliseconds retention{ 0 };
  Milliseconds sweep_period{ 0 };

  Milliseconds drain_grace_period{ 0 };

  double weight_completion = 0;
  double weight_fragmentation = 0;
  std::size_t spare_servers = 0;
  std::size_t max_queue = 0;
  gateway::RequestLimits limits;
};

/// Every setting with its type, unit, range and default.
std::span<const kernel::Setting>
setting_table();

/// Reads all settings; returns all faults if there are any.
tl::expected<EntrySettings, std::vector<kernel::SettingFault>>
read_settings(const nlohmann::json& root);

/// Reads a settings file.
tl::expected<EntrySettings, std::vector<kernel::SettingFault>>
load_settings(const std::string& path);

} // namespace geraniumhinge::entry
