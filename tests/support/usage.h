#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <sys/types.h>

namespace geraniumhinge::tests {

/// Largest resident memory of a process so far, 0 if it does not run.
std::size_t
peak_memory_bytes(pid_t process);

/// Number of descriptors that a process has open.
std::size_t
open_descriptors(pid_t process);

/// Sum of the bytes that the kernel keeps for the IPv4 connections of these
/// local ports: received and not read, or written and not acknowledged.
std::size_t
queued_bytes(const std::set<int>& ports);

} // namespace geraniumhinge::tests
