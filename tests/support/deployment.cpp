#include "tests/support/deployment.h"

#include "tests/support/ports.h"
#include "tests/support/wait.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace geraniumhinge::tests {

namespace {

// Long enough for a machine that is busy with a build.
constexpr kernel::Milliseconds START_LIMIT{ 30'000 };
constexpr const char* OPERATOR = "operations";
constexpr const char* OPERATOR_TOKEN = "operator-token";
constexpr int STATUS_OK = 200;

std::string
binary(const std::string& name)
{
  return std::string(GERANIUMHINGE_BIN_DIR) + "/" + name;
}

std::string
make_folder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "geraniumhinge-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("can't create a temporary folder");
  return pattern;
}

bool
post_faults(const std::string& address, const nlohmann::json& faults)
{
  HttpCall call;
  call.url = "http://" + address + "/faults";
  call.body = faults.dump();
  std::optional<HttpReply> reply = call_http(call);
  return reply && reply->status == STATUS_OK;
}

bool
responds_ok(const std::string& url)
{
  HttpCall call;
  call.url = url;
  call.timeout = kernel::Milliseconds(1'000);
  std::optional<HttpReply> reply = call_http(call);
  return reply && reply->status == STATUS_OK;
}

} // namespace

Deployment::Deployment(DeploymentPlan deployment)
  : plan(std::move(deployment))
  , path(make_folder())
  , store_address(free_address())
  , store_link(std::make_unique<Relay>(this->store_address))
{
  for (const EntryPlan& entry : this->plan.entries)
    this->entry_nodes.push_back(
      { entry, free_address(), free_address(), "", nullptr });
  for (const ServerPlan& server : this->plan.servers) {
    ServerNode node{ server, free_address(), free_address(), free_address(),
                     "",     nullptr,        nullptr,        nullptr };
    node.relay = std::make_unique<Relay>(node.backend_address);
    this->server_nodes.push_back(std::move(node));
  }
  for (EntryNode& node : this->entry_nodes)
    this->write_entry_settings(node);
  for (ServerNode& node : this->server_nodes)
    this->write_agent_settings(node);
}

Deployment::~Deployment()
{
  this->entry_nodes.clear();
  this->server_nodes.clear();
  this->store_process.reset();
  if (std::getenv("GERANIUMHINGE_KEEP") == nullptr)
    std::filesystem::remove_all(this->path);
}

void
Deployment::write_entry_settings(EntryNode& node)
{
  nlohmann::json settings = this->plan.entry_settings;
  std::string store = "http://" + this->store_link->address();
  settings["name"] = node.plan.name;
  settings["zone"] = node.plan.zone;
  settings["http"]["listen"] = node.http_address;
  settings["peer"]["listen"] = node.peer_address;
  settings["store"]["table_url"] = store;
  settings["store"]["objects_url"] = store;
  settings["operators"] = { std::string(OPERATOR) + "=" +
                            token_digest(OPERATOR_TOKEN) };
  node.settings_path = this->path + "/" + node.plan.name + ".json";
  write_json(node.settings_path, settings);
}

void
Deployment::write_agent_settings(ServerNode& node)
{
  nlohmann::json settings = this->plan.agent_settings;
  settings["name"] = node.plan.name;
  settings["zone"] = node.plan.zone;
  settings["rack"] = node.plan.rack;
  settings["entries"] = nlohmann::json::array();
  for (const EntryNode& entry : this->entry_nodes)
    settings["entries"].push_back(entry.peer_address);
  settings["peer"]["listen"] = node.peer_address;
  settings["http"]["listen"] = node.http_address;
  settings["backend"]["address"] = node.relay->address();
  node.settings_path = this->path + "/" + node.plan.name + ".json";
  write_json(node.settings_path, settings);
}

void
Deployment::start_store()
{
  this->store_process = std::make_unique<Process>(
    std::vector<std::string>{
      binary("platform_standin"), "--listen", this->store_address },
    this->path + "/store.log");
}

void
Deployment::start_entry(std::size_t index)
{
  EntryNode& node = this->entry_nodes.at(index);
  node.process = std::make_unique<Process>(
    std::vector<std::string>{
      binary("geraniumhinge"), "serve", "--settings", node.settings_path },
    this->path + "/" + node.plan.name + ".log");
}

void
Deployment::start_backend(std::size_t index)
{
  ServerNode& node = this->server_nodes.at(index);
  const nlohmann::json& capacity = this->plan.agent_settings.at("capacity");
  std::vector<std::string> arguments{ binary("backend_standin"),
                                      "--listen",
                                      node.backend_address };
  for (const char* name : { "slots", "accelerators", "cores", "memory_mb" }) {
    std::string option = name;
    std::replace(option.begin(), option.end(), '_', '-');
    arguments.push_back("--" + option);
    arguments.push_back(capacity.at(name).dump());
  }
  node.backend = std::make_unique<Process>(
    arguments, this->path + "/" + node.plan.name + "-backend.log");
}

void
Deployment::start_agent(std::size_t index)
{
  ServerNode& node = this->server_nodes.at(index);
  node.agent = std::make_unique<Process>(
    std::vector<std::string>{ binary("geraniumhinge-agent"),
                              "serve",
                              "--settings",
                              node.settings_path },
    this->path + "/" + node.plan.name + ".log");
}

void
Deployment::replace_entry(std::size_t index)
{
  this->entry_nodes.at(index).process.reset();
  this->start_entry(index);
}

void
Deployment::replace_agent(std::size_t index)
{
  this->server_nodes.at(index).agent.reset();
  this->start_agent(index);
}

bool
Deployment::start()
{
  this->start_store();
  bool store_is_up = wait_until(START_LIMIT, [this] {
    return responds_ok("http://" + this->store_address + "/counters");
  });
  for (std::size_t i = 0; i < this->server_nodes.size(); i++) {
    this->start_backend(i);
    this->start_agent(i);
  }
  for (std::size_t i = 0; i < this->entry_nodes.size(); i++)
    this->start_entry(i);
  return store_is_up && wait_until(START_LIMIT, [this] {
           for (std::size_t i = 0; i < this->entry_nodes.size(); i++) {
             if (!this->is_ready(i) ||
                 this->count_servers(i, v1::SERVER_STATE_READY) !=
                   this->server_nodes.size())
               return false;
           }
           return true;
         });
}

bool
Deployment::set_store_faults(const nlohmann::json& faults) const
{
  return post_faults(this->store_address, faults);
}

bool
Deployment::set_backend_faults(std::size_t index,
                               const nlohmann::json& faults) const
{
  return post_faults(this->server_nodes.at(index).backend_address, faults);
}

nlohmann::json
Deployment::store_counters() const
{
  HttpCall call;
  call.url = "http://" + this->store_address + "/counters";
  std::optional<HttpReply> reply = call_http(call);
  return reply ? nlohmann::json::parse(reply->body) : nlohmann::json();
}

bool
Deployment::is_ready(std::size_t entry) const
{
  return responds_ok("http://" + this->entry_nodes.at(entry).http_address +
                     "/ready");
}

std::optional<v1::GetStatusResponse>
Deployment::status(std::size_t entry) const
{
  tl::expected<v1::GetStatusResponse, Failure> result =
    this->operator_client(entry).call<v1::GetStatusResponse>(
      "GetStatus", v1::GetStatusRequest());
  if (!result)
    return std::nullopt;
  return *result;
}

std::size_t
Deployment::count_servers(std::size_t entry, v1::ServerState state) const
{
  std::optional<v1::GetStatusResponse> response = this->status(entry);
  if (!response)
    return 0;
  return static_cast<std::size_t>(
    std::count_if(response->servers().begin(),
                  response->servers().end(),
                  [state](const v1::BackendServer& server) {
                    return server.state() == state;
                  }));
}

std::size_t
Deployment::server_index(const std::string& name) const
{
  for (std::size_t i = 0; i < this->server_nodes.size(); i++) {
    if (this->server_nodes[i].plan.name == name)
      return i;
  }
  throw std::runtime_error("unknown backend server " + name);
}

std::vector<std::string>
Deployment::http_addresses() const
{
  std::vector<std::string> addresses;
  for (const EntryNode& node : this->entry_nodes)
    addresses.push_back(node.http_address);
  return addresses;
}

Client
Deployment::operator_client() const
{
  return this->client(OPERATOR_TOKEN);
}

Client
Deployment::operator_client(std::size_t entry) const
{
  return this->client(OPERATOR_TOKEN, entry);
}

Client
Deployment::client(const std::string& token) const
{
  return Client(this->http_addresses(), token);
}

Client
Deployment::client(const std::string& token, std::size_t entry) const
{
  return Client({ this->entry_nodes.at(entry).http_address }, token);
}

std::vector<JournalEvent>
Deployment::journal() const
{
  std::vector<JournalEvent> events;
  for (const ServerNode& node : this->server_nodes) {
    std::vector<JournalEvent> server_events =
      read_journal(node.plan.name, node.backend_address);
    events.insert(events.end(), server_events.begin(), server_events.end());
  }
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const JournalEvent& left, const JournalEvent& right) {
                     return left.boot_ms < right.boot_ms;
                   });
  return events;
}

} // namespace geraniumhinge::tests
