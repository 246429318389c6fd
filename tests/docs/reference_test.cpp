#define BOOST_TEST_MODULE reference
#include "agent/events.h"
#include "agent/platform_settings.h"
#include "agent/settings.h"
#include "entry/config_events.h"
#include "entry/events.h"
#include "entry/platform_settings.h"
#include "entry/settings.h"
#include "gateway/events.h"
#include "kernel/events.h"
#include "peer/events.h"
#include "platform/events.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <span>
#include <sstream>

using namespace geraniumhinge;

namespace {

struct Catalogue
{
  std::string_view package;
  std::span<const kernel::EventInfo> events;
};

const Catalogue CATALOGUES[] = {
  { "kernel", kernel::KERNEL_EVENTS },
  { "peer", peer::PEER_EVENTS },
  { "platform", platform::PLATFORM_EVENTS },
  { "gateway", gateway::GATEWAY_EVENTS },
  { "agent", agent::AGENT_EVENTS },
  { "entry", entry::ENTRY_EVENTS },
  { "entry, configuration", entry::CONFIG_EVENTS },
};

std::string
events_page()
{
  std::string page =
    "# Log events\n\nEach line on standard output is `<time> <severity> "
    "<number> <name> node=<node> key=value ...`. This page is made from the "
    "catalogue in the code; `docs.reference_test` compares them.\n";
  for (const Catalogue& catalogue : CATALOGUES) {
    page += fmt::format("\n## {}\n\n| number | severity | name | what happened "
                        "| what to do |\n|---|---|---|---|---|\n",
                        catalogue.package);
    for (const kernel::EventInfo& event : catalogue.events) {
      page += fmt::format("| {} | {} | `{}` | {} | {} |\n",
                          event.number,
                          name_of(kernel::SEVERITY_NAMES, event.severity),
                          event.name,
                          event.description,
                          event.action);
    }
  }
  return page;
}

std::string
range_text(const kernel::Setting& setting)
{
  switch (setting.type) {
    case kernel::SettingType::Integer:
    case kernel::SettingType::Number:
      return fmt::format("{} to {}", setting.min, setting.max);
    case kernel::SettingType::Boolean:
      return "true or false";
    case kernel::SettingType::Text:
      return "text";
    case kernel::SettingType::Address:
      return "IP address:port";
    case kernel::SettingType::TextList:
      return "list of texts";
    case kernel::SettingType::AddressList:
      return "list of IP address:port";
  }
  return {};
}

std::string
settings_table(std::span<const kernel::Setting> settings)
{
  std::string table =
    "| setting | range | unit | default | meaning |\n|---|---|---|---|---|\n";
  for (const kernel::Setting& setting : settings) {
    std::string default_json = setting.default_json.empty()
                                 ? "required"
                                 : fmt::format("`{}`", setting.default_json);
    table += fmt::format("| `{}` | {} | {} | {} | {} |\n",
                         setting.pointer,
                         range_text(setting),
                         setting.unit,
                         default_json,
                         setting.description);
  }
  return table;
}

std::string
settings_page()
{
  return "# Settings\n\nSettings files are JSON; the first column is the JSON "
         "pointer of each setting. Unknown keys, wrong types, values out of "
         "range and conflicts are all reported at once by `check --settings "
         "FILE`. This page is made from the tables in the code; "
         "`docs.reference_test` compares them.\n\n## Entry (`geraniumhinge "
         "serve`)\n\n" +
         settings_table(entry::setting_table()) +
         "\n## Agent (`geraniumhinge-agent serve`)\n\n" +
         settings_table(agent::agent_settings_table()) +
         "\n## Entry on the operators' platform\n\nA settings file with a "
         "group `platform` is read by this table. The templates in `deploy/` "
         "fill it in.\n\n" +
         settings_table(entry::platform_settings_table()) +
         "\n## Agent on the operators' platform\n\n" +
         settings_table(agent::platform_settings_table());
}

/// Compares a page with the text made from the code. If
/// GERANIUMHINGE_UPDATE_DOCS is set, writes the page first.
void
check_page(const std::string& name, const std::string& expected)
{
  std::string path = std::string(GERANIUMHINGE_SOURCE_DIR "/docs/") + name;
  if (std::getenv("GERANIUMHINGE_UPDATE_DOCS") != nullptr)
    std::ofstream(path) << expected;
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  bool is_equal = text.str() == expected;
  BOOST_TEST(is_equal,
             name << " differs from the code; run this test with "
                     "GERANIUMHINGE_UPDATE_DOCS=1 to update the page");
}

} // namespace

// Guards against a page of log events that differs from the event tables in the
// code.
BOOST_AUTO_TEST_CASE(events_page_matches_the_catalogue)
{
  check_page("events.md", events_page());
}

// Guards against a page of settings that differs from the setting tables in the
// code.
BOOST_AUTO_TEST_CASE(settings_page_matches_the_tables)
{
  check_page("settings.md", settings_page());
}

// Guards against two events with the same number, and against an event outside
// the number range of its package.
BOOST_AUTO_TEST_CASE(event_numbers_are_unique_and_in_order)
{
  std::set<int> event_numbers;
  for (const Catalogue& catalogue : CATALOGUES) {
    int range = catalogue.events.front().number / 100;
    for (const kernel::EventInfo& event : catalogue.events) {
      BOOST_TEST(event_numbers.insert(event.number).second,
                 "number " << event.number << " is used twice");
      BOOST_TEST(event.number / 100 == range);
    }
  }
}

// Guards against a default value outside the range of its setting.
BOOST_AUTO_TEST_CASE(defaults_are_valid)
{
  for (std::span<const kernel::Setting> table :
       { entry::setting_table(),
         agent::agent_settings_table(),
         entry::platform_settings_table(),
         agent::platform_settings_table() }) {
    for (const kernel::Setting& setting : table) {
      bool numeric = setting.type == kernel::SettingType::Integer ||
                     setting.type == kernel::SettingType::Number;
      if (setting.default_json.empty() || !numeric)
        continue;
      double value = nlohmann::json::parse(setting.default_json).get<double>();
      BOOST_TEST(value >= setting.min, setting.pointer);
      BOOST_TEST(value <= setting.max, setting.pointer);
    }
  }
}
