#define BOOST_TEST_MODULE settings_watch
#include "kernel/settings_watch.h"

#include "tests/gateway/loop_fixture.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <unistd.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

struct Fixture : LoopFixture
{
  std::string path = "/tmp/settings_watch_" + std::to_string(::getpid());
  std::vector<std::string> seen; ///< A setting's value, or "refused".
  std::unique_ptr<kernel::SettingsWatch> watch;

  Fixture()
  {
    write(R"({"level":"info"})");
    watch = std::make_unique<kernel::SettingsWatch>(
      loop,
      timers,
      path,
      [this](const tl::expected<nlohmann::json, kernel::SettingFault>& root) {
        seen.push_back(root ? root->value("level", "") : "refused");
      });
  }
  ~Fixture() { ::unlink(path.c_str()); }

  void write(const std::string& text) const { std::ofstream(path) << text; }
};

} // namespace

// Guards against changed settings that SIGHUP does not bring into force, and
// against a bad file that is taken in part or ends the process.
BOOST_FIXTURE_TEST_CASE(sighup_reads_the_file_again, Fixture)
{
  write(R"({"level":"debug"})");
  ::raise(SIGHUP);
  run_until([this] { return seen.size() == 1; });
  BOOST_TEST(seen.back() == "debug");
  write("{ not settings");
  ::raise(SIGHUP);
  run_until([this] { return seen.size() == 2; });
  BOOST_TEST(seen.back() == "refused");
  write(R"({"level":"error"})");
  ::raise(SIGHUP);
  run_until([this] { return seen.size() == 3; });
  BOOST_TEST(seen.back() == "error");
}

// Guards against settings that wait for a signal which does not come.
BOOST_FIXTURE_TEST_CASE(changes_are_found_without_a_signal, Fixture)
{
  write(R"({"level":"warning"})");
  run_until([this] { return !seen.empty(); });
  BOOST_TEST(seen.back() == "warning");
}
