#include "kernel/settings.h"

#include "kernel/address.h"
#include "kernel/json_parse.h"
#include "kernel/names.h"

#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <utility>

namespace geraniumhinge::kernel {

namespace {

constexpr NamedValue<SettingFaultKind> FAULT_NAMES[] = {
  { SettingFaultKind::Unreadable, "file is unreadable" },
  { SettingFaultKind::Malformed, "file is not valid JSON" },
  { SettingFaultKind::Unknown, "unknown key" },
  { SettingFaultKind::Missing, "missing" },
  { SettingFaultKind::WrongType, "wrong type" },
  { SettingFaultKind::OutOfRange, "out of range" },
  { SettingFaultKind::Conflict, "conflict" },
};

std::string
accepted_range(const Setting& setting)
{
  std::string unit =
    setting.unit.empty() ? "" : fmt::format(" {}", setting.unit);
  switch (setting.type) {
    case SettingType::Integer:
      return fmt::format(
        "integer from {:.0f} to {:.0f}{}", setting.min, setting.max, unit);
    case SettingType::Number:
      return fmt::format(
        "number from {} to {}{}", setting.min, setting.max, unit);
    case SettingType::Text:
      return "non-empty string";
    case SettingType::Boolean:
      return "true or false";
    case SettingType::Address:
      return "IP address and port, for example 127.0.0.1:7000";
    case SettingType::TextList:
      return "list of non-empty strings";
    case SettingType::AddressList:
      return "non-empty list of IP addresses with ports";
  }
  return {};
}

bool
is_valid_text(const nlohmann::json& value, SettingType type)
{
  if (!value.is_string())
    return false;
  const std::string& text = value.get_ref<const std::string&>();
  if (type == SettingType::Address || type == SettingType::AddressList)
    return is_address(text);
  return true;
}

} // namespace

std::string
describe(const SettingFault& fault)
{
  std::string_view kind = name_of(FAULT_NAMES, fault.kind);
  if (fault.accepted.empty())
    return fmt::format("{}: {}", fault.pointer, kind);
  return fmt::format(
    "{}: {}; accepted: {}", fault.pointer, kind, fault.accepted);
}

SettingsReader::SettingsReader(nlohmann::json root)
  : root(std::move(root))
{
}

const nlohmann::json*
SettingsReader::find_value(const Setting& setting)
{
  std::string pointer(setting.pointer);
  this->read_pointers.insert(pointer);
  nlohmann::json::json_pointer path(pointer);
  if (!this->root.is_object() || !this->root.contains(path))
    return nullptr;
  return &this->root.at(path);
}

nlohmann::json
SettingsReader::value_or_default(const Setting& setting)
{
  const nlohmann::json* found = this->find_value(setting);
  if (found != nullptr)
    return *found;
  if (setting.default_json.empty()) {
    this->add_fault({ SettingFaultKind::Missing,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return nullptr;
  }
  return nlohmann::json::parse(setting.default_json);
}

std::int64_t
SettingsReader::integer(const Setting& setting)
{
  nlohmann::json value = this->value_or_default(setting);
  if (value.is_null() && setting.default_json.empty())
    return 0;
  if (!value.is_number_integer()) {
    this->add_fault({ SettingFaultKind::WrongType,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return 0;
  }
  double numeric_value = value.get<double>();
  if (numeric_value < setting.min || numeric_value > setting.max) {
    this->add_fault({ SettingFaultKind::OutOfRange,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return 0;
  }
  return value.get<std::int64_t>();
}

double
SettingsReader::number(const Setting& setting)
{
  nlohmann::json value = this->value_or_default(setting);
  if (value.is_null() && setting.default_json.empty())
    return 0;
  if (!value.is_number()) {
    this->add_fault({ SettingFaultKind::WrongType,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return 0;
  }
  double numeric_value = value.get<double>();
  if (numeric_value < setting.min || numeric_value > setting.max) {
    this->add_fault({ SettingFaultKind::OutOfRange,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return 0;
  }
  return numeric_value;
}

bool
SettingsReader::boolean(const Setting& setting)
{
  nlohmann::json value = this->value_or_default(setting);
  if (value.is_null() && setting.default_json.empty())
    return false;
  if (!value.is_boolean()) {
    this->add_fault({ SettingFaultKind::WrongType,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return false;
  }
  return value.get<bool>();
}

std::string
SettingsReader::text(const Setting& setting)
{
  nlohmann::json value = this->value_or_default(setting);
  if (value.is_null() && setting.default_json.empty())
    return {};
  bool empty_default = value.is_string() &&
                       value.get_ref<const std::string&>().empty() &&
                       setting.default_json == "\"\"";
  if (empty_default)
    return {};
  if (!is_valid_text(value, setting.type) ||
      value.get_ref<const std::string&>().empty()) {
    this->add_fault({ SettingFaultKind::WrongType,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return {};
  }
  return value.get<std::string>();
}

std::vector<std::string>
SettingsReader::list(const Setting& setting)
{
  nlohmann::json value = this->value_or_default(setting);
  if (value.is_null() && setting.default_json.empty())
    return {};
  bool valid = value.is_array();
  std::vector<std::string> items;
  for (const nlohmann::json& item : valid ? value : nlohmann::json::array()) {
    valid = valid && is_valid_text(item, setting.type);
    if (valid)
      items.push_back(item.get<std::string>());
  }
  if (setting.type == SettingType::AddressList && items.empty())
    valid = false;
  if (!valid) {
    this->add_fault({ SettingFaultKind::WrongType,
                      std::string(setting.pointer),
                      accepted_range(setting) });
    return {};
  }
  return items;
}

void
SettingsReader::add_fault(SettingFault fault)
{
  this->faults.push_back(std::move(fault));
}

void
SettingsReader::add_unknown_faults(const nlohmann::json& node,
                                   const std::string& pointer)
{
  if (this->read_pointers.count(pointer) != 0)
    return;
  bool is_group = node.is_object();
  if (!is_group) {
    this->add_fault({ SettingFaultKind::Unknown, pointer, "" });
    return;
  }
  for (const auto& [key, child] : node.items())
    this->add_unknown_faults(child, fmt::format("{}/{}", pointer, key));
}

std::vector<SettingFault>
SettingsReader::finish()
{
  if (this->root.is_object())
    this->add_unknown_faults(this->root, "");
  else
    this->add_fault({ SettingFaultKind::WrongType, "", "a JSON object" });
  return std::exchange(this->faults, {});
}

tl::expected<Severity, SettingFault>
parse_severity(std::string_view name, std::string_view pointer)
{
  for (const NamedValue<Severity>& level : SEVERITY_NAMES) {
    if (level.name == name)
      return level.value;
  }
  return tl::unexpected(SettingFault{ SettingFaultKind::OutOfRange,
                                      std::string(pointer),
                                      "debug, info, warning or error" });
}

tl::expected<nlohmann::json, SettingFault>
load_settings_file(const std::string& path)
{
  std::ifstream file(path);
  if (!file)
    return tl::unexpected(
      SettingFault{ SettingFaultKind::Unreadable, path, "" });
  std::string text(std::istreambuf_iterator<char>(file), {});
  nlohmann::json root = parse_json(text);
  if (root.is_discarded())
    return tl::unexpected(
      SettingFault{ SettingFaultKind::Malformed, path, "" });
  return root;
}

} // namespace geraniumhinge::kernel
