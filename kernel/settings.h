#pragma once

#include "kernel/event.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::kernel {

enum class SettingType
{
  Integer,
  Number,
  Text,
  Boolean,
  Address, ///< host:port, the host an IP number.
  TextList,
  AddressList,
};

/// Describes one setting. Tables of these are the source of docs/settings.md.
struct Setting
{
  std::string_view pointer; ///< JSON pointer, such as /peer/listen.
  SettingType type;
  std::string_view unit; ///< Empty if it has none.
  double min = 0;        ///< For Integer and Number.
  double max = 0;
  /// JSON text of the default, empty if required.
  std::string_view default_json;
  std::string_view description;
};

enum class SettingFaultKind
{
  Unreadable,
  Malformed,
  Unknown,
  Missing,
  WrongType,
  OutOfRange,
  Conflict,
};

struct SettingFault
{
  SettingFaultKind kind;
  std::string pointer;
  std::string accepted; ///< The accepted range or form.
};

/// One line for people: pointer, kind and accepted range.
std::string
describe(const SettingFault& fault);

/// Reads a settings file and collects all faults instead of stopping at the
/// first one.
class SettingsReader
{
public:
  explicit SettingsReader(nlohmann::json root);

  std::int64_t integer(const Setting& setting);
  double number(const Setting& setting);
  bool boolean(const Setting& setting);
  /// Reads Text and Address settings.
  std::string text(const Setting& setting);
  /// Reads TextList and AddressList settings.
  std::vector<std::string> list(const Setting& setting);

  void add_fault(SettingFault fault);

  /// Adds a fault for each key that was not read, and returns all faults.
  std::vector<SettingFault> finish();

private:
  const nlohmann::json* find(const Setting& setting);
  nlohmann::json value(const Setting& setting);
  void find_unknown(const nlohmann::json& node, const std::string& pointer);

  nlohmann::json root;
  std::set<std::string> known;
  std::vector<SettingFault> faults;
};

/// Reads the name of a severity; the fault names the pointer.
tl::expected<Severity, SettingFault>
parse_severity(std::string_view name, std::string_view pointer);

/// Reads and parses a file.
tl::expected<nlohmann::json, SettingFault>
load_settings_file(const std::string& path);

} // namespace geraniumhinge::kernel
