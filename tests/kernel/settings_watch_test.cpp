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
  /// For each change, the value of the setting "level", or "refused" for a file
  /// that can't be parsed.
  std::vector<std::string> reported;
  std::unique_ptr<kernel::SettingsWatch> watch;

  Fixture()
  {
    write(R"({"level":"info"})");
    watch = std::make_unique<kernel::SettingsWatch>(
      loop,
      timers,
      path,
      [this](const tl::expected<nlohmann::json, kernel::SettingFault>& root) {
        reported.push_back(root ? root->value("level", "") : "refused");
      });
  }
  ~Fixture() { ::unlink(path.c_str()); }

  void write(const std::string& text) const { std::ofstream(path) << text; }
};

} // namespace

// Guards against a SIGHUP that does not report changed settings, and against a
// malformed file that is applied in part or ends the process.
BOOST_FIXTURE_TEST_CASE(sighup_reads_the_file_again, Fixture)
{
  write(R"({"level":"debug"})");
  ::raise(SIGHUP);
  run_until([this] { return reported.size() == 1; });
  BOOST_TEST(reported.back() == "debug");
  write("{ not settings");
  ::raise(SIGHUP);
  run_until([this] { return reported.size() == 2; });
  BOOST_TEST(reported.back() == "refused");
  write(R"({"level":"error"})");
  ::raise(SIGHUP);
  run_until([this] { return reported.size() == 3; });
  BOOST_TEST(reported.back() == "error");
}

// Guards against a change that is reported only at SIGHUP: the file is also
// checked periodically.
BOOST_FIXTURE_TEST_CASE(changes_are_found_without_a_signal, Fixture)
{
  write(R"({"level":"warning"})");
  run_until([this] { return !reported.empty(); });
  BOOST_TEST(reported.back() == "warning");
}
