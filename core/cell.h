#pragma once

#include "core/names.h"
#include "core/shape.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumhinge::core {

enum class ServerState : std::uint8_t
{
  Ready,
  Leaving,
  Lost,
  Quarantined,
};
inline constexpr std::array<std::string_view, 4>
  SERVER_STATE_NAMES = { "ready", "leaving", "lost", "quarantined" };

/// A backend server of a cell. Only `Ready` servers receive new work.
struct Server
{
  NameId name = 0;
  NameId rack = 0;
  NameId zone = 0;
  std::uint64_t incarnation = 0;  ///< Incarnation of the server's agent.
  std::uint64_t accelerators = 0; ///< Bit mask of the installed ones.
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  ServerState state = ServerState::Ready;
};

/// Resources allocated to one member of a job on one backend server.
struct Allocation
{
  std::string job;
  std::uint32_t generation = 0;
  std::uint32_t member = 0;
  std::uint32_t server = 0;       ///< Index into `Cell::servers`.
  std::uint64_t accelerators = 0; ///< Bit mask.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  NameId organisation = 0;
  bool preemptible = false;
  bool guaranteed = false; ///< Consumes a guaranteed shape of its organisation.
  /// `shape_key` of the guaranteed shape, 0 if not recorded.
  std::uint64_t claimed_shape_key = 0;
  std::int64_t started_ms = 0;
  std::int64_t checkpoint_ms = 0; ///< Time of the last checkpoint, 0 if none.
};

/// Servers and allocations of an availability zone, as stored in the row
/// `cell/<zone>`.
struct Cell
{
  NameId zone = 0;
  std::vector<Server> servers;
  std::vector<Allocation> allocations;
};

/// Mask of the `count` lowest accelerators.
constexpr std::uint64_t
accelerator_mask(std::uint32_t count)
{
  return count >= 64 ? ~std::uint64_t{ 0 } : (std::uint64_t{ 1 } << count) - 1;
}

/// Removes all allocations of the given jobs, in one pass over the cell.
/// Returns the number of allocations removed.
std::size_t
release(Cell& cell, const std::vector<std::string>& jobs);

/// Bytes of RAM that the cell uses, for the memory budget.
std::size_t
memory_bytes(const Cell& cell);

} // namespace geraniumhinge::core
