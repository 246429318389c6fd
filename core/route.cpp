#include "core/route.h"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace geraniumhinge::core {

namespace {

/// Compares the loads `in_flight / slots` without rounding.
bool
less_loaded(const ServerLoad& left, const ServerLoad& right)
{
  return std::uint64_t{ left.in_flight } * right.slots <
         std::uint64_t{ right.in_flight } * left.slots;
}

bool
preferred(const ServerLoad& left, const ServerLoad& right, NameId own_zone)
{
  if (less_loaded(left, right)) {
    return true;
  }
  if (less_loaded(right, left)) {
    return false;
  }
  return left.zone == own_zone && right.zone != own_zone;
}

} // namespace

std::uint64_t
rendezvous_score(std::string_view key, std::string_view node)
{
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

std::optional<std::size_t>
rendezvous(std::string_view key, std::span<const std::string> nodes)
{
  const std::vector<std::size_t> first = rendezvous_order(key, nodes, 1);
  if (first.empty()) {
    return std::nullopt;
  }
  return first.front();
}

std::vector<std::size_t>
rendezvous_order(std::string_view key,
                 std::span<const std::string> nodes,
                 std::size_t count)
{
  std::vector<std::uint64_t> scores;
  scores.reserve(nodes.size());
  for (const std::string& node : nodes) {
    scores.push_back(rendezvous_score(key, node));
  }
  std::vector<std::size_t> order(nodes.size());
  std::iota(order.begin(), order.end(), 0U);
  const std::size_t wanted = std::min(count, order.size());
  // Equal scores are ordered by name, so that entries whose node lists are in a
  // different order agree.
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(wanted),
                    order.end(),
                    [&](std::size_t left, std::size_t right) {
                      return scores[left] != scores[right]
                               ? scores[left] > scores[right]
                               : nodes[left] < nodes[right];
                    });
  order.resize(wanted);
  return order;
}

std::optional<std::size_t>
choose_server(std::span<const ServerLoad> servers,
              NameId own_zone,
              std::uint64_t seed)
{
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const ServerLoad& server = servers[i];
    if (!server.available || server.in_flight >= server.slots) {
      continue;
    }
    if (!best.empty() && preferred(servers[best.front()], server, own_zone)) {
      continue;
    }
    if (!best.empty() && preferred(server, servers[best.front()], own_zone)) {
      best.clear();
    }
    best.push_back(i);
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return best[XXH64(&seed, sizeof(seed), 0) % best.size()];
}

} // namespace geraniumhinge::core
