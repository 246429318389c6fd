#pragma once

#include <string>

namespace geraniumhinge::entry {

/// SHA-256 of a bearer token in lower-case hex, as it is stored.
std::string
token_digest(const std::string& token);

} // namespace geraniumhinge::entry
