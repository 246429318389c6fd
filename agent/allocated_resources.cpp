#include "agent/allocated_resources.h"

namespace geraniumhinge::agent {

namespace {

constexpr std::uint32_t MAX_ACCELERATORS = 64;

std::uint64_t
mask_of(std::uint32_t accelerators)
{
  if (accelerators >= MAX_ACCELERATORS)
    return ~std::uint64_t(0);
  return (std::uint64_t(1) << accelerators) - 1;
}

} // namespace

AllocatedResources::AllocatedResources(const CapacitySettings& capacity)
  : capacity(capacity)
  , accelerator_mask(mask_of(capacity.accelerators))
{
  this->used.slots = 0;
}

bool
AllocatedResources::allocate(const Resources& wanted)
{
  bool fits =
    this->used.slots + wanted.slots <= this->capacity.slots &&
    std::uint64_t(this->used.cores) + wanted.cores <= this->capacity.cores &&
    std::uint64_t(this->used.memory_mb) + wanted.memory_mb <=
      this->capacity.memory_mb &&
    (this->used.accelerators & wanted.accelerators) == 0 &&
    (wanted.accelerators & ~this->accelerator_mask) == 0;
  if (!fits)
    return false;
  this->used.slots += wanted.slots;
  this->used.cores += wanted.cores;
  this->used.memory_mb += wanted.memory_mb;
  this->used.accelerators |= wanted.accelerators;
  return true;
}

void
AllocatedResources::release(const Resources& released)
{
  this->used.slots -= released.slots;
  this->used.cores -= released.cores;
  this->used.memory_mb -= released.memory_mb;
  this->used.accelerators &= ~released.accelerators;
}

} // namespace geraniumhinge::agent
