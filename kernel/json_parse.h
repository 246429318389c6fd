#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace geraniumhinge::kernel {

/// Parses a text from outside. Gives a discarded value if the text is malformed
/// or nested too deeply.
nlohmann::json
parse_json(std::string_view text);

} // namespace geraniumhinge::kernel
