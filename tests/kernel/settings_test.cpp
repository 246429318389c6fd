#define BOOST_TEST_MODULE settings
#include "kernel/settings.h"

#include <boost/test/unit_test.hpp>

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
