#pragma once

#include <optional>
#include <string>

namespace geraniumhinge::gateway {

/// Standard base64 with padding.
std::string
encode_base64(const std::string& bytes);

/// Reads standard base64 with or without padding; nothing if it is malformed.
std::optional<std::string>
decode_base64(std::string text);

} // namespace geraniumhinge::gateway
