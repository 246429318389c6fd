#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumhinge::core {

/// Identifier of an interned name. Valid only with the `Names` object that
/// returned it.
using NameId = std::uint32_t;

/// Interns names of servers, racks, availability zones and organisations, so
/// that decisions compare integers. Names are never removed.
class Names
{
public:
  NameId intern(std::string_view name);
  /// Looks a name up without adding it.
  std::optional<NameId> find(std::string_view name) const;
  const std::string& text(NameId id) const { return this->texts[id]; }
  std::size_t size() const { return this->texts.size(); }

private:
  std::unordered_map<std::string, NameId> ids;
  std::vector<std::string> texts;
};

} // namespace geraniumhinge::core
