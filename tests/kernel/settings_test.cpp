#define BOOST_TEST_MODULE settings
#include "kernel/settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace geraniumhinge::kernel;

namespace {

constexpr Setting PORT{
  "/http/port", SettingType::Integer, "", 1, 65535, "8080", "Port."
};
constexpr Setting NAME{ "/name", SettingType::Text,     "", 0, 0,
                        "",      "Name of the process." };

} // namespace

// Guards against a reader that stops at the first fault: an operator would have
// to restart the process to find each further fault.
BOOST_AUTO_TEST_CASE(reports_all_faults_with_their_pointers)
{
  SettingsReader reader(nlohmann::json::parse(
    R"({"http": {"port": 70000, "prot": 1}, "extra": true})"));
  reader.integer(PORT);
  reader.text(NAME);
  std::vector<SettingFault> faults = reader.finish();

  BOOST_REQUIRE_EQUAL(faults.size(), 4);
  BOOST_TEST((faults[0].kind == SettingFaultKind::OutOfRange));
  BOOST_TEST(faults[0].pointer == "/http/port");
  BOOST_TEST((faults[1].kind == SettingFaultKind::Missing));
  BOOST_TEST(faults[2].pointer == "/extra");
  BOOST_TEST(faults[3].pointer == "/http/prot");
}

// Guards against a process that ends when it reads changed settings: the reader
// copies the values, which recurses.
BOOST_AUTO_TEST_CASE(deeply_nested_settings_are_refused)
{
  constexpr std::size_t NESTING = 200'000;
  char path[] = "/tmp/settings_test_XXXXXX";
  int descriptor = ::mkstemp(path);
  BOOST_REQUIRE(descriptor >= 0);
  ::close(descriptor);
  std::ofstream(path) << R"({"name":)" << std::string(NESTING, '[')
                      << std::string(NESTING, ']') << "}";
  tl::expected<nlohmann::json, SettingFault> root = load_settings_file(path);
  std::remove(path);
  if (root)
    SettingsReader(*root).text(NAME);
  BOOST_REQUIRE(!root.has_value());
  BOOST_TEST((root.error().kind == SettingFaultKind::Malformed));
}
