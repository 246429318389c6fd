#include "core/operator_config.h"

#include <algorithm>

namespace geraniumhinge::core {

const Queue*
find_queue(const OperatorConfig& operator_config,
           const std::string& host,
           const std::string& path)
{
  const Queue* best = nullptr;
  for (const Queue& queue : operator_config.queues) {
    if (queue.host != host || path.rfind(queue.path_prefix, 0) != 0)
      continue;
    if (!best || queue.path_prefix.size() > best->path_prefix.size())
      best = &queue;
  }
  return best;
}

const Queue*
find_queue(const OperatorConfig& operator_config, const std::string& queue_id)
{
  for (const Queue& queue : operator_config.queues) {
    if (queue.id() == queue_id)
      return &queue;
  }
  return nullptr;
}

const OrganisationConfig*
find_organisation_by_token(const OperatorConfig& operator_config,
                           const std::string& token)
{
  for (const OrganisationConfig& organisation : operator_config.organisations) {
    if (std::find(organisation.tokens.begin(),
                  organisation.tokens.end(),
                  token) != organisation.tokens.end())
      return &organisation;
  }
  return nullptr;
}

} // namespace geraniumhinge::core
