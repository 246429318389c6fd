#pragma once

#include "agent/settings.h"

#include <cstdint>

namespace geraniumhinge::agent {

/// Resources of one member or short request.
struct Resources
{
  std::uint32_t slots = 1;
  std::uint64_t accelerators = 0; ///< Bit mask.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

/// Tracks which part of the backend server's capacity is allocated.
class AllocatedResources
{
public:
  explicit AllocatedResources(const CapacitySettings& capacity);

  /// Allocates the resources and returns true, or allocates nothing if a part
  /// of them is not free.
  bool allocate(const Resources& wanted);
  void release(const Resources& released);

  std::uint32_t slots_used() const { return this->used.slots; }
  std::uint64_t accelerators_used() const { return this->used.accelerators; }

private:
  CapacitySettings capacity;
  std::uint64_t accelerator_mask;
  Resources used;
};

} // namespace geraniumhinge::agent
