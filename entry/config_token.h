#pragma once

#include <string>

namespace geraniumhinge::entry {

/// Returns the SHA-256 of a bearer token in lower-case hex. The configuration
/// stores only this digest.
std::string
token_digest(const std::string& token);

} // namespace geraniumhinge::entry
