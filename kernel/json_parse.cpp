#include "kernel/json_parse.h"

namespace geraniumhinge::kernel {

namespace {

using Json = nlohmann::json;

/// Copies, comparisons and printing of nlohmann values recurse once per level,
/// and each level takes about 80 bytes. No message nests deeper than 6 levels.
constexpr std::size_t MAX_DEPTH = 32;

/// Walks through a JSON text and tracks the nesting, without checking more of
/// the syntax.
class NestingScanner
{
public:
  /// Returns whether the character is part of the structure, not of a string.
  bool read(char c)
  {
    if (this->in_string) {
      this->in_string = this->escaped || c != '"';
      this->escaped = !this->escaped && c == '\\';
      return false;
    }
    this->in_string = c == '"';
    if (c == '[' || c == '{')
      ++this->open;
    else if ((c == ']' || c == '}') && this->open > 0)
      --this->open;
    return true;
  }

  std::size_t depth() const { return this->open; }

private:
  std::size_t open = 0;
  bool in_string = false;
  bool escaped = false;
};

bool
nested_too_deeply(std::string_view text, std::size_t max_depth)
{
  NestingScanner scanner;
  for (char c : text) {
    scanner.read(c);
    if (scanner.depth() > max_depth)
      return true;
  }
  return false;
}

} // namespace

Json
parse_json(std::string_view text)
{
  if (nested_too_deeply(text, MAX_DEPTH))
    return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

} // namespace geraniumhinge::kernel
