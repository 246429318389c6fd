#pragma once

#include <string>

namespace geraniumhinge::tests {

/// Returns a loopback address with a free port. Each call in one process
/// returns another port.
std::string
free_address();

} // namespace geraniumhinge::tests
