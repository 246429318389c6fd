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

struct CapacitySettings
{
  std::uint32_t accelerators = 0;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

struct BackendSettings
{
  std::string address;
  kernel::Milliseconds call_timeout{ 0 };
  kernel::Milliseconds checkpoint_timeout{ 0 };
  kernel::Milliseconds wait_timeout{ 0 };
  kernel::Milliseconds retry_delay{ 0 };
  kernel::Milliseconds start_limit{ 0 };
  kernel::Milliseconds probe_period{ 0 };
};

struct LeaseSettings
{
  kernel::Milliseconds length{ 0 };
  kernel::Milliseconds round_period{ 0 };
  kernel::Milliseconds round_limit{ 0 };
  kernel::Milliseconds start_wait{ 0 };
  kernel::Milliseconds max_reservation{ 0 };
};

struct MembershipSettings
{
  kernel::Milliseconds heartbeat_period{ 0 };
  kernel::Milliseconds reply_timeout{ 0 };
  kernel::Milliseconds retry_delay{ 0 };
  kernel::Milliseconds refresh_period{ 0 };
  kernel::Milliseconds orphan_timeout{ 0 };
};

struct RequestSettings
{
  kernel::Milliseconds max_timeout{ 0 };
  kernel::Milliseconds answer_retention{ 0 };
  kernel::Milliseconds attempt_retention{ 0 };
};

struct AgentSettings
{
  std::string name;
  std::string zone;
  std::string rack;
  std::string peer_listen;
  std::string http_listen;
  std::vector<std::string> entries;
  CapacitySettings capacity;
  BackendSettings backend;
  LeaseSettings lease;
  MembershipSettings membership;
  RequestSettings requests;
  kernel::Milliseconds result_retry_delay{ 0 };
  kernel::Milliseconds drain_limit{ 0 };
  std::string trace_path;
  kernel::Severity log_level = kernel::Severity::Info;
  gateway::RequestLimits limits;
};

/// All settings of the agent, the source of docs/settings.md.
std::span<const kernel::Setting>
agent_settings_table();

/// Reads and checks the settings; returns all faults.
tl::expected<AgentSettings, std::vector<kernel::SettingFault>>
read_agent_settings(nlohmann::json root);

tl::expected<AgentSettings, std::vector<kernel::SettingFault>>
load_agent_settings(const std::string& path);

} // namespace geraniumhinge::agent
