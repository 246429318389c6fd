#pragma once

#include <span>
#include <string_view>

namespace geraniumhinge {

/// A row of a table with the names of an enumeration's values.
template<typename Enum>
struct NamedValue
{
  Enum value;
  std::string_view name;
};

/// Returns the name of `value`, or "unknown" if `table` has no row for `value`.
template<typename Enum, std::size_t Size>
constexpr std::string_view
name_of(const NamedValue<Enum> (&table)[Size], Enum value)
{
  for (const NamedValue<Enum>& row : table) {
    if (row.value == value)
      return row.name;
  }
  return "unknown";
}

} // namespace geraniumhinge
