#pragma once

#include <optional>
#include <string>

namespace geraniumhinge::gateway {

/// Encodes bytes as standard base64 with padding.
std::string
encode_base64(const std::string& bytes);

/// Decodes standard base64 with or without padding. Returns nothing if `text`
/// is malformed.
std::optional<std::string>
decode_base64(std::string text);

} // namespace geraniumhinge::gateway
