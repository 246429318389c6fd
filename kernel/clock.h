#pragma once

#include <chrono>
#include <cstdint>

namespace geraniumhinge::kernel {

using Milliseconds = std::chrono::milliseconds;

/// Milliseconds on CLOCK_BOOTTIME, which goes on while the machine is
/// suspended. Lease deadlines use it, so that a pause never extends a lease.
std::int64_t
boot_ms();

/// Microseconds on CLOCK_BOOTTIME, for durations.
std::int64_t
boot_us();

/// Milliseconds since the Unix epoch, for records that people read.
std::int64_t
unix_ms();

/// Processor time used by this process, in microseconds.
std::int64_t
process_cpu_us();

/// A random number for incarnations and identifiers. Never 0.
std::uint64_t
random_id();

} // namespace geraniumhinge::kernel
