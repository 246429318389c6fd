#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// Settings of the advice service for a queue whose steps may run only on
/// servers that the service allows.
struct AdviceSettings
{
  std::uint32_t base_timeout_ms = 0;       ///< Time that a request takes.
  std::uint32_t timeout_per_server_ms = 0; ///< Additional time for each server.
  std::uint32_t ticket_validity_ms = 0;    ///< Time until a ticket expires.
};

/// A queue of workflows, reached under a host and a path prefix.
struct Queue
{
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;        ///< Service whose servers run the tasks.
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  /// Failures after which a workflow fails.
  std::uint32_t max_failures = 1;
  double objective_factor = 1;    ///< `Objective::factor`.
  std::uint32_t objective_ms = 0; ///< `Objective::extra_ms`.
  bool allows_anonymous = false;  ///< Callers need no token.
  std::optional<AdviceSettings> advice;

  /// Identifies the queue in all versions of the configuration.
  std::string id() const { return this->host + this->path_prefix; }
};

struct Service
{
  std::string name;
  std::string health_path;
  bool standby = false;
};

/// An organisation, its callers' tokens and its guaranteed accelerators.
struct OrganisationConfig
{
  std::string name;
  std::vector<std::string> tokens;
  std::int64_t guaranteed_accelerators = 0;
};

/// One version of the operators' configuration.
struct OperatorConfig
{
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<OrganisationConfig> organisations;
  std::size_t max_body_bytes = 262'144;
};

/// The queue of the host with the longest matching path prefix; null if none
/// matches.
const Queue*
find_queue(const OperatorConfig& operator_config,
           const std::string& host,
           const std::string& path);

/// The queue with the given `Queue::id`; null if none is configured.
const Queue*
find_queue(const OperatorConfig& operator_config, const std::string& queue_id);

/// The organisation with the given caller token; null if there is none.
const OrganisationConfig*
find_organisation_by_token(const OperatorConfig& operator_config,
                           const std::string& token);

} // namespace geraniumhinge::core
