#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumhinge::core {

/// The advice service's settings for a queue whose steps may run on some
/// servers only.
struct AdviceSettings
{
  std::uint32_t decide_ms = 0;
  std::uint32_t per_server_ms = 0;
  std::uint32_t validity_ms = 0;
};

/// A queue of workflows, reached under a host and a path prefix.
struct Queue
{
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;        ///< Whose backend servers run its tasks.
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  /// Failures after which a workflow has failed.
  std::uint32_t max_failures = 1;
  double objective_factor = 1;    ///< Of the longest chain of work.
  std::uint32_t objective_ms = 0; ///< Added to it.
  bool allows_anonymous = false;  ///< Needs no token.
  std::optional<AdviceSettings> advice;

  /// Names the queue across configurations.
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

/// The queue with the longest prefix of the path; null if there is none.
const Queue*
find_queue(const OperatorConfig& operator_config,
           const std::string& host,
           const std::string& path);

/// The queue that `Queue::id` names; null if it is no longer configured.
const Queue*
find_queue(const OperatorConfig& operator_config, const std::string& queue_id);

/// The organisation that holds the token; null if none does.
const OrganisationConfig*
find_organisation_by_token(const OperatorConfig& operator_config,
                           const std::string& token);

} // namespace geraniumhinge::core
