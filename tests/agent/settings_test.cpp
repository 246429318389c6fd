#define BOOST_TEST_MODULE agent_settings
#include "agent/settings.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

nlohmann::json
example()
{
  return *kernel::load_settings_file(GERANIUMHINGE_SOURCE_DIR
                                     "/examples/agent.json");
}

std::vector<std::string>
fault_pointers(const nlohmann::json& settings)
{
  std::vector<std::string> pointers;
  auto result = agent::read_agent_settings(settings);
  for (const kernel::SettingFault& fault :
       result ? std::vector<kernel::SettingFault>() : result.error())
    pointers.push_back(fault.pointer);
  return pointers;
}

} // namespace

// Guards against an example settings file that the agent refuses.
BOOST_AUTO_TEST_CASE(accepts_the_example)
{
  BOOST_TEST(fault_pointers(example()).empty());
}

// Guards against settings whose conflicts appear only at run time: two
// listeners on one port, and a lease that expires after one failed renewal
// round.
BOOST_AUTO_TEST_CASE(reports_conflicts_and_unknown_keys_together)
{
  nlohmann::json settings = example();
  settings["http"]["listen"] = settings["peer"]["listen"];
  settings["backend"]["address"] = settings["peer"]["listen"];
  settings["lease"]["lease_ms"] = 2'000;
  settings["lease"]["leese_ms"] = 1;
  std::vector<std::string> expected = {
    "/http/listen", "/backend/address", "/lease/lease_ms", "/lease/leese_ms"
  };
  BOOST_TEST(fault_pointers(settings) == expected,
             boost::test_tools::per_element());
}
