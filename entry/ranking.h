#pragma once

#include "core/route.h"

#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// All names, ordered by rendezvous hashing for `key`.
inline std::vector<std::string>
ranked(const std::string& key, const std::vector<std::string>& names)
{
  std::vector<std::string> order;
  for (std::size_t index : core::rendezvous_order(key, names, names.size()))
    order.push_back(names[index]);
  return order;
}

/// The first name by rendezvous hashing for `key`, or empty without names.
inline std::string
first_ranked(const std::string& key, const std::vector<std::string>& names)
{
  std::optional<std::size_t> index = core::rendezvous(key, names);
  return index ? names[*index] : std::string();
}

} // namespace geraniumhinge::entry
