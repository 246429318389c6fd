#pragma once

#include "core/capacity.h"
#include "core/place.h"
#include "core/reclaim.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumhinge::core {

/// A server by its cell.
struct ServerRef
{
  std::uint32_t cell = 0;
  std::uint32_t server = 0;
};

/// Preemptible jobs with what stopping each of them costs and frees.
class Evictions
{
public:
  /// With `single_members`, only jobs of one member may be stopped. Nothing is
  /// chosen on the servers in `avoid`.
  Evictions(std::span<const CellState> cells,
            std::int64_t now_ms,
            bool single_members,
            std::span<const NameId> avoid);

  struct Choice
  {
    std::vector<PlacedMember> members;
    std::vector<Victim> victims;
    std::int64_t lost_work_ms = 0;
  };

  /// Places `shape` on the servers, at most `limits[i]` members in cell i, and
  /// stops the jobs that lose the least work. With `together`, all members go
  /// to one server. Nothing if the shape does not fit even then.
  std::optional<Choice> choose(std::span<const ServerRef> servers,
                               std::span<const std::uint32_t> limits,
                               const Shape& shape,
                               bool together) const;

  /// The jobs that hold resources needed by the given members.
  Choice evict_at(std::vector<PlacedMember> members, const Shape& shape) const;

private:
  struct Held
  {
    std::uint32_t cell = 0;
    const Allocation* allocation = nullptr;
  };
  struct Job
  {
    std::string_view name;
    std::vector<Held> held;
    std::int64_t lost_work_ms = 0;
  };
  struct Trial;

  std::vector<std::uint32_t> jobs_on(const Trial& trial,
                                     const ServerRef& at) const;
  std::optional<std::vector<std::uint32_t>> cheapest(
    const Trial& trial,
    const ServerRef& at,
    const Shape& shape,
    std::uint32_t members) const;
  void stop(Trial& trial, std::uint32_t job) const;
  bool overlaps(std::uint32_t job, const PlacedMember& member) const;
  Choice finish(Trial& trial) const;

  std::vector<Capacity> free;
  std::vector<Job> jobs;
  /// Jobs by cell and server.
  std::vector<std::vector<std::vector<std::uint32_t>>> on_server;
  std::vector<std::vector<char>> avoided; // By cell and server.
};

} // namespace geraniumhinge::core
