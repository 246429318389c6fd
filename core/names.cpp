#include "core/names.h"

namespace geraniumhinge::core {

NameId
Names::intern(std::string_view name)
{
  const auto [found, added] = this->ids.try_emplace(
    std::string(name), static_cast<NameId>(this->texts.size()));
  if (added) {
    this->texts.emplace_back(name);
  }
  return found->second;
}

std::optional<NameId>
Names::find(std::string_view name) const
{
  const auto found = this->ids.find(std::string(name));
  if (found == this->ids.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace geraniumhinge::core
