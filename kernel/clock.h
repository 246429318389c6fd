#pragma once

#include <chrono>
#include <cstdint>

namespace geraniumhinge::kernel {

using Milliseconds = std::chrono::milliseconds;

/// Milliseconds on CLOCK_BOOTTIME. The clock keeps counting while the machine
/// is suspended, so a suspension never extends a lease deadline.
std::int64_t
boot_ms();

/// Microseconds on CLOCK_BOOTTIME, for measuring durations.
std::int64_t
boot_us();

/// Milliseconds since the Unix epoch, for timestamps that people read.
std::int64_t
unix_ms();

/// CPU time used by this process, in microseconds.
std::int64_t
process_cpu_us();

/// Returns a random number other than 0, for incarnations and identifiers.
std::uint64_t
random_id();

} // namespace geraniumhinge::kernel
