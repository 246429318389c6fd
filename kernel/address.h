#pragma once

#include <string>

namespace geraniumhinge::kernel {

/// Whether a text is an IPv4 address and a port, such as 127.0.0.1:7000.
bool
is_address(const std::string& text);

} // namespace geraniumhinge::kernel
