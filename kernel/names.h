#pragma once

#include <span>
#include <string_view>

namespace geraniumhinge {

/// One row of a table that names the values of an enumeration.
template<typename Enum>
struct NamedValue
{
  Enum value;
  std::string_view name;
};

/// Returns the name of `value`, or "unknown" if the table has no row for it.
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
