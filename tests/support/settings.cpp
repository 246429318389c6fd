#include "tests/support/settings.h"

#include <array>
#include <fmt/format.h>
#include <fstream>
#include <openssl/sha.h>
#include <stdexcept>

namespace geraniumhinge::tests {

namespace {

nlohmann::json
read_json(const std::string& path)
{
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("can't read " + path);
  return nlohmann::json::parse(file);
}

} // namespace

DeploymentPlan
load_plan(const std::string& name)
{
  std::string folder =
    std::string(GERANIUMHINGE_SOURCE_DIR) + "/examples/" + name + "/";
  nlohmann::json root = read_json(folder + "deployment.json");
  DeploymentPlan plan;
  plan.name = root.at("name");
  for (const nlohmann::json& item : root.at("entries"))
    plan.entries.push_back({ item.at("name"), item.at("zone") });
  for (const nlohmann::json& item : root.at("servers"))
    plan.servers.push_back(
      { item.at("name"), item.at("zone"), item.at("rack") });
  plan.organisations = root.at("organisations").get<std::vector<std::string>>();
  plan.entry_settings = read_json(folder + "entry.json");
  plan.agent_settings = read_json(folder + "agent.json");
  return plan;
}

DeploymentPlan
small_plan(std::size_t entries, std::size_t zones, std::size_t per_rack)
{
  DeploymentPlan plan = load_plan("consortium");
  plan.name = "small";
  plan.entries.clear();
  plan.servers.clear();
  for (std::size_t i = 0; i < entries; i++)
    plan.entries.push_back({ fmt::format("entry-{}", i + 1),
                             fmt::format("zone-{}", i % zones + 1) });
  for (std::size_t zone = 1; zone <= zones; zone++) {
    for (std::size_t i = 1; i <= per_rack; i++)
      plan.servers.push_back({ fmt::format("server-{}-{}", zone, i),
                               fmt::format("zone-{}", zone),
                               fmt::format("rack-{}", zone) });
  }
  plan.entry_settings["policy"]["spare_servers"] = 0;
  return plan;
}

std::string
token_digest(const std::string& token)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()),
         token.size(),
         digest.data());
  std::string text;
  for (unsigned char byte : digest)
    text += fmt::format("{:02x}", byte);
  return text;
}

void
write_json(const std::string& path, const nlohmann::json& value)
{
  std::ofstream file(path);
  file << value.dump(2) << '\n';
  if (!file.flush())
    throw std::runtime_error("can't write " + path);
}

} // namespace geraniumhinge::tests
