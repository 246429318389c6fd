#include "core/directory.h"

#include <algorithm>

namespace geraniumhinge::core {

const Queue*
find_queue(const Directory& directory,
           const std::string& host,
           const std::string& path)
{
  const Queue* best = nullptr;
  for (const Queue& queue : directory.queues) {
    if (queue.host != host || path.rfind(queue.path_prefix, 0) != 0)
      continue;
    if (!best || queue.path_prefix.size() > best->path_prefix.size())
      best = &queue;
  }
  return best;
}

const Queue*
find_queue(const Directory& directory, const std::string& queue_id)
{
  for (const Queue& queue : directory.queues) {
    if (queue.id() == queue_id)
      return &queue;
  }
  return nullptr;
}

const Tenancy*
find_tenancy(const Directory& directory, const std::string& token)
{
  for (const Tenancy& organisation : directory.organisations) {
    if (std::find(organisation.tokens.begin(),
                  organisation.tokens.end(),
                  token) != organisation.tokens.end())
      return &organisation;
  }
  return nullptr;
}

} // namespace geraniumhinge::core
