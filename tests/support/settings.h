#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace geraniumhinge::tests {

struct EntryPlan
{
  std::string name;
  std::string zone;
};

struct ServerPlan
{
  std::string name;
  std::string zone;
  std::string rack;
};

/// Nodes of a deployment and the settings that the processes share.
struct DeploymentPlan
{
  std::string name;
  std::vector<EntryPlan> entries;
  std::vector<ServerPlan> servers;
  std::vector<std::string> organisations;
  nlohmann::json entry_settings;
  nlohmann::json agent_settings;
};

/// Reads examples/<name>/: deployment.json, entry.json and agent.json.
DeploymentPlan
load_plan(const std::string& name);

/// A small deployment for tests: `zones` availability zones, each with one rack
/// of `per_rack` backend servers. Based on examples/consortium, with no spare
/// servers.
DeploymentPlan
small_plan(std::size_t entries, std::size_t zones, std::size_t per_rack);

/// SHA-256 of a token in lower-case hex, the form stored in the settings and
/// the configuration.
std::string
token_digest(const std::string& token);

void
write_json(const std::string& path, const nlohmann::json& value);

} // namespace geraniumhinge::tests
