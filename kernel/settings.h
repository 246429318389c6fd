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
  Address, ///< host:port, where host is an IPv4 address.
  TextList,
  AddressList,
};

/// Describes one setting. docs/settings.md is generated from tables of Setting.
struct Setting
{
  std::string_view pointer; ///< JSON pointer, for example /peer/listen.
  SettingType type;
  std::string_view unit; ///< Empty if the value has no unit.
  double min = 0;        ///< Lower bound of an Integer or Number.
  double max = 0;        ///< Upper bound of an Integer or Number.
  /// JSON text of the default; empty if the setting is required.
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
  std::string accepted; ///< Accepted range or format.
};

/// Formats a fault as one line of text: pointer, kind and accepted range.
std::string
describe(const SettingFault& fault);

/// Reads the parsed settings file `root`. Collects all faults instead of
/// stopping at the first one.
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

  /// Adds a fault for each key that no setting has read, and returns all
  /// faults.
  std::vector<SettingFault> finish();

private:
  const nlohmann::json* find_value(const Setting& setting);
  nlohmann::json value_or_default(const Setting& setting);
  void add_unknown_faults(const nlohmann::json& node,
                          const std::string& pointer);

  nlohmann::json root;
  std::set<std::string> read_pointers;
  std::vector<SettingFault> faults;
};

/// Parses the name of a severity. A fault carries `pointer`.
tl::expected<Severity, SettingFault>
parse_severity(std::string_view name, std::string_view pointer);

/// Reads and parses a JSON file.
tl::expected<nlohmann::json, SettingFault>
load_settings_file(const std::string& path);

} // namespace geraniumhinge::kernel
