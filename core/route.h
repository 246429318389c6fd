#pragma once

#include "core/names.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumhinge::core {

/// Rendezvous hashing: the node with the highest score owns the key, and the
/// loss of a node moves only its own keys.
std::uint64_t
rendezvous_score(std::string_view key, std::string_view node);

/// Index of the preferred node; nothing if there are no nodes.
std::optional<std::size_t>
rendezvous(std::string_view key, std::span<const std::string> nodes);

/// Indexes of the first `count` nodes in order of preference.
std::vector<std::size_t>
rendezvous_order(std::string_view key,
                 std::span<const std::string> nodes,
                 std::size_t count);

/// Load of a backend server as the entry sees it.
struct ServerLoad
{
  std::uint32_t in_flight = 0; ///< Short requests, this entry's view.
  std::uint32_t slots = 0;     ///< Slots not held by jobs.
  NameId zone = 0;
  bool available = true; ///< Ready, live and not tried for this request.
};

/// Chooses the server for a short request: the least loaded for its slots, in
/// the own zone on equal load, at random among equals. Servers with no free
/// slot are left out; nothing if all are.
std::optional<std::size_t>
choose_server(std::span<const ServerLoad> servers,
              NameId own_zone,
              std::uint64_t seed);

} // namespace geraniumhinge::core
