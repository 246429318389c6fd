#include "kernel/json_parse.h"

#include <string>
#include <utility>

namespace geraniumhinge::kernel {

namespace {

using Json = nlohmann::json;

/// Copies, comparisons and printing of nlohmann values recurse once per level,
/// and each level takes about 80 bytes. No message nests deeper than 6 levels.
constexpr std::size_t MAX_DEPTH = 32;
/// Nesting of an item of a list that is a field of the outer object.
constexpr std::size_t ITEM_DEPTH = 2;
/// Memory of the parts of a parsed value: an empty list or object with its
/// place in a list, the node of a field in an object, a value in a list that
/// may have twice the capacity it needs.
constexpr std::size_t CONTAINER_BYTES = 80;
constexpr std::size_t FIELD_BYTES = 112;
constexpr std::size_t VALUE_BYTES = 32;
constexpr std::string_view BLANKS = " \t\r\n";

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

/// Copies a text item by item and replaces the items that can't be parsed.
class ListRepair
{
public:
  explicit ListRepair(std::string_view text)
    : text(text)
  {
  }

  std::string run()
  {
    for (std::size_t at = 0; at < this->text.size(); ++at)
      this->read(at);
    this->repaired += this->text.substr(this->copied);
    return std::move(this->repaired);
  }

private:
  void read(std::size_t at)
  {
    char c = this->text[at];
    std::size_t depth = this->scanner.depth();
    if (!this->scanner.read(c))
      return;
    bool is_opened = c == '[' && this->scanner.depth() == ITEM_DEPTH;
    bool is_ended = c == ',' || c == ']';
    if (this->in_list && depth == ITEM_DEPTH && is_ended) {
      this->end_item(at, c == ']');
      this->in_list = c == ',';
      this->item_begin = at + 1;
    } else if (is_opened && depth < ITEM_DEPTH) {
      this->in_list = true;
      this->is_first = true;
      this->item_begin = at + 1;
    }
  }

  void end_item(std::size_t end, bool is_last)
  {
    std::string_view item =
      this->text.substr(this->item_begin, end - this->item_begin);
    bool is_empty_list = this->is_first && is_last &&
                         item.find_first_not_of(BLANKS) == std::string::npos;
    this->is_first = false;
    bool is_parsable =
      !nested_too_deeply(item, MAX_DEPTH - ITEM_DEPTH) && Json::accept(item);
    if (is_empty_list || is_parsable)
      return;
    this->repaired +=
      this->text.substr(this->copied, this->item_begin - this->copied);
    this->repaired += "null";
    this->copied = end;
  }

  std::string_view text;
  NestingScanner scanner;
  std::string repaired;
  std::size_t copied = 0;
  std::size_t item_begin = 0;
  bool in_list = false;
  bool is_first = false;
};

} // namespace

std::size_t
parsed_bytes(std::string_view text)
{
  NestingScanner scanner;
  std::size_t bytes = text.size();
  for (char c : text) {
    if (!scanner.read(c))
      continue;
    if (c == '[' || c == '{')
      bytes += CONTAINER_BYTES;
    else if (c == ':')
      bytes += FIELD_BYTES;
    else if (c == ',')
      bytes += VALUE_BYTES;
  }
  return bytes;
}

Json
parse_json(std::string_view text)
{
  if (nested_too_deeply(text, MAX_DEPTH))
    return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

Json
parse_json_lists(std::string_view text)
{
  Json root = parse_json(text);
  return root.is_discarded() ? parse_json(ListRepair(text).run()) : root;
}

} // namespace geraniumhinge::kernel
