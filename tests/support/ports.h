#pragma once

#include <string>

namespace geraniumhinge::tests {

/// A loopback address with a port that is free now and was not given before by
/// this process.
std::string
free_address();

} // namespace geraniumhinge::tests
