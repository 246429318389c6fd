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

/// A server by its index in a cell.
struct ServerRef
{
  std::uint32_t cell = 0;
  std::uint32_t server = 0;
};

/// Chooses preemptible jobs to stop, with the least lost work, so that a shape
/// fits.
class EvictionPlanner
{
public:
  /// With `single_members`, only jobs of one member may be stopped. The servers
  /// in `avoided_servers` are not used.
  EvictionPlanner(std::span<const CellState> cells,
                  std::int64_t now_ms,
                  bool single_members,
                  std::span<const NameId> avoided_servers);

  /// A placement and the jobs to stop for it.
  struct Candidate
  {
    std::vector<PlacedMember> members;
    std::vector<Victim> victims;
    std::int64_t lost_work_ms = 0;
  };

  /// Places `shape` on the servers, at most `limits[i]` members in cell i, and
  /// chooses the jobs to stop greedily by lost work. With `single_server`, all
  /// members go to one server. Nothing if the shape does not fit.
  std::optional<Candidate> find_cheapest(std::span<const ServerRef> servers,
                                         std::span<const std::uint32_t> limits,
                                         const Shape& shape,
                                         bool single_server) const;

  /// Places `shape` on the servers and accelerators of the given members and
  /// stops the jobs that use the resources needed there.
  Candidate place_at(std::vector<PlacedMember> members,
                     const Shape& shape) const;

private:
  struct JobMember
  {
    std::uint32_t cell = 0;
    const Allocation* allocation = nullptr;
  };
  struct Job
  {
    std::string_view name;
    std::vector<JobMember> members;
    std::int64_t lost_work_ms = 0;
  };
  struct Trial;

  std::vector<std::uint32_t> jobs_on(const Trial& trial,
                                     const ServerRef& at) const;
  std::optional<std::vector<std::uint32_t>> cheapest_stop_set(
    const Trial& trial,
    const ServerRef& at,
    const Shape& shape,
    std::uint32_t members) const;
  void stop(Trial& trial, std::uint32_t job) const;
  bool overlaps(std::uint32_t job, const PlacedMember& member) const;
  Candidate make_candidate(Trial& trial) const;

  std::vector<Capacity> free;
  std::vector<Job> jobs;
  /// Indices of the jobs that may be stopped, by cell and server.
  std::vector<std::vector<std::vector<std::uint32_t>>> jobs_by_server;
  std::vector<std::vector<char>> avoided; // By cell and server.
};

} // namespace geraniumhinge::core
