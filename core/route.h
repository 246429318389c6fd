#pragma once

#include "core/names.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumhinge::core {

/// Score for rendezvous hashing: the node with the highest score owns the key,
/// so that the loss of a node moves only the keys of that node.
std::uint64_t
rendezvous_score(std::string_view key, std::string_view node);

/// Index of the node that owns the key; nothing if there are no nodes.
std::optional<std::size_t>
rendezvous(std::string_view key, std::span<const std::string> nodes);

/// Indexes of the first `count` nodes in order of preference.
std::vector<std::size_t>
rendezvous_order(std::string_view key,
                 std::span<const std::string> nodes,
                 std::size_t count);

/// Load of a backend server as known to this entry.
struct ServerLoad
{
  std::uint32_t in_flight = 0; ///< Short requests of this entry.
  std::uint32_t slots = 0;     ///< Slots that no job uses.
  NameId zone = 0;
  bool available = true; ///< Ready, live, not tried for this request.
};

/// Chooses the server for a short request: lowest load relative to its slots,
/// then own zone, then at random. Nothing if no server has a free slot.
std::optional<std::size_t>
choose_server(std::span<const ServerLoad> servers,
              NameId own_zone,
              std::uint64_t seed);

} // namespace geraniumhinge::core
