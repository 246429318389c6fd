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

// Guards against limits of a machine that are not taken over, and against a
// process without them that limits its clients.
BOOST_AUTO_TEST_CASE(limits_on_clients_follow_from_those_of_the_machine)
{
  nlohmann::json settings = example();
  BOOST_TEST(
    (agent::read_agent_settings(settings)->limits == gateway::RequestLimits{}));
  settings["limits"] = { { "memory_mb", 128.0 }, { "max_descriptors", 4'096 } };
  gateway::RequestLimits limits = agent::read_agent_settings(settings)->limits;
  BOOST_TEST(limits.held_bytes == 16UL * 1'024 * 1'024);
  BOOST_TEST(limits.connections == 1'024U);
  BOOST_TEST(limits.request_ms == 5'000);
  settings["limits"]["held_kb"] = 10;
  settings["limits"]["connections"] = 7;
  limits = agent::read_agent_settings(settings)->limits;
  BOOST_TEST(limits.held_bytes == 10U * 1'024);
  BOOST_TEST(limits.connections == 7U);
}
