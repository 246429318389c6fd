#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace geraniumhinge::kernel {

/// Parses a text from outside. Gives a discarded value if the text is malformed
/// or nested too deeply.
nlohmann::json
parse_json(std::string_view text);

/// Upper estimate of the memory that the parsed text takes.
std::size_t
parsed_bytes(std::string_view text);

/// Like parse_json, but an item that can't be parsed, in a list that is a field
/// of the outer object, becomes null. It costs no other item. Brackets and
/// quotes must be balanced.
nlohmann::json
parse_json_lists(std::string_view text);

} // namespace geraniumhinge::kernel
