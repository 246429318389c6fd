#define BOOST_TEST_MODULE unstored_ends
#include "tests/system/platform_fixture.h"

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using Fixture = PlatformFixture;

} // namespace

// Guards against work that is done again, and a next step that waits for it:
// its end could not be stored, and the owner and the machine of the run were
// lost before the store served again.
BOOST_FIXTURE_TEST_CASE(unstored_end_is_lost_with_its_machine, Fixture)
{
  constexpr std::int64_t OUTAGE_MS = 2'000;
  add_entry();
  wait_ready();
  run_until([this] { return entries[0]->owns(); });
  add_entry();
  wait_ready(1);
  add_agent();
  std::string path = std::string(PREFIX) + JOB;
  BOOST_TEST(call("POST", path, submission(1, 1, false)).status == 200);
  run_until([this] { return running() == 1; });
  add_agent();
  store.refusing = true;
  finish_all("done");
  std::int64_t recovery_ms = kernel::boot_ms() + OUTAGE_MS;
  run_until([recovery_ms] { return kernel::boot_ms() >= recovery_ms; });
  entries[0].reset();
  agents[0].reset();
  servers[0]->silent = true;
  store.refusing = false;
  run_until([this] { return entries[1]->owns(); });
  wait_state(JOB, "completed", 1);
  BOOST_TEST(servers[1]->starts.empty());
}
