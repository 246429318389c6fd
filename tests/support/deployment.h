#pragma once

#include "tests/support/client.h"
#include "tests/support/journal.h"
#include "tests/support/process.h"
#include "tests/support/relay.h"
#include "tests/support/settings.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::tests {

/// One entry of a deployment.
struct EntryNode
{
  EntryPlan plan;
  std::string http_address;
  std::string peer_address;
  std::string settings_path;
  std::unique_ptr<Process> process; ///< Null before the start.
};

/// An agent and its backend server. The agent connects to the backend server
/// through a relay, which can inject network faults.
struct ServerNode
{
  ServerPlan plan;
  std::string backend_address;
  std::string peer_address;
  std::string http_address;
  std::string settings_path;
  std::unique_ptr<Relay> relay;
  std::unique_ptr<Process> backend;
  std::unique_ptr<Process> agent;
};

/// Runs the processes of one deployment on loopback, with settings and logs in
/// a temporary folder. The destructor ends all processes and removes the folder
/// unless GERANIUMHINGE_KEEP is set.
class Deployment
{
public:
  /// Writes the settings; starts no process.
  explicit Deployment(DeploymentPlan plan);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts all processes and waits until each entry is ready and shows every
  /// backend server as ready. Returns false if the wait times out.
  bool start();

  void start_store();
  void start_entry(std::size_t index);
  void start_backend(std::size_t index);
  void start_agent(std::size_t index);
  /// Ends a process with SIGKILL and starts a new one.
  void replace_entry(std::size_t index);
  void replace_agent(std::size_t index);

  std::vector<EntryNode>& entries() { return this->entry_nodes; }
  std::vector<ServerNode>& servers() { return this->server_nodes; }
  Process& store() { return *this->store_process; }
  /// Relay between the entries and the store.
  Relay& store_relay() { return *this->store_link; }

  /// Sets fault switches of the platform's stand-in, such as {"down": 1}.
  bool set_store_faults(const nlohmann::json& faults) const;
  bool set_backend_faults(std::size_t index,
                          const nlohmann::json& faults) const;
  nlohmann::json store_counters() const;

  bool is_ready(std::size_t entry) const;
  /// Status reported by one entry; none if the entry does not respond.
  std::optional<v1::GetStatusResponse> status(std::size_t entry) const;
  /// Number of backend servers that one entry reports in this state.
  std::size_t count_servers(std::size_t entry, v1::ServerState state) const;
  std::size_t server_index(const std::string& name) const;

  /// Client of the operator, or of the caller with this token. Tries all
  /// entries in order, or uses only the given one.
  Client operator_client() const;
  Client operator_client(std::size_t entry) const;
  Client client(const std::string& token) const;
  Client client(const std::string& token, std::size_t entry) const;

  /// Merged journals of all backend servers, sorted by time.
  std::vector<JournalEvent> journal() const;

  const std::string& folder() const { return this->path; }

private:
  std::vector<std::string> http_addresses() const;
  void write_entry_settings(EntryNode& node);
  void write_agent_settings(ServerNode& node);

  DeploymentPlan plan;
  std::string path;
  std::string store_address;
  std::unique_ptr<Process> store_process;
  std::unique_ptr<Relay> store_link;
  std::vector<EntryNode> entry_nodes;
  std::vector<ServerNode> server_nodes;
};

} // namespace geraniumhinge::tests
